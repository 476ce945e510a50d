"""Rankings of reachable boxes for ownership, watching and entry."""

from collections.abc import Callable
import random

from martenjunction.callers import service as caller_service
from martenjunction.cells import directory
from martenjunction.config import settings as daemon_settings
from martenjunction.decisions import rendezvous
from martenjunction.peers import hub
from martenjunction.peers import membership

# Daemons per availability zone that continuously watch the platform.
WATCHERS_PER_ZONE = 2

# Maximum number of addresses in an entry response.
MAX_ENTRIES = 4


class Rankings:
    """Ranks the boxes that are considered live and are connected."""

    def __init__(
        self,
        settings: daemon_settings.DaemonSettings,
        members: membership.Membership,
        peers: hub.PeerHub,
        rng: random.Random,
        utilization: Callable[[], float],
    ) -> None:
        """Initializes the rankings, which follow the membership.

        Args:
            settings: The daemon's settings.
            members: The members of the fleet.
            peers: The connections to other boxes.
            rng: Breaks ties between entry addresses.
            utilization: Returns this daemon's utilization as a fraction of the
                requests that it may hold.
        """
        self._box = settings.box
        self._zone = settings.zone
        self._members = members
        self._peers = peers
        self._rng = rng
        self._utilization = utilization

    @property
    def is_watcher(self) -> bool:
        """Whether this box watches the platform for its zone."""
        same_zone = [
            member.box
            for member in self._reachable()
            if member.zone == self._zone
        ]
        ranking = rendezvous.ranked(same_zone, f"watch/{self._zone}")
        return self._box in ranking[:WATCHERS_PER_ZONE]

    def owners(self, cell: directory.CellInfo) -> list[str]:
        """Returns the boxes that may own a cell, best first."""
        locations = [
            directory.BoxLocation(member.box, member.zone)
            for member in self._reachable()
        ]
        return directory.owner_ranking(cell, locations)

    def shard_owner(self, key: str) -> str:
        """Returns the box that owns a shard of claims."""
        boxes = [member.box for member in self._reachable()]
        return rendezvous.owner(boxes, key) or self._box

    def entry(self) -> list[caller_service.EntryAddress]:
        """Returns boxes for callers, ordered by distance and utilization."""
        ranked = sorted(
            self._reachable(),
            key=lambda member: (
                directory.distance(self._zone, member.zone),
                round(self._utilization_of(member), 1),
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
            for member in self._members.live_members()
            if member.box == self._box or self._peers.is_connected(member.box)
        ]

    def _utilization_of(self, member: membership.Member) -> float:
        return (
            self._utilization()
            if member.box == self._box
            else member.utilization
        )
