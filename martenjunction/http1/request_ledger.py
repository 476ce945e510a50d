"""Accounts for every request whose head a server has read."""

import collections
import enum
import time

from martenjunction.http1 import peer_ends

# Events that are kept of each connection.
KEPT_EVENTS = 10


class End(enum.StrEnum):
    """How a request ended.

    Attributes:
        ANSWERED: Its handler sent a complete response.
        REFUSED: The server responded before the handler had it.
        BROKEN_OFF: Its response ended visibly after its head.
        CLIENT_GONE: The client had ended its sending side, or was not reached.
        UNREAD: Its connection was closed before it was read completely.
        GIVEN_UP: Its connection was closed under it; a final response was sent
            in that moment.
        UNANSWERED: The same, but no response could be sent.
    """

    ANSWERED = "answered"
    REFUSED = "refused"
    BROKEN_OFF = "broken-off"
    CLIENT_GONE = "client-gone"
    UNREAD = "unread"
    GIVEN_UP = "given-up"
    UNANSWERED = "unanswered"


# Ends that no request should have.
UNEXPECTED = frozenset({End.GIVEN_UP, End.UNANSWERED})


class RequestLedger:
    """Counts the requests of a server by how they ended.

    Attributes:
        open: Requests that have not ended.
        ends: Requests that have, by their end.
        ended_twice: Ends that came after the first one of a request.
    """

    def __init__(self) -> None:
        """Initializes a ledger without requests."""
        self.open = 0
        self.ends: collections.Counter[End] = collections.Counter()
        self.ended_twice = 0

    def begin(self) -> "LedgerEntry":
        """Returns the entry of a request whose head was read."""
        self.open += 1
        return LedgerEntry(self)

    def gauges(self) -> dict[str, float]:
        """Returns the counts, by the names of their metrics."""
        return {
            "client_requests_open": float(self.open),
            "client_requests_ended_twice": float(self.ended_twice),
            **{
                f"client_requests_{end.replace('-', '_')}": float(
                    self.ends[end]
                )
                for end in End
            },
        }


class LedgerEntry:
    """One request of the ledger.

    Attributes:
        taken: Whether the handler has it.
        end: How it ended, or None.
    """

    def __init__(self, ledger: RequestLedger) -> None:
        """Initializes the entry of a request that has not ended."""
        self._ledger = ledger
        self.taken = False
        self.end: End | None = None

    def finish(self, end: End) -> None:
        """Records the end of the request; only the first one holds."""
        if self.end is not None:
            self._ledger.ended_twice += 1
            return
        self.end = end
        self._ledger.open -= 1
        self._ledger.ends[end] += 1

    def end_at_close(
        self, peer_end: peer_ends.PeerEnd, started: bool, was_told: bool
    ) -> End:
        """Returns how the request ends as its connection is closed.

        Args:
            peer_end: How the client had ended its sending side.
            started: Whether the head of its response was sent before.
            was_told: Whether a final response was sent in this moment.
        """
        if peer_end is not peer_ends.PeerEnd.OPEN:
            return End.CLIENT_GONE
        if started:
            return End.BROKEN_OFF
        if not self.taken:
            return End.UNREAD
        return End.GIVEN_UP if was_told else End.UNANSWERED


class ConnectionEvents:
    """The last events of a connection, for the log."""

    def __init__(self) -> None:
        """Initializes an empty record."""
        self._events: collections.deque[tuple[float, str]] = collections.deque(
            maxlen=KEPT_EVENTS
        )

    def note(self, name: str) -> None:
        """Records an event."""
        self._events.append((time.monotonic(), name))

    def timeline(self) -> tuple[tuple[float, str], ...]:
        """Returns the events, with the seconds that have passed since each."""
        now = time.monotonic()
        return tuple((now - at, name) for at, name in self._events)
