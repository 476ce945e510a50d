"""Starts and stops reading from the store, as this box's role demands."""

from collections.abc import Callable

from martenjunction import timers
from martenjunction.decisions.boxes import store_readers
from martenjunction.peers import membership
from martenjunction.routing.fleet import fleet_overlay
from martenjunction.routing.store import follower

# Seconds after the start for which this box waits for the first list of boxes
# before it reads from the store.
FIRST_LIST_WAIT_S = 0.5


class StoreReading:
    """Applies the reader election to the part that reads from the store."""

    def __init__(
        self,
        reader: follower.StoreFollower,
        members: membership.Membership,
        place: fleet_overlay.FleetOverlay,
        clock: timers.Timers,
    ) -> None:
        """Initializes the role of a started box.

        Args:
            reader: Reads from the store when this box is a reader.
            members: The boxes of the fleet.
            place: The place of this box in the trees of a large fleet.
            clock: Provides the time.
        """
        self._reader = reader
        self._members = members
        self._place = place
        self._timers = clock
        self._role = store_readers.ReaderRole(
            members.own.box, members.own.link_kb
        )
        self._tree_role = store_readers.TreeReaderRole()
        self._started_at = clock.now()
        self._listed_at: float | None = None

    def update(
        self,
        age_s: float | None,
        group: Callable[[], list[store_readers.PeerReaderState]],
        parent_is_fed: Callable[[], bool],
    ) -> None:
        """Starts or stops reading.

        Args:
            age_s: Seconds since the configuration was confirmed, or None.
            group: Returns the other boxes of a small fleet that elect a reader.
            parent_is_fed: Returns whether the parent of this box in a large
                fleet gets confirmations from above.
        """
        now = self._timers.now()
        if age_s is None and self._waits_for_peers(now):
            return
        if self._place.is_sparse:
            rank = self._place.rank
            reads = self._tree_role.decide(rank, age_s, parent_is_fed(), now)
            self._reader.read(reads, rank == 0)
        else:
            reads = self._role.decide(group(), age_s, now)
            self._reader.read(reads, self._role.is_first)

    def _waits_for_peers(self, now: float) -> bool:
        """Returns whether a started box leaves reading to other boxes."""
        if not self._reader.has_listed:
            delay_s = FIRST_LIST_WAIT_S + self._reader.first_list_delay_s
            return now - self._started_at < delay_s
        if self._listed_at is None:
            self._listed_at = now
        if self._place.is_sparse:
            rank = self._place.rank
        else:
            rank = self._rank_in_mesh()
        return now - self._listed_at < store_readers.start_wait_s(rank)

    def _rank_in_mesh(self) -> int:
        """Returns the rank of this box among all live boxes as a reader."""
        members = self._members.live_members()
        links = {member.box: member.link_kb for member in members}
        order = store_readers.ranked(links)
        own = self._members.own.box
        return order.index(own) if own in order else 0
