"""Server side of a persistent HTTP/1.1 connection."""

from collections.abc import Callable
import dataclasses
import time

import h11

from martenjunction import errors
from martenjunction import fair_turns
from martenjunction.decisions import rest_times
from martenjunction.decisions.boxes import refused_bodies
from martenjunction.http1 import body_gate
from martenjunction.http1 import close_reports
from martenjunction.http1 import connection_record
from martenjunction.http1 import connection_state
from martenjunction.http1 import discarding
from martenjunction.http1 import framing
from martenjunction.http1 import messages
from martenjunction.http1 import peer_ends
from martenjunction.http1 import read_timers
from martenjunction.http1 import request_bodies
from martenjunction.http1 import request_errors
from martenjunction.http1 import request_input
from martenjunction.http1 import request_ledger
from martenjunction.http1 import response_writer
from martenjunction.http1 import resting
from martenjunction.http1 import streams
from martenjunction.http1 import watched_streams

# Seconds by which a timeout is extended that expires while bytes are unread:
# enough for the reader to consume them.
TIMEOUT_EXTENSION_S = 0.1

# The same, once, for a client that sends without a pause.
READING_EXTENSION_S = 0.04

# Timers may fire early by the resolution of the clock. An idle time is over if
# no more than this is left of it, in seconds.
TIMER_TOLERANCE_S = 0.001

# Seconds after which a connection that carried no request ends at a shutdown. A
# client that had to connect sends its request in its next packet.
FIRST_REQUEST_GRACE_S = 1.0

# Seconds between two looks whether the client's kernel has the whole response,
# from which on its connection rests.
LOOK_INTERVAL_S = rest_times.SERVER_MARGIN_S / 2

_OPEN = peer_ends.PeerEnd.OPEN
_State = connection_state.State
_Event = connection_state.Event


