"""Flow control by the number of frames that a peer has not acknowledged.

Each frame starts with the number of frames that its sender has processed, as an
acknowledgment. Without a limit, status messages that a slow peer has not read
would delay urgent messages: a full socket buffer holds some 400 status
messages, and a box has 36 peers.
"""

import collections
from collections.abc import Callable
import math
import struct

from martenjunction import errors

# Unacknowledged frames at which a peer is sent no more status messages. Two are
# in flight where one side sends every 0.2 s and the other every 0.5 s.
MAX_UNACKED = 3

# The limit before a peer's first acknowledgment in time, and for
# `LATE_PERIOD_S` seconds after one that took more than `LATE_ACK_S` seconds:
# urgent messages wait behind the frames that are in flight to 36 peers. Peers
# that keep up send an acknowledgment within 0.7 s.
MAX_UNACKED_IF_LATE = 1
LATE_ACK_S = 1.2
LATE_PERIOD_S = 10.0

# An acknowledgment is due after this many processed frames, or after this many
# seconds without a frame to the peer if any were processed. It is sent in an
# empty frame if nothing else is queued. Without the time limit, two sides that
# wait for each other's acknowledgment would deadlock.
ACK_AFTER_FRAMES = 2
ACK_AFTER_S = 0.6

_HEADER = struct.Struct(">I")
_COUNTER_MODULUS = 2**32


class FlowControl:
    """Flow control of one connection in both directions."""

    def __init__(self, now: Callable[[], float]) -> None:
        """Initializes the flow control of a new connection.

        Args:
            now: Returns the monotonic time in seconds.
        """
        self._now = now
        self._sent = 0
        self._sent_at: collections.deque[float] = collections.deque()
        self._last_sent_at = now()
        self._late_until = math.inf
        self._acked_by_peer = 0
        self._acked_sent_at: float | None = None
        self._processed = 0
        self._acked_to_peer = 0

    @property
    def acked_sent_at(self) -> float | None:
        """Time at which the last frame that the peer acknowledged was sent."""
        return self._acked_sent_at

    @property
    def last_sent_at(self) -> float:
        """Time of the last frame to the peer, or of the start."""
        return self._last_sent_at

    @property
    def is_open(self) -> bool:
        """Whether the peer keeps up and may be sent status messages."""
        late = self._now() < self._late_until
        limit = MAX_UNACKED_IF_LATE if late else MAX_UNACKED
        return self._sent - self._acked_by_peer < limit

    @property
    def needs_ack(self) -> bool:
        """Whether an acknowledgment to the peer is due."""
        unacked = self._processed - self._acked_to_peer
        if unacked >= ACK_AFTER_FRAMES:
            return True
        return unacked > 0 and self._now() - self._last_sent_at >= ACK_AFTER_S

    def begin_frame(self, has_messages: bool) -> bytes:
        """Returns the header of a frame that is about to be sent.

        Args:
            has_messages: Whether the frame has messages. An empty frame only
                acknowledges and is not counted.
        """
        self._last_sent_at = self._now()
        self._acked_to_peer = self._processed
        if has_messages:
            self._sent += 1
            self._sent_at.append(self._last_sent_at)
        return _HEADER.pack(self._processed % _COUNTER_MODULUS)

    def receive_frame(self, frame: bytes) -> bytes:
        """Processes the header of a received frame and returns the payload.

        Raises:
            PeerError: If the frame is shorter than a header, or acknowledges
                more frames than were sent.
        """
        if len(frame) < _HEADER.size:
            raise errors.PeerError("a frame is shorter than its header")
        [acked] = _HEADER.unpack_from(frame)
        newly_acked = (acked - self._acked_by_peer) % _COUNTER_MODULUS
        if newly_acked > self._sent - self._acked_by_peer:
            raise errors.PeerError("more frames were acknowledged than sent")
        self._acked_by_peer += newly_acked
        now = self._now()
        for _ in range(newly_acked):
            self._acked_sent_at = self._sent_at.popleft()
            if now - self._acked_sent_at > LATE_ACK_S:
                self._late_until = now + LATE_PERIOD_S
            elif self._late_until == math.inf:
                self._late_until = now
        return frame[_HEADER.size :]

    def record_processed(self) -> None:
        """Records that the messages of a frame were processed."""
        self._processed += 1
