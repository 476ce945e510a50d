"""A server whose bytes a test sends itself, also while the loop is blocked."""

import asyncio
import errno
import socket
import time
from typing import NoReturn

import msgspec

from martenjunction import model
from tests import routing_builders as builders

BLOCK_S = 0.15


class RawPeer:
    """A listening socket and its accepted connections."""

    def __init__(self) -> None:
        self._listener = socket.create_server(("127.0.0.1", 0))
        self._listener.setblocking(False)
        self.accepted: list[socket.socket] = []

    @property
    def address(self) -> str:
        host, port = self._listener.getsockname()
        return f"{host}:{port}"

    async def accept(self) -> socket.socket:
        async with asyncio.timeout(10.0):
            loop = asyncio.get_running_loop()
            connection, _ = await loop.sock_accept(self._listener)
        self.accepted.append(connection)
        return connection

    async def request(self, connection: socket.socket) -> bytes:
        """Receives bytes of a request, or none at the end of the stream."""
        async with asyncio.timeout(10.0):
            loop = asyncio.get_running_loop()
            return await loop.sock_recv(connection, 64 * 1024)

    def close(self) -> None:
        for connection in self.accepted:
            connection.close()
        self._listener.close()


def block_event_loop(seconds: float = BLOCK_S) -> None:
    """Blocks the event loop, as a wait for a processor core does."""
    time.sleep(seconds)


def answer(body: bytes, *headers: str) -> bytes:
    lines = ["HTTP/1.1 200 OK", f"Content-Length: {len(body)}", *headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def endpoint_at(peer: RawPeer) -> model.Endpoint:
    return msgspec.structs.replace(builders.endpoint(), address=peer.address)


def raise_emfile(*_: object, **__: object) -> NoReturn:
    """Replaces a socket call in a process without free file descriptors."""
    raise OSError(errno.EMFILE, "Too many open files")
