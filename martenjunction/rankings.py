"""Which boxes a daemon can reach, and what they are ranked for."""

from collections.abc import Callable
import random

from martenjunction.callers import service as caller_service
from martenjunction.cells import directory
from martenjunction.config import settings as daemon_settings
from martenjunction.decisions import rendezvous
from martenjunction.peers import hub
from martenjunction.peers import membership

# Daemons of each availability zone that follow the platform all the time.
WATCHERS_PER_ZONE = 2

# Addresses in one entry answer.
MAX_ENTRIES = 4


class Rankings:
    """Ranks the boxes that are believed live and can be reached."""

    def __init__(
        self,
        settings: daemon_settings.DaemonSettings,
        members: membership.Membership,
        peers: hub.PeerHub,
        rng: random.Random,
        held: Callable[[], float],
    ) -> None:
        """Makes rankings that follow the membership.

        Args:
            settings: The daemon's settings.
            members: The boxes.
            peers: Tells which of them can be reached.
            rng: Draws among entry addresses that are alike.
            held: Returns the part of what this daemon may hold that is taken.
        """
        self._box = settings.box
        self._zone = settings.zone
        self._members = members
        self._peers = peers
        self._rng = rng
        self._held = held

    @property
    def is_watcher(self) -> bool:
        """Whether this box follows the platform for its zone."""
        near = [
            member.box
            for member in self._reachable()
            if member.zone == self._zone
        ]
        ranking = rendezvous.ranked(near, f"watch/{self._zone}")
        return self._box in ranking[:WATCHERS_PER_ZONE]

    def owners(self, cell: directory.CellInfo) -> list[str]:
        """Returns the boxes that may own a cell, the best first."""
        places = [
            directory.BoxPlace(member.box, member.zone)
            for member in self._reachable()
        ]
        return directory.owner_ranking(cell, places)

    def shard_owner(self, key: str) -> str:
        """Returns the box that owns a shard of claims."""
        boxes = [member.box for member in self._reachable()]
        return rendezvous.owner(boxes, key) or self._box

    def entry(self) -> list[caller_service.EntryAddress]:
        """Ranks boxes for callers: near ones first, then those with room."""
        ranked = sorted(
            self._reachable(),
            key=lambda member: (
                directory.distance(self._zone, member.zone),
                round(self._held_of(member), 1),
                self._rng.random(),
            ),
        )
        return [
            caller_service.EntryAddress(member.box, member.zone, member.callers)
            for member in ranked[:MAX_ENTRIES]
        ]

    def _reachable(self) -> list[membership.Member]:
        return [
            member
            for member in self._members.believed()
            if member.box == self._box or self._peers.reachable(member.box)
        ]

    def _held_of(self, member: membership.Member) -> float:
        return self._held() if member.box == self._box else member.held
