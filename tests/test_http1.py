"""HTTP/1.1 connections: framing, limits, closes and lost connections."""

import asyncio
from collections.abc import AsyncIterator

import pytest

from martenjunction import errors
from martenjunction.http1 import client
from martenjunction.http1 import messages
from martenjunction.http1 import server
from martenjunction.http1 import server_connection
from martenjunction_lab import bench

LIMITS = messages.ClientLimits(
    max_header_bytes=2048,
    max_body_bytes=1000,
    header_timeout_s=0.3,
    idle_timeout_s=30.0,
)


class Echo:
    """Echoes and records the requests it receives."""

    def __init__(self) -> None:
        self.received: list[messages.Request] = []
        self.disconnects = 0
        self.connections: set[server_connection.ServerConnection] = set()
        self.release = asyncio.Event()
        self.release.set()

    async def __call__(
        self,
        connection: server_connection.ServerConnection,
        request: messages.Request,
    ) -> None:
        self.received.append(request)
        self.connections.add(connection)
        connection.on_disconnect(self._count)
        await self.release.wait()
        connection.on_disconnect(None)
        await connection.answer(200, [], request.target + b"|" + request.body)

    def _count(self) -> None:
        self.disconnects += 1


@pytest.fixture
async def echo() -> AsyncIterator[tuple[Echo, str]]:
    handler = Echo()
    listening = server.Server("test", handler, lambda: LIMITS)
    address = bench.free_address()
    listening.listen_on(address)
    yield handler, address
    listening.close_all()


async def exchange_raw(address: str, data: bytes) -> bytes:
    """Sends bytes and returns all data until the connection is closed."""
    host, _, port = address.partition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(data)
    try:
        async with asyncio.timeout(10.0):
            return await reader.read()
    finally:
        writer.close()


POST = b"POST /x HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"


async def test_chunked_body_is_read_completely(echo: tuple[Echo, str]) -> None:
    handler, address = echo
    answer = await exchange_raw(
        address,
        POST + b"Transfer-Encoding: chunked\r\n\r\n"
        b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n",
    )
    assert answer.endswith(b"/x|abcde")
    assert handler.received[0].body == b"abcde"


@pytest.mark.parametrize(
    "framing",
    [
        b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        b"Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
        b"Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
        b"Content-Length: -1\r\n\r\n",
        b"Bad Name: x\r\n\r\n",
    ],
)
async def test_ambiguous_framing_is_rejected(
    echo: tuple[Echo, str], framing: bytes
) -> None:
    handler, address = echo
    answer = await exchange_raw(address, POST + framing)
    assert answer.startswith((b"HTTP/1.1 400", b"HTTP/1.1 501"))
    assert not handler.received


async def test_body_over_limit_is_rejected_unread(
    echo: tuple[Echo, str],
) -> None:
    handler, address = echo
    answer = await exchange_raw(address, POST + b"Content-Length: 1001\r\n\r\n")
    assert answer.startswith(b"HTTP/1.1 413")
    assert not handler.received


async def test_head_over_limit_is_rejected(
    echo: tuple[Echo, str],
) -> None:
    handler, address = echo
    answer = await exchange_raw(address, POST + b"X: " + b"y" * 4000)
    assert answer.startswith(b"HTTP/1.1 431")
    assert not handler.received


async def test_incomplete_head_times_out(echo: tuple[Echo, str]) -> None:
    handler, address = echo
    answer = await exchange_raw(address, POST)
    assert answer.startswith(b"HTTP/1.1 408 ")
    assert answer.endswith(b"\r\n\r\n")
    assert not handler.received


async def test_pipelined_requests_are_answered_in_order(
    echo: tuple[Echo, str],
) -> None:
    _, address = echo
    first = b"GET /1 HTTP/1.1\r\nHost: a\r\n\r\n"
    last = b"GET /2 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
    answer = await exchange_raw(address, first + last)
    assert answer.count(b"HTTP/1.1 200") == 2
    assert answer.index(b"/1|") < answer.index(b"/2|")


async def test_disconnect_of_waiting_client_is_detected(
    echo: tuple[Echo, str],
) -> None:
    handler, address = echo
    handler.release.clear()
    connection = client.ClientConnection(address)
    await connection.open(5.0)
    connection.send(b"GET", b"/x", [(b"Host", b"a")], b"")
    async with asyncio.timeout(10.0):
        while not handler.received:
            await asyncio.sleep(0.01)
        connection.abort()
        while not handler.disconnects:
            await asyncio.sleep(0.01)
    handler.release.set()


