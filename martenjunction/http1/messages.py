"""Requests and answers as data, free of any connection."""

import dataclasses
from typing import TypeAlias

from martenjunction import http_headers

Headers: TypeAlias = list[tuple[bytes, bytes]]

# Headers that concern one connection only, as they stand on the wire.
HOP_BY_HOP = frozenset(name.encode() for name in http_headers.HOP_BY_HOP)


def header(headers: Headers, name: bytes) -> bytes | None:
    """Returns the first value of a header, or None.

    Args:
        headers: Names and values; names in any case.
        name: The name in lower case.
    """
    for key, value in headers:
        if key.lower() == name:
            return value
    return None


def without(headers: Headers, dropped: frozenset[bytes]) -> Headers:
    """Returns headers less some names and those of the connection.

    Args:
        headers: Names and values.
        dropped: Names in lower case.
    """
    named: set[bytes] = set()
    for key, value in headers:
        if key.lower() == b"connection":
            named.update(part.strip().lower() for part in value.split(b","))
    gone = HOP_BY_HOP | dropped | named
    return [(key, value) for key, value in headers if key.lower() not in gone]


@dataclasses.dataclass(slots=True)
class Request:
    """A request that was read in full.

    Attributes:
        method: As sent.
        target: Path and query, byte for byte as sent.
        headers: Names as sent, values.
        body: The whole body, without its transfer coding.
        received_at: Steady clock, when its head was complete.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes = b""
    received_at: float = 0.0

    @property
    def path(self) -> bytes:
        """The target without its query."""
        return self.target.partition(b"?")[0]


@dataclasses.dataclass(slots=True)
class ResponseHead:
    """Status and headers of an answer.

    Attributes:
        status: The HTTP status.
        headers: Names as sent, values.
        keep_alive_s: Seconds for which the server keeps the connection idle,
            or None if it did not say.
        closes: Whether the server ends the connection after the answer.
        asked_at: Steady clock when the request was sent that it came after.
    """

    status: int
    headers: Headers
    keep_alive_s: float | None = None
    closes: bool = False
    asked_at: float = 0.0

    def get(self, name: bytes) -> bytes | None:
        """Returns the first value of a header, or None."""
        return header(self.headers, name)

    def all(self, name: bytes) -> list[bytes]:
        """Returns all values of a header.

        Args:
            name: The name in lower case.
        """
        return [value for key, value in self.headers if key.lower() == name]


@dataclasses.dataclass(frozen=True, slots=True)
class ClientLimits:
    """What clients may send, and how long they may take.

    Attributes:
        max_header_bytes: Largest request head.
        max_body_bytes: Largest body.
        header_timeout_s: Seconds from a head's first byte to its last.
        idle_timeout_s: Seconds for which a kept connection may rest.
    """

    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 5.0
    idle_timeout_s: float = 30.0
