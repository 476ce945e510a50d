"""An HTTP/1.1 server that hands on requests byte for byte."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import logging

from tornado import iostream
from tornado import tcpserver

from martenjunction import addresses
from martenjunction import errors
from martenjunction.http1 import closings
from martenjunction.http1 import messages
from martenjunction.http1 import request_errors
from martenjunction.http1 import server_connection
from martenjunction.http1 import streams

logger = logging.getLogger(__name__)

# Connections that may wait to be accepted.
BACKLOG = 1024

Handler = Callable[
    [server_connection.ServerConnection, messages.Request], Awaitable[None]
]


class Server(tcpserver.TCPServer):
    """Accepts connections and calls a handler for each request."""

    def __init__(
        self,
        name: str,
        handler: Handler,
        limits: Callable[[], messages.ClientLimits] = messages.ClientLimits,
        on_closed: closings.OnClosed = closings.ignore,
    ) -> None:
        """Makes a server; `listen_on` begins.

        Args:
            name: Names it in the log.
            handler: Answers one request; called with its connection.
            limits: Returns what clients may send at the moment.
            on_closed: Told of connections that did not end as usual: by their
                client, or after an answer that said so.
        """
        super().__init__(max_buffer_size=streams.MAX_BUFFER_BYTES)
        self._name = name
        self._handler = handler
        self._limits = limits
        self._on_closed = on_closed
        self._connections: set[server_connection.ServerConnection] = set()
        self._finishing = False
        self._ended = asyncio.Event()

    @property
    def connections(self) -> int:
        """Connections that are open."""
        return len(self._connections)

    def listen_on(self, address: str) -> None:
        """Begins to listen.

        Args:
            address: IP address and port.
        """
        host, port = addresses.split_address(address)
        self.listen(port, host, backlog=BACKLOG)

    @property
    def ended(self) -> bool:
        """Whether it was told to finish and no connection is left."""
        return self._finishing and not self._connections

    def finish(self) -> None:
        """Stops listening and ends connections once nothing is under way."""
        self.stop()
        self._finishing = True
        for connection in list(self._connections):
            connection.end_when_idle()
        self._note_ended()

    async def wait_ended(self) -> None:
        """Waits until no connection is left; `finish` comes first."""
        await self._ended.wait()

    def close_all(self) -> None:
        """Stops listening and ends every connection at once."""
        self.stop()
        for connection in list(self._connections):
            connection.abort(closings.CloseReason.STOPPED)

    def handle_stream(
        self, stream: iostream.IOStream, address: tuple[str, int]
    ) -> Awaitable[None]:
        """Takes a connection in at once, and serves it until it ends."""
        streams.tune(stream.socket)
        connection = server_connection.ServerConnection(stream, self._limits)
        # Before its task first runs, so that no stop overlooks it.
        self._connections.add(connection)
        if self._finishing:
            connection.end_when_idle()
        return self._carry(connection)

    async def _carry(
        self, connection: server_connection.ServerConnection
    ) -> None:
        reason = closings.CloseReason.FAILED
        try:
            reason = await self._serve(connection)
        except request_errors.RequestNotTakenError as error:
            reason = closings.CloseReason.CLIENT
            closing = connection.closing(self._name)
            self._on_closed(dataclasses.replace(closing, request=error.request))
        except errors.ConnectionLostError:
            # The client left; whoever served it has noted that.
            reason = closings.CloseReason.CLIENT
        except Exception:
            logger.exception("%s: a connection failed", self._name)
        finally:
            connection.abort(reason)
            self._connections.discard(connection)
            self._note_ended()
            closing = connection.closing(self._name)
            if closing.reason not in _USUAL:
                self._on_closed(closing)

    async def _serve(
        self, connection: server_connection.ServerConnection
    ) -> closings.CloseReason:
        """Serves requests until the last; returns why it was the last."""
        while True:
            try:
                request = await connection.read_request()
            except request_errors.RequestSyntaxError as error:
                logger.info("%s: request refused: %s", self._name, error)
                await connection.answer(error.status, [], b"", close=True)
                return closings.CloseReason.REFUSED
            if request is None:
                return closings.CloseReason.CLIENT
            await self._handle(connection, request)
            if connection.unanswered:
                return closings.CloseReason.FAILED
            if not connection.next_request():
                return closings.CloseReason.LAST_ANSWER

    async def _handle(
        self,
        connection: server_connection.ServerConnection,
        request: messages.Request,
    ) -> None:
        """Has a request answered, also where its handler gives no answer.

        Raises:
            ConnectionLostError: If the client left.
        """
        try:
            await self._handler(connection, request)
        except errors.ConnectionLostError:
            raise
        except Exception:
            logger.exception("%s: a handler failed", self._name)
        if not connection.unanswered or connection.answering:
            return
        if not connection.closed:
            # It may have run: no answer may promise the contrary, and none at
            # all leaves the client to guess.
            logger.error("%s: a request was given no answer", self._name)
            await connection.answer(502, [], b"", close=True)

    def _note_ended(self) -> None:
        if self._finishing and not self._connections:
            self._ended.set()


# Ends that need no line of their own.
_USUAL = frozenset(
    {closings.CloseReason.CLIENT, closings.CloseReason.LAST_ANSWER}
)
