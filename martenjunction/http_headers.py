"""Header names and rules for forwarding headers."""

from collections.abc import Iterable
import re

# Headers of the project.
OUTCOME = "X-Martenjunction-Outcome"
KIND = "X-Request-Kind"
REQUEST_ID = "X-Request-Id"
NOT_REPEATABLE = "X-Not-Repeatable"
CLASS = "X-Service-Class"
LABEL_PREFIX = "X-Label-"

# Rate limit of an endpoint, in requests per second over all daemons.
LIMIT = "X-Martenjunction-Limit"

# Headers in general use.
IDEMPOTENCY_KEY = "Idempotency-Key"
RETRY_AFTER = "Retry-After"
LAST_EVENT_ID = "Last-Event-ID"
PRIORITY = "Priority"

# Headers that apply to a single connection (RFC 9110, section 7.6.1).
HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)

# Headers that the next hop sets itself or must not receive.
_REQUEST_DROPPED = frozenset(
    {"host", "content-length", "expect", "authorization"}
)
_RESPONSE_DROPPED = frozenset({"date", "server", "content-length"})

_DECIMAL = re.compile(r"[0-9]{1,15}(\.[0-9]{1,15})?")

Pairs = list[tuple[str, str]]


def _connection_options(pairs: Iterable[tuple[str, str]]) -> set[str]:
    options: set[str] = set()
    for name, value in pairs:
        if name.lower() == "connection":
            options.update(part.strip().lower() for part in value.split(","))
    return options


def _without(pairs: Pairs, excluded: frozenset[str]) -> Pairs:
    dropped = HOP_BY_HOP | excluded | _connection_options(pairs)
    return [(n, v) for n, v in pairs if n.lower() not in dropped]


def endpoint_headers(pairs: Pairs) -> Pairs:
    """Returns the caller's headers to forward to an endpoint."""
    return _without(pairs, _REQUEST_DROPPED)


def caller_headers(pairs: Pairs) -> Pairs:
    """Returns the endpoint's headers to forward to a caller."""
    return _without(pairs, _RESPONSE_DROPPED)


def parse_decimal(value: str) -> float | None:
    """Returns the decimal number in a header such as `Retry-After`.

    Fractions are accepted. Returns None for a date or any other text that is
    not a decimal number.
    """
    text = value.strip()
    return float(text) if _DECIMAL.fullmatch(text) else None
