"""One request at one endpoint, over one connection."""

import asyncio
from collections.abc import AsyncIterator

from martenjunction import errors
from martenjunction.endpoints import event_stream
from martenjunction.http1 import client
from martenjunction.http1 import messages
from martenjunction.platform import headers

# Answers to other requests that are read past on one connection.
MAX_FOREIGN_ANSWERS = 2

# Largest answer that is held as a whole, in bytes.
MAX_WHOLE_BYTES = 8 * 1024 * 1024


class Attempt:
    """What one endpoint makes of a request.

    Errors of the connection become those of endpoints: until an answer is
    whole, the request may have run.
    """

    def __init__(
        self, connection: client.ClientConnection, request_id: str
    ) -> None:
        """Makes an attempt; `send` begins.

        Args:
            connection: A connection that nobody else uses.
            request_id: The id that the answer must carry.
        """
        self._connection = connection
        self._request_id = request_id

    @property
    def connection(self) -> client.ClientConnection:
        """The connection that it runs on."""
        return self._connection

    def send(self, request: messages.Request, pairs: messages.Headers) -> None:
        """Hands the request to the socket.

        Args:
            request: The request.
            pairs: The headers that the endpoint gets.

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
        """Waits for the head of this request's answer.

        An answer that belongs to another request is read past.

        Raises:
            EndpointBrokenError: If no answer comes.
        """
        try:
            for _ in range(MAX_FOREIGN_ANSWERS):
                head = await self._connection.read_head()
                if headers.answers_request(head, self._request_id):
                    return head
                while await self._connection.read_body():
                    pass
                self._connection.expect_another_response()
        except errors.TransportError as error:
            self.abort()
            raise errors.EndpointBrokenError(str(error)) from error
        self.abort()
        raise errors.EndpointMismatchError("only answers to other requests")

    async def body(self) -> bytes:
        """Waits for the whole body.

        Raises:
            EndpointBrokenError: If it breaks off.
        """
        parts = []
        size = 0
        async for part in self._pieces():
            parts.append(part)
            size += len(part)
            if size > MAX_WHOLE_BYTES:
                self.abort()
                raise errors.EndpointBrokenError("the answer is too large")
        return b"".join(parts)

    async def events(self) -> AsyncIterator[list[event_stream.StreamEvent]]:
        """Yields whole events as they arrive.

        Raises:
            EndpointBrokenError: If the stream breaks off, also within an
                event.
        """
        splitter = event_stream.EventSplitter()
        async for part in self._pieces():
            events = splitter.feed(part)
            if events:
                yield events
        if splitter.partial:
            self.abort()
            raise errors.EndpointBrokenError("the stream ends within an event")

    def finish(self) -> None:
        """Makes the connection ready for another request, or closes it."""
        self._connection.finish()

    def abort(self) -> None:
        """Closes the connection at once: the endpoint drops the request."""
        self._connection.abort()

    async def _pieces(self) -> AsyncIterator[bytes]:
        try:
            while part := await self._connection.read_body():
                yield part
        except errors.TransportError as error:
            self.abort()
            raise errors.EndpointBrokenError(str(error)) from error
        except asyncio.CancelledError:
            self.abort()
            raise
