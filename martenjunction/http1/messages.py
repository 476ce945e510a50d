"""Requests, response heads and limits, independent of a connection."""

import dataclasses
from typing import TypeAlias

from martenjunction import http_headers

Headers: TypeAlias = list[tuple[bytes, bytes]]

# A bytearray that was received is passed on as it is, without a copy.
Body: TypeAlias = bytes | bytearray

# Hop-by-hop headers, in lower case.
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


def without(
    headers: Headers,
    dropped: frozenset[bytes],
    end_to_end: frozenset[bytes] = frozenset(),
) -> Headers:
    """Returns headers without given names and without hop-by-hop headers.

    Args:
        headers: Names and values.
        dropped: Names to remove, in lower case.
        end_to_end: Names, in lower case, that the Connection header must not
            list (RFC 9110, section 7.6.1).
    """
    named: set[bytes] = set()
    for key, value in headers:
        if key.lower() == b"connection":
            named.update(part.strip().lower() for part in value.split(b","))
    gone = HOP_BY_HOP | dropped | (named - end_to_end)
    return [(key, value) for key, value in headers if key.lower() not in gone]


@dataclasses.dataclass(slots=True)
class Request:
    """A request that was read completely, unless its body is discarded.

    Attributes:
        method: HTTP method, as received.
        target: Path and query, byte for byte as received.
        headers: Names, as received, and values.
        body: The complete body, without its transfer coding.
        received_at: Monotonic time at which its head was complete.
        reserved: Bytes of memory that were reserved for its body.
        discarded: Whether its body was not kept, because the request is
            refused or for want of memory.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: Body = b""
    received_at: float = 0.0
    reserved: int = 0
    discarded: bool = False

    @property
    def path(self) -> bytes:
        """Target without its query."""
        return self.target.partition(b"?")[0]


@dataclasses.dataclass(slots=True)
class ResponseHead:
    """Status and headers of a response.

    Attributes:
        status: HTTP status.
        headers: Names, as received, and values.
        keep_alive_s: Keep-alive timeout of the server in seconds, or None if
            it announced none.
        closes: Whether the server closes the connection after the response.
        sent_at: Monotonic time at which the last request before the response
            was sent.
    """

    status: int
    headers: Headers
    keep_alive_s: float | None = None
    closes: bool = False
    sent_at: float = 0.0

    def get(self, name: bytes) -> bytes | None:
        """Returns the first value of a header, or None."""
        return header(self.headers, name)

    @property
    def length(self) -> int | None:
        """Length of the body in bytes, or None if it is not announced."""
        if self.get(b"transfer-encoding") is not None:
            return None
        value = self.get(b"content-length")
        return None if value is None else int(value)

    def all(self, name: bytes) -> list[bytes]:
        """Returns all values of a header.

        Args:
            name: The name in lower case.
        """
        return [value for key, value in self.headers if key.lower() == name]


@dataclasses.dataclass(frozen=True, slots=True)
class ClientLimits:
    """Size and time limits for clients.

    Attributes:
        max_header_bytes: Maximum size of a request head.
        max_body_bytes: Maximum size of a request body.
        header_timeout_s: Seconds from the first byte of a head to its last.
        idle_timeout_s: Seconds for which a connection may stay idle.
    """

    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 5.0
    idle_timeout_s: float = 30.0
