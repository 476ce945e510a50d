"""Election of the boxes that read from the store.

One box of a group reads and the others query it, so that store calls do not
grow with the fleet. No agreement is needed: a box without fresh information for
too long reads by itself, and a second reader only costs some calls. Boxes with
fast links are preferred because a reader receives the whole configuration at
each confirmation.
"""

from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses

from martenjunction.decisions import rendezvous

# Rendezvous hashing key that ranks boxes.
RANK_KEY = "store reader"

# Age in seconds of a box's information at which it becomes a reader, the
# additional delay per rank, and the highest rank that adds one. A reader
# confirms every 0.6 s and is queried every 0.3 s, so ages stay below one
# second; changes must be applied within two.
STALE_S = 1.1
STALE_STEP_S = 0.1
MAX_STEPS = 5

# Minimum seconds for which a box keeps reading after it took over from another
# one. A newly started box stops as soon as it can rely on another.
MIN_READING_S = 3.0

# Minimum and maximum seconds between a reader's queries for the newest
# configuration, the minimum after an outage of the store until all live
# endpoints have written their entries again, and the fraction of its link that
# the responses may use: 370 kB every 0.6 s saturate a link of 5 Mbit/s.
CONFIRM_INTERVAL_S = 0.6
GRACE_CONFIRM_INTERVAL_S = 0.2
MAX_CONFIRM_INTERVAL_S = 3.0
CONFIRM_LINK_FRACTION = 0.2

# Seconds for which a started box waits for its peers before it reads by itself,
# and the additional delay per rank: if all boxes start at once, one reads and
# the others are connected to it soon.
START_WAIT_S = 0.4
START_STEP_S = 0.15
MAX_START_STEPS = 8

# Maximum age in seconds at which a higher-ranked reader is relied upon.
FRESH_S = 0.9


@dataclasses.dataclass(frozen=True, slots=True)
class PeerReaderState:
    """Reader state of another box.

    Attributes:
        box: The box.
        is_reader: Whether it reads from the store and gets responses.
        age_s: Seconds since its information was confirmed, or None for never.
        link_kb: Bandwidth of its link in kilobytes per second.
    """

    box: str
    is_reader: bool
    age_s: float | None
    link_kb: int = 0


def confirm_interval_s(
    document_bytes: int, link_bytes_s: float, in_grace: bool = False
) -> float:
    """Returns the seconds between two queries of a reader.

    Args:
        document_bytes: Size of the configuration, which each response contains.
        link_bytes_s: Bandwidth of the reader's link in bytes per second.
        in_grace: Whether the reader has to tell when entries of endpoints that
            are still missing after an outage are to be dropped.
    """
    shortest = GRACE_CONFIRM_INTERVAL_S if in_grace else CONFIRM_INTERVAL_S
    paced = document_bytes / (link_bytes_s * CONFIRM_LINK_FRACTION)
    return min(max(shortest, paced), MAX_CONFIRM_INTERVAL_S)


def start_wait_s(rank: int) -> float:
    """Returns the seconds for which a started box waits before it reads.

    Args:
        rank: Its rank among the listed boxes; 0 reads at once.
    """
    if not rank:
        return 0.0
    return START_WAIT_S + START_STEP_S * min(rank, MAX_START_STEPS)


def ranked(links: Mapping[str, int]) -> list[str]:
    """Returns boxes in the order in which they read from the store.

    Args:
        links: The boxes with the bandwidth of their links in kilobytes per
            second.
    """
    order = rendezvous.ranked(links, RANK_KEY)
    order.sort(key=lambda box: links[box], reverse=True)
    return order


class ReaderRole:
    """Decides whether one box reads from the store."""

    def __init__(self, own: str, link_kb: int = 0) -> None:
        """Initializes the role; a newly started box reads.

        Args:
            own: The box's name.
            link_kb: Bandwidth of its link in kilobytes per second.
        """
        self._own = own
        self._link_kb = link_kb
        self._rank = 0
        self._reads = True
        self._reading_since: float | None = None

    @property
    def is_first(self) -> bool:
        """Whether the box has the highest rank in its group."""
        return self._rank == 0

    def decide(
        self,
        peers: Sequence[PeerReaderState],
        own_age_s: float | None,
        now: float,
    ) -> bool:
        """Updates the role; returns whether the box reads from now on.

        Args:
            peers: The connected boxes of its group.
            own_age_s: Seconds since its own information was confirmed, or None.
            now: The current time.
        """
        links = {peer.box: peer.link_kb for peer in peers}
        links[self._own] = self._link_kb
        order = ranked(links)
        self._rank = order.index(self._own)
        if self._reads:
            self._reads = own_age_s is None or self._keeps_reading(
                order, peers, now
            )
        elif self._rank == 0 or self._is_stale(own_age_s):
            self._reads = True
            self._reading_since = now
        return self._reads

    def _is_stale(self, own_age_s: float | None) -> bool:
        limit = STALE_S + STALE_STEP_S * min(self._rank, MAX_STEPS)
        return own_age_s is None or own_age_s > limit

    def _keeps_reading(
        self, order: list[str], peers: Sequence[PeerReaderState], now: float
    ) -> bool:
        if (
            self._reading_since is not None
            and now - self._reading_since < MIN_READING_S
        ):
            return True
        higher_ranked = set(order[: self._rank])
        return not any(
            peer.is_reader and peer.age_s is not None and peer.age_s <= FRESH_S
            for peer in peers
            if peer.box in higher_ranked
        )


# The same limits in a large fleet, where confirmations come down a tree: the
# wave of sums that carries them takes 0.4 s, and all boxes of a rank would read
# at once.
TREE_STALE_S = 2.2
TREE_STALE_STEP_S = 0.15
TREE_MAX_STEPS = 8
TREE_FRESH_S = 1.8


class TreeReaderRole:
    """Decides whether one box of a large fleet reads from the store.

    The root of the tree of boxes reads, and its confirmations come down the
    tree. A box whose information grows stale reads by itself until its parent
    has information that does not come from below.
    """

    def __init__(self) -> None:
        self._reading_since: float | None = None

    def decide(
        self,
        rank: int,
        own_age_s: float | None,
        parent_is_fed: bool,
        now: float,
    ) -> bool:
        """Updates the role; returns whether the box reads from now on.

        Args:
            rank: Rank of the box; 0 for the root.
            own_age_s: Seconds since its information was confirmed, or None.
            parent_is_fed: Whether its parent relies on a box above or reads.
            now: The current time.
        """
        if rank == 0:
            wanted = True
        elif self._reading_since is None:
            wanted = self._is_stale(rank, own_age_s)
        else:
            wanted = not self._may_stop(own_age_s, parent_is_fed, now)
        if not wanted:
            self._reading_since = None
        elif self._reading_since is None:
            self._reading_since = now
        return wanted

    def _is_stale(self, rank: int, own_age_s: float | None) -> bool:
        steps_s = TREE_STALE_STEP_S * min(rank, TREE_MAX_STEPS)
        return own_age_s is None or own_age_s > TREE_STALE_S + steps_s

    def _may_stop(
        self, own_age_s: float | None, parent_is_fed: bool, now: float
    ) -> bool:
        if not parent_is_fed or own_age_s is None or own_age_s > TREE_FRESH_S:
            return False
        return (
            self._reading_since is None
            or now - self._reading_since >= MIN_READING_S
        )
