"""Reports on closed client connections, for the log."""

from collections.abc import Callable
import dataclasses
import enum

from martenjunction.decisions import rest_times
from martenjunction.http1 import messages
from martenjunction.http1 import peer_ends
from martenjunction.http1 import request_ledger


class CloseReason(enum.StrEnum):
    """Reason for which a client connection was closed."""

    IDLE = "idle-timeout"
    SLOW_HEAD = "header-timeout"
    SLOW_BODY = "body-timeout"
    STOPPED = "stop"
    ANSWER_BROKEN = "answer-broken"
    LAST_ANSWER = "last-answer"
    FRAMING = "excess-framing"
    REFUSED = "request-refused"
    ROOM = "room"
    FAILED = "internal-error"
    CLIENT = "client"


@dataclasses.dataclass(frozen=True, slots=True)
class ClosedConnection:
    """Report on a client connection that was closed.

    Attributes:
        server: Name of the server that accepted it.
        reason: Why it was closed.
        client: The client's IP address and port.
        idle_s: Seconds since its last response, or since it was accepted.
        answered: Number of requests that got a complete response on it.
        in_flight: Whether an accepted request has no complete response.
        bytes_waiting: Whether received bytes of a request are unread.
        received: Bytes that were read from it.
        error: The socket's error that ended it, or "" if there was none, as
            where the client closed it in an orderly way.
        request: A request that was read completely only after the connection
            was closed, or None.
        peer_end: How the client had ended its side by then.
        unanswered: The accepted request that has no complete response, or
            None.
        rest_time: For how long it may rest, and what its client was told, by
            the limits at its last response, or at its acceptance if there was
            none.
        end: How its last request ended, or None if it had none.
        events: Its last events, with the seconds that have passed since.
    """

    server: str
    reason: CloseReason
    client: str
    idle_s: float
    answered: int
    in_flight: bool
    bytes_waiting: bool
    received: int = 0
    error: str = ""
    request: messages.Request | None = None
    peer_end: peer_ends.PeerEnd = peer_ends.PeerEnd.OPEN
    unanswered: messages.Request | None = None
    rest_time: rest_times.RestTime = rest_times.untold(0.0)
    end: request_ledger.End | None = None
    events: tuple[tuple[float, str], ...] = ()


OnClosed = Callable[[ClosedConnection], None]


def ignore_report(closed: ClosedConnection) -> None:
    """Ignores the report."""
