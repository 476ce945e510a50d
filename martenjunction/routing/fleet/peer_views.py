"""What this box last heard from each peer."""

import dataclasses

from martenjunction import timers
from martenjunction.decisions.boxes import store_readers
from martenjunction.peers import hub
from martenjunction.peers import membership
from martenjunction.routing.messages import peer_messages
from martenjunction.routing.messages import peer_stamps

# Seconds for which what was heard is valid.
LIFETIME_S = 1.2

MS = 0.001


@dataclasses.dataclass(frozen=True, slots=True)
class PeerView:
    """What was last heard from a box, by a status or a stamp.

    Attributes:
        received_at: Time of receipt on the steady clock, to compute the age of
            what it says.
        listened_at: Time of receipt on the clock that excludes stalls of this
            box's event loop, to detect that the box is silent.
        stamp: What the box knows.
        ready: Whether the box accepts clients.
        reaches: Whether its own connections reach endpoints.
        link_kb: Bandwidth of its link in kilobytes per second.
    """

    received_at: float
    listened_at: float
    stamp: peer_stamps.PeerStamp
    ready: bool
    reaches: bool
    link_kb: int


class PeerViews:
    """Keeps what was heard, and tells how old it is."""

    def __init__(self, peers: hub.PeerHub, clock: timers.Timers) -> None:
        """Initializes an empty table.

        Args:
            peers: Connections to the other boxes.
            clock: Provides the time.
        """
        self._peers = peers
        self._timers = clock
        self._views: dict[str, PeerView] = {}

    def record_status(self, box: str, status: peer_messages.BoxStatus) -> None:
        """Records a status."""
        stamp = peer_stamps.PeerStamp(
            status.age_ms, status.version, status.revision, status.reads, False
        )
        self._record(box, stamp, status.ready, status.reaches, status.link_kb)

    def record_stamp(self, box: str, stamp: peer_stamps.PeerStamp) -> None:
        """Records the stamp of a frame."""
        known = self._views.get(box)
        if known is None:
            self._record(box, stamp, False, True, 0)
        else:
            self._record(box, stamp, known.ready, known.reaches, known.link_kb)

    def is_recent(self, box: str) -> bool:
        """Returns whether something came from a connected box lately."""
        known = self._views.get(box)
        return (
            known is not None
            and self._is_valid(known)
            and self._peers.is_connected(box)
        )

    def is_ready(self, box: str) -> bool:
        """Returns whether a box lately said that it accepts clients."""
        return self.is_recent(box) and self._views[box].ready

    def reaches_endpoints(self, box: str) -> bool:
        """Returns whether a ready box lately said that it reaches endpoints."""
        return self.is_ready(box) and self._views[box].reaches

    def version(self, box: str) -> int:
        """Returns the version of a box's configuration; 0 if unknown."""
        known = self._views.get(box)
        return 0 if known is None else known.stamp.version

    def last_heard(self, box: str) -> PeerView | None:
        """Returns what a box last said, however long ago, or None."""
        return self._views.get(box)

    def newest_version(self) -> int | None:
        """Returns the newest version that any box lately reported.

        Returns:
            The version; None if no box was heard lately.
        """
        return max(
            (
                known.stamp.version
                for known in self._views.values()
                if self._is_valid(known)
            ),
            default=None,
        )

    def reader_states(
        self, members: list[membership.Member]
    ) -> list[store_readers.PeerReaderState]:
        """Returns the reader states of the boxes that were heard lately."""
        return [
            self._reader_state(member.box)
            for member in members
            if self.is_recent(member.box)
        ]

    def _reader_state(self, box: str) -> store_readers.PeerReaderState:
        known = self._views[box]
        age_s = None
        if known.stamp.age_ms != peer_stamps.NEVER_CONFIRMED:
            age_s = (
                known.stamp.age_ms * MS + self._timers.now() - known.received_at
            )
        return store_readers.PeerReaderState(
            box, known.stamp.reads, age_s, known.link_kb
        )

    def _record(
        self,
        box: str,
        stamp: peer_stamps.PeerStamp,
        ready: bool,
        reaches: bool,
        link_kb: int,
    ) -> None:
        self._views[box] = PeerView(
            self._timers.now(),
            self._timers.stall_adjusted_now(),
            stamp,
            ready,
            reaches,
            link_kb,
        )

    def _is_valid(self, known: PeerView) -> bool:
        age_s = self._timers.stall_adjusted_now() - known.listened_at
        return age_s <= LIFETIME_S
