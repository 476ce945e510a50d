"""Selects the box that decides for all boxes about a key."""

from collections.abc import Callable
from collections.abc import Collection

from martenjunction.decisions import rendezvous
from martenjunction.peers import membership


class HolderSelector:
    """Selects the holder of a key from this box's responsive peers.

    Boxes with the same set of responsive peers select the same holder. Where
    the views of two boxes differ, the one that is asked may forward the request
    to the one that it takes for the holder.
    """

    def __init__(
        self,
        members: membership.Membership,
        responsive: Callable[[], list[membership.Member]],
    ) -> None:
        """Initializes the selector.

        Args:
            members: The boxes of the fleet.
            responsive: Returns the peers with a recent status.
        """
        self._members = members
        self._responsive_peers = responsive

    @property
    def own_box(self) -> str:
        """The name of this box."""
        return self._members.own.box

    def holder(self, key: str, excluded: Collection[str] = ()) -> str:
        """Returns the holder of a key.

        Args:
            key: The key.
            excluded: Boxes not to select, such as those that do not answer.
        """
        responsive = [
            m for m in self._responsive_peers() if m.box not in excluded
        ]
        candidates = self._candidates(key, responsive)
        return (
            rendezvous.owner([m.box for m in candidates], key) or self.own_box
        )

    def reachable_fraction(self) -> float:
        """Returns the fraction of the known boxes that are responsive.

        It is of all boxes, as the candidates of a part of the fleet may be in
        another zone than those of the rest.
        """
        responsive = self._boxes(self._responsive_peers())
        own = self._members.own
        others = [m for m in self._members.known_members() if m is not own]
        return min(1.0, len(responsive) / len(self._boxes(others)))

    def _boxes(
        self, others: list[membership.Member]
    ) -> list[membership.Member]:
        """Returns other boxes, and this one unless it is shutting down."""
        own = self._members.own
        if own in self._members.live_members() or not others:
            return [own, *others]
        # Other boxes no longer select a box that is shutting down.
        return others

    def _candidates(
        self, key: str, others: list[membership.Member]
    ) -> list[membership.Member]:
        """Returns the candidates for the holder among this box and others.

        In a large fleet all candidates are in one availability zone, so that a
        connection that is lost between zones concerns fewer keys.
        """
        boxes = self._boxes(others)
        believed = self._members.live_members()
        if len(believed) <= membership.MAX_FULL_MESH_SIZE:
            return boxes
        zones = {member.zone for member in boxes}
        zone = rendezvous.owner(zones, key)
        return [member for member in boxes if member.zone == zone]
