"""Why connections from clients end, as told to whoever keeps the log."""

from collections.abc import Callable
import dataclasses
import enum

from martenjunction.http1 import messages


class CloseReason(enum.StrEnum):
    """Who ended a connection from a client, and why."""

    IDLE = "idle-timeout"
    SLOW_HEAD = "header-timeout"
    SLOW_BODY = "body-timeout"
    STOPPED = "stop"
    ANSWER_BROKEN = "answer-broken"
    LAST_ANSWER = "last-answer"
    REFUSED = "request-refused"
    FAILED = "internal-error"
    CLIENT = "client"


@dataclasses.dataclass(frozen=True, slots=True)
class ClosedConnection:
    """How a connection from a client ended.

    Attributes:
        server: Name of the server that it came to.
        reason: Why it ended.
        client: The client's IP address and port.
        rested_s: Seconds since its last answer, or since it was accepted.
        answered: Requests that got a whole answer on it.
        under_way: Whether a request was taken from it and has no whole answer.
        bytes_waiting: Whether bytes of a request had come that nobody read.
        request: A request that was read in full when the connection had
            already ended, or None.
    """

    server: str
    reason: CloseReason
    client: str
    rested_s: float
    answered: int
    under_way: bool
    bytes_waiting: bool
    request: messages.Request | None = None


OnClosed = Callable[[ClosedConnection], None]


def ignore(closed: ClosedConnection) -> None:
    """Tells nobody."""
