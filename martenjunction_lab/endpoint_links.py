"""Links from boxes to endpoints that can be cut, each box's for itself.

All boxes of a fleet run in one process and are given the same addresses of
endpoints. A context variable tells whose connection is made, and each pair of a
box and an endpoint has a relay of its own.
"""

import asyncio
from collections.abc import Coroutine
from collections.abc import Iterator
import contextlib
import contextvars
import enum
import socket
from typing import Any
from unittest import mock

from tornado import iostream

from martenjunction import addresses

CHUNK_BYTES = 64 * 1024

_BOX: contextvars.ContextVar[str] = contextvars.ContextVar("box", default="")


class Mode(enum.StrEnum):
    """What a link does with connections.

    Attributes:
        OPEN: It passes everything.
        HANG: Open connections pass nothing, new ones hang.
        RESET: Open connections are reset, new ones refused.
        REFUSE: Open connections live on, new ones are refused.
    """

    OPEN = "open"
    HANG = "hang"
    RESET = "reset"
    REFUSE = "refuse"


class _Link:
    """The way of one box to one endpoint."""

    def __init__(self, target: str) -> None:
        self._target = target
        self._flows = asyncio.Event()
        self._flows.set()
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self.mode = Mode.OPEN
        self.connects = 0

    async def start(self) -> tuple[str, int]:
        """Begins to listen; returns the address."""
        self._server = await asyncio.start_server(
            self._accept, "127.0.0.1", 0, backlog=256
        )
        host, port = self._server.sockets[0].getsockname()
        return host, port

    def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.ensure_future(self._relay(reader, writer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def stop(self) -> None:
        """Ends all connections."""
        if self._server is not None:
            self._server.close()
        self._reset()
        for task in self._tasks:
            task.cancel()

    def set_mode(self, mode: Mode) -> None:
        """Changes what happens to connections from now on."""
        self.mode = mode
        if mode is Mode.HANG:
            self._flows.clear()
            return
        self._flows.set()
        if mode is Mode.RESET:
            self._reset()

    def _reset(self) -> None:
        for writer in list(self._writers):
            _abort(writer)

    async def _relay(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        host, port = addresses.split_address(self._target)
        self._writers.add(writer)
        other = None
        try:
            other_reader, other = await asyncio.open_connection(host, port)
            self._writers.add(other)
            copies = [
                asyncio.ensure_future(self._copy(reader, other)),
                asyncio.ensure_future(self._copy(other_reader, writer)),
            ]
            await asyncio.wait(copies, return_when=asyncio.FIRST_COMPLETED)
            for copy in copies:
                copy.cancel()
        except OSError:
            return
        finally:
            for one in (writer, other):
                if one is not None:
                    self._writers.discard(one)
                    await _close(one)

    async def _copy(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                await self._flows.wait()
                writer.write(data)
                await writer.drain()
            await self._flows.wait()


class LinkTable:
    """The links of all boxes to all endpoints."""

    def __init__(self) -> None:
        """Initializes a table whose links are open."""
        self._links: dict[tuple[str, str], _Link] = {}
        self._ways: dict[tuple[str, str], tuple[str, int]] = {}
        refusing = _refusing_socket()
        self._refused: tuple[str, int] = refusing.getsockname()
        self._hanging, self._sockets = _hanging_address()
        self._sockets.append(refusing)

    async def add(self, boxes: list[str], target: str) -> None:
        """Puts links before an endpoint.

        Args:
            boxes: The names of all boxes.
            target: The endpoint's address.
        """
        for box in boxes:
            link = _Link(target)
            self._links[box, target] = link
            self._ways[box, target] = await link.start()

    def cut(self, boxes: list[str], targets: list[str], mode: Mode) -> None:
        """Changes the links of some boxes to some endpoints."""
        for box in boxes:
            for target in targets:
                self._links[box, target].set_mode(mode)

    def connects(self, box: str) -> int:
        """Returns the connections that a box began."""
        return sum(
            link.connects for (of, _), link in self._links.items() if of == box
        )

    def stop(self) -> None:
        """Closes all links."""
        for link in self._links.values():
            link.stop()
        for sock in self._sockets:
            sock.close()

    @contextlib.contextmanager
    def installed(self) -> Iterator[None]:
        """Sends the boxes' connections to endpoints over their links."""
        connect = iostream.IOStream.connect

        def connect_over_link(
            stream: iostream.IOStream,
            address: tuple[str, int],
            server_hostname: str | None = None,
        ) -> Any:
            return connect(stream, self._way(address), server_hostname)

        with mock.patch.object(iostream.IOStream, "connect", connect_over_link):
            yield

    def _way(self, address: tuple[str, int]) -> tuple[str, int]:
        key = _BOX.get(), f"{address[0]}:{address[1]}"
        link = self._links.get(key)
        if link is None:
            return address
        link.connects += 1
        if link.mode is Mode.HANG:
            return self._hanging
        if link.mode in (Mode.RESET, Mode.REFUSE):
            return self._refused
        return self._ways[key]


async def run_as(box: str, work: Coroutine[Any, Any, Any]) -> Any:
    """Runs a box's work, so that its connections are known as its own."""
    context = contextvars.copy_context()
    context.run(_BOX.set, box)
    loop = asyncio.get_running_loop()
    return await loop.create_task(work, context=context)


async def _close(writer: asyncio.StreamWriter) -> None:
    writer.close()
    with contextlib.suppress(OSError):
        await writer.wait_closed()


def _abort(writer: asyncio.StreamWriter) -> None:
    """Resets a connection."""
    sock = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0"
        )
    writer.transport.abort()


def _refusing_socket() -> socket.socket:
    """Returns a socket whose address refuses connections.

    It stays bound, so that no other process listens there.
    """
    sock = socket.socket()
    sock.bind(("127.0.0.1", 0))
    return sock


def _hanging_address() -> tuple[tuple[str, int], list[socket.socket]]:
    """Returns an address where connections hang, and the sockets behind it.

    Its queue of connections is full, so that opening packets are dropped.
    """
    listening = socket.socket()
    listening.bind(("127.0.0.1", 0))
    listening.listen(0)
    sockets = [listening]
    for _ in range(2):
        sock = socket.socket()
        sock.setblocking(False)
        sock.connect_ex(listening.getsockname())
        sockets.append(sock)
    address: tuple[str, int] = listening.getsockname()
    return address, sockets
