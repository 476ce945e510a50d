"""The HTTP server of a daemon, over tornado's.

One state a connection says whether a request is under way on it, from its
first byte to the last byte of its answer. Idle time, time for a body and
planned stop ask it before they close.
"""

import asyncio
from collections.abc import Awaitable
import enum
from typing import Any
from typing import cast

import eliot
from tornado import http1connection
from tornado import httpserver
from tornado import httputil
from tornado import iostream
from tornado import web

from martenjunction import errors
from martenjunction import http_headers
from martenjunction.decisions import outcomes
from martenjunction.http1 import closings
from martenjunction.http1 import peeks

# Seconds that a head gets which had begun when the idle time ended.
HEAD_TIMEOUT = 10.0

# Seconds until the next look at a connection whose bytes have arrived and
# are not yet read.
NEXT_LOOK = 0.1

# Seconds between looks at what a planned stop waits for.
STOP_INTERVAL = 0.05

# Seconds for which a stop waits for the first request of a new connection: a
# client that had to connect sends it with the next packet.
FIRST_REQUEST = 1.0

# Kinds of log lines, as a box on the platform writes them.
CLOSED = "connection-closed"
AFTER_CLOSE = "request-after-close"


class Stage(enum.Enum):
    """What a connection is at."""

    HEAD = "head"
    BODY = "body"
    ANSWER = "answer"


class Server(httpserver.HTTPServer):
    """Serves requests, and closes only connections that carry none."""

    def initialize(self, *args: Any, **kwargs: Any) -> None:
        """Takes the arguments of `httpserver.HTTPServer`.

        The times for idle connections and bodies are kept here: the
        library's own timers close what its reader has already been woken
        for.
        """
        super().initialize(*args, **kwargs)
        self._times: dict[Stage, float | None] = {
            Stage.HEAD: self.conn_params.header_timeout,
            Stage.BODY: self.conn_params.body_timeout,
            Stage.ANSWER: None,
        }
        self.conn_params.header_timeout = None
        self.conn_params.body_timeout = None
        self._open: dict[iostream.IOStream, _Connection] = {}
        if isinstance(self.request_callback, web.Application):
            self.request_callback.add_transform(_TellLastAnswer)

    def end_reuse(self) -> None:
        """Has each connection end with its next answer, which says so."""
        self.conn_params.no_keep_alive = True

    async def finish(self) -> None:
        """Answers what is under way, then ends; it may take any time."""
        while any(held.in_request for held in self._open.values()):
            await asyncio.sleep(STOP_INTERVAL)
        self.stop()
        while self._open:
            for held in list(self._open.values()):
                if not held.in_request and not held.awaits_first:
                    held.close()
            await asyncio.sleep(STOP_INTERVAL)

    def cut_off(self) -> None:
        """Stops listening and closes every connection at once."""
        self.stop()
        for held in list(self._open.values()):
            held.cut_off(closings.CloseReason.STOPPED)

    def handle_stream(
        self, stream: iostream.IOStream, address: tuple[Any, ...]
    ) -> None:
        """Begins to serve a connection."""
        self._open[stream] = _Connection(stream, self._times)
        super().handle_stream(stream, address)

    def start_request(
        self, server_conn: object, request_conn: httputil.HTTPConnection
    ) -> httputil.HTTPMessageDelegate:
        """Begins to wait for the next request of a connection."""
        made = super().start_request(server_conn, request_conn)
        held = self._open[_stream_of(server_conn)]
        held.enter(Stage.HEAD)
        return _Noted(made, held)

    def on_close(self, server_conn: object) -> None:
        """Forgets a connection."""
        super().on_close(server_conn)
        self._open.pop(_stream_of(server_conn)).forget()


