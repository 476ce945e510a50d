"""The HTTP server of a daemon, based on tornado's.

Each connection tracks whether a request is in flight on it, from the first
byte of the request to the last byte of its response. The idle timeout, the
body timeout and the graceful shutdown check this before they close the
connection.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import functools
from typing import Any
from typing import cast

import eliot
from tornado import http1connection
from tornado import httpserver
from tornado import httputil
from tornado import iostream
from tornado import web

from martenjunction import caller_records
from martenjunction import caller_stages
from martenjunction import connection_headers
from martenjunction import errors
from martenjunction import fair_streams
from martenjunction.decisions import rest_times
from martenjunction.http1 import close_reports
from martenjunction.http1 import end_looks
from martenjunction.http1 import peeks
from martenjunction.http1 import request_ledger

# Seconds to complete a request head that had begun when the idle timeout
# expired.
HEAD_TIMEOUT = 10.0

# Seconds until a connection is checked again that has received bytes which
# are not read yet.
RECHECK_INTERVAL = 0.1

# Seconds between checks for in-flight requests during a graceful shutdown.
DRAIN_CHECK_INTERVAL = 0.05

# Seconds for which a shutdown waits for the first request on a new connection.
# A client that had to connect sends it in its next packet.
FIRST_REQUEST_GRACE = 1.0

# Kinds of log lines, the same as those of a box on the platform.
CLOSED = "connection-closed"
AFTER_CLOSE = "request-after-close"


_Stage = caller_stages.Stage


class Server(httpserver.HTTPServer):
    """An HTTP server that closes only connections without a request."""

    def initialize(
        self,
        *args: Any,
        on_excess_framing: Callable[[], None] = lambda: None,
        ledger: request_ledger.RequestLedger | None = None,
        **kwargs: Any,
    ) -> None:
        """Initializes the server, as `httpserver.HTTPServer` does.

        The idle and body timeouts are handled here because the library's
        timers also close connections whose reader has already been woken for
        received bytes.

        Args:
            args: Arguments of the library's server.
            on_excess_framing: Called for each connection that is ended because
                the framing of a body outweighs its data.
            ledger: Accounts for the requests, or None for one of its own.
            kwargs: Arguments of the library's server.
        """
        super().initialize(*args, **kwargs)
        self._on_excess_framing = on_excess_framing
        self._ledger = ledger or request_ledger.RequestLedger()
        idle_s = self.conn_params.header_timeout
        self._timeouts: dict[_Stage, float | None] = {
            _Stage.HEAD: idle_s,
            _Stage.BODY: self.conn_params.body_timeout,
            _Stage.ANSWER: None,
        }
        self.conn_params.header_timeout = None
        self.conn_params.body_timeout = None
        self._open_connections: dict[iostream.IOStream, _Connection] = {}
        if isinstance(self.request_callback, web.Application):
            told_s = rest_times.told(idle_s or 0.0).told_s
            transform = functools.partial(
                connection_headers.ConnectionHeaders, told_s
            )
            self.request_callback.add_transform(
                cast(type[web.OutputTransform], transform)
            )

    def disable_keep_alive(self) -> None:
        """Closes each connection after its next response.

        The response announces this in its `Connection` header.
        """
        self.conn_params.no_keep_alive = True

    async def finish(self) -> None:
        """Drains in-flight requests, then stops; has no time limit."""
        while any(
            connection.in_request
            for connection in self._open_connections.values()
        ):
            await asyncio.sleep(DRAIN_CHECK_INTERVAL)
        self.stop()
        while self._open_connections:
            for connection in list(self._open_connections.values()):
                if (
                    not connection.in_request
                    and not connection.expects_first_request
                ):
                    connection.close()
            await asyncio.sleep(DRAIN_CHECK_INTERVAL)

    def abort(self) -> None:
        """Stops listening and closes every connection at once."""
        self.stop()
        for connection in list(self._open_connections.values()):
            connection.abort(close_reports.CloseReason.STOPPED)

    def handle_stream(
        self, stream: iostream.IOStream, address: tuple[Any, ...]
    ) -> None:
        """Starts to serve a connection."""
        fair = fair_streams.FairStream.over(stream, self._on_excess_framing)
        record = caller_records.CallerRecord(fair, self._ledger)
        self._open_connections[fair] = _Connection(fair, record, self._timeouts)
        super().handle_stream(fair, address)

    def start_request(
        self, server_conn: object, request_conn: httputil.HTTPConnection
    ) -> httputil.HTTPMessageDelegate:
        """Starts to wait for the next request on a connection."""
        delegate = super().start_request(server_conn, request_conn)
        connection = self._open_connections[_stream_of(server_conn)]
        connection.await_request(request_conn)
        return _StageTracker(delegate, connection)

    def on_close(self, server_conn: object) -> None:
        """Removes a closed connection."""
        super().on_close(server_conn)
        self._open_connections.pop(_stream_of(server_conn)).cancel_timers()


class _Connection:
    """Tracks whether a request is in flight on a connection."""

    def __init__(
        self,
        stream: fair_streams.FairStream,
        record: caller_records.CallerRecord,
        timeouts: dict[_Stage, float | None],
    ) -> None:
        """Initializes the state of a newly accepted connection.

        Args:
            stream: The connection's stream.
            record: Accounts for its requests.
            timeouts: The timeout of each stage in seconds; None for none.
        """
        self._stream = stream
        self._record = record
        self._timeouts = timeouts
        self._loop = asyncio.get_running_loop()
        self._accepted = self._loop.time()
        self._stage = _Stage.HEAD
        self._used = False
        self._head_timeout_set = False
        self._timer: asyncio.TimerHandle | None = None
        self._end_look = end_looks.EndLook(lambda: stream.socket)
        stream.before_close = self._end_request
        stream.on_read_ahead = self._on_read_ahead
        self.enter(_Stage.HEAD)

    @property
    def in_request(self) -> bool:
        """Whether any byte of a request arrived since the last response."""
        return (
            self._stage is not _Stage.HEAD
            or self._has_unread_bytes
            or self._head_started
        )

    @property
    def expects_first_request(self) -> bool:
        """Whether the first request is likely to be on its way."""
        age = self._loop.time() - self._accepted
        return not self._used and age < FIRST_REQUEST_GRACE

    def await_request(self, exchange: httputil.HTTPConnection) -> None:
        """Waits for the next request, which the exchange will read."""
        self._record.await_request(exchange)
        self._end_look.cancel()
        self.enter(_Stage.HEAD)

    def begin_body(self) -> None:
        """Records that the head of a request was read."""
        self._record.begin_request()
        self.enter(_Stage.BODY)

    def begin_answer(self) -> None:
        """Records that a request was read completely."""
        self._record.take_request()
        self.enter(_Stage.ANSWER)
        if self._stream.has_unread:
            self._on_read_ahead()

    def enter(self, stage: _Stage) -> None:
        """Enters a stage and starts its timeout."""
        self._stage = stage
        if stage is _Stage.HEAD:
            self._stream.has_written = False
        self._head_timeout_set = False
        self._used = self._used or stage is not _Stage.HEAD
        self._set_timer(self._timeouts[stage])

    def close(self) -> None:
        """Closes a connection without an in-flight request."""
        self._stream.close()

    def abort(self, reason: close_reports.CloseReason) -> None:
        """Closes the connection, even if a request is in flight.

        Logs only a request whose head is incomplete. For any other, the
        handler writes the log line because it knows the request id.
        """
        if self._stage is _Stage.HEAD and self.in_request:
            eliot.log_message(CLOSED, request_id=None, why=reason)
        self._stream.close(errors.LocalCloseError(reason))

    def cancel_timers(self) -> None:
        """Cancels the timers."""
        self._set_timer(None)
        self._end_look.cancel()

    @property
    def _has_unread_bytes(self) -> bool:
        """Whether received bytes are unread or the reader was woken for some.

        After an event loop stall that outlasts a timeout, a request may have
        arrived in time without having been read. Closing the connection then
        would lose it.
        """
        waiting = peeks.peek(self._stream.socket)
        return not self._stream.reading() or waiting is peeks.PendingInput.BYTES

    @property
    def _has_unparsed_bytes(self) -> bool:
        """Whether bytes of a head were read, or its reader was woken."""
        return self._head_started or not self._stream.reading()

    @property
    def _sends_without_pause(self) -> bool:
        """Whether the client sends a body faster than it is read."""
        return self._stage is _Stage.BODY and self._stream.never_pauses

    @property
    def _head_started(self) -> bool:
        return self._stream.has_unread

    def _set_timer(self, seconds: float | None) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if seconds is not None:
            self._timer = self._loop.call_later(seconds, self._on_timeout)

    def _on_timeout(self) -> None:
        if self._has_unread_bytes and not self._sends_without_pause:
            self._set_timer(RECHECK_INTERVAL)
        elif not self.in_request:
            self.close()
        elif self._stage is _Stage.HEAD and not self._head_timeout_set:
            self._head_timeout_set = True
            self._set_timer(HEAD_TIMEOUT)
        else:
            self._reject()

    def _on_read_ahead(self) -> None:
        if self._stage is _Stage.ANSWER:
            self._end_look.start(self._on_peer_end)

    def _on_peer_end(self) -> None:
        """Closes a connection that its peer reset behind unread requests.

        A peer that only ended its sending side may still read its responses.
        """
        if self._stream.closed():
            return
        error = peeks.take_error(self._stream.socket)
        if error is None:
            self._end_look.start(self._on_peer_end)
        else:
            self._stream.close(error)

    def _end_request(self) -> None:
        """Ends the request whose connection is closed.

        Called for each close, such as that at the end of what a caller sends.
        """
        # Asked first: what is sent to a peer that left resets the connection.
        peer_end = caller_records.find_peer_end(self._stream)
        self._record.end_at_close(peer_end, was_told=self._send_final())

    def _send_final(self) -> bool:
        """Responds to a request without an answer; returns whether it did."""
        if self._stream.has_written:
            return False
        if self._stage is not _Stage.HEAD or self._has_unparsed_bytes:
            return self._stream.send_last(
                caller_stages.FINAL_RESPONSES[self._stage]
            )
        return False

    def _reject(self) -> None:
        """Rejects a request that was not received in full, so it never ran."""
        if not self._stream.writing():
            self._stream.write(caller_stages.TIMEOUT_RESPONSE)
        self.abort(_TIMEOUT_REASONS[self._stage])


class _StageTracker(httputil.HTTPMessageDelegate):
    """Updates a connection's stage as its request is received."""

    def __init__(
        self, delegate: httputil.HTTPMessageDelegate, connection: _Connection
    ) -> None:
        self._delegate = delegate
        self._connection = connection

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> Awaitable[None] | None:
        self._connection.begin_body()
        return self._delegate.headers_received(start_line, headers)

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        return self._delegate.data_received(chunk)

    def finish(self) -> None:
        self._connection.begin_answer()
        self._delegate.finish()

    def on_connection_close(self) -> None:
        self._delegate.on_connection_close()


