"""Watches whose answers are lost, while the store answers all other calls."""

import asyncio
from collections.abc import Callable

import pytest

from martenjunction.decisions.boxes import store_readers
from martenjunction.decisions.boxes import watch_checks
from martenjunction.peers import membership
from martenjunction_lab import boxes
from martenjunction_lab import platform
from martenjunction_lab import replica
from tests import gateway_requests as requests
from tests import routing_builders as builders

pytestmark = pytest.mark.simulated_time

# Seconds: a leaving endpoint must get no new work, and a change must be in
# force, that long after the store acknowledged it (`boxes.settings`).
DRAIN_S = 2.0
CHANGE_S = 2.0

Leave = Callable[[boxes.Boxes, replica.Replica], None]


def _drain(fleet: boxes.Boxes, made: replica.Replica) -> None:
    fleet.record(made, builders.PLAIN, state="draining")


def _forget(fleet: boxes.Boxes, made: replica.Replica) -> None:
    fleet.forget(made)


async def _lose_watches(fleet: boxes.Boxes) -> None:
    """Has the answers to all watches that are open get lost."""
    fleet.store.faults = platform.PlatformFaults(lose_watches=1.0)
    fleet.store.write("servers", "i-9", {})
    fleet.configure(builders.config_document(8))
    await asyncio.sleep(0.1)
    fleet.store.faults = platform.PlatformFaults()


# All boxes went on sending for up to 9 s, as answers to other calls counted for
# the list of endpoints.
@pytest.mark.parametrize("leave", [_drain, _forget])
@pytest.mark.parametrize("count", [1, 2, 6], ids=["one", "mesh", "trees"])
async def test_endpoint_that_left_gets_no_work_though_a_watch_was_lost(
    fleet: boxes.Boxes,
    monkeypatch: pytest.MonkeyPatch,
    count: int,
    leave: Leave,
) -> None:
    monkeypatch.setattr(membership, "MAX_FULL_MESH_SIZE", 3)
    made = await requests.two_plain(fleet)
    for number in range(2, count + 1):
        await fleet.add_box(f"box-{number}")
    await fleet.until_listed()
    await asyncio.sleep(5.0)
    await _lose_watches(fleet)
    await asyncio.sleep(0.2)
    leave(fleet, made[0])
    await asyncio.sleep(DRAIN_S)
    ready = [box.endpoint_list.is_ready(made[0].id) for box in fleet.gateways]
    assert not any(ready)


# The watch that follows a lost one is lost as well.
async def test_endpoint_that_left_gets_no_work_after_two_lost_watches(
    fleet: boxes.Boxes,
) -> None:
    made = await requests.two_plain(fleet)
    await asyncio.sleep(3.0)
    for _ in range(2):
        await _lose_watches(fleet)
        await asyncio.sleep(1.0)
    fleet.record(made[0], builders.PLAIN, state="draining")
    await asyncio.sleep(DRAIN_S)
    assert not fleet.gateways[0].endpoint_list.is_ready(made[0].id)


# Answers to reads and watches are lost by chance, as by a store in trouble.
# Boxes are in touch again 3 s after it.
@pytest.mark.parametrize("seed", range(1, 7))
async def test_endpoint_that_left_and_key_are_known_after_lost_answers(
    fleet: boxes.Boxes, seed: int
) -> None:
    fleet.store.rng.seed(seed)
    made = await requests.two_plain(fleet)
    await fleet.add_box("box-2")
    await fleet.until_listed()
    await asyncio.sleep(3.0)
    fleet.store.faults = platform.PlatformFaults(
        lose_reads=0.35, lose_watches=0.35
    )
    for number in range(9):
        fleet.store.write("notes", "n-1", {"number": number})
        fleet.record(made[1], builders.PLAIN, slots=6 + number % 2)
        await asyncio.sleep(0.5)
    fleet.store.faults = platform.PlatformFaults()
    await asyncio.sleep(3.0)
    fleet.record(made[0], builders.PLAIN, state="draining")
    fleet.configure(builders.config_document(9, tenants=[]))
    await asyncio.sleep(DRAIN_S)
    for box in fleet.gateways:
        assert not box.endpoint_list.is_ready(made[0].id)
        assert box.store_cache.version == 9


