"""Responses whose connection ends within their head.

Guards against successes with an empty body that look whole. An endpoint sent
its head up to the carriage return of the empty line, and closed the connection.
libcurl hands that carriage return over like a line, and it was taken for the
end of the head: the client of the product's own interface reported an empty
response as complete, unless a length had been announced (four of six forms, one
cut each).
"""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import socket
import struct

import pytest

from martenjunction import errors
from martenjunction.endpoints import client as endpoint_client
from martenjunction.http1 import client
from martenjunction.platform import store

RESET = struct.pack("ii", 1, 0)
BODY = b'{"metadata":{"name":"a"}}'

HEADS = {
    "length": b"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 25\r\n\r\n",
    "chunks": b"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
    "neither": b"HTTP/1.1 200 OK\r\nId: 1\r\n\r\n",
    "interim": b"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"
    b"HTTP/1.1 200 OK\r\nContent-Length: 25\r\n\r\n",
    "no-content": b"HTTP/1.1 204 No Content\r\nId: 1\r\n\r\n",
    "not-modified": b"HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\n\r\n",
}

WHOLE = b"HTTP/1.1 200 OK\r\nContent-Length: 25\r\n\r\n" + BODY

Ask = Callable[[str], Awaitable[object]]


class Cutter:
    """Responds with bytes that end early; whole responses come before."""

    def __init__(self) -> None:
        self.data = b""
        self.whole_before = 0
        self.resets = False
        self._server: asyncio.Server | None = None

    @property
    def address(self) -> str:
        assert self._server is not None
        host, port = self._server.sockets[0].getsockname()
        return f"{host}:{port}"

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)

    def stop(self) -> None:
        assert self._server is not None
        self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(ConnectionError, EOFError):
            for _ in range(self.whole_before):
                await reader.readuntil(b"\r\n\r\n")
                writer.write(WHOLE)
            await reader.readuntil(b"\r\n\r\n")
            writer.write(self.data)
            await writer.drain()
            if self.resets:
                # What was sent before a reset may otherwise be dropped.
                await asyncio.sleep(0.002)
                writer.get_extra_info("socket").setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, RESET
                )
        writer.close()


@pytest.fixture
async def cutter() -> AsyncIterator[Cutter]:
    made = Cutter()
    await made.start()
    yield made
    made.stop()


async def ask_twice(address: str) -> None:
    """Sends two requests over one connection; the first one is answered."""
    connection = client.ClientConnection(address)
    await connection.open(1.0)
    try:
        for _ in range(2):
            connection.send(b"GET", b"/", [(b"Host", b"a")], b"")
            await connection.read_head()
            while await connection.read_body():
                pass
            assert connection.finish()
    finally:
        connection.abort()


async def ask_head(address: str) -> None:
    connection = client.ClientConnection(address)
    await connection.open(1.0)
    try:
        connection.send(b"HEAD", b"/", [(b"Host", b"a")], b"")
        await connection.read_head()
    finally:
        connection.abort()


async def ask_store(address: str) -> None:
    calls = store.StoreClient(address)
    try:
        await calls.get("servers", "a")
    finally:
        calls.close()


async def ask_with_curl(address: str) -> None:
    http = endpoint_client.EndpointClient(1)
    request = endpoint_client.EndpointRequest(
        "GET", f"http://{address}/", [], None, True
    )
    try:
        stream = http.open(request)
        await stream.head()
        while await stream.read():
            pass
    finally:
        http.close()


BROKEN = (
    errors.TransportError,
    errors.PlatformUnavailableError,
    errors.EndpointBrokenError,
)


@pytest.mark.parametrize("resets", [False, True], ids=["fin", "reset"])
@pytest.mark.parametrize("head", HEADS.values(), ids=HEADS.keys())
@pytest.mark.parametrize("ask", [ask_twice, ask_head, ask_store, ask_with_curl])
async def test_response_that_ends_within_its_head_is_broken(
    cutter: Cutter, ask: Ask, head: bytes, resets: bool
) -> None:
    cutter.resets = resets
    cutter.whole_before = int(ask is ask_twice)
    taken = []
    for cut in range(len(head)):
        cutter.data = head[:cut]
        try:
            async with asyncio.timeout(10.0):
                await ask(cutter.address)
            taken.append(head[:cut][-8:])
        except BROKEN:
            continue
    assert not taken