async def test_connection_is_reused_for_several_requests(
    echo: tuple[Echo, str],
) -> None:
    handler, address = echo
    connection = client.ClientConnection(address)
    await connection.open(5.0)
    for number in range(3):
        target = f"/{number}".encode()
        connection.send(b"GET", target, [(b"Host", b"a")], b"")
        await connection.read_head()
        assert await connection.read_body() == target + b"|"
        assert await connection.read_body() == b""
        assert connection.finish()
    assert (len(handler.received), len(handler.connections)) == (3, 1)
    connection.abort()


async def serve_bytes(data: bytes, reset: bool = False) -> asyncio.Server:
    """Returns a server that sends fixed bytes and closes the connection."""

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(data)
        await writer.drain()
        if reset:
            writer.transport.abort()
        else:
            writer.close()

    return await asyncio.start_server(serve, "127.0.0.1", 0)


async def send_request(
    listening: asyncio.Server,
) -> tuple[client.ClientConnection, int]:
    host, port = listening.sockets[0].getsockname()
    connection = client.ClientConnection(f"{host}:{port}")
    await connection.open(5.0)
    connection.send(b"GET", b"/x", [(b"Host", b"a")], b"")
    head = await connection.read_head()
    return connection, head.status


@pytest.mark.parametrize(
    "answer",
    [
        b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab",
    ],
)
async def test_truncated_response_raises_transport_error(answer: bytes) -> None:
    listening = await serve_bytes(answer)
    connection, _ = await send_request(listening)
    with pytest.raises(errors.TransportError):
        while await connection.read_body():
            pass
    listening.close()


async def test_response_without_length_ends_at_close() -> None:
    listening = await serve_bytes(b"HTTP/1.1 200 OK\r\n\r\nabc")
    connection, _ = await send_request(listening)
    assert await connection.read_body() == b"abc"
    assert await connection.read_body() == b""
    assert not connection.finish()
    listening.close()


async def test_malformed_response_raises_syntax_error() -> None:
    listening = await serve_bytes(b"nonsense\r\n\r\n")
    with pytest.raises(errors.HttpSyntaxError):
        await send_request(listening)
    listening.close()


async def test_closed_connection_rejects_request() -> None:
    listening = await serve_bytes(
        b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
    )
    connection, _ = await send_request(listening)
    assert await connection.read_body() == b""
    connection.finish()
    async with asyncio.timeout(10.0):
        while connection.is_reusable():
            await asyncio.sleep(0.01)
    with pytest.raises(errors.ConnectError):
        connection.send(b"GET", b"/y", [(b"Host", b"a")], b"")
    listening.close()


async def test_refused_connection_raises_error() -> None:
    connection = client.ClientConnection(bench.free_address())
    with pytest.raises(errors.ConnectError):
        await connection.open(5.0)


@pytest.mark.parametrize("fails", [True, False])
async def test_handler_without_response_yields_502(fails: bool) -> None:
    async def handle(
        connection: server_connection.ServerConnection,
        request: messages.Request,
    ) -> None:
        if fails:
            raise RuntimeError("handler bug")

    listening = server.Server("test", handler=handle)
    address = bench.free_address()
    listening.listen_on(address)
    answer = await exchange_raw(address, b"GET /x HTTP/1.1\r\nHost: a\r\n\r\n")
    assert answer.startswith(b"HTTP/1.1 502")
    listening.close_all()


async def test_finish_waits_for_connection_just_accepted() -> None:
    handler = Echo()
    handler.release.clear()
    listening = server.Server("test", handler)
    address = bench.free_address()
    listening.listen_on(address)
    connection = client.ClientConnection(address)
    await connection.open(5.0)
    connection.send(b"GET", b"/x", [(b"Host", b"a")], b"")
    async with asyncio.timeout(10.0):
        while not listening.connections:
            await asyncio.sleep(0)
        listening.finish()
        assert not listening.ended
        handler.release.set()
        await connection.read_head()
        assert await connection.read_body() == b"/x|"
        await listening.wait_ended()
    assert listening.ended
    connection.abort()
