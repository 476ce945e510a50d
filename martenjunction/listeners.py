"""The servers on which a daemon listens for callers and operators."""

import socket
from typing import Any

import eliot
from tornado import web

from martenjunction import addresses
from martenjunction import http_server
from martenjunction import metrics
from martenjunction.callers import chat
from martenjunction.callers import lists
from martenjunction.callers import plain
from martenjunction.callers import service as caller_service
from martenjunction.config import settings as daemon_settings
from martenjunction.http1 import close_reports
from martenjunction.http1 import request_ledger
from martenjunction.operators import handlers as operator_handlers

# Idle timeout of a connection and timeout of a request body, in seconds.
IDLE_CONNECTION = 75.0
BODY_TIMEOUT = 60.0

# Maximum number of connections that wait to be accepted.
BACKLOG = 1024


class Listeners:
    """The caller and operator servers of a daemon."""

    def __init__(
        self,
        settings: daemon_settings.DaemonSettings,
        callers: caller_service.CallerService,
        daemon: operator_handlers.OperatedDaemon,
        counters: metrics.Metrics,
    ) -> None:
        """Initializes the servers, which do not listen yet.

        Args:
            settings: The daemon's settings.
            callers: The service that handles callers' requests.
            daemon: The daemon that handles operators' requests.
            counters: Counts connections ended for excessive framing.
        """
        self._settings = settings
        self._callers = callers
        self._daemon = daemon
        self._metrics = counters
        self._servers: list[http_server.Server] = []
        self._ledger = request_ledger.RequestLedger()

    @property
    def ledger(self) -> request_ledger.RequestLedger:
        """Accounts for the requests of callers."""
        return self._ledger

    @property
    def sockets(self) -> list[socket.socket]:
        """The sockets that callers and operators connect to."""
        # tornado has no public API for this.
        return [
            listening
            for server in self._servers
            for listening in server._sockets.values()
        ]

    def start(self) -> None:
        """Starts to listen."""
        settings = self._settings
        self._listen(
            _caller_application(self._callers),
            settings.listen_callers or settings.callers,
            self._ledger,
        )
        self._listen(
            operator_handlers.application(self._daemon, settings.operator_key),
            settings.operators,
            request_ledger.RequestLedger(),
        )

    def disable_keep_alive(self) -> None:
        """Closes each connection after its next response.

        The response announces this in its `Connection` header.
        """
        for server in self._servers:
            server.disable_keep_alive()

    async def finish(self) -> None:
        """Drains in-flight requests, then stops; has no time limit."""
        for server in self._servers:
            await server.finish()

    async def abort(self) -> None:
        """Closes all connections at once and aborts in-flight requests."""
        for server in self._servers:
            server.abort()
        for server in self._servers:
            await server.close_all_connections()

    def _listen(
        self,
        application: web.Application,
        address: str,
        ledger: request_ledger.RequestLedger,
    ) -> None:
        server = http_server.Server(
            application,
            max_header_size=self._settings.header_limit,
            max_body_size=self._settings.body_limit,
            idle_connection_timeout=IDLE_CONNECTION,
            body_timeout=BODY_TIMEOUT,
            on_excess_framing=self._note_excess_framing,
            ledger=ledger,
        )
        host_name, port = addresses.split_address(address)
        server.listen(port, host_name, backlog=BACKLOG)
        self._servers.append(server)

    def _note_excess_framing(self) -> None:
        """Counts and logs a connection that is ended for its framing."""
        self._metrics.count("excess_framing", side="client")
        eliot.log_message(
            http_server.CLOSED, why=close_reports.CloseReason.FRAMING
        )


def _caller_application(
    callers: caller_service.CallerService,
) -> web.Application:
    arguments: dict[str, Any] = {"callers": callers}
    return web.Application(
        [
            ("/v1/chat/completions", chat.ChatHandler, arguments),
            ("/v1/models", lists.ModelsHandler, arguments),
            ("/v1/entry", lists.EntryHandler, arguments),
            ("/v1/services/([^/]+)/(.*)", plain.PlainHandler, arguments),
            (".*", lists.UnknownPathHandler, arguments),
        ]
    )