# A configuration that takes long to transfer is read less often, and only its
# watch tells of a change in time.
async def test_configuration_is_in_force_though_its_watch_was_lost(
    fleet: boxes.Boxes, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(store_readers, "CONFIRM_INTERVAL_S", 6.0)
    monkeypatch.setattr(store_readers, "MAX_CONFIRM_INTERVAL_S", 6.0)
    box = fleet.gateways[0]
    await boxes.until(lambda: box.store_cache.version == 7)
    # Within a watch, and two seconds before the next read.
    await asyncio.sleep(9.0)
    await _lose_watches(fleet)
    fleet.configure(builders.config_document(9))
    await asyncio.sleep(CHANGE_S)
    assert box.store_cache.version == 9


async def test_unrelated_changes_cost_one_check_an_interval(
    fleet: boxes.Boxes,
) -> None:
    await requests.two_plain(fleet)
    await asyncio.sleep(3.0)
    box = fleet.gateways[0]
    watches, lists = box.store.calls["watch"], box.store.calls["list"]
    for number in range(100):
        fleet.store.write("notes", "n-1", {"number": number})
        await asyncio.sleep(0.1)
    interval_s = watch_checks.interval_s(DRAIN_S, CHANGE_S)
    # Two watches of 8 s each, and the checks.
    most = 10.0 / interval_s + 4
    assert box.store.calls["watch"] - watches <= most
    # The configuration each 0.6 s, and the boxes.
    assert box.store.calls["list"] - lists <= 10.0 / 0.6 + 3
    age_s = box.endpoint_list.age.age_s(box.timers.now())
    assert age_s is not None
    assert age_s <= interval_s + 0.2


# An overloaded store answers watches late, and must get no storm of lists.
async def test_watches_that_are_answered_late_cause_no_lists(
    fleet: boxes.Boxes,
) -> None:
    made = await requests.two_plain(fleet)
    await asyncio.sleep(3.0)
    box = fleet.gateways[0]
    fleet.store.faults = platform.PlatformFaults(delay_s=0.4)
    await asyncio.sleep(2.0)
    lists = box.store.calls["list"]
    watches = box.store.calls["watch"]
    for number in range(10):
        state = "draining" if number % 2 else "ready"
        fleet.record(made[0], builders.PLAIN, state=state)
        await asyncio.sleep(1.0)
    assert box.store.calls["list"] - lists <= 10.0 / 0.6 + 3
    interval_s = watch_checks.interval_s(DRAIN_S, CHANGE_S)
    assert box.store.calls["watch"] - watches <= 2 * 10 + 10.0 / interval_s + 4


async def test_quiet_store_gets_no_checks(fleet: boxes.Boxes) -> None:
    await requests.two_plain(fleet)
    await asyncio.sleep(3.0)
    box = fleet.gateways[0]
    watches = box.store.calls["watch"]
    await asyncio.sleep(7.0)
    assert box.store.calls["watch"] - watches <= 2


def test_check_is_due_once_nothing_else_proved_the_watch() -> None:
    checks = watch_checks.WatchChecks(1.0, 10.0)
    assert checks.due_in_s(None, 10.0) == 1.0
    assert checks.due_in_s(0.25, 11.5) == 0.75
    assert checks.due_in_s(1.5, 11.5) == 0.0
    checks.note_failed(11.5)
    assert checks.due_in_s(1.5, 11.5) == pytest.approx(watch_checks.RETRY_S)
    checks.note_checked(12.0)
    assert checks.due_in_s(None, 12.5) == 0.5
    assert watch_checks.interval_s(0.0) > 0.0
