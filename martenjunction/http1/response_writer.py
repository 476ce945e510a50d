"""Writes the responses of a client's connection."""

import asyncio
from collections.abc import Sequence
import http

import h11
from tornado import iostream

from martenjunction import errors
from martenjunction.http1 import framing
from martenjunction.http1 import messages
from martenjunction.http1 import request_input
from martenjunction.http1 import resting
from martenjunction.http1 import streams

_KNOWN_STATUS = {status.value for status in http.HTTPStatus}

_CLOSE = (b"Connection", b"close")


class ResponseWriter:
    """The sending side of a client's connection.

    Attributes:
        started: Whether a response head was sent for the current request.
        close_announced: Whether a response announced the close of the
            connection.
    """

    def __init__(
        self,
        stream: iostream.IOStream,
        received: request_input.RequestInput,
        rest: resting.Rest,
    ) -> None:
        """Initializes the writer.

        Args:
            stream: The client's stream.
            received: What the client sends; its parser frames responses.
            rest: For how long the connection may rest after a response.
        """
        self._stream = stream
        self._input = received
        self._rest = rest
        self._bodiless = False
        self._persists = False
        self.started = False
        self.close_announced = False

    def begin_request(self, head: h11.Request) -> None:
        """Prepares for the response to a request."""
        self._bodiless = head.method == b"HEAD"
        self._persists = framing.lets_persist(head)

    def end_request(self) -> None:
        """Prepares for the next request."""
        self.started = False

    def send_head(
        self, status: int, headers: messages.Headers, close: bool
    ) -> None:
        """Writes the head of a response.

        Args:
            status: HTTP status.
            headers: Headers without those of the connection.
            close: Whether the connection is closed after the response.

        Raises:
            ClientLostError: If the client disconnected.
        """
        if close:
            headers = [*headers, _CLOSE]
            self.close_announced = True
        elif self._persists:
            headers = [*headers, *self._rest.tell()]
        reason = (
            http.HTTPStatus(status).phrase if status in _KNOWN_STATUS else ""
        )
        head = h11.Response(
            status_code=status, headers=headers, reason=reason.encode()
        )
        streams.limit_unread(self._stream, True)
        self.write_event(head)
        self.started = True

    def write_event(self, event: h11.Event) -> None:
        """Writes a head, or an interim response.

        Raises:
            ClientLostError: If the client disconnected.
        """
        data = self._input.parser.send(event)
        self._write([data] if data else [])

    async def send_body(self, body: messages.Body) -> None:
        """Sends a part of a body; waits until the socket accepted it.

        Raises:
            ClientLostError: If the client disconnected or fell silent.
        """
        await self._flush(self._pieces(body))

    async def end_body(self, body: messages.Body = b"") -> None:
        """Completes a response.

        Args:
            body: The rest of its body, which no response to HEAD has.

        Raises:
            ClientLostError: If the client disconnected or fell silent.
        """
        shown = b"" if self._bodiless else body
        await self._flush([*self._pieces(shown), *self._pieces(None)])

    def _pieces(self, data: messages.Body | None) -> Sequence[messages.Body]:
        """Returns the pieces of a part of the body; None ends the body."""
        if data is None:
            event: h11.Event = h11.EndOfMessage()
        elif data:
            event = h11.Data(data=data)  # type: ignore[arg-type]
        else:
            return []
        return self._input.parser.send_with_data_passthrough(event) or []

    def _write(
        self, pieces: Sequence[messages.Body]
    ) -> "asyncio.Future[None] | None":
        if not any(pieces):
            return None
        try:
            return streams.write(self._stream, pieces)
        except iostream.StreamClosedError as error:
            raise errors.ClientLostError("client disconnected") from error

    async def _flush(self, pieces: Sequence[messages.Body]) -> None:
        written = self._write(pieces)
        if written is None:
            # The write of the head may have found that the client is gone.
            if self._stream.closed():
                raise errors.ClientLostError("client disconnected")
            return
        try:
            await asyncio.shield(written)
        except iostream.StreamClosedError as error:
            raise errors.ClientLostError("client disconnected") from error
