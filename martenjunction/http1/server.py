"""An HTTP/1.1 server that passes requests unchanged to a handler."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import http
import itertools
import logging
import sys
import time

from tornado import iostream

from martenjunction import addresses
from martenjunction import errors
from martenjunction.decisions.boxes import connection_share
from martenjunction.decisions.boxes import refused_bodies
from martenjunction.http1 import accepting
from martenjunction.http1 import body_gate
from martenjunction.http1 import close_reports
from martenjunction.http1 import discarding
from martenjunction.http1 import messages
from martenjunction.http1 import peer_ends
from martenjunction.http1 import request_errors
from martenjunction.http1 import request_ledger
from martenjunction.http1 import server_connection
from martenjunction.http1 import streams
from martenjunction.http1 import watched_streams

logger = logging.getLogger(__name__)

# Maximum length of the queue of connections to accept.
BACKLOG = 1024

# Status of a request that was not passed to the handler.
_NOT_RUN = http.HTTPStatus.SERVICE_UNAVAILABLE.value

Handler = Callable[
    [server_connection.ServerConnection, messages.Request], Awaitable[None]
]


class Server(accepting.AcceptingServer):
    """Accepts connections and calls a handler for each request."""

    def __init__(
        self,
        name: str,
        handler: Handler,
        limits: Callable[[], messages.ClientLimits] = messages.ClientLimits,
        on_closed: close_reports.OnClosed = close_reports.ignore_report,
        gate: body_gate.BodyGate | None = None,
        accepts: Callable[[], bool] = lambda: True,
        share: connection_share.ConnectionShare | None = None,
        on_share: Callable[[], None] = lambda: None,
    ) -> None:
        """Initializes the server; `listen_on` starts it.

        Args:
            name: Name of the server in the log.
            handler: Called with the connection and each request; sends the
                response.
            limits: Returns the current limits for clients.
            on_closed: Called for each connection that was not closed by its
                client or after a response that announced the close, and for
                those whose client was not reached any more.
            gate: Grants the memory of request bodies; unlimited if left out.
            accepts: Returns whether new connections are served; otherwise they
                are closed, with nothing read from them.
            share: Limits the connections; unlimited if left out.
            on_share: Called after each change of the share's state.
        """
        super().__init__(max_buffer_size=streams.MAX_BUFFER_BYTES)
        self._name = name
        self._handler = handler
        self._limits = limits
        self._on_closed = on_closed
        self._gate = gate or body_gate.OpenGate()
        self._accepts = accepts
        self._share = share or connection_share.ConnectionShare(sys.maxsize)
        self._on_share = on_share
        self._discarder = discarding.Discarder()
        self._ledger = request_ledger.RequestLedger()
        # Ordered by the time at which they last began to rest.
        self._connections: dict[server_connection.ServerConnection, None] = {}
        self._finishing = False
        self._ended = asyncio.Event()

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    @property
    def ledger(self) -> request_ledger.RequestLedger:
        """The account of all requests whose head was read."""
        return self._ledger

    def listen_on(self, address: str) -> None:
        """Starts to listen.

        Args:
            address: IP address and port.
        """
        host, port = addresses.split_address(address)
        self.listen(port, host, backlog=BACKLOG)

    @property
    def ended(self) -> bool:
        """Whether `finish` was called and no connection is open."""
        return self._finishing and not self._connections

    def finish(self) -> None:
        """Stops listening and closes each connection once it is idle."""
        self.stop()
        self._finishing = True
        for connection in list(self._connections):
            connection.close_when_idle()
        self._check_ended()

    async def wait_ended(self) -> None:
        """Waits until no connection is open; call `finish` first."""
        await self._ended.wait()

    def close_all(self) -> None:
        """Stops listening and closes all connections immediately."""
        self.stop()
        for connection in list(self._connections):
            connection.abort(close_reports.CloseReason.STOPPED)

    def handle_stream(
        self, stream: iostream.IOStream, address: tuple[str, int]
    ) -> Awaitable[None] | None:
        """Registers a connection and returns the task that serves it."""
        if not self._accepts() or not self._make_room():
            stream.close()
            return None
        streams.set_client_options(stream.socket)
        connection = server_connection.ServerConnection(
            watched_streams.WatchedStream.over(stream),
            self._current_limits,
            self._gate,
            self._discarder,
            self._ledger,
        )
        # Registered before its task first runs, so that a shutdown sees it.
        self._connections[connection] = None
        if self._finishing:
            connection.close_when_idle()
        return self._run_connection(connection)

    async def _run_connection(
        self, connection: server_connection.ServerConnection
    ) -> None:
        reason = close_reports.CloseReason.FAILED
        try:
            reason = await self._serve(connection)
        except request_errors.RequestNotTakenError as error:
            reason = close_reports.CloseReason.CLIENT
            closing = connection.closing(self._name)
            self._on_closed(dataclasses.replace(closing, request=error.request))
        except errors.ConnectionLostError:
            # The client disconnected; the handler has recorded that.
            reason = close_reports.CloseReason.CLIENT
        except Exception:
            logger.exception("%s: failed to serve a connection", self._name)
        finally:
            connection.abort(reason)
            self._connections.pop(connection, None)
            self._note_closed()
            self._check_ended()
            closing = connection.closing(self._name)
            if _is_reported(closing):
                self._on_closed(closing)

    async def _serve(
        self, connection: server_connection.ServerConnection
    ) -> close_reports.CloseReason:
        """Serves all requests; returns why the connection is to be closed."""
        while True:
            refusal = None
            try:
                request = await connection.read_request()
            except request_errors.RequestSyntaxError as error:
                logger.info("%s: request rejected: %s", self._name, error)
                refusal = error.status, error.reason
            except errors.ConnectionLostError:
                raise
            except (Exception, asyncio.CancelledError):
                if _is_cancelled():
                    raise
                logger.exception("%s: failed to read a request", self._name)
                refusal = _NOT_RUN, close_reports.CloseReason.FAILED
            # The exception keeps its frames, and with them what was read last.
            if refusal is not None:
                status, reason = refusal
                await connection.answer(status, [], b"", close=True)
                await connection.drop_unread(reason)
                return reason
            if request is None:
                return close_reports.CloseReason.CLIENT
            try:
                await self._handle(connection, request)
            finally:
                connection.release(request)
            if connection.unanswered:
                return close_reports.CloseReason.FAILED
            if connection.unread:
                await connection.drop_unread(
                    close_reports.CloseReason.LAST_ANSWER
                )
            if not connection.prepare_next_request():
                return close_reports.CloseReason.LAST_ANSWER
            self._connections.pop(connection, None)
            self._connections[connection] = None

    async def _handle(
        self,
        connection: server_connection.ServerConnection,
        request: messages.Request,
    ) -> None:
        """Calls the handler; responds with 502 if it sends no response.

        Raises:
            ClientLostError: If the client disconnected.
        """
        try:
            await self._handler(connection, request)
        except errors.ClientLostError:
            raise
        except (Exception, asyncio.CancelledError):
            if _is_cancelled():
                raise
            logger.exception("%s: the handler raised an exception", self._name)
        if not connection.unanswered or connection.answering:
            return
        if not connection.closed:
            # The request may have been executed: the response must not promise
            # the contrary, and without one the client could not tell.
            logger.error("%s: the handler sent no response", self._name)
            await connection.answer(502, [], b"", close=True)

    def _current_limits(self) -> messages.ClientLimits:
        limits = self._limits()
        longest_s = self._share.max_idle_timeout_s
        if limits.idle_timeout_s <= longest_s:
            return limits
        return dataclasses.replace(limits, idle_timeout_s=longest_s)

    def _make_room(self) -> bool:
        """Ends idle connections for a new one; returns whether it may stay."""
        before = self._share.state
        now = time.monotonic()
        excess = self._share.excess(len(self._connections), now)
        ended = self._end_oldest(excess) if excess else 0
        admitted = self._share.admit(len(self._connections), ended, now)
        if self._share.state is not before:
            self._on_share()
        return admitted

    def _end_oldest(self, count: int) -> int:
        """Ends connections that carry no request, those that rest first.

        Returns:
            How many were ended, `count` at most.
        """
        found: list[server_connection.ServerConnection] = []
        for end in (_end_rest, _end_slow_head, _end_drop):
            left = count - len(found)
            ended = filter(end, self._connections)
            found += itertools.islice(ended, left)
        # Their descriptors are free, before their tasks have ended.
        for connection in found:
            del self._connections[connection]
        return len(found)

    def _note_closed(self) -> None:
        before = self._share.state
        self._share.note_closed(len(self._connections))
        if self._share.state is not before:
            self._on_share()

    def _check_ended(self) -> None:
        if self._finishing and not self._connections:
            self._ended.set()


def _end_rest(connection: server_connection.ServerConnection) -> bool:
    return connection.end_rest(connection_share.KEPT_REST_S)


def _end_slow_head(connection: server_connection.ServerConnection) -> bool:
    return connection.end_slow_head(connection_share.MAX_HEAD_S)


def _is_cancelled() -> bool:
    """Returns whether the current task itself is cancelled.

    A future that it awaits may also have been cancelled by another task.
    """
    task = asyncio.current_task()
    return task is not None and task.cancelling() > 0


def _end_drop(connection: server_connection.ServerConnection) -> bool:
    return connection.end_drop(refused_bodies.MAX_DROP_S)


def _is_reported(closing: close_reports.ClosedConnection) -> bool:
    """Returns whether a closed connection is reported.

    The kernel may have held the end of a response when it gave up on a client.
    """
    return (
        closing.in_flight
        or closing.reason not in _UNREPORTED
        or closing.peer_end in _UNREACHED
    )


_UNREACHED = frozenset({peer_ends.PeerEnd.TIMED_OUT, peer_ends.PeerEnd.FAILED})

# Expected reasons, which are not reported unless a request is in flight.
_UNREPORTED = frozenset(
    {
        close_reports.CloseReason.CLIENT,
        close_reports.CloseReason.LAST_ANSWER,
        close_reports.CloseReason.ROOM,
    }
)
