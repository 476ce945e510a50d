"""The servers on which a daemon listens for callers and operators."""

import socket
from typing import Any

from tornado import web

from martenjunction import addresses
from martenjunction import http_server
from martenjunction.callers import chat
from martenjunction.callers import lists
from martenjunction.callers import plain
from martenjunction.callers import service as caller_service
from martenjunction.config import settings as daemon_settings
from martenjunction.operators import handlers as operator_handlers

# Seconds for which a connection may rest, and that a body may take.
IDLE_CONNECTION = 75.0
BODY_TIMEOUT = 60.0

# Connections that may wait to be accepted.
BACKLOG = 1024


class Listeners:
    """Both servers of a daemon."""

    def __init__(
        self,
        settings: daemon_settings.DaemonSettings,
        callers: caller_service.CallerService,
        operated: operator_handlers.Operated,
    ) -> None:
        """Makes servers that do not listen yet.

        Args:
            settings: The daemon's settings.
            callers: The service behind the callers' side.
            operated: What operators ask and tell.
        """
        self._settings = settings
        self._callers = callers
        self._operated = operated
        self._servers: list[http_server.Server] = []

    @property
    def sockets(self) -> list[socket.socket]:
        """The sockets that callers and operators connect to."""
        # The library has no public call for this.
        return [
            listening
            for server in self._servers
            for listening in server._sockets.values()
        ]

    def begin(self) -> None:
        """Begins to listen."""
        settings = self._settings
        self._listen(
            _callers_side(self._callers),
            settings.listen_callers or settings.callers,
        )
        self._listen(
            operator_handlers.application(
                self._operated, settings.operator_key
            ),
            settings.operators,
        )

    def end_reuse(self) -> None:
        """Has each connection end with its next answer, which says so."""
        for server in self._servers:
            server.end_reuse()

    async def finish(self) -> None:
        """Answers what is under way, then ends; it may take any time."""
        for server in self._servers:
            await server.finish()

    async def cut_off(self) -> None:
        """Closes everything at once; requests in flight are cut off."""
        for server in self._servers:
            server.cut_off()
        for server in self._servers:
            await server.close_all_connections()

    def _listen(self, application: web.Application, address: str) -> None:
        server = http_server.Server(
            application,
            max_header_size=self._settings.header_limit,
            max_body_size=self._settings.body_limit,
            idle_connection_timeout=IDLE_CONNECTION,
            body_timeout=BODY_TIMEOUT,
        )
        host_name, port = addresses.split_address(address)
        server.listen(port, host_name, backlog=BACKLOG)
        self._servers.append(server)


def _callers_side(callers: caller_service.CallerService) -> web.Application:
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
