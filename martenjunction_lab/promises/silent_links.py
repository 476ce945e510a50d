"""Behaviours of open connections that fall silent for good."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable

from martenjunction_lab import silent_sockets
from martenjunction_lab.promises import behaviours
from martenjunction_lab.promises import fleet
from martenjunction_lab.promises import silences
from martenjunction_lab.simulated import loop as simulated_loop

Part = behaviours.Part


def _to_endpoints(played: fleet.PairFleet) -> list[str]:
    return [one.address for one in played.made]


def _to_store(played: fleet.PairFleet) -> list[str]:
    return [played.boxes.store.address]


def _to_peers(played: fleet.PairFleet) -> list[str]:
    members = [made.members.own for made in played.boxes.gateways]
    return [
        address
        for own in members
        for address in (own.peers, own.tunnels)
        if address
    ]


# Kinds, what they are on, and the addresses to which connections fall silent.
_KINDS: dict[str, tuple[Part, Callable[[fleet.PairFleet], list[str]]]] = {
    "endpoint-links-go-silent": (Part.ALL, _to_endpoints),
    "peer-links-go-silent": (Part.ALL, _to_peers),
    "store-links-go-silent": (Part.STORE, _to_store),
}


def _register(
    name: str, part: Part, targets: Callable[[fleet.PairFleet], list[str]]
) -> None:
    # A moment: the connections stay silent, and all later ones work.
    @behaviours.applies(
        name,
        part,
        for_s=(0.0, 0.0),
        share=(0.5, 1.0),
        event=silences.Silence,
    )
    async def apply(
        played: fleet.PairFleet, behaviour: behaviours.Behaviour
    ) -> AsyncIterator[None]:
        loop = asyncio.get_running_loop()
        assert isinstance(loop, simulated_loop.SimulatedLoop)
        # The kernel times probes and transmissions in real time.
        loop.keep_pace()
        silent_sockets.silence(targets(played), behaviour.share, played.draw)
        yield


for _name, (_part, _targets) in _KINDS.items():
    _register(_name, _part, _targets)
