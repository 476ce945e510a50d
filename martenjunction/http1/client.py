"""A keep-alive connection to an HTTP/1.1 server.

The connection never retries a request; its owner decides how to handle a
failure.
"""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib
import socket
import struct
import time

import h11
from tornado import iostream

from martenjunction import errors
from martenjunction import fair_turns
from martenjunction.http1 import messages
from martenjunction.http1 import response_parser
from martenjunction.http1 import streams
from martenjunction.http1 import watched_streams

# Maximum number of interim responses before a final one.
MAX_INTERIM_RESPONSES = 8

# Seconds after a timeout in which data that had already arrived may still be
# read: a few iterations of the event loop after it was blocked.
READY_GRACE_S = 0.1

# The same for a server that sends without a pause.
READING_GRACE_S = 0.04

# Value of SO_LINGER by which closing a socket resets it (socket(7)).
_NO_LINGER = struct.pack("ii", 1, 0)


class ClientConnection:
    """A client connection that carries one request at a time."""

    def __init__(
        self,
        address: str,
        on_head: Callable[[messages.ResponseHead], None] = lambda head: None,
    ) -> None:
        """Initializes the connection without opening it.

        Args:
            address: IP address and port, such as `10.0.0.1:80`.
            on_head: Called with the head of every final response, including
                responses to other requests.
        """
        self._address = address
        self._on_head = on_head
        self._stream: iostream.IOStream | None = None
        self._source: streams.ByteSource | None = None
        self._parser = response_parser.ResponseParser()
        self._closed = False
        self._idle_since = 0.0
        self._sent_at = 0.0

    @property
    def address(self) -> str:
        """The server's IP address and port."""
        return self._address

    @property
    def is_direct(self) -> bool:
        """Whether this box is connected to the server itself."""
        return True

    @property
    def idle_since(self) -> float:
        """Monotonic time at which the last response was complete."""
        return self._idle_since

    @property
    def closed(self) -> bool:
        """Whether this side closed the connection."""
        return self._closed

    async def open(self, timeout_s: float) -> None:
        """Opens the connection.

        Args:
            timeout_s: Connect timeout in seconds.

        Raises:
            NoSocketError: If this box cannot create a socket.
            PortRefusedError: If the connection is refused.
            ConnectError: If the connection fails; nothing was sent.
        """
        stream = streams.new_stream()
        self._stream = stream
        try:
            await streams.connect(stream, self._address, timeout_s)
        except (errors.ConnectError, asyncio.CancelledError):
            self.abort()
            raise
        if self._closed:
            raise errors.ConnectError("aborted while connecting")
        self._source = streams.ByteSource(stream)
        self._idle_since = time.monotonic()

    def is_unheard(self) -> bool:
        """Returns whether the server does not acknowledge what was sent."""
        return self._stream is not None and watched_streams.is_unheard(
            self._stream
        )

    @property
    def readable(self) -> bool:
        """Whether unread data or an end of the connection is pending.

        Data of a reader that waits for its turn counts as unread. Also peeks at
        the socket, with one system call: the event loop does not see what
        arrives while it is blocked.
        """
        if self._source is None or self._stream is None:
            return False
        if (
            self._source.turns.waiting
            or self._source.has_pending_result
            or self._stream.closed()
        ):
            return True
        return self._source.socket_ready

    @property
    def grace_s(self) -> float:
        """Seconds for which a timeout that is due waits for a ready response.

        It is 0 if no data and no end of the connection is pending.
        """
        if self._source is None or not self.readable:
            return 0.0
        if self._source.never_pauses and self._source.bytes_waiting:
            return READING_GRACE_S
        return READY_GRACE_S

    def is_quiet(self) -> bool:
        """Returns whether it is reusable and its socket has nothing pending."""
        return self.is_reusable() and not self.readable

    @contextlib.asynccontextmanager
    async def response_timeout(self, timeout_s: float) -> AsyncIterator[None]:
        """Limits the time to wait for a response.

        Data that has arrived by the timeout may still be read: after the event
        loop was blocked, both are due in the same iteration.

        Args:
            timeout_s: Timeout in seconds.

        Raises:
            TimeoutError: If no response arrives in time.
        """
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(None) as deadline:

            def expire() -> None:
                deadline.reschedule(loop.time() + self.grace_s)

            timer = loop.call_later(timeout_s, expire)
            try:
                yield
            finally:
                timer.cancel()

    def is_reusable(self) -> bool:
        """Returns whether it is open and the event loop saw nothing pending."""
        return (
            not self._closed
            and self._stream is not None
            and not self._stream.closed()
            and self._source is not None
            and not self._source.has_pending_result
        )

    def send(
        self,
        method: bytes,
        target: bytes,
        headers: messages.Headers,
        body: messages.Body,
    ) -> None:
        """Writes a complete request to the socket.

        Args:
            method: HTTP method.
            target: Path and query.
            headers: All headers, including those of framing.
            body: The complete body.

        Raises:
            ConnectError: If the connection is closed; the request was not sent
                completely.
        """
        if not self.is_reusable() or self._stream is None:
            raise errors.ConnectError("the connection is closed")
        request = h11.Request(method=method, target=target, headers=headers)
        pieces = self._parser.frame(request, body)
        self._sent_at = time.monotonic()
        try:
            streams.write(self._stream, pieces)
        except iostream.StreamClosedError as error:
            raise errors.ConnectError("the connection is closed") from error

    async def read_head(self) -> messages.ResponseHead:
        """Reads the head of the next final response; skips interim responses.

        Raises:
            ConnectionLostError: If the connection is closed before it.
            HttpSyntaxError: If the data is not a valid response.
        """
        for _ in range(MAX_INTERIM_RESPONSES + 1):
            event = await self._next_event()
            if isinstance(event, h11.Response):
                return self._take_head(event)
            if isinstance(event, h11.ConnectionClosed):
                raise errors.ConnectionLostError("closed before a response")
            if not isinstance(event, h11.InformationalResponse):
                raise errors.HttpSyntaxError("expected a response head")
        raise errors.HttpSyntaxError("too many interim responses")

    async def read_body(self) -> bytes:
        """Returns the next part of the body, or empty bytes at its end.

        Raises:
            ConnectionLostError: If the connection is closed within the body.
            HttpSyntaxError: If the data is not a valid response.
        """
        event = await self._next_event()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            self._parser.end_body()
            return b""
        raise errors.ConnectionLostError("closed within a response")

    async def pause_after(self, cost: int) -> None:
        """Counts further work on a response; pauses if it took the turn.

        Args:
            cost: The work, as a number of bytes that are read.
        """
        if self._source is not None:
            self._source.turns.spend(cost)
            await self._source.turns.pause_if_spent()

    def expect_another_response(self) -> None:
        """Prepares to read one more response to the request that was sent.

        A server may first send a stale response to an earlier request.

        Raises:
            ConnectionLostError: If the server closes the connection instead.
        """
        self._parser.expect_another_response()

    def finish(self) -> bool:
        """Finishes an exchange whose response was read completely.

        Returns:
            Whether the connection can carry another request; otherwise it is
            closed.
        """
        if (
            not self._parser.may_carry_another()
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
            # The response is complete; only the connection is lost.
            self.abort()
            return False
        self._idle_since = time.monotonic()
        return True

    def keep_alive_timeout(self) -> float | None:
        """Returns the server's keep-alive timeout in seconds, if announced."""
        head = self._parser.head
        return head.keep_alive_s if head is not None else None

    def abort(self) -> None:
        """Closes the connection immediately; a pending read fails."""
        self._closed = True
        if self._source is not None:
            self._source.abort()
        elif self._stream is not None:
            self._stream.close()

    def reset(self) -> None:
        """Closes the connection, and discards what was not delivered yet.

        Otherwise the kernel would go on sending it for seconds.
        """
        if self._stream is not None and not self._stream.closed():
            self._stream.socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER
            )
        self.abort()

    def _take_head(self, event: h11.Response) -> messages.ResponseHead:
        head = self._parser.take_head(event)
        head.sent_at = self._sent_at
        self._on_head(head)
        return head

    async def _next_event(self) -> h11.Event | type[h11.PAUSED]:
        if self._source is None:
            raise errors.ConnectionLostError("not connected")
        turns = self._source.turns
        while True:
            await turns.pause_if_spent()
            event = self._parser.next_event()
            if event is not h11.NEED_DATA:
                is_part = isinstance(event, (h11.Data, h11.EndOfMessage))
                turns.spend(
                    fair_turns.PART_COST if is_part else fair_turns.HEAD_COST
                )
                self._parser.note_event(event)
                return event  # type: ignore[return-value]
            try:
                data = await self._source.read()
            except OSError as error:
                raise errors.ConnectionLostError(str(error)) from error
            self._parser.receive(data)
