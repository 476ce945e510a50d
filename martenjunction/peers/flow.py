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
MOST_UNTAKEN = 3

# The limit before a peer's first acknowledgment in time, and for `LATE_FOR_S`
# seconds after one that took more than `LATE_S` seconds: urgent messages wait
# behind the frames that are in flight to 36 peers. Peers that keep up send an
# acknowledgment within 0.7 s.
MOST_UNTAKEN_IF_LATE = 1
LATE_S = 1.2
LATE_FOR_S = 10.0

# An acknowledgment is due after this many processed frames, or after this many
# seconds without a frame to the peer if any were processed. It is sent in an
# empty frame if nothing else is queued. Without the time limit, two sides that
# wait for each other's acknowledgment would deadlock.
TOLD_AFTER = 2
TOLD_AFTER_S = 0.6

_HEAD = struct.Struct(">I")
_WRAP = 2**32


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
        self._told_at = now()
        self._late_until = math.inf
        self._taken_there = 0
        self._taken_here = 0
        self._told = 0

    @property
    def is_open(self) -> bool:
        """Whether the peer keeps up and may be sent status messages."""
        late = self._now() < self._late_until
        most = MOST_UNTAKEN_IF_LATE if late else MOST_UNTAKEN
        return self._sent - self._taken_there < most

    @property
    def owes_word(self) -> bool:
        """Whether an acknowledgment to the peer is due."""
        untold = self._taken_here - self._told
        if untold >= TOLD_AFTER:
            return True
        return untold > 0 and self._now() - self._told_at >= TOLD_AFTER_S

    def begin_frame(self, has_messages: bool) -> bytes:
        """Returns the header of a frame that is about to be sent.

        Args:
            has_messages: Whether the frame has messages. An empty frame only
                acknowledges and is not counted.
        """
        self._told_at = self._now()
        self._told = self._taken_here
        if has_messages:
            self._sent += 1
            self._sent_at.append(self._told_at)
        return _HEAD.pack(self._taken_here % _WRAP)

    def take_frame(self, frame: bytes) -> bytes:
        """Processes the header of a received frame and returns the payload.

        Raises:
            PeerError: If the frame is shorter than a header, or acknowledges
                more frames than were sent.
        """
        if len(frame) < _HEAD.size:
            raise errors.PeerError("a frame is shorter than its header")
        [taken] = _HEAD.unpack_from(frame)
        news = (taken - self._taken_there) % _WRAP
        if news > self._sent - self._taken_there:
            raise errors.PeerError("more frames were acknowledged than sent")
        self._taken_there += news
        now = self._now()
        for _ in range(news):
            if now - self._sent_at.popleft() > LATE_S:
                self._late_until = now + LATE_FOR_S
            elif self._late_until == math.inf:
                self._late_until = now
        return frame[_HEAD.size :]

    def note_taken(self) -> None:
        """Records that the messages of a frame were processed."""
        self._taken_here += 1
