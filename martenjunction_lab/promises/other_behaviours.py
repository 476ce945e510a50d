"""Behaviours of the store, clients, boxes and the operator."""

import asyncio
from collections.abc import AsyncIterator
from typing import Any

from martenjunction_lab import trial_fleet
from martenjunction_lab.promises import behaviours
from martenjunction_lab.promises import configuration
from martenjunction_lab.promises import fleet
from martenjunction_lab.simulated import loop as simulated_loop

Part = behaviours.Part

# Seconds after which endpoints and the operator write again what a store that
# was restored from a copy has lost.
RENEWAL_S = 0.5

# The key that the operator takes away.
LOST_KEY = "key-of-three"

# Limits that the operator sets for a while.
CHANGED_LIMITS = {"idle_timeout_ms": 3000, "header_timeout_ms": 1500}

# Kinds that are one fault of the store's stand-in: its field, and its value.
FAULTS: dict[str, tuple[str, Any]] = {
    "store-down": ("down", True),
    "store-silent": ("silent", True),
    "store-resets": ("resets", True),
    "store-deaf": ("deaf", True),
    "store-old-lists": ("old_lists_empty", True),
}


def _register_fault(name: str, field: str, value: Any) -> None:
    @behaviours.applies(name, Part.STORE)
    async def apply(
        played: fleet.PairFleet, behaviour: behaviours.Behaviour
    ) -> AsyncIterator[None]:
        faults = played.boxes.store.faults
        usual = getattr(faults, field)
        setattr(faults, field, value)
        yield
        setattr(faults, field, usual)


for _name, (_field, _value) in FAULTS.items():
    _register_fault(_name, _field, _value)


@behaviours.applies("store-slow", Part.STORE, strength=(0.1, 0.8))
async def _slow(
    played: fleet.PairFleet, behaviour: behaviours.Behaviour
) -> AsyncIterator[None]:
    faults = played.boxes.store.faults
    usual_s = faults.delay_s
    faults.delay_s = behaviour.strength
    yield
    faults.delay_s = usual_s


@behaviours.applies("store-loses-replies", Part.STORE, share=(0.3, 1.0))
async def _loses_replies(
    played: fleet.PairFleet, behaviour: behaviours.Behaviour
) -> AsyncIterator[None]:
    played.boxes.store.faults.lose_replies = behaviour.share
    yield
    played.boxes.store.faults.lose_replies = 0.0


@behaviours.applies("store-restored", Part.STORE)
async def _restored(
    played: fleet.PairFleet, behaviour: behaviours.Behaviour
) -> AsyncIterator[None]:
    copy = played.boxes.store.copy()
    yield
    played.boxes.store.go_back(copy)
    await asyncio.sleep(RENEWAL_S)
    played.renew_entries()
    played.operator.write()


@behaviours.applies("clients-leave", Part.CLIENTS, share=(0.3, 0.8))
async def _leave(
    played: fleet.PairFleet, behaviour: behaviours.Behaviour
) -> AsyncIterator[None]:
    played.clients.habits.leaving = behaviour.share
    yield
    played.clients.habits.leaving = 0.0


@behaviours.applies("clients-retry", Part.CLIENTS, strength=(1.0, 5.0))
async def _retry(
    played: fleet.PairFleet, behaviour: behaviours.Behaviour
) -> AsyncIterator[None]:
    habits = played.clients.habits
    habits.repeating, habits.repeats = 1.0, int(behaviour.strength)
    yield
    habits.repeating, habits.repeats = 0.0, 0


@behaviours.applies("clients-keep", Part.CLIENTS, share=(0.5, 1.0))
async def _keep(
    played: fleet.PairFleet, behaviour: behaviours.Behaviour
) -> AsyncIterator[None]:
    played.clients.habits.keeping = behaviour.share
    yield
    played.clients.habits.keeping = 0.0


@behaviours.applies(
    "clients-burst", Part.CLIENTS, for_s=(0.5, 1.5), strength=(1.0, 3.0)
)
async def _burst(
    played: fleet.PairFleet, behaviour: behaviours.Behaviour
) -> AsyncIterator[None]:
    loop = asyncio.get_running_loop()
    played.spawn(
        played.send_steadily(
            fleet.PER_S * behaviour.strength,
            loop.time() + behaviour.for_s,
            played.clients.send,
        )
    )
    yield


@behaviours.applies("box-stops", Part.BOX)
async def _stops(
    played: fleet.PairFleet, behaviour: behaviours.Behaviour
) -> AsyncIterator[None]:
    await played.end_box(behaviour.on, planned=True)
    yield
    await played.return_box(behaviour.on)


@behaviours.applies("box-killed", Part.BOX)
async def _killed(
    played: fleet.PairFleet, behaviour: behaviours.Behaviour
) -> AsyncIterator[None]:
    await played.end_box(behaviour.on, planned=False)
    yield
    await played.return_box(behaviour.on)


@behaviours.applies(
    "boxes-held-up", Part.ALL, for_s=(0.0, 0.0), strength=(0.1, 0.4)
)
async def _held_up(
    played: fleet.PairFleet, behaviour: behaviours.Behaviour
) -> AsyncIterator[None]:
    # Injected simulated time; all parts share the loop, and so all stand still.
    loop = asyncio.get_running_loop()
    assert isinstance(loop, simulated_loop.SimulatedLoop)
    loop.hold_up(behaviour.strength)
    yield


@behaviours.applies("operator-new-version", Part.OPERATOR)
async def _new_version(
    played: fleet.PairFleet, behaviour: behaviours.Behaviour
) -> AsyncIterator[None]:
    played.operator.write()
    yield
    played.operator.write()


@behaviours.applies("operator-takes-key", Part.OPERATOR)
async def _takes_key(
    played: fleet.PairFleet, behaviour: behaviours.Behaviour
) -> AsyncIterator[None]:
    played.operator.keys.remove(LOST_KEY)
    played.operator.write()
    yield
    played.operator.keys.append(LOST_KEY)
    played.operator.write()


@behaviours.applies("operator-moves-route", Part.OPERATOR)
async def _moves_route(
    played: fleet.PairFleet, behaviour: behaviours.Behaviour
) -> AsyncIterator[None]:
    services = played.operator.services
    usual = services[configuration.MOVED]
    services[configuration.MOVED] = trial_fleet.PLAIN
    played.operator.write()
    yield
    services[configuration.MOVED] = usual
    played.operator.write()


@behaviours.applies("operator-changes-limits", Part.OPERATOR)
async def _changes_limits(
    played: fleet.PairFleet, behaviour: behaviours.Behaviour
) -> AsyncIterator[None]:
    usual = dict(played.operator.limits)
    played.operator.limits.update(CHANGED_LIMITS)
    played.operator.write()
    yield
    played.operator.limits.update(usual)
    played.operator.write()
