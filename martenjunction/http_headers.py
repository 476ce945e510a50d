"""Header names, and which headers pass through."""

from collections.abc import Iterable
import re

# Of the project.
OUTCOME = "X-Martenjunction-Outcome"
KIND = "X-Request-Kind"
REQUEST_ID = "X-Request-Id"
NOT_REPEATABLE = "X-Not-Repeatable"
CLASS = "X-Service-Class"
LABEL_PREFIX = "X-Label-"

# Requests a second that an endpoint takes from all daemons together.
LIMIT = "X-Martenjunction-Limit"

# Of the field.
IDEMPOTENCY_KEY = "Idempotency-Key"
RETRY_AFTER = "Retry-After"
LAST_EVENT_ID = "Last-Event-ID"
PRIORITY = "Priority"

# Headers that concern one connection only (RFC 9110, section 7.6.1).
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

# Headers that the next hop sets itself, or must not see.
_REQUEST_OWN = frozenset({"host", "content-length", "expect", "authorization"})
_RESPONSE_OWN = frozenset({"date", "server", "content-length"})

_DECIMAL = re.compile(r"[0-9]{1,15}(\.[0-9]{1,15})?")

Pairs = list[tuple[str, str]]


def _named_by_connection(pairs: Iterable[tuple[str, str]]) -> set[str]:
    named: set[str] = set()
    for name, value in pairs:
        if name.lower() == "connection":
            named.update(part.strip().lower() for part in value.split(","))
    return named


def _pass_on(pairs: Pairs, own: frozenset[str]) -> Pairs:
    dropped = HOP_BY_HOP | own | _named_by_connection(pairs)
    return [(n, v) for n, v in pairs if n.lower() not in dropped]


def to_endpoint(pairs: Pairs) -> Pairs:
    """Returns the caller's headers that an endpoint gets."""
    return _pass_on(pairs, _REQUEST_OWN)


def to_caller(pairs: Pairs) -> Pairs:
    """Returns the endpoint's headers that a caller gets."""
    return _pass_on(pairs, _RESPONSE_OWN)


def decimal_of(value: str) -> float | None:
    """Returns the decimal number that a header tells, such as `Retry-After`.

    Fractions are taken; a date is not, nor is anything else that is no number.
    """
    text = value.strip()
    return float(text) if _DECIMAL.fullmatch(text) else None
