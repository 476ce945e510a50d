"""Requests of callers after validation and classification."""

import dataclasses
from typing import Any

from martenjunction import http_headers
from martenjunction.config import fleet

# Methods whose requests may be retried (RFC 9110, section 9.2.2).
IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "PUT", "DELETE"})


@dataclasses.dataclass(slots=True)
class RoutedRequest:
    """A validated and classified request.

    Attributes:
        request_id: Unique in the fleet.
        workspace: The workspace.
        kind: The request kind.
        service: The service that handles it.
        service_class: The service class assigned to it.
        repeatable: Whether it may be executed more than once.
        arrived: Time of arrival, on this daemon's clock.
        prompt_tokens: Estimated length of the prompt in tokens.
        expected_tokens: Estimated length of the response.
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
