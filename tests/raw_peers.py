"""A server whose bytes a test sends by hand, also while the loop is held up."""

import asyncio
import dataclasses
import errno
import socket
import time
from typing import NoReturn

from martenjunction import model
from tests import routing_builders as builders

HOLD_UP_S = 0.15


class RawPeer:
    """A listening socket, and the connections that it accepted."""

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
            made, _ = await loop.sock_accept(self._listener)
        self.accepted.append(made)
        return made

    async def request(self, made: socket.socket) -> bytes:
        """Waits for the bytes of a request, none at the connection's end."""
        async with asyncio.timeout(10.0):
            loop = asyncio.get_running_loop()
            return await loop.sock_recv(made, 64 * 1024)

    def close(self) -> None:
        for made in self.accepted:
            made.close()
        self._listener.close()


def hold_up(seconds: float = HOLD_UP_S) -> None:
    """Holds the event loop up, as a wait for a core does."""
    time.sleep(seconds)


def answer(body: bytes, *headers: str) -> bytes:
    lines = ["HTTP/1.1 200 OK", f"Content-Length: {len(body)}", *headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def endpoint_at(peer: RawPeer) -> model.Endpoint:
    return dataclasses.replace(builders.endpoint(), address=peer.address)


def no_descriptors(*_: object, **__: object) -> NoReturn:
    """Stands in for a socket call of a process without descriptors."""
    raise OSError(errno.EMFILE, "Too many open files")
