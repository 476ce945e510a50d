"""Decides which connections of clients stay open as descriptors get few.

Load pattern: thousands of clients connect and then send nothing, or send their
requests slowly, or do not read their answers. Each connection takes a
descriptor, and without descriptors a box reaches neither endpoints nor peers
nor the store. A server therefore has a share of them. At its limit the
connections that have rested longest end, some at a time, and then those whose
heads are not complete; where there are none, or each began a moment ago, new
connections are closed.
"""

import enum
import math

# Parts of a box's descriptors for connections of callers, and for those of each
# further server. Tunnels have a part as well; the rest is for connections to
# endpoints, to peers and to the store, and for files.
CALLERS_FRACTION = 0.5
SERVICE_FRACTION = 0.02

# Minimum number of connections of a server.
MIN_CONNECTIONS = 8

# Seconds for which a connection rests that has carried a request and is not
# ended for others: clients that send regularly keep theirs.
KEPT_REST_S = 1.0

# Seconds after its first byte within which a head is not ended for others: a
# second transmission of its end is still in time.
MAX_HEAD_S = 1.0

# Seconds for which connections may rest while there is little room: their
# clients are told so, and those that come back later connect anew.
SHORT_IDLE_TIMEOUT_S = 1.0

# Part of the limit that is made free at a time, so that the search for
# connections that rest is rare.
BATCH_FRACTION = 1 / 64

# Part of the limit below which there is room again.
ROOM_FRACTION = 0.9

# Seconds for which no connection is searched for after none was found.
SEARCH_INTERVAL_S = 0.05


class State(enum.StrEnum):
    """How much room there is.

    Attributes:
        ROOM: No connection is ended.
        SHORT: Connections that rest or send slow heads are ended.
        FULL: New connections are closed as well.
    """

    ROOM = "room"
    SHORT = "short"
    FULL = "full"


class Event(enum.Enum):
    """What changes the state."""

    ENDED = "ended"
    REFUSED = "refused"
    FELL = "fell"


# Any other event leaves the state unchanged.
_NEXT = {
    (State.ROOM, Event.ENDED): State.SHORT,
    (State.ROOM, Event.REFUSED): State.FULL,
    (State.SHORT, Event.REFUSED): State.FULL,
    (State.SHORT, Event.FELL): State.ROOM,
    (State.FULL, Event.FELL): State.ROOM,
}


def limit(max_descriptors: int, fraction: float) -> int:
    """Returns the most connections of a server."""
    return max(MIN_CONNECTIONS, int(max_descriptors * fraction))


class ConnectionShare:
    """The connections that one server may have."""

    def __init__(self, max_connections: int) -> None:
        """Initializes the share.

        Args:
            max_connections: The most connections that are open at a time.
        """
        self._max_connections = max_connections
        self._batch = max(1, int(max_connections * BATCH_FRACTION))
        self._state = State.ROOM
        self._ended = 0
        self._refused = 0
        self._search_at = 0.0

    @property
    def state(self) -> State:
        """How much room there is."""
        return self._state

    @property
    def ended(self) -> int:
        """Number of connections that were ended for new ones."""
        return self._ended

    @property
    def refused(self) -> int:
        """Number of new connections that were closed."""
        return self._refused

    @property
    def max_idle_timeout_s(self) -> float:
        """The longest idle timeout of connections, in seconds."""
        return math.inf if self._state is State.ROOM else SHORT_IDLE_TIMEOUT_S

    def excess(self, open_count: int, now: float) -> int:
        """Returns how many connections to end for a new one.

        Args:
            open_count: Open connections without the new one.
            now: Seconds on a steady clock.
        """
        if open_count < self._max_connections or now < self._search_at:
            return 0
        return open_count - self._max_connections + self._batch

    def admit(self, open_count: int, ended: int, now: float) -> bool:
        """Returns whether a new connection stays open.

        Args:
            open_count: Open connections without the new one.
            ended: How many were just ended for it.
            now: Seconds on a steady clock.
        """
        self._ended += ended
        if ended:
            self._change(Event.ENDED)
        if open_count < self._max_connections:
            return True
        if now >= self._search_at:
            self._search_at = now + SEARCH_INTERVAL_S
        self._refused += 1
        self._change(Event.REFUSED)
        return False

    def note_closed(self, open_count: int) -> None:
        """Records that a connection was closed.

        Args:
            open_count: Connections that are still open.
        """
        if open_count < self._max_connections * ROOM_FRACTION:
            self._change(Event.FELL)

    def _change(self, event: Event) -> None:
        self._state = _NEXT.get((self._state, event), self._state)
