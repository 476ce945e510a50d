"""One kept connection to an HTTP/1.1 server.

Nothing is ever sent twice: whoever holds the connection decides what a
failure means.
"""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib
import re
import socket
import time

import h11
from tornado import iostream

from martenjunction import addresses
from martenjunction import errors
from martenjunction.http1 import messages
from martenjunction.http1 import peeks
from martenjunction.http1 import streams

# Largest head of an answer, in bytes.
MAX_HEAD_BYTES = 64 * 1024

# Seconds for which what had come by a time-out may still be read after it:
# some passes of the event loop after a hold-up.
READY_GRACE_S = 0.1

_KEEP_ALIVE = re.compile(rb"timeout\s*=\s*(\d+(?:\.\d+)?)", re.IGNORECASE)


class ClientConnection:
    """A connection that carries one request at a time."""

    def __init__(
        self,
        address: str,
        on_head: Callable[[messages.ResponseHead], None] = lambda head: None,
    ) -> None:
        """Makes a connection that is not open yet.

        Args:
            address: IP address and port, such as `10.0.0.1:80`.
            on_head: Told of the head of each answer, whatever it answers.
        """
        self._address = address
        self._on_head = on_head
        self._stream: iostream.IOStream | None = None
        self._source: streams.ByteSource | None = None
        self._parser = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES
        )
        self._request: h11.Request | None = None
        self._head: messages.ResponseHead | None = None
        self._closed = False
        self._idle_since = 0.0
        self._sent_at = 0.0

    @property
    def address(self) -> str:
        """The server's address."""
        return self._address

    @property
    def idle_since(self) -> float:
        """Steady clock when its last answer ended."""
        return self._idle_since

    @property
    def closed(self) -> bool:
        """Whether it was closed on this side."""
        return self._closed

    async def open(self, timeout_s: float) -> None:
        """Connects.

        Args:
            timeout_s: Seconds to wait.

        Raises:
            NoSocketError: If this box has no socket for it.
            PortRefusedError: If nobody listens there.
            ConnectError: If there is no connection; nothing was sent.
        """
        host, port = addresses.split_address(self._address)
        stream = _new_stream()
        self._stream = stream
        try:
            connecting = stream.connect((host, port))
            # A wait looks at the connection after its time-out: one that was
            # made while the loop was held up counts.
            await asyncio.wait([connecting], timeout=timeout_s)
            if not connecting.done():
                raise TimeoutError
            connecting.result()
        except OSError as error:
            self.abort()
            if _is_refusal(error):
                raise errors.PortRefusedError(f"{host} refuses") from error
            raise errors.ConnectError(f"no connection to {host}") from error
        except asyncio.CancelledError:
            self.abort()
            raise
        if self._closed:
            raise errors.ConnectError("given up")
        self._source = streams.ByteSource(stream)
        self._idle_since = time.monotonic()

    @property
    def readable(self) -> bool:
        """Whether bytes or an end came that nobody has taken yet.

        It asks the socket as well: while the loop was held up, nobody has
        seen what came. It takes a system call.
        """
        if self._source is None or self._stream is None:
            return False
        if self._source.disturbed or self._stream.closed():
            return True
        return peeks.peek(self._stream.socket) is not peeks.Waiting.NOTHING

    def is_quiet(self) -> bool:
        """Returns whether it can carry a request, by the socket's own word."""
        return self.is_reusable() and not self.readable

    @contextlib.asynccontextmanager
    async def answer_within(self, timeout_s: float) -> AsyncIterator[None]:
        """Bounds the wait for an answer by time and by the socket's state.

        What has come by the time-out may still be read: after a hold-up of
        the loop both are due in one pass.

        Args:
            timeout_s: Seconds to wait.

        Raises:
            TimeoutError: If there is no answer in time.
        """
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(None) as limit:

            def end() -> None:
                grace_s = READY_GRACE_S if self.readable else 0.0
                limit.reschedule(loop.time() + grace_s)

            timer = loop.call_later(timeout_s, end)
            try:
                yield
            finally:
                timer.cancel()

    def is_reusable(self) -> bool:
        """Returns whether the loop has seen no byte and no end on it."""
        return (
            not self._closed
            and self._stream is not None
            and not self._stream.closed()
            and self._source is not None
            and not self._source.disturbed
        )

    def send(
        self,
        method: bytes,
        target: bytes,
        headers: messages.Headers,
        body: bytes,
    ) -> None:
        """Hands a whole request to the socket.

        Args:
            method: The method.
            target: Path and query.
            headers: All headers, with the length of the body.
            body: The whole body.

        Raises:
            ConnectError: If the connection had ended; nothing was sent.
        """
        if not self.is_reusable() or self._stream is None:
            raise errors.ConnectError("the connection had ended")
        request = h11.Request(method=method, target=target, headers=headers)
        data = self._parser.send(request) or b""
        if body:
            data += self._parser.send(h11.Data(data=body)) or b""
        data += self._parser.send(h11.EndOfMessage()) or b""
        self._request = request
        self._sent_at = time.monotonic()
        try:
            written = self._stream.write(data)
        except iostream.StreamClosedError as error:
            raise errors.ConnectError("the connection had ended") from error
        written.add_done_callback(streams.swallow)

    async def read_head(self) -> messages.ResponseHead:
        """Waits for the head of the next answer; interim ones are skipped.

        Raises:
            ConnectionLostError: If the connection ended first.
            HttpSyntaxError: If the bytes are no answer.
        """
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Response):
                self._head = _head_of(event)
                self._head.asked_at = self._sent_at
                self._on_head(self._head)
                return self._head
            if isinstance(event, h11.ConnectionClosed):
                raise errors.ConnectionLostError("closed before an answer")
            if not isinstance(event, h11.InformationalResponse):
                raise errors.HttpSyntaxError("not an answer")

    async def read_body(self) -> bytes:
        """Returns the next bytes of the body, none at its regular end.

        Raises:
            ConnectionLostError: If the connection ended within the body.
            HttpSyntaxError: If the bytes are no answer.
        """
        event = await self._next_event()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            return b""
        raise errors.ConnectionLostError("closed within an answer")

    def expect_another_answer(self) -> None:
        """Makes ready to read one more answer to the request that was sent.

        A server may send an answer to an earlier request first.

        Raises:
            ConnectionLostError: If the server ends the connection instead.
        """
        if self._head is None or self._head.closes or self._request is None:
            raise errors.ConnectionLostError("closed after a foreign answer")
        rest, ended = self._parser.trailing_data
        if ended:
            raise errors.ConnectionLostError("closed after a foreign answer")
        parser = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES
        )
        # The parser must know the method; what was sent stays sent.
        parser.send(
            h11.Request(
                method=self._request.method,
                target=self._request.target,
                headers=[(b"Host", b"")],
            )
        )
        parser.send(h11.EndOfMessage())
        if rest:
            parser.receive_data(rest)
        self._parser = parser

    def finish(self) -> bool:
        """Ends an exchange after the whole answer was read.

        Returns:
            Whether the connection can carry another request; if it can't, it
            is closed.
        """
        head = self._head
        rest, ended = self._parser.trailing_data
        whole = (
            self._parser.our_state is h11.DONE
            and self._parser.their_state is h11.DONE
        )
        if (
            not whole
            or rest
            or ended
            or head is None
            or head.closes
            or self._stream is None
            or self._stream.writing()
            or self._stream.closed()
            or self._source is None
        ):
            self.abort()
            return False
        self._parser.start_next_cycle()
        try:
            self._source.prefetch()
        except OSError:
            # The answer is whole; only the connection is lost.
            self.abort()
            return False
        self._idle_since = time.monotonic()
        return True

    def kept_for(self) -> float | None:
        """Returns for how long the server keeps it idle, if it said so."""
        return self._head.keep_alive_s if self._head is not None else None

    def abort(self) -> None:
        """Closes the connection at once; a read under way fails."""
        self._closed = True
        if self._source is not None:
            self._source.abort()
        elif self._stream is not None:
            self._stream.close()

    async def _next_event(self) -> h11.Event | type[h11.PAUSED]:
        if self._source is None:
            raise errors.ConnectionLostError("not connected")
        while True:
            try:
                event = self._parser.next_event()
            except h11.RemoteProtocolError as error:
                raise errors.HttpSyntaxError(str(error)) from error
            if event is not h11.NEED_DATA:
                return event  # type: ignore[return-value]
            try:
                data = await self._source.take()
            except OSError as error:
                raise errors.ConnectionLostError(str(error)) from error
            try:
                self._parser.receive_data(data)
            except RuntimeError as error:
                raise errors.ConnectionLostError("closed twice") from error


def _new_stream() -> iostream.IOStream:
    """Returns a stream that is not connected yet.

    Raises:
        NoSocketError: If there is no socket for it.
    """
    try:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        streams.tune(sock)
    except OSError as error:
        raise errors.NoSocketError(str(error)) from error
    return iostream.IOStream(sock, max_buffer_size=streams.MAX_BUFFER_BYTES)


def _is_refusal(error: OSError) -> bool:
    """Returns whether a connection was refused, by the system's word."""
    if isinstance(error, iostream.StreamClosedError):
        return isinstance(error.real_error, ConnectionRefusedError)
    return isinstance(error, ConnectionRefusedError)


def _head_of(event: h11.Response) -> messages.ResponseHead:
    headers = [(bytes(n), bytes(v)) for n, v in event.headers.raw_items()]
    head = messages.ResponseHead(event.status_code, headers)
    connection = (head.get(b"connection") or b"").lower()
    head.closes = b"close" in connection or event.http_version == b"1.0"
    match = _KEEP_ALIVE.search(head.get(b"keep-alive") or b"")
    if match is not None:
        head.keep_alive_s = float(match.group(1))
    return head
