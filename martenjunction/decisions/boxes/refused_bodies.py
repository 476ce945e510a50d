"""Decides how much of the bodies of refused requests is read and dropped.

Load pattern: clients go on to send large bodies after their refusal. A client
whose connection is closed while it sends may lose the response, and one that
sends without end would be read for ever. The rest of a body is therefore read
at a limited rate, as long as its end comes in time at the rate at which the
client sends. All clients share a second rate; those that were refused first
are read first, so that some get to their end however many there are. One whose
turn does not come for as long as outside a body is given up.

A body of unknown length may have no end, so only a few of them are read on for
at a time, up to the size that any body may have. Others, and those that were
refused for lack of memory, are treated like what is sent outside a body.
"""

import enum

# Seconds between two reads of a connection.
READ_INTERVAL_S = 0.05

# What is read at a time of one connection, and of all connections, in bytes.
READ_BYTES = 256 * 1024
SHARED_READ_BYTES = 16 * 1024 * 1024

# Seconds within which the rest of a body has to arrive.
MAX_BODY_S = 10.0

# Most bodies of unknown length that a server reads on for at a time.
MAX_OPEN_BODIES = 8

# Maximum size in bytes and duration in seconds of what is dropped outside a
# body, seconds after which the rate of a client is judged, and for which it may
# stay unread or send nothing of a body of unknown length.
MAX_DROPPED_BYTES = 256 * 1024
MAX_DROP_S = 1.0


class Phase(enum.Enum):
    """What a refused client is waited for.

    Attributes:
        BODY: The rest of its body.
        OPEN: The rest of its body, whose length is not known.
        CLOSE: It reads the response and closes the connection.
        ENDED: Nothing.
    """

    BODY = "body"
    OPEN = "open"
    CLOSE = "close"
    ENDED = "ended"


class Event(enum.Enum):
    """What changes the phase."""

    SENT = "sent"
    EXCESS = "excess"
    EXPIRED = "expired"
    LEFT = "left"


# Any other event leaves the phase unchanged.
_NEXT = {
    (Phase.BODY, Event.SENT): Phase.CLOSE,
    (Phase.BODY, Event.EXPIRED): Phase.ENDED,
    (Phase.BODY, Event.LEFT): Phase.ENDED,
    (Phase.OPEN, Event.SENT): Phase.CLOSE,
    (Phase.OPEN, Event.EXCESS): Phase.CLOSE,
    (Phase.OPEN, Event.EXPIRED): Phase.ENDED,
    (Phase.OPEN, Event.LEFT): Phase.ENDED,
    (Phase.CLOSE, Event.EXPIRED): Phase.ENDED,
    (Phase.CLOSE, Event.LEFT): Phase.ENDED,
}

_IN_BODY = frozenset({Phase.BODY, Phase.OPEN})


class RefusedBody:
    """The rest of the body of one refused request."""

    def __init__(self, rest: int, now: float, is_known: bool = True) -> None:
        """Initializes it as its request was refused.

        Args:
            rest: Bytes of the body that may still come; 0 outside a body.
            now: Seconds on a steady clock.
            is_known: Whether the length of the body is known.
        """
        self._rest = rest
        self._began_at = now
        self._dropped = 0
        self._read_at = now
        self._received_at = now
        # Seconds in which the client could send as fast as it is read.
        self._read_s = 0.0
        self._phase = Phase.CLOSE
        if rest > 0:
            self._phase = Phase.BODY if is_known else Phase.OPEN
        self._readable = rest + MAX_DROPPED_BYTES
        limit_s = MAX_BODY_S if rest > 0 else MAX_DROP_S
        self._ends_at = now + limit_s

    @property
    def phase(self) -> Phase:
        """What the client is waited for."""
        return self._phase

    @property
    def dropped(self) -> int:
        """Bytes that were read and dropped."""
        return self._dropped

    def open_for(self, now: float) -> float:
        """Returns the seconds since the request was refused."""
        return now - self._began_at

    def grant(self, shared: int) -> int:
        """Returns how many bytes to read next.

        Args:
            shared: What is left to all connections, in bytes.
        """
        return max(0, min(READ_BYTES, shared, self._readable - self._dropped))

    def note_read(self, size: int, now: float) -> None:
        """Takes in a read.

        Args:
            size: Bytes that were read.
            now: Seconds on a steady clock.
        """
        self._dropped += size
        self._read_at = now
        self._read_s += READ_INTERVAL_S
        if size:
            self._received_at = now
        if self._phase in _IN_BODY and self._dropped >= self._rest:
            self._await_close(now)
        elif self._phase is Phase.BODY and self._is_late():
            self._change(Event.EXPIRED)

    def note_sent(self, now: float) -> None:
        """Takes in that the client sends nothing more; some may be unread."""
        if self._phase in _IN_BODY:
            self._await_close(now)
        self._readable = self._dropped

    def note_excess(self, now: float) -> None:
        """Takes in that enough bodies of unknown length are read on for."""
        self._change(Event.EXCESS)
        self._readable = MAX_DROPPED_BYTES
        self.shorten(MAX_DROP_S, now)

    def note_left(self) -> None:
        """Takes in that the connection has ended."""
        self._change(Event.LEFT)

    def note_time(self, now: float) -> None:
        """Takes in the time, in seconds on a steady clock."""
        ends_at = min(self._ends_at, self._read_at + MAX_DROP_S)
        if self._phase is Phase.OPEN:
            ends_at = min(ends_at, self._received_at + MAX_DROP_S)
        if now >= ends_at:
            self._change(Event.EXPIRED)

    def shorten(self, seconds: float, now: float) -> None:
        """Ends it after some seconds at the latest."""
        self._ends_at = min(self._ends_at, now + seconds)

    def _await_close(self, now: float) -> None:
        self._change(Event.SENT)
        self.shorten(MAX_DROP_S, now)

    def _is_late(self) -> bool:
        """Whether the body takes too long at the client's rate."""
        needed = self._rest * self._read_s / MAX_BODY_S
        return self._read_s >= MAX_DROP_S and self._dropped < needed

    def _change(self, event: Event) -> None:
        self._phase = _NEXT.get((self._phase, event), self._phase)
