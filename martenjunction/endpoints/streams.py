"""An answer on its way in: bounded, cancellable, and told apart from others."""

import asyncio
import dataclasses
from typing import Any

import pycurl

from martenjunction import errors
from martenjunction import http_headers

# Bytes that may wait for a slow caller before the endpoint is held back.
MAX_BUFFERED = 64 * 1024

# Bytes of response header that we take in.
MAX_HEADER = 64 * 1024


@dataclasses.dataclass(slots=True)
class ResponseHead:
    """The status and headers of an answer."""

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
    def rest_s(self) -> float:
        """Seconds for which its endpoint wants nothing; 0 for none."""
        told = self.get(http_headers.RETRY_AFTER)
        return 0.0 if told is None else http_headers.decimal_of(told) or 0.0

    @property
    def limit_per_s(self) -> float | None:
        """Requests a second that its endpoint takes; None if it names none."""
        named = self.get(http_headers.LIMIT)
        return None if named is None else http_headers.decimal_of(named)


class EndpointStream:
    """The answer to one request, as its entry daemon reads it.

    The HTTP client's thread of control calls the `on_` methods; the relay
    awaits `head` and `read`.
    """

    def __init__(self) -> None:
        self._curl: Any = None
        self._chunks: list[bytes] = []
        self._size = 0
        self._paused = False
        self._wake = asyncio.Event()
        self._head: ResponseHead | None = None
        self._head_lines: list[bytes] = []
        self._head_size = 0
        self._ended = False
        self._error: errors.EndpointError | None = None
        self.aborted = False
        self.request_bytes = 0

    # Called by the HTTP client.

    def on_start(self, curl: Any) -> None:
        """Keeps the transfer, so that it can be paused."""
        self._curl = curl

    def on_header(self, line: bytes) -> int | None:
        """Takes in one header line."""
        self._head_size += len(line)
        if self._head_size > MAX_HEADER:
            return 0
        if line.startswith(b"HTTP/"):
            self._head_lines = [line]
        elif line.strip():
            self._head_lines.append(line)
        else:
            self._finish_head()
        return None

    def on_body(self, chunk: bytes) -> int:
        """Takes in a piece of the body, or holds the endpoint back."""
        if self.aborted:
            return 0
        if self._size >= MAX_BUFFERED:
            self._paused = True
            return int(pycurl.WRITEFUNC_PAUSE)
        self._chunks.append(chunk)
        self._size += len(chunk)
        self._wake.set()
        return len(chunk)

    def on_end(self, error: errors.EndpointError | None) -> None:
        """Notes that nothing more comes."""
        self._curl = None
        self._ended = True
        self._error = error
        self._wake.set()

    @property
    def transfer(self) -> Any:
        """The library's handle of the transfer, or None when it is over."""
        return self._curl

    # Called by the relay.

    @property
    def buffered(self) -> int:
        """Bytes of the body that wait to be read."""
        return self._size

    @property
    def ended(self) -> bool:
        """Whether nothing more comes from the endpoint."""
        return self._ended

    @property
    def told(self) -> ResponseHead | None:
        """The status and headers, once they have come."""
        return self._head

    async def head(self) -> ResponseHead:
        """Waits for the status and headers.

        Raises:
            EndpointError: If the answer breaks off before them.
        """
        while self._head is None:
            if self._ended:
                raise self._error or errors.EndpointBrokenError("empty answer")
            await self._wait()
        return self._head

    async def read(self) -> bytes:
        """Waits for more of the body and takes all that is there.

        Returns:
            The bytes, or none at the end of a whole answer.

        Raises:
            EndpointError: If the answer broke off.
        """
        while not self._chunks:
            if self._ended:
                if self._error is not None:
                    raise self._error
                return b""
            await self._wait()
        data = b"".join(self._chunks)
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
                # The transfer has failed meanwhile; `on_end` follows.
                return

    def _finish_head(self) -> None:
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