class _Connection:
    """Whether a request is under way on a connection."""

    def __init__(
        self, stream: iostream.IOStream, times: dict[Stage, float | None]
    ) -> None:
        """Begins with a connection that was just accepted.

        Args:
            stream: The connection.
            times: The longest time of each stage, in seconds.
        """
        self._stream = stream
        self._times = times
        self._loop = asyncio.get_running_loop()
        self._accepted = self._loop.time()
        self._stage = Stage.HEAD
        self._used = False
        self._late = False
        self._timer: asyncio.TimerHandle | None = None
        self.enter(Stage.HEAD)

    @property
    def in_request(self) -> bool:
        """Whether any byte of a request came since the last answer."""
        return (
            self._stage is not Stage.HEAD or self._arriving or self._head_began
        )

    @property
    def awaits_first(self) -> bool:
        """Whether its first request is likely to be on its way."""
        age = self._loop.time() - self._accepted
        return not self._used and age < FIRST_REQUEST

    def enter(self, stage: Stage) -> None:
        """Goes on to a stage, whose time begins."""
        self._stage = stage
        self._late = False
        self._used = self._used or stage is not Stage.HEAD
        self._set_timer(self._times[stage])

    def close(self) -> None:
        """Closes a connection that carries no request."""
        self._stream.close()

    def cut_off(self, why: closings.CloseReason) -> None:
        """Closes the connection, whatever is under way.

        A handler logs its request itself, since it knows the id.
        """
        if self._stage is Stage.HEAD and self.in_request:
            eliot.log_message(CLOSED, request_id=None, why=why)
        self._stream.close(errors.ConnectionCutError(why))

    def forget(self) -> None:
        """Ends its timer."""
        self._set_timer(None)

    @property
    def _arriving(self) -> bool:
        """Whether the reader has bytes to take in, or was woken for some.

        Closed then, a request would be lost that came in time: it has come
        when the event loop was held up over the end of a time.
        """
        waiting = peeks.peek(self._stream.socket)
        return not self._stream.reading() or waiting is peeks.Waiting.BYTES

    @property
    def _head_began(self) -> bool:
        # The library has no public call for this.
        return self._stream._read_buffer_size > 0

    def _set_timer(self, seconds: float | None) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if seconds is not None:
            self._timer = self._loop.call_later(seconds, self._on_time_up)

    def _on_time_up(self) -> None:
        if self._arriving:
            self._set_timer(NEXT_LOOK)
        elif not self.in_request:
            self.close()
        elif self._stage is Stage.HEAD and not self._late:
            self._late = True
            self._set_timer(HEAD_TIMEOUT)
        else:
            self._refuse()

    def _refuse(self) -> None:
        """Ends a request that is not read in full: nothing of it was run."""
        if not self._stream.writing():
            self._stream.write(_TOO_SLOW)
        self.cut_off(_SLOW[self._stage])


class _Noted(httputil.HTTPMessageDelegate):
    """Tells a connection how far its request is read."""

    def __init__(
        self, inner: httputil.HTTPMessageDelegate, held: _Connection
    ) -> None:
        self._inner = inner
        self._held = held

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> Awaitable[None] | None:
        self._held.enter(Stage.BODY)
        return self._inner.headers_received(start_line, headers)

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        return self._inner.data_received(chunk)

    def finish(self) -> None:
        self._held.enter(Stage.ANSWER)
        self._inner.finish()

    def on_connection_close(self) -> None:
        self._inner.on_connection_close()


class _TellLastAnswer(web.OutputTransform):
    """Says in each answer after `end_reuse` that its connection ends."""

    def __init__(self, request: httputil.HTTPServerRequest) -> None:
        connection = cast(http1connection.HTTP1Connection, request.connection)
        self._parameters = connection.params

    def transform_first_chunk(
        self,
        status_code: int,
        headers: httputil.HTTPHeaders,
        chunk: bytes,
        finishing: bool,
    ) -> tuple[int, httputil.HTTPHeaders, bytes]:
        if self._parameters.no_keep_alive:
            headers["Connection"] = "close"
        return status_code, headers, chunk


def close_reason(
    connection: httputil.HTTPConnection | None,
) -> closings.CloseReason:
    """Returns why a request's connection, which is closed, was closed."""
    error = cast(http1connection.HTTP1Connection, connection).stream.error
    if isinstance(error, errors.ConnectionCutError):
        return closings.CloseReason(error.why)
    return closings.CloseReason.CLIENT


def cut_off(
    connection: httputil.HTTPConnection | None, why: closings.CloseReason
) -> None:
    """Closes a request's connection within its answer."""
    stream = cast(http1connection.HTTP1Connection, connection).stream
    stream.close(errors.ConnectionCutError(why))


def is_closed(connection: httputil.HTTPConnection | None) -> bool:
    """Returns whether a request's connection is closed."""
    return cast(http1connection.HTTP1Connection, connection).stream.closed()


def _stream_of(server_conn: object) -> iostream.IOStream:
    return cast(http1connection.HTTP1ServerConnection, server_conn).stream


_SLOW = {
    Stage.HEAD: closings.CloseReason.SLOW_HEAD,
    Stage.BODY: closings.CloseReason.SLOW_BODY,
}

_TOO_SLOW = (
    "HTTP/1.1 408 Request Timeout\r\n"
    f"{http_headers.OUTCOME}: {outcomes.Outcome.NOT_RUN}\r\n"
    "Content-Length: 0\r\nConnection: close\r\n\r\n"
).encode()
