"""Accepts connections, also where the process lacks descriptors for them.

A listening socket whose connections cannot be accepted stays readable: without
a pause the event loop would try again in every iteration.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
import errno
import logging
import math
import socket
from typing import Any

from tornado import tcpserver

logger = logging.getLogger(__name__)

# Maximum number of connections that are accepted in one iteration of the event
# loop.
MAX_ACCEPTED = 128

# Seconds until the next try where the system lacks resources.
PAUSE_S = 0.1

# Minimum seconds between log lines of a server on that.
LOG_INTERVAL_S = 10.0

# Errors of the connection rather than of the system (accept(2)).
_CONNECTION_ERRORS = frozenset(
    {
        errno.ECONNABORTED,
        errno.EHOSTDOWN,
        errno.EHOSTUNREACH,
        errno.EINTR,
        errno.ENETDOWN,
        errno.ENETUNREACH,
        errno.ENONET,
        errno.ENOPROTOOPT,
        errno.EOPNOTSUPP,
        errno.EPERM,
        errno.EPROTO,
    }
)

OnConnection = Callable[[socket.socket, Any], None]


class Acceptor:
    """Accepts the connections of one listening socket."""

    def __init__(
        self, name: str, listening: socket.socket, on_connection: OnConnection
    ) -> None:
        """Initializes the acceptor and starts it in the running event loop.

        Args:
            name: Name of the server in the log.
            listening: The listening, non-blocking socket.
            on_connection: Called with each connection and its address.
        """
        self._name = name
        self._listening = listening
        self._on_connection = on_connection
        self._loop = asyncio.get_running_loop()
        self._resumption: asyncio.TimerHandle | None = None
        self._stopped = False
        self._logged_at = -math.inf
        self._listen()

    def stop(self) -> None:
        """Stops; call it before the socket is closed."""
        self._stopped = True
        self._loop.remove_reader(self._listening)
        if self._resumption is not None:
            self._resumption.cancel()

    def _listen(self) -> None:
        self._resumption = None
        self._loop.add_reader(self._listening, self._accept)

    def _accept(self) -> None:
        for _ in range(MAX_ACCEPTED):
            if self._stopped:
                return
            try:
                connection, address = self._listening.accept()
            except BlockingIOError:
                return
            except OSError as error:
                if error.errno in _CONNECTION_ERRORS:
                    continue
                self._pause(error)
                return
            self._on_connection(connection, address)

    def _pause(self, error: OSError) -> None:
        self._loop.remove_reader(self._listening)
        self._resumption = self._loop.call_later(PAUSE_S, self._listen)
        now = self._loop.time()
        if now - self._logged_at >= LOG_INTERVAL_S:
            self._logged_at = now
            logger.error("%s: cannot accept: %r", self._name, error)


class AcceptingServer(tcpserver.TCPServer):
    """A server whose accepts pause while the system lacks resources."""

    # Name in the log.
    _name = "server"

    def add_sockets(self, sockets: Iterable[socket.socket]) -> None:
        """Starts to accept the connections of listening sockets."""
        for listening in sockets:
            acceptor = Acceptor(self._name, listening, self._handle_connection)
            self._sockets[listening.fileno()] = listening
            self._handlers[listening.fileno()] = acceptor.stop
