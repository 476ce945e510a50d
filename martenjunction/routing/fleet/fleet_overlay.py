"""The place of this box in the trees that connect a large fleet."""

from collections.abc import Callable

from martenjunction.decisions.boxes import overlay
from martenjunction.peers import membership

# Seconds for which a box keeps a working parent although its place has changed.
# A box that starts or ends moves many others by one place.
KEEP_PARENT_S = 3.0


class FleetOverlay:
    """Selects the peers of this box: all in a small fleet, else its parents."""

    def __init__(
        self, members: membership.Membership, now: Callable[[], float]
    ) -> None:
        """Initializes the overlay.

        Args:
            members: The boxes of the fleet.
            now: Returns the monotonic time in seconds.
        """
        self._members = members
        self._now = now
        self._own = members.own.box
        self._placed: list[membership.Member] | None = None
        self._trees = overlay.Overlay([])
        self._kept: dict[overlay.Tree, str] = {}
        self._moved_at: dict[overlay.Tree, float] = {}
        self._is_linked: Callable[[str], bool] = lambda box: False

    @property
    def is_sparse(self) -> bool:
        """Whether the fleet is too large for a full mesh."""
        return not self._members.is_full_mesh

    @property
    def rank(self) -> int:
        """The order in which this box replaces the root; see `Overlay.rank`."""
        return self._current().rank(self._own)

    def use_links(self, is_linked: Callable[[str], bool]) -> None:
        """Sets the function that tells whether a box can be heard."""
        self._is_linked = is_linked

    def targets(self) -> list[membership.Member]:
        """Returns the peers that this box connects to."""
        if not self.is_sparse:
            return self._members.monitored_peers()
        current = self._current()
        wanted = {current.parent(self._own, tree) for tree in overlay.Tree} | {
            self.parent(tree) for tree in overlay.Tree
        }
        known = self._members.members
        return [known[box] for box in wanted if box in known]

    def parent(self, tree: overlay.Tree) -> str | None:
        """Returns the parent of this box in a tree, or None.

        While the connection to a new parent is missing, and shortly after, it
        is an earlier one that still works.
        """
        current = self._current()
        wanted = current.parent(self._own, tree)
        kept = self._kept.get(tree)
        if kept is not None and kept != wanted and self._works(kept, tree):
            moved_at = self._moved_at.setdefault(tree, self._now())
            waits = self._now() - moved_at < KEEP_PARENT_S
            if wanted is not None and (waits or not self._is_linked(wanted)):
                return kept
        self._moved_at.pop(tree, None)
        if wanted is None or not self._is_linked(wanted):
            self._kept.pop(tree, None)
            return None
        self._kept[tree] = wanted
        return wanted

    def may_be_child(self, box: str) -> bool:
        """Returns whether a box may send its sums to this one."""
        return self._current().precedes(self._own, box, overlay.Tree.PRIMARY)

    def expected_children(self) -> set[str]:
        """Returns the boxes whose parent this box should be in some tree."""
        if not self.is_sparse:
            return set()
        current = self._current()
        return {
            box
            for tree in overlay.Tree
            for box in current.children(self._own, tree)
        }

    def _works(self, box: str, tree: overlay.Tree) -> bool:
        return self._is_linked(box) and self._current().precedes(
            box, self._own, tree
        )

    def _current(self) -> overlay.Overlay:
        live = self._members.live_snapshot()
        if live is not self._placed:
            self._placed = live
            self._trees = overlay.Overlay(
                overlay.Node(member.box, member.zone, member.link_kb)
                for member in live
            )
        return self._trees
