"""How many frames a peer has not taken, so that no more are sent to it.

Each frame begins with the number of frames that its sender has taken from the
other side. What a peer does not take in time would wait before its next news:
a full socket buffer holds some 400 statuses, and a box has 36 peers.
"""

import collections
from collections.abc import Callable
import math
import struct

from martenjunction import errors

# Frames that a peer has not taken, from which on it is sent no more statuses.
# Two are under way where one side tells each 0.2 s and the other each 0.5 s.
MOST_UNTAKEN = 3

# The same before a peer has taken one in time, and for some seconds after it
# took one late: what 36 peers have under way waits before any news. Peers that
# keep up say so within 0.7 s.
MOST_UNTAKEN_IF_LATE = 1
LATE_S = 1.2
LATE_FOR_S = 10.0

# Frames taken from a peer after which it is told, and seconds without a frame
# to it after which it is told of any; with an empty frame if nothing else is
# to be sent. Without the second, two sides that each wait for the other's word
# would wait for ever.
TOLD_AFTER = 2
TOLD_AFTER_S = 0.6

_HEAD = struct.Struct(">I")
_WRAP = 2**32


class FlowControl:
    """The frames of one connection, both ways."""

    def __init__(self, now: Callable[[], float]) -> None:
        """Makes the control of a connection without frames.

        Args:
            now: Returns seconds on the steady clock.
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
        """Whether the peer keeps up, so that it may be sent statuses."""
        late = self._now() < self._late_until
        most = MOST_UNTAKEN_IF_LATE if late else MOST_UNTAKEN
        return self._sent - self._taken_there < most

    @property
    def owes_word(self) -> bool:
        """Whether the peer has to be told what was taken from it."""
        untold = self._taken_here - self._told
        if untold >= TOLD_AFTER:
            return True
        return untold > 0 and self._now() - self._told_at >= TOLD_AFTER_S

    def begin_frame(self, has_messages: bool) -> bytes:
        """Returns the head of a frame that is sent now.

        Args:
            has_messages: Whether it carries any; an empty one is not counted.
        """
        self._told_at = self._now()
        self._told = self._taken_here
        if has_messages:
            self._sent += 1
            self._sent_at.append(self._told_at)
        return _HEAD.pack(self._taken_here % _WRAP)

    def take_frame(self, frame: bytes) -> bytes:
        """Takes a frame of the peer in; returns what follows its head.

        Raises:
            PeerError: If it has no head, or one that cannot be true.
        """
        if len(frame) < _HEAD.size:
            raise errors.PeerError("a frame without a head")
        [taken] = _HEAD.unpack_from(frame)
        news = (taken - self._taken_there) % _WRAP
        if news > self._sent - self._taken_there:
            raise errors.PeerError("more frames taken than were sent")
        self._taken_there += news
        now = self._now()
        for _ in range(news):
            if now - self._sent_at.popleft() > LATE_S:
                self._late_until = now + LATE_FOR_S
            elif self._late_until == math.inf:
                self._late_until = now
        return frame[_HEAD.size :]

    def note_taken(self) -> None:
        """Notes that the messages of a frame were taken in."""
        self._taken_here += 1