def close_reason(
    connection: httputil.HTTPConnection | None,
) -> close_reports.CloseReason:
    """Returns the reason for which a request's connection was closed."""
    stream = cast(http1connection.HTTP1Connection, connection).stream
    return caller_records.reason_of(stream.error)


def name_request(
    connection: httputil.HTTPConnection | None, request_id: str
) -> None:
    """Sets the id by which the log names a connection's current request."""
    stream = cast(http1connection.HTTP1Connection, connection).stream
    cast(fair_streams.FairStream, stream).request_id = request_id


def abort(
    connection: httputil.HTTPConnection | None,
    reason: close_reports.CloseReason,
) -> None:
    """Closes a request's connection in the middle of its response."""
    stream = cast(http1connection.HTTP1Connection, connection).stream
    stream.close(errors.LocalCloseError(reason))


def is_closed(connection: httputil.HTTPConnection | None) -> bool:
    """Returns whether a request's connection is closed."""
    return cast(http1connection.HTTP1Connection, connection).stream.closed()


def _stream_of(server_conn: object) -> iostream.IOStream:
    return cast(http1connection.HTTP1ServerConnection, server_conn).stream


_TIMEOUT_REASONS = {
    _Stage.HEAD: close_reports.CloseReason.SLOW_HEAD,
    _Stage.BODY: close_reports.CloseReason.SLOW_BODY,
}
