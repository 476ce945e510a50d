"""Which peers a daemon connects to."""

from typing import Protocol

from martenjunction.decisions import rendezvous
from martenjunction.peers import membership

# Number of connections to each other availability zone in a fleet that is too
# large for a full mesh.
LINKS_PER_REMOTE_ZONE = 2


class Topology(Protocol):
    """Selects the peers to connect to."""

    def targets(self) -> list[membership.Member]:
        """Returns the peers that this daemon connects to."""

    @property
    def is_sparse(self) -> bool:
        """Whether connections that are not needed any more are closed."""


class ZoneMesh:
    """All daemons of the own availability zone and a few of each other one."""

    is_sparse = False

    def __init__(self, members: membership.Membership) -> None:
        """Initializes the topology.

        Args:
            members: The view of the fleet.
        """
        self._members = members

    def targets(self) -> list[membership.Member]:
        """Returns the peers that this daemon connects to."""
        own = self._members.own
        others = [m for m in self._members.live_members() if m.box != own.box]
        monitored = self._members.monitored_peers()
        remote = self._other_zones(others, own.zone)
        return list({m.box: m for m in monitored + remote}.values())

    def _other_zones(
        self, others: list[membership.Member], zone: str
    ) -> list[membership.Member]:
        by_zone: dict[str, list[membership.Member]] = {}
        for member in others:
            if member.zone != zone:
                by_zone.setdefault(member.zone, []).append(member)
        chosen: list[membership.Member] = []
        for members in by_zone.values():
            # The ranking differs from box to box. If sorted by name, the first
            # two boxes of a zone would get the connections of all other zones.
            ranking = rendezvous.ranked(
                [m.box for m in members], self._members.own.box
            )
            selected = set(ranking[:LINKS_PER_REMOTE_ZONE])
            chosen.extend(m for m in members if m.box in selected)
        return chosen