class ServerConnection:
    """A client connection that may carry several requests.

    A single state is checked both before the connection is closed and before a
    request is accepted from it. A request is therefore accepted only from an
    open connection, and no timeout closes the connection while the request is
    served.
    """

    def __init__(
        self,
        stream: watched_streams.WatchedStream,
        limits: Callable[[], messages.ClientLimits],
        gate: body_gate.BodyGate,
        discarder: discarding.Discarder,
        ledger: request_ledger.RequestLedger,
    ) -> None:
        """Initializes the connection over an accepted stream.

        Args:
            stream: The accepted stream.
            limits: Returns the current limits for clients.
            gate: Grants the memory of request bodies.
            discarder: Drops what is sent after the last response.
            ledger: Accounts for the requests.
        """
        self._stream = stream
        self._discarder = discarder
        # What is dropped after the last response.
        self._dropped: refused_bodies.RefusedBody | None = None
        self._limits = limits
        self._source = streams.ByteSource(stream)
        self._timer = read_timers.ReadTimer(self._on_timeout)
        self._input = request_input.RequestInput(
            self._source, self._timer, limits().max_header_bytes
        )
        self._rest = resting.Rest(limits)
        self._output = response_writer.ResponseWriter(
            stream, self._input, self._rest
        )
        self._bodies = request_bodies.BodyReader(
            self._input, self._timer, limits, gate, self._output.write_event
        )
        self._state = _State.RESTING
        self._shutting_down = False
        # When the head began that is not complete yet.
        self._head_since: float | None = None
        self._record = connection_record.ConnectionRecord(
            stream, self._source, self._input, self._output, self._rest, ledger
        )
        # Whoever closes the stream, a request that was read gets a response.
        stream.before_close = self._end_request

    @property
    def answering(self) -> bool:
        """Whether a response head was sent for the current request."""
        return self._output.started

    @property
    def unread(self) -> bool:
        """Whether the body of the current request is not read."""
        return self._bodies.unread

    @property
    def unanswered(self) -> bool:
        """Whether an accepted request has no complete response yet."""
        return self._record.unanswered is not None

    @property
    def closed(self) -> bool:
        """Whether the connection is closed."""
        return self._state is _State.CLOSED or self._stream.closed()

    @property
    def client_left(self) -> bool:
        """Whether it is closed, or the client has ended its sending side.

        Also peeks at the socket, with one system call: the event loop sees
        that end only in its next iteration.
        """
        return self.closed or self._source.peer_end is not _OPEN

    @property
    def _first_request_s(self) -> float:
        """Seconds within which the first request is likely to arrive."""
        if self._record.response_count:
            return 0.0
        return FIRST_REQUEST_GRACE_S - self._rest.rested_s

    def closing(self, server: str) -> close_reports.ClosedConnection:
        """Returns a report on the closed, or still open, connection.

        Args:
            server: Name of the server that accepted it.
        """
        return self._record.closing(server)

    async def read_request(self) -> messages.Request | None:
        """Waits for a request and reads it completely.

        The large body of a request that is refused is not read; the response
        then announces the close. Call `release` when the request is no longer
        needed.

        Returns:
            The request, or None if the client closed the connection.

        Raises:
            RequestSyntaxError: If it is malformed, too large or too slow.
            RequestNotTakenError: If the connection was closed meanwhile.
            ConnectionLostError: If the client disconnected within it.
        """
        head = await self._read_head()
        if head is None:
            return None
        self._record.begin_request()
        request = messages.Request(
            bytes(head.method),
            bytes(head.target),
            [(bytes(n), bytes(v)) for n, v in head.headers.raw_items()],
            received_at=time.monotonic(),
        )
        self._output.begin_request(head)
        max_body_bytes = self._limits().max_body_bytes
        length = framing.check(request, max_body_bytes)
        try:
            request.body = await self._bodies.take(
                request, length, max_body_bytes
            )
            self._accept_request(request)
        except BaseException:
            self.release(request)
            raise
        # A chunked body may be shorter than what was reserved.
        self._bodies.reduce_reserved(request, len(request.body))
        return request

    def release(self, request: messages.Request) -> None:
        """Gives back the memory that was reserved for a request."""
        self._bodies.reduce_reserved(request, 0)

    def on_disconnect(self, callback: Callable[[], None] | None) -> None:
        """Sets the callback for a client that disconnects, or None."""
        self._source.on_end(callback)

    async def answer(
        self,
        status: int,
        headers: messages.Headers,
        body: messages.Body,
        close: bool = False,
    ) -> None:
        """Sends a complete response.

        Args:
            status: HTTP status.
            headers: Headers without those of framing.
            body: The body.
            close: Whether to close the connection after the response.

        Raises:
            ClientLostError: If the client disconnected.
        """
        length = (b"Content-Length", str(len(body)).encode())
        self._send_head(status, [*headers, length], close)
        await self._output.end_body(body)
        self._record_response()

    async def begin(
        self, status: int, headers: messages.Headers, close: bool = False
    ) -> None:
        """Sends the head of a response of unknown length.

        Raises:
            ClientLostError: If the client disconnected.
        """
        self._send_head(status, headers, close)

    async def write(self, data: bytes) -> None:
        """Sends a part of the body; waits until the socket accepted it.

        Raises:
            ClientLostError: If the client disconnected or fell silent.
        """
        await self._output.send_body(data)

    async def end(self) -> None:
        """Completes the response.

        Raises:
            ClientLostError: If the client disconnected.
        """
        await self._output.end_body()
        self._record_response()

    def prepare_next_request(self) -> bool:
        """Prepares for the next request; returns whether one may follow."""
        self._output.end_request()
        if self._output.close_announced or self.closed:
            return False
        if (
            self._input.parser.our_state is not h11.DONE
            or self._input.parser.their_state is not h11.DONE
        ):
            return False
        self._input.parser.start_next_cycle()
        self._record.prepare_next_request()
        streams.limit_unread(self._stream, False)
        self._transition(_Event.REQUEST_ENDED)
        self._rest.begin()
        if self._input.unparsed:
            self._transition(_Event.BYTES_CAME)
        return not (self._shutting_down and self._close_if_idle())

    async def drop_unread(self, reason: close_reports.CloseReason) -> None:
        """Drops what the client still sends after the last response.

        Args:
            reason: Reason for the report. The client may close the connection
                meanwhile.
        """
        self._timer.cancel()
        if self.closed:
            return
        report = self._record.build_report(reason)
        # The parser holds what was read and not parsed.
        self._input.parser = h11.Connection(h11.SERVER)
        now = time.monotonic()
        self._dropped = refused_bodies.RefusedBody(
            self._bodies.rest, now, self._bodies.is_length_known
        )
        if self._shutting_down:
            self._dropped.shorten(read_timers.SHUTDOWN_READ_TIMEOUT_S, now)
        await self._discarder.drop(self._stream, self._dropped)
        self._input.received += self._dropped.dropped
        if self._record.report is None:
            self._record.report = dataclasses.replace(
                report, received=self._input.received
            )

    def close_when_idle(self) -> None:
        """Closes the connection as soon as it is idle.

        A request that is partly read or has unread bytes is still served; its
        response announces the close.
        """
        if not self._shutting_down:
            self._shutting_down = True
            self._timer.shut_down(self._state is _State.READING)
            if self._dropped is not None:
                self._dropped.shorten(
                    read_timers.SHUTDOWN_READ_TIMEOUT_S, time.monotonic()
                )
        self._close_if_idle()

    def end_rest(self, kept_rest_s: float) -> bool:
        """Closes the connection if it is idle; returns whether it was.

        Args:
            kept_rest_s: Seconds that it must have rested if it has carried a
                request.
        """
        if self.closed or self._state is not _State.RESTING:
            return False
        if self._record.response_count and self._rest.rested_s < kept_rest_s:
            return False
        if self._source.bytes_waiting:
            return False
        self.abort(close_reports.CloseReason.ROOM)
        return True

    def end_slow_head(self, least_s: float) -> bool:
        """Closes the connection if a head stays incomplete.

        Args:
            least_s: Seconds since the head began.

        Returns:
            Whether it was closed.
        """
        if self.closed or self._head_since is None or self._output.started:
            return False
        if self._record.response_count:
            # The client may still read the response before.
            return False
        if time.monotonic() - self._head_since < least_s:
            return False
        if self._source.bytes_waiting:
            return False
        self.abort(close_reports.CloseReason.ROOM)
        return True

    def end_drop(self, least_s: float) -> bool:
        """Closes the connection if only what is dropped is awaited from it.

        Args:
            least_s: Seconds since the last response.

        Returns:
            Whether it was closed.
        """
        if self.closed or self._dropped is None:
            return False
        if self._dropped.open_for(time.monotonic()) < least_s:
            return False
        self.abort(close_reports.CloseReason.ROOM)
        return True

    def abort(self, reason: close_reports.CloseReason) -> None:
        """Closes the connection; data in the socket's buffer is still sent.

        Args:
            reason: Reason for the report; the first call determines it.
        """
        self._timer.cancel()
        self._record.begin_close(reason, self._state)
        self._source.abort()
        # One whose head was parsed after the stream had closed.
        self._end_request()
        self._transition(_Event.CLOSED)

    async def _read_head(self) -> h11.Request | None:
        if self._state is _State.READING:
            self._start_head()
        else:
            self._timer.set(
                min(self._rest.remaining_s, LOOK_INTERVAL_S),
                close_reports.CloseReason.IDLE,
            )
        turns = self._source.turns
        while True:
            await turns.pause_if_spent()
            if framing.begins_with_too_many_lines(self._input.unparsed):
                raise request_errors.RequestSyntaxError(
                    431, "too many header fields"
                )
            event = self._input.next_event()
            if isinstance(event, h11.Request):
                turns.spend(fair_turns.HEAD_COST)
                self._timer.cancel()
                self._head_since = None
                return event
            if event is not h11.NEED_DATA:
                return None
            try:
                data = await self._input.read()
            except errors.ConnectionLostError:
                return None
            if data and self._state is _State.RESTING:
                self._record.note("bytes-came")
                self._transition(_Event.BYTES_CAME)
                self._start_head()
            self._input.parser.receive_data(data)

    def _start_head(self) -> None:
        self._head_since = time.monotonic()
        self._timer.set(
            self._limits().header_timeout_s, close_reports.CloseReason.SLOW_HEAD
        )

    def _send_head(
        self, status: int, headers: messages.Headers, close: bool
    ) -> None:
        closes = close or self._shutting_down or self._bodies.unread
        self._output.send_head(status, headers, closes)
        self._record.note("head-sent")

    def _on_timeout(
        self, reason: close_reports.CloseReason, final: bool
    ) -> None:
        """Ends the rest or the read unless the awaited bytes have arrived."""
        reading = self._state is _State.READING
        endless = reading and self._source.never_pauses
        if final and endless:
            self._input.expire(reason)
            return
        if self._source.bytes_waiting:
            # After the event loop was blocked, the timeout expires in the same
            # iteration that reads the bytes: the request would be passed on
            # and its connection closed without a response.
            extension_s = (
                READING_EXTENSION_S if endless else TIMEOUT_EXTENSION_S
            )
            self._timer.set(extension_s, reason, final=endless)
            return
        if reason is close_reports.CloseReason.IDLE:
            delivering = streams.is_delivering(self._stream)
            if delivering:
                self._rest.begin_anew()
            left = self._rest.remaining_s
            if left > TIMER_TOLERANCE_S:
                if delivering:
                    left = min(left, LOOK_INTERVAL_S)
                self._timer.set(left, reason)
                return
        if reading:
            self._input.expire(reason)
        else:
            self.abort(reason)

    def _accept_request(self, request: messages.Request) -> None:
        """Accepts a request if the connection is still open.

        Raises:
            RequestNotTakenError: If the connection is closed.
        """
        # A reader that was woken before the close continues from its buffer. No
        # response could be sent to what it still reads.
        if self.closed:
            raise request_errors.RequestNotTakenError(request)
        self._transition(_Event.REQUEST_TAKEN)
        self._record.take_request(request)

    def _end_request(self) -> None:
        self._record.end_request(self._state)

    def _close_if_idle(self) -> bool:
        """Closes an idle connection; returns whether it is closed.

        One that was just accepted is left some time for its first request.
        """
        if self._state is _State.RESTING and not self._source.bytes_waiting:
            left_s = self._first_request_s
            if left_s > 0.0:
                self._timer.set(left_s, close_reports.CloseReason.STOPPED)
            else:
                self.abort(close_reports.CloseReason.STOPPED)
        return self.closed

    def _transition(self, event: connection_state.Event) -> None:
        self._state = connection_state.next_state(self._state, event)

    def _record_response(self) -> None:
        self._record.record_response()
        self._rest.begin()
