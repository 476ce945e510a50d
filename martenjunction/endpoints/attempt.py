"""A single attempt to send a request to an endpoint."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
from typing import Protocol

from martenjunction import errors
from martenjunction import fair_turns
from martenjunction.endpoints import event_stream
from martenjunction.http1 import client
from martenjunction.http1 import messages
from martenjunction.platform import headers

# Maximum number of response heads read per attempt, including stale
# responses to other requests.
MAX_RESPONSE_HEADS = 2

# Maximum size of a response that is buffered completely, in bytes.
MAX_BUFFERED_BODY_BYTES = 8 * 1024 * 1024

# Maximum number of events that are forwarded in one write.
MAX_EVENTS_AT_ONCE = 64


class AnswerHolder(Protocol):
    """Counts the memory of a response, and may refuse it."""

    async def begin(
        self, length: int | None, discard: Callable[[], None]
    ) -> None:
        """Waits for the memory of a response.

        Args:
            length: Its length in bytes, or None if it is not announced.
            discard: Called when it is given up; frees what is held of it.
        """

    def resize(self, size: int) -> None:
        """Counts how many bytes are held of it now.

        Raises:
            AnswerGivenUpError: If there is no memory for it any more.
        """

    def complete(self) -> None:
        """Keeps the response from being given up: all of it was read."""

    def drop(self) -> None:
        """Gives back the memory of the response that was begun last."""


class Attempt:
    """An attempt to send a request over one connection.

    Connection errors are raised as endpoint errors. Until the response is
    complete, the request may or may not have been executed.
    """

    def __init__(
        self, connection: client.ClientConnection, request_id: str
    ) -> None:
        """Initializes the attempt; `send` starts it.

        Args:
            connection: A connection reserved for this attempt.
            request_id: Request id that the response must carry.
        """
        self._connection = connection
        self._request_id = request_id
        self._identified = False
        self._length: int | None = None
        self._received = 0
        self._on_bytes: Callable[[], None] = lambda: None

    @property
    def connection(self) -> client.ClientConnection:
        """Connection of the attempt."""
        return self._connection

    @property
    def received(self) -> int:
        """Bytes of bodies that were received."""
        return self._received

    def on_bytes(self, callback: Callable[[], None]) -> None:
        """Sets the callback for each part of a body that arrives."""
        self._on_bytes = callback

    def send(self, request: messages.Request, pairs: messages.Headers) -> None:
        """Writes the request to the socket.

        Args:
            request: The request.
            pairs: Headers to send to the endpoint.

        Raises:
            EndpointNotReachedError: If nothing was sent.
        """
        try:
            self._connection.send(
                request.method, request.target, pairs, request.body
            )
        except errors.ConnectError as error:
            raise errors.EndpointNotReachedError(str(error)) from error

    async def head(self) -> messages.ResponseHead:
        """Waits for the response head.

        Skips stale responses to other requests.

        Raises:
            EndpointBrokenError: If no response arrives, or a stale one is too
                large.
            EndpointMismatchError: If only stale responses arrive.
        """
        try:
            for _ in range(MAX_RESPONSE_HEADS):
                head = await self._connection.read_head()
                if headers.answers_request(head, self._request_id):
                    self._identified = headers.has_request_id(head)
                    self._length = head.length
                    return head
                await self._skip_body()
                self._connection.expect_another_response()
        except errors.TransportError as error:
            self.abort()
            raise errors.EndpointBrokenError(str(error)) from error
        self.abort()
        raise errors.EndpointMismatchError("only responses to other requests")

    async def body(self, holder: AnswerHolder) -> messages.Body:
        """Reads the complete body.

        Args:
            holder: Grants its memory.

        Raises:
            EndpointBrokenError: If it is truncated or too large.
            AnswerGivenUpError: If there is no memory for it.
        """
        if (self._length or 0) > MAX_BUFFERED_BODY_BYTES:
            self.abort()
            raise errors.EndpointBrokenError("response body too large")
        body = bytearray()
        try:
            await holder.begin(self._length, body.clear)
            async for part in self._read_parts():
                body += part
                holder.resize(len(body))
                if len(body) > MAX_BUFFERED_BODY_BYTES:
                    raise errors.EndpointBrokenError("response body too large")
            # It may have been given up since its last part.
            holder.resize(len(body))
            holder.complete()
        except BaseException:
            # The exception keeps this frame, and with it the body.
            body.clear()
            holder.drop()
            self.abort()
            raise
        return body

    async def events(
        self, holder: AnswerHolder
    ) -> AsyncIterator[list[event_stream.StreamEvent]]:
        """Yields complete events as they arrive.

        Args:
            holder: Counts the memory of what is not complete yet.

        Raises:
            EndpointBrokenError: If the stream is truncated, also if it ends
                within an event, or if an event is too large.
            AnswerGivenUpError: If there is no memory for an event.
        """
        splitter = event_stream.EventSplitter()
        await holder.begin(None, splitter.discard)
        try:
            async for part in self._read_parts():
                events = splitter.feed(part, MAX_EVENTS_AT_ONCE)
                while events:
                    yield events
                    events = await self._next_events(splitter, len(events))
                holder.resize(splitter.buffered)
            # It may have been given up since its last part.
            holder.resize(splitter.buffered)
            if splitter.partial:
                raise errors.StreamTruncatedError(
                    "stream ended within an event"
                )
        except (errors.EndpointBrokenError, errors.AnswerGivenUpError):
            self.abort()
            raise

    def finish(self) -> None:
        """Prepares the connection for another request, or closes it.

        A connection with a response that lacks the request's id is closed. Such
        a response may arrive a second time where the next one is due, and
        nothing would tell the two apart.
        """
        if self._identified:
            self._connection.finish()
        else:
            # Rejections are frequent under overload; a reset leaves no port
            # waiting.
            self._connection.reset()

    def abort(self) -> None:
        """Closes the connection, so that the endpoint cancels the request."""
        self._connection.abort()

    async def _skip_body(self) -> None:
        """Reads the body of a response to another request."""
        size = 0
        while part := await self._read_part():
            size += len(part)
            if size > MAX_BUFFERED_BODY_BYTES:
                self.abort()
                raise errors.EndpointBrokenError(
                    "body of a response to another request too large"
                )

    async def _read_part(self) -> bytes:
        try:
            part = await self._connection.read_body()
        except errors.ExcessFramingError as error:
            self._received += error.unparsed
            raise
        self._received += len(part)
        return part

    async def _next_events(
        self, splitter: event_stream.EventSplitter, taken: int
    ) -> list[event_stream.StreamEvent]:
        """Returns further events of the same part, in a later turn."""
        if taken < MAX_EVENTS_AT_ONCE:
            return []
        await self._connection.pause_after(taken * fair_turns.EVENT_COST)
        return splitter.feed(b"", MAX_EVENTS_AT_ONCE)

    async def _read_parts(self) -> AsyncIterator[bytes]:
        try:
            while part := await self._read_part():
                self._on_bytes()
                yield part
        except errors.TransportError as error:
            self.abort()
            raise errors.EndpointBrokenError(str(error)) from error
        except asyncio.CancelledError:
            self.abort()
            raise
