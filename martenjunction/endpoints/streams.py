"""A streamed response with a bounded buffer."""

import asyncio
import dataclasses
from typing import Any

import pycurl

from martenjunction import errors
from martenjunction import fair_turns
from martenjunction import http_headers

# Bytes that are buffered for a slow caller before the transfer is paused.
MAX_BUFFERED_BYTES = 64 * 1024

# Pieces that are buffered before the transfer is paused. The client library
# passes each chunk of a body as a piece, however small.
MAX_BUFFERED_PIECES = 64

# Maximum size of the response headers, in bytes.
MAX_HEADER_BYTES = 64 * 1024


@dataclasses.dataclass(slots=True)
class ResponseHead:
    """Status and headers of a response."""

    status: int
    headers: http_headers.Pairs

    def get(self, name: str) -> str | None:
        """Returns the first header of a name, or None."""
        wanted = name.lower()
        for key, value in self.headers:
            if key.lower() == wanted:
                return value
        return None

    @property
    def backoff_s(self) -> float:
        """Back-off in seconds that the endpoint requests, or 0."""
        value = self.get(http_headers.RETRY_AFTER)
        return (
            0.0 if value is None else http_headers.parse_decimal(value) or 0.0
        )

    @property
    def limit_per_s(self) -> float | None:
        """Rate limit of the endpoint in requests per second, or None."""
        named = self.get(http_headers.LIMIT)
        return None if named is None else http_headers.parse_decimal(named)


class EndpointStream:
    """Response to a request, as read by the entry daemon.

    The HTTP client calls the `on_` methods; the relay awaits `head` and `read`.
    """

    def __init__(self) -> None:
        self._curl: Any = None
        self._chunks: list[bytes] = []
        self._size = 0
        self._paused = False
        self._wake = asyncio.Event()
        self._turns = fair_turns.TurnBudget()
        self._head: ResponseHead | None = None
        self._head_lines: list[bytes] = []
        self._head_size = 0
        self._ended = False
        self._error: errors.EndpointError | None = None
        self.aborted = False
        self.request_bytes = 0

    # Called by the HTTP client.

    def on_start(self, curl: Any) -> None:
        """Stores the transfer handle, which is needed for flow control."""
        self._curl = curl

    def on_header(self, line: bytes) -> int | None:
        """Handles a header line."""
        self._head_size += len(line)
        if self._head_size > MAX_HEADER_BYTES:
            return 0
        if not line.endswith(b"\n"):
            # libcurl also hands over what came before the connection ended.
            return 0
        if line.startswith(b"HTTP/"):
            self._head_lines = [line]
        elif line.strip():
            self._head_lines.append(line)
        else:
            self._parse_head()
        return None

    def on_body(self, chunk: bytes) -> int:
        """Buffers a part of the body, or pauses the transfer."""
        if self.aborted:
            return 0
        if (
            self._size >= MAX_BUFFERED_BYTES
            or len(self._chunks) >= MAX_BUFFERED_PIECES
        ):
            self._paused = True
            return int(pycurl.WRITEFUNC_PAUSE)
        self._chunks.append(chunk)
        self._size += len(chunk)
        self._wake.set()
        return len(chunk)

    def on_end(self, error: errors.EndpointError | None) -> None:
        """Handles the end of the transfer."""
        self._curl = None
        self._ended = True
        self._error = error
        self._wake.set()

    @property
    def transfer(self) -> Any:
        """The transfer handle of the library, or None after its end."""
        return self._curl

    # Called by the relay.

    @property
    def buffered(self) -> int:
        """Number of buffered bytes of the body."""
        return self._size

    @property
    def ended(self) -> bool:
        """Whether the transfer has ended."""
        return self._ended

    @property
    def received_head(self) -> ResponseHead | None:
        """Status and headers, or None if not yet received."""
        return self._head

    async def head(self) -> ResponseHead:
        """Waits for the status and headers.

        Raises:
            EndpointError: If the transfer ends before them.
        """
        while self._head is None:
            if self._ended:
                raise self._error or errors.EndpointBrokenError(
                    "empty response"
                )
            await self._wait()
        return self._head

    async def read(self) -> bytes:
        """Waits for data and returns all buffered bytes of the body.

        Returns:
            The bytes, or empty bytes at the end of a complete response.

        Raises:
            EndpointError: If the transfer failed.
        """
        await self._turns.pause_if_spent()
        while not self._chunks:
            if self._ended:
                if self._error is not None:
                    raise self._error
                return b""
            await self._wait()
        data = b"".join(self._chunks)
        self._turns.spend(fair_turns.PART_COST * len(self._chunks))
        self._chunks.clear()
        self._size = 0
        self._resume()
        return data

    async def _wait(self) -> None:
        self._wake.clear()
        await self._wake.wait()

    def _resume(self) -> None:
        if self._paused and self._curl is not None:
            self._paused = False
            try:
                self._curl.pause(pycurl.PAUSE_CONT)
            except pycurl.error:
                # The transfer has failed; `on_end` is called next.
                return

    def _parse_head(self) -> None:
        if not self._head_lines:
            return
        status = int(self._head_lines[0].split(None, 2)[1])
        if 100 <= status < 200:
            self._head_lines = []
            return
        pairs = []
        for line in self._head_lines[1:]:
            name, _, value = line.decode("latin-1").partition(":")
            pairs.append((name.strip(), value.strip()))
        self._head = ResponseHead(status, pairs)
        self._wake.set()
