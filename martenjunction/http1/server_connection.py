"""One connection from a client, which may carry many requests."""

import asyncio
from collections.abc import Callable
import dataclasses
import http
import time

import h11
from tornado import iostream

from martenjunction import errors
from martenjunction.http1 import closings
from martenjunction.http1 import connection_state
from martenjunction.http1 import framing
from martenjunction.http1 import messages
from martenjunction.http1 import request_errors
from martenjunction.http1 import streams

# Seconds for which a body may make no progress.
BODY_TIMEOUT_S = 10.0

# Seconds after which a time limit that ended beside bytes is looked at again:
# by then the reader has taken them.
SECOND_LOOK_S = 0.1

# Seconds for which a request that is coming in may still do so once its
# connection is to end: half a body held up a planned stop of 4 s to its limit.
STOP_READ_S = 1.0

_State = connection_state.State
_Event = connection_state.Event

_KNOWN = {status.value for status in http.HTTPStatus}


class ServerConnection:
    """A connection from a client, which may carry many requests.

    One state says what is under way. Whoever closes the connection and whoever
    takes a request from it asks that state, so that a request is taken from an
    open connection only, and one that was taken is not closed by a time limit.
    """

    def __init__(
        self,
        stream: iostream.IOStream,
        limits: Callable[[], messages.ClientLimits],
    ) -> None:
        """Takes over an accepted stream.

        Args:
            stream: The stream.
            limits: Returns what the client may do at the moment.
        """
        self._stream = stream
        self._limits = limits
        self._source = streams.ByteSource(stream)
        self._parser = h11.Connection(
            h11.SERVER, max_incomplete_event_size=limits().max_header_bytes
        )
        self._answering = False
        self._last = False
        self._timer: asyncio.TimerHandle | None = None
        self._limit = closings.CloseReason.IDLE
        self._bodiless = False
        self._state = _State.RESTING
        self._ending = False
        self._unanswered = False
        self._answered = 0
        self._rested_since = time.monotonic()
        self._peer = streams.peer_address(stream)
        self._closing: closings.ClosedConnection | None = None

    @property
    def answering(self) -> bool:
        """Whether the head of an answer was sent for this request."""
        return self._answering

    @property
    def unanswered(self) -> bool:
        """Whether a request was taken that has no whole answer yet."""
        return self._unanswered

    @property
    def closed(self) -> bool:
        """Whether the connection has ended."""
        return self._state is _State.CLOSED or self._stream.closed()

    def closing(self, server: str) -> closings.ClosedConnection:
        """Returns how the connection ended, or how it stands if it is open.

        Args:
            server: Name of the server that it came to.
        """
        closing = self._closing or self._describe(closings.CloseReason.CLIENT)
        return dataclasses.replace(closing, server=server)

    async def read_request(self) -> messages.Request | None:
        """Waits for a request and reads it in full.

        Returns:
            The request, or None if the client closed the connection.

        Raises:
            RequestSyntaxError: If it is malformed, too large or too slow.
            RequestNotTakenError: If the connection ended while it was read.
            ConnectionLostError: If the client went away within it.
        """
        head = await self._read_head()
        if head is None:
            return None
        request = messages.Request(
            bytes(head.method),
            bytes(head.target),
            [(bytes(n), bytes(v)) for n, v in head.headers.raw_items()],
            received_at=time.monotonic(),
        )
        self._bodiless = request.method == b"HEAD"
        framing.check(request, self._limits().max_body_bytes)
        if self._parser.they_are_waiting_for_100_continue:
            self._write(
                self._parser.send(
                    h11.InformationalResponse(status_code=100, headers=[])
                )
            )
        request.body = await self._read_body()
        self._take(request)
        return request

    def watch_end(self, callback: Callable[[], None] | None) -> None:
        """Has a callback called when the client leaves before its answer."""
        self._source.on_end(callback)

    async def answer(
        self,
        status: int,
        headers: messages.Headers,
        body: bytes,
        close: bool = False,
    ) -> None:
        """Sends a whole answer.

        Args:
            status: The HTTP status.
            headers: Headers less those of framing.
            body: The body.
            close: Whether the connection ends after it.

        Raises:
            ConnectionLostError: If the client is gone.
        """
        length = (b"Content-Length", str(len(body)).encode())
        self._send_head(status, [*headers, length], close)
        data = b"" if self._bodiless or not body else self._data(body)
        end = self._parser.send(h11.EndOfMessage()) or b""
        await self._flush(data + end)
        self._note_answered()

    async def begin(
        self, status: int, headers: messages.Headers, close: bool = False
    ) -> None:
        """Sends the head of an answer whose length is not known.

        Raises:
            ConnectionLostError: If the client is gone.
        """
        self._send_head(status, headers, close)

    async def write(self, data: bytes) -> None:
        """Sends a part of the body; waits while the client does not read.

        Raises:
            ConnectionLostError: If the client is gone.
        """
        await self._flush(self._data(data))

    async def end(self) -> None:
        """Marks the answer as complete.

        Raises:
            ConnectionLostError: If the client is gone.
        """
        await self._flush(self._parser.send(h11.EndOfMessage()) or b"")
        self._note_answered()

    def next_request(self) -> bool:
        """Makes ready for the next request; returns whether there may be."""
        self._answering = False
        if self._last or self.closed:
            return False
        if (
            self._parser.our_state is not h11.DONE
            or self._parser.their_state is not h11.DONE
        ):
            return False
        self._parser.start_next_cycle()
        self._note(_Event.REQUEST_ENDED)
        self._rested_since = time.monotonic()
        if self._parser.trailing_data[0]:
            self._note(_Event.BYTES_CAME)
        return not (self._ending and self._close_if_resting())

    def end_when_idle(self) -> None:
        """Ends the connection, once nothing is under way on it.

        A request that is being read, or whose bytes are here, is still served;
        its answer says that it is the last.
        """
        if not self._ending:
            self._ending = True
            if self._state is _State.READING:
                self._set_timer(STOP_READ_S, self._limit)
        self._close_if_resting()

    def abort(self, reason: closings.CloseReason) -> None:
        """Closes the connection; what is in the socket still goes out.

        Args:
            reason: Why; the first reason holds.
        """
        self._set_timer(None)
        if self._closing is None and not self._stream.closed():
            self._closing = self._describe(reason)
        self._note(_Event.CLOSED)
        self._source.abort()

    async def _read_head(self) -> h11.Request | None:
        limits = self._limits()
        if self._state is _State.READING:
            self._set_timer(
                limits.header_timeout_s, closings.CloseReason.SLOW_HEAD
            )
        else:
            self._set_timer(limits.idle_timeout_s, closings.CloseReason.IDLE)
        while True:
            event = self._next_event()
            if isinstance(event, h11.Request):
                self._set_timer(None)
                return event
            if event is not h11.NEED_DATA:
                return None
            try:
                data = await self._source.take()
            except errors.ConnectionLostError:
                return None
            if data and self._state is _State.RESTING:
                self._note(_Event.BYTES_CAME)
                self._set_timer(
                    limits.header_timeout_s, closings.CloseReason.SLOW_HEAD
                )
            self._parser.receive_data(data)

    def _next_event(self) -> h11.Event | type[h11.NEED_DATA]:
        try:
            return self._parser.next_event()  # type: ignore[return-value]
        except h11.RemoteProtocolError as error:
            raise request_errors.RequestSyntaxError(
                error.error_status_hint, str(error)
            ) from error

    async def _read_body(self) -> bytes:
        parts: list[bytes] = []
        size = 0
        while True:
            event = self._next_event()
            if isinstance(event, h11.Data):
                parts.append(bytes(event.data))
                size += len(event.data)
                if size > self._limits().max_body_bytes:
                    raise request_errors.RequestSyntaxError(
                        413, "the body is too large"
                    )
            elif isinstance(event, h11.EndOfMessage):
                self._set_timer(None)
                return b"".join(parts)
            elif event is h11.NEED_DATA:
                self._set_timer(BODY_TIMEOUT_S, closings.CloseReason.SLOW_BODY)
                self._parser.receive_data(await self._source.take())
            else:
                raise errors.ConnectionLostError("closed within a body")

    def _send_head(
        self, status: int, headers: messages.Headers, close: bool
    ) -> None:
        if close or self._ending:
            headers = [*headers, (b"Connection", b"close")]
            self._last = True
        reason = http.HTTPStatus(status).phrase if status in _KNOWN else ""
        head = h11.Response(
            status_code=status, headers=headers, reason=reason.encode()
        )
        data = self._parser.send(head)
        self._answering = True
        self._write(data)

    def _data(self, data: bytes) -> bytes:
        return self._parser.send(h11.Data(data=data)) or b""

    def _write(self, data: bytes | None) -> "asyncio.Future[None] | None":
        if not data:
            return None
        try:
            written = self._stream.write(data)
        except iostream.StreamClosedError as error:
            raise errors.ConnectionLostError("the client is gone") from error
        written.add_done_callback(streams.swallow)
        return written

    async def _flush(self, data: bytes) -> None:
        written = self._write(data)
        if written is None:
            return
        try:
            await asyncio.shield(written)
        except iostream.StreamClosedError as error:
            raise errors.ConnectionLostError("the client is gone") from error

    def _set_timer(
        self,
        seconds: float | None,
        reason: closings.CloseReason = closings.CloseReason.IDLE,
    ) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if seconds is not None:
            self._limit = reason
            if self._ending:
                seconds = min(seconds, STOP_READ_S)
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(seconds, self._on_time_limit, reason)

    def _on_time_limit(self, reason: closings.CloseReason) -> None:
        """Closes the connection, unless what it waited for is here."""
        if self._source.bytes_waiting:
            # After a hold-up of the event loop the time ends in the pass that
            # takes the bytes in: the request would be passed on and its
            # connection closed without an answer.
            self._set_timer(SECOND_LOOK_S, reason)
            return
        left = self._idle_time_left()
        if reason is closings.CloseReason.IDLE and left > 0.0:
            self._set_timer(left, reason)
            return
        self.abort(reason)

    def _idle_time_left(self) -> float:
        """Returns seconds for which it may rest, by the limits of now."""
        rested = time.monotonic() - self._rested_since
        return self._limits().idle_timeout_s - rested

    def _take(self, request: messages.Request) -> None:
        """Takes a request from the connection while that is open.

        Raises:
            RequestNotTakenError: If it has ended.
        """
        # A reader that was woken before the end goes on from its buffer: 12 of
        # 12 requests were handed on so, each with nobody to answer.
        if self.closed:
            raise request_errors.RequestNotTakenError(request)
        self._note(_Event.REQUEST_TAKEN)
        self._unanswered = True

    def _close_if_resting(self) -> bool:
        """Closes it if nothing is under way; returns whether it is closed."""
        if self._state is _State.RESTING and not self._source.bytes_waiting:
            self.abort(closings.CloseReason.STOPPED)
        return self.closed

    def _note(self, event: connection_state.Event) -> None:
        self._state = connection_state.after(self._state, event)

    def _note_answered(self) -> None:
        self._answered += 1
        self._unanswered = False
        self._rested_since = time.monotonic()

    def _describe(
        self, reason: closings.CloseReason
    ) -> closings.ClosedConnection:
        return closings.ClosedConnection(
            "",
            reason,
            self._peer,
            time.monotonic() - self._rested_since,
            self._answered,
            self._unanswered,
            self._source.bytes_waiting,
        )
