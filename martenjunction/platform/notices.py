"""What an endpoint says of itself in the head of any answer."""

import dataclasses

from martenjunction import http_headers
from martenjunction.http1 import messages

_LEAVING = b"server-leaving"
_REST = b"retry-after"
_LIMIT = b"server-limit"
_ENDPOINT = b"martenjunction-replica-id"
_REQUEST = b"martenjunction-attempt-id"

# Statuses with which an endpoint turns work away and may ask for rest.
_TURNED_AWAY = frozenset({429, 503})

# Answered by an endpoint that is not the one that was meant.
_MISDIRECTED = 421


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointNotice:
    """What the head of one answer says of the endpoint that gave it.

    Attributes:
        leaves: Whether it gets no more work, for good.
        rest_s: Seconds for which it wants nothing from this box; 0 for none.
        limit_per_s: Requests a second that it takes from all boxes together;
            None where it names none that can be read.
        unlimited: Whether it answers a request and names no limit.
        unreadable: A value that says neither, for the log; empty for none.
    """

    leaves: bool = False
    rest_s: float = 0.0
    limit_per_s: float | None = None
    unlimited: bool = False
    unreadable: str = ""


NOTHING = EndpointNotice()


def is_of_another(head: messages.ResponseHead, endpoint: str) -> bool:
    """Returns whether another endpoint than the one that was asked answers.

    Addresses are used again by other services' endpoints.

    Args:
        head: The head of the answer.
        endpoint: Id of the endpoint in its entry.
    """
    named = head.get(_ENDPOINT)
    if head.status == _MISDIRECTED:
        return True
    return named is not None and named != endpoint.encode()


def notice_of(head: messages.ResponseHead, endpoint: str) -> EndpointNotice:
    """Returns what an answer says of the endpoint that was asked.

    Nothing, where another endpoint answers at its address. A time of rest is
    a number of seconds, of which there may be fractions; a date is none. Of
    several values the one that binds more holds.

    Args:
        head: The head of the answer.
        endpoint: Id of the endpoint in its entry.
    """
    if is_of_another(head, endpoint):
        return NOTHING
    unreadable: list[bytes] = []
    leaves = _says_leaving(head, unreadable)
    rest_s = 0.0
    if head.status in _TURNED_AWAY:
        rest_s = max(_decimals(head, _REST, unreadable), default=0.0)
    limits = _decimals(head, _LIMIT, unreadable)
    return EndpointNotice(
        leaves,
        rest_s,
        min(limits, default=None),
        head.get(_LIMIT) is None and head.get(_REQUEST) is not None,
        unreadable[-1][:64].decode("latin-1") if unreadable else "",
    )


def _says_leaving(head: messages.ResponseHead, unreadable: list[bytes]) -> bool:
    value = (head.get(_LEAVING) or b"").strip()
    if value not in (b"", b"0", b"1"):
        unreadable.append(value)
    return value == b"1"


def _decimals(
    head: messages.ResponseHead, name: bytes, unreadable: list[bytes]
) -> list[float]:
    """Returns the numbers of a header; notes what is none."""
    numbers = []
    for value in head.all(name):
        number = http_headers.decimal_of(value.decode("latin-1"))
        if number is None:
            unreadable.append(value)
        else:
            numbers.append(number)
    return numbers
