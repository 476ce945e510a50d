"""What all stand-ins share: a server that can be cut off and brought back."""

import json
from typing import Any

from tornado import httpserver
from tornado import netutil
from tornado import web


class StandIn:
    """A small HTTP server on a loopback address."""

    def __init__(self, address: str = "127.0.0.1:0") -> None:
        """Makes a server that does not listen yet.

        Args:
            address: IP number and port; port 0 takes a free one.
        """
        self._host, _, port = address.rpartition(":")
        self._port = int(port)
        self._server: httpserver.HTTPServer | None = None

    @property
    def address(self) -> str:
        """IP number and port, once it listens."""
        return f"{self._host}:{self._port}"

    def handlers(self) -> list[Any]:
        """Returns the web library's list of paths and handlers."""
        raise NotImplementedError

    def start(self) -> None:
        """Begins to listen."""
        sockets = netutil.bind_sockets(
            self._port, self._host, backlog=1024, reuse_port=False
        )
        self._port = sockets[0].getsockname()[1]
        self._server = httpserver.HTTPServer(
            web.Application(self.handlers(), log_function=lambda _: None)
        )
        self._server.add_sockets(sockets)

    async def stop(self) -> None:
        """Closes the port and every connection."""
        if self._server is not None:
            self._server.stop()
            await self._server.close_all_connections()
            self._server = None


class JsonHandler(web.RequestHandler):
    """A handler that reads JSON bodies."""

    def body(self) -> Any:
        """Returns the parsed body; an empty one is an empty object."""
        return json.loads(self.request.body or b"{}")


def drop_connection(handler: web.RequestHandler) -> None:
    """Closes a caller's connection without an answer."""
    stream = getattr(handler.request.connection, "stream", None)
    if stream is not None:
        stream.close()
