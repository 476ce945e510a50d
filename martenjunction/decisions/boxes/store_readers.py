"""Which boxes read from the store, so that calls do not grow with the fleet.

One box of a group reads; the others ask it. There is no agreement and none is
needed: a box that hears nothing fresh for too long reads for itself, and two
readers cost some calls and nothing else. Boxes with wide links go first: a
reader takes the whole configuration in at each confirmation.
"""

from collections.abc import Sequence
import dataclasses

from martenjunction.decisions import rendezvous

# The key under which boxes are ranked.
RANK_KEY = "store reader"

# Age in seconds of what a box knows at which it reads for itself, and by how
# much each further rank waits longer, up to a rank. A reader confirms each
# 0.6 s and is asked each 0.3 s, so ages stay below a second; changes must be
# in force within two.
STALE_S = 1.1
STALE_STEP_S = 0.1
LAST_STEP = 5

# Seconds for which a box goes on reading once it has begun in place of another
# one. One that just started stops as soon as it can rely on another.
LEAST_READING_S = 3.0

# Seconds between two questions of a reader for the newest configuration, at
# least and at most, and the part of its link that their answers may take: 370
# kB each 0.6 s fill a link of 5 Mbit/s.
CONFIRM_INTERVAL_S = 0.6
LONGEST_INTERVAL_S = 3.0
CONFIRM_LINK_PART = 0.2

# Age in seconds up to which a better ranked reader is relied upon.
FRESH_S = 0.9


@dataclasses.dataclass(frozen=True, slots=True)
class PeerAge:
    """What another box says of its reading.

    Attributes:
        box: The box.
        reads: Whether it reads from the store and is answered.
        age_s: Seconds since what it knows was confirmed, or None for never.
        link_kb: Kilobytes a second that its link carries.
    """

    box: str
    reads: bool
    age_s: float | None
    link_kb: int = 0


def confirm_interval_s(document_bytes: int, link_bytes_s: float) -> float:
    """Returns the seconds between two questions of a reader.

    Args:
        document_bytes: Size of the configuration, which each answer brings.
        link_bytes_s: Bytes a second that the reader's link carries.
    """
    paced = document_bytes / (link_bytes_s * CONFIRM_LINK_PART)
    return min(max(CONFIRM_INTERVAL_S, paced), LONGEST_INTERVAL_S)


class ReaderRole:
    """Whether one box reads from the store."""

    def __init__(self, own: str, link_kb: int = 0) -> None:
        """Makes a role; a box that just started reads.

        Args:
            own: The box's name.
            link_kb: Kilobytes a second that its link carries.
        """
        self._own = own
        self._link_kb = link_kb
        self._rank = 0
        self._reads = True
        self._since: float | None = None

    @property
    def first(self) -> bool:
        """Whether the box is the first of its group."""
        return self._rank == 0

    def decide(
        self, peers: Sequence[PeerAge], own_age_s: float | None, now: float
    ) -> bool:
        """Returns whether the box reads from now on.

        Args:
            peers: The other boxes of its group that it is connected to.
            own_age_s: Seconds since what it knows was confirmed, or None.
            now: The current time.
        """
        links = {peer.box: peer.link_kb for peer in peers}
        links[self._own] = self._link_kb
        order = rendezvous.ranked(links, RANK_KEY)
        order.sort(key=lambda box: links[box], reverse=True)
        self._rank = order.index(self._own)
        if self._reads:
            self._reads = own_age_s is None or self._keeps_reading(
                order, peers, now
            )
        elif self._rank == 0 or self._is_stale(own_age_s):
            self._reads = True
            self._since = now
        return self._reads

    def _is_stale(self, own_age_s: float | None) -> bool:
        limit = STALE_S + STALE_STEP_S * min(self._rank, LAST_STEP)
        return own_age_s is None or own_age_s > limit

    def _keeps_reading(
        self, order: list[str], peers: Sequence[PeerAge], now: float
    ) -> bool:
        if self._since is not None and now - self._since < LEAST_READING_S:
            return True
        better = set(order[: self._rank])
        return not any(
            peer.reads and peer.age_s is not None and peer.age_s <= FRESH_S
            for peer in peers
            if peer.box in better
        )
