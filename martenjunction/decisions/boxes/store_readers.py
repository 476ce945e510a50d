"""Election of the boxes that read from the store.

One box of a group reads and the others query it, so that store calls do not
grow with the fleet. No agreement is needed: a box without fresh information for
too long reads by itself, and a second reader only costs some calls. Boxes with
fast links are preferred because a reader receives the whole configuration at
each confirmation.
"""

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
# configuration, and the fraction of its link that the responses may use: 370 kB
# every 0.6 s saturate a link of 5 Mbit/s.
CONFIRM_INTERVAL_S = 0.6
MAX_CONFIRM_INTERVAL_S = 3.0
CONFIRM_LINK_FRACTION = 0.2

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


def confirm_interval_s(document_bytes: int, link_bytes_s: float) -> float:
    """Returns the seconds between two queries of a reader.

    Args:
        document_bytes: Size of the configuration, which each response contains.
        link_bytes_s: Bandwidth of the reader's link in bytes per second.
    """
    paced = document_bytes / (link_bytes_s * CONFIRM_LINK_FRACTION)
    return min(max(CONFIRM_INTERVAL_S, paced), MAX_CONFIRM_INTERVAL_S)


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
        order = rendezvous.ranked(links, RANK_KEY)
        order.sort(key=lambda box: links[box], reverse=True)
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
