"""A caller's request once it is checked and classed."""

import dataclasses
from typing import Any

from martenjunction import http_headers
from martenjunction.config import fleet

# Methods that a plain service may be sent twice (RFC 9110, section 9.2.2).
IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "PUT", "DELETE"})


@dataclasses.dataclass(slots=True)
class RoutedRequest:
    """All that the relay needs to know.

    Attributes:
        request_id: Unique in the fleet.
        workspace: The workspace.
        kind: The request kind.
        service: The service that answers it.
        service_class: The class it was given.
        repeatable: Whether it may be sent to an endpoint twice.
        arrived: When it came in, on this daemon's clock.
        prompt_tokens: Estimated length of the prompt.
        expected_tokens: Estimated length of the answer.
        prefix: Hashes of the prompt's leading blocks.
        zones: Availability zones that the policy prefers.
        idempotency_key: The caller's key, or an empty string.
        chat: The parsed body of a chat request, or None.
        plain: The call to a plain service, or None.
    """

    request_id: str
    workspace: str
    kind: str
    service: fleet.Service
    service_class: fleet.ServiceClass
    repeatable: bool
    arrived: float
    prompt_tokens: int = 1
    expected_tokens: float = 1.0
    prefix: tuple[int, ...] = ()
    zones: tuple[str, ...] = ()
    idempotency_key: str = ""
    chat: dict[str, Any] | None = None
    plain: "PlainCall | None" = None


@dataclasses.dataclass(slots=True, frozen=True)
class PlainCall:
    """A call to a plain service, as the caller made it."""

    method: str
    path: str
    headers: http_headers.Pairs
    body: bytes | None
