"""Boxes in one process that can be cut off from each other."""

import asyncio
from collections.abc import Iterable
from typing import Any

from martenjunction import gateway
from martenjunction.peers import hub
from martenjunction.peers import membership
from martenjunction.platform import documents
from martenjunction_lab import boxes

ZONES = 3


class CutFleet:
    """Boxes whose connections to each other can be cut; the store answers.

    Attributes:
        fleet: The boxes and the store.
        removed: Boxes whose entries others removed, with who did.
    """

    def __init__(self) -> None:
        self.fleet = boxes.Boxes()
        self.removed: list[tuple[str, str]] = []
        self._sides: list[set[str]] = []
        self._dead: set[str] = set()

    async def start(self, config: dict[str, Any], count: int) -> None:
        """Starts the boxes and waits until they are connected."""
        zones = {f"zone-{z}": "region-a" for z in range(ZONES)}
        await self.fleet.start(config, boxes=0)
        for number in range(count):
            made = await self.fleet.add_box(
                f"box-{number + 1:02}",
                zone=f"zone-{number % ZONES}",
                zones=zones,
                first_start=True,
            )
            self._watch(made)
        async with asyncio.timeout(30.0):
            while not all(self._is_settled(m) for m in self.fleet.gateways):
                await asyncio.sleep(0.1)

    def box(self, name: str) -> gateway.Gateway:
        """Returns a box."""
        return next(m for m in self.fleet.gateways if m.members.own.box == name)

    def reader(self) -> str:
        """Returns the box that reads from the store."""
        return next(
            m.members.own.box
            for m in self.fleet.gateways
            if m.follower.is_synced
        )

    def names(self) -> list[str]:
        """Returns the names of all boxes."""
        return [m.members.own.box for m in self.fleet.gateways]

    def listed(self) -> set[str]:
        """Returns the boxes that have an entry in the store."""
        return {
            name
            for name in [*self.names(), *self._dead]
            if self.fleet.store.find(documents.BOX_KIND, name) is not None
        }

    def cut(self, *sides: Iterable[str]) -> None:
        """Cuts the connections between some groups of boxes."""
        self._sides = [set(side) for side in sides]
        for made in self.fleet.gateways:
            own = made.members.own.box
            for link in made.peers._all_links():
                if self._is_cut(own, link.box):
                    link.close()

    def heal(self) -> None:
        """Lets all boxes connect again."""
        self._sides = []

    async def kill(self, names: Iterable[str]) -> None:
        """Ends boxes, which leave their entries behind."""
        for name in list(names):
            made = self.box(name)
            self.fleet.gateways.remove(made)
            self._dead.add(name)
            await made.stop()

    def _is_cut(self, one: str, other: str) -> bool:
        return any((one in side) != (other in side) for side in self._sides)

    def _is_settled(self, made: gateway.Gateway) -> bool:
        others = len(self.fleet.gateways) - 1
        return (
            len(made.members.live_members()) > others
            and bool(made.peers.boxes())
            and made.follower.knows_boxes
        )

    def _watch(self, made: gateway.Gateway) -> None:
        """Lets a box connect only to those it is not cut off from."""
        own = made.members.own.box
        connect = made.peers._connect

        async def connect_unless_cut(member: membership.Member) -> int:
            if not self._is_cut(own, member.box):
                return await connect(member)
            await asyncio.sleep(hub.SPARSE_CONNECT_TIMEOUT_S)
            return hub.UNREACHABLE_ATTEMPTS

        made.peers._connect = connect_unless_cut  # type: ignore[method-assign]
        write = made.log.write

        def write_and_note(event: str, **fields: Any) -> None:
            if event == "box-entry-removed":
                self.removed.append((fields["removed"], own))
            write(event, **fields)

        made.log.write = write_and_note  # type: ignore[method-assign]
