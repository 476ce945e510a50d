"""Notices of an endpoint about itself in the headers of any response."""

import dataclasses

from martenjunction import http_headers
from martenjunction.http1 import messages

_LEAVING = b"server-leaving"
_RETRY_AFTER = b"retry-after"
_LIMIT = b"server-limit"
_BRITTLE = b"server-brittle"
_ENDPOINT_ID = b"martenjunction-replica-id"
_REQUEST_ID = b"martenjunction-attempt-id"

# Statuses with which an endpoint rejects a request and may ask for back-off.
_REJECTION_STATUSES = frozenset({429, 503})

# Status of an endpoint that is not the one that the request was meant for.
_MISDIRECTED = 421


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointNotice:
    """The notices in the headers of a response.

    Attributes:
        is_leaving: Whether the endpoint must not be sent any more requests.
        backoff_s: Seconds of back-off requested from this box; 0 for none.
        limit_per_s: Rate limit of the endpoint in requests per second from all
            boxes together; None if there is no valid one.
        has_no_limit: Whether the response answers a request and has no limit.
        rejections_per_s: Rejections a second for want of room, of requests of
            all boxes, beyond which the endpoint crashes; None if there is no
            valid number.
        is_not_brittle: Whether the response answers a request and names no such
            number.
        unreadable: A malformed value, for the log; empty if there is none.
    """

    is_leaving: bool = False
    backoff_s: float = 0.0
    limit_per_s: float | None = None
    has_no_limit: bool = False
    rejections_per_s: float | None = None
    is_not_brittle: bool = False
    unreadable: str = ""


NO_NOTICE = EndpointNotice()


def is_from_other_endpoint(head: messages.ResponseHead, endpoint: str) -> bool:
    """Returns whether a response comes from another endpoint.

    Addresses may be reused by endpoints of other services.

    Args:
        head: The head of the response.
        endpoint: Id of the requested endpoint in its entry.
    """
    sender = head.get(_ENDPOINT_ID)
    if head.status == _MISDIRECTED:
        return True
    return sender is not None and sender != endpoint.encode()


def notice_of(head: messages.ResponseHead, endpoint: str) -> EndpointNotice:
    """Decodes the notices in a response.

    A back-off is a decimal number of seconds; dates are not supported. If a
    header has several values, the most restrictive one applies.

    Args:
        head: The head of the response.
        endpoint: Id of the requested endpoint in its entry.

    Returns:
        The notices, or `NO_NOTICE` if another endpoint responded at the
        address.
    """
    if is_from_other_endpoint(head, endpoint):
        return NO_NOTICE
    malformed: list[bytes] = []
    leaves = _is_leaving(head, malformed)
    rest_s = 0.0
    if head.status in _REJECTION_STATUSES:
        rest_s = max(_decimals(head, _RETRY_AFTER, malformed), default=0.0)
    limits = _decimals(head, _LIMIT, malformed)
    rejections = _decimals(head, _BRITTLE, malformed)
    answers_request = head.get(_REQUEST_ID) is not None
    return EndpointNotice(
        leaves,
        rest_s,
        min(limits, default=None),
        head.get(_LIMIT) is None and answers_request,
        min(rejections, default=None),
        head.get(_BRITTLE) is None and answers_request,
        malformed[-1][:64].decode("latin-1") if malformed else "",
    )


def _is_leaving(head: messages.ResponseHead, malformed: list[bytes]) -> bool:
    value = (head.get(_LEAVING) or b"").strip()
    if value not in (b"", b"0", b"1"):
        malformed.append(value)
    return value == b"1"


def _decimals(
    head: messages.ResponseHead, name: bytes, malformed: list[bytes]
) -> list[float]:
    """Returns the numbers in a header and collects malformed values."""
    numbers = []
    for value in head.all(name):
        number = http_headers.parse_decimal(value.decode("latin-1"))
        if number is None:
            malformed.append(value)
        else:
            numbers.append(number)
    return numbers
