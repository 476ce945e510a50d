"""Requests that are refused by their head, with large bodies.

Guards against reading a whole body, chunk by chunk, for a client without any
right, and against losing the answer to a client that still sends: a socket that
is closed with unread bytes is reset.
"""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib
import time

import pytest

from martenjunction import gateway
from martenjunction.decisions.boxes import connection_share
from martenjunction.decisions.boxes import refused_bodies
from martenjunction.http1 import body_gate
from martenjunction.http1 import discarding
from martenjunction.http1 import messages
from martenjunction.http1 import server
from martenjunction.http1 import server_connection
from martenjunction_lab import bench
from martenjunction_lab import boxes
from tests import routing_builders as builders

MB = 1024 * 1024
MAX_BODY_BYTES = 8 * MB

# Seconds within which an answer comes at once.
AT_ONCE_S = 0.5

# Seconds within which an answer comes at all.
LIMIT_S = 10.0

WRONG_KEY = "Bearer wrong"
RIGHT_KEY = f"Bearer {builders.KEY}"

# Path, key, status and body of the answer.
REFUSALS = [
    ("/safe/x", WRONG_KEY, 401, b"unknown-key"),
    ("/none/x", RIGHT_KEY, 404, b"no-route"),
]


class Client:
    """A client whose bytes a test sends itself."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._reader = reader
        self._writer = writer
        self.sent = 0

    def send(self, data: bytes) -> None:
        self._writer.write(data)

    def send_head(self, path: str, key: str, *lines: str) -> None:
        head = [
            f"POST {path} HTTP/1.1",
            f"Host: {builders.HOST}",
            f"Authorization: {key}",
            "Martenjunction-Attempt-Id: r1",
            *lines,
        ]
        self.send("\r\n".join(head).encode() + b"\r\n\r\n")

    async def answer(self, limit_s: float = LIMIT_S) -> tuple[bytes, bytes]:
        """Returns the head and the body of the next answer."""
        async with asyncio.timeout(limit_s):
            head = await self._reader.readuntil(b"\r\n\r\n")
            length = 0
            for line in head.lower().split(b"\r\n"):
                if line.startswith(b"content-length:"):
                    length = int(line.partition(b":")[2])
            return head, await self._reader.readexactly(length)

    async def until_closed(self) -> None:
        """Waits for the box to close the sending side of its connection."""
        async with asyncio.timeout(LIMIT_S):
            assert await self._reader.read() == b""

    async def send_all(self, data: bytes) -> None:
        self._writer.write(data)
        await self._writer.drain()

    async def send_slowly(self, data: bytes, pause_s: float) -> None:
        """Sends data again and again until the connection is reset."""
        with contextlib.suppress(ConnectionError):
            while True:
                self._writer.write(data)
                await self._writer.drain()
                self.sent += len(data)
                await asyncio.sleep(pause_s)

    def close(self) -> None:
        self._writer.close()


async def connect(address: str) -> Client:
    host, _, port = address.partition(":")
    return Client(*await asyncio.open_connection(host, int(port)))


@pytest.fixture
async def box() -> AsyncIterator[gateway.Gateway]:
    fleet = boxes.Boxes()
    document = builders.config_document()
    document["limits"]["max_body_bytes"] = MAX_BODY_BYTES
    await fleet.start(document)
    await fleet.add_replica(builders.PLAIN)
    await fleet.until_listed()
    yield fleet.gateways[0]
    await fleet.stop()


@pytest.fixture
async def client(box: gateway.Gateway) -> AsyncIterator[Client]:
    made = await connect(box.members.own.callers)
    yield made
    made.close()


def assert_refused(
    answer: tuple[bytes, bytes], status: int, body: bytes
) -> None:
    head, got = answer
    assert head.startswith(b"HTTP/1.1 %d " % status)
    assert b"connection: close" in head.lower()
    assert got == body


@pytest.mark.parametrize(("path", "key", "status", "body"), REFUSALS)
@pytest.mark.parametrize("expects", [[], ["Expect: 100-continue"]])
async def test_large_body_is_refused_before_it_is_sent(
    client: Client,
    path: str,
    key: str,
    status: int,
    body: bytes,
    expects: list[str],
) -> None:
    client.send_head(path, key, f"Content-Length: {4 * MB}", *expects)
    assert_refused(await client.answer(AT_ONCE_S), status, body)
    await client.until_closed()


@pytest.mark.parametrize(("path", "key", "status", "body"), REFUSALS)
async def test_chunked_body_is_refused_once_it_is_large(
    client: Client, path: str, key: str, status: int, body: bytes
) -> None:
    client.send_head(path, key, "Transfer-Encoding: chunked")
    client.send(b"11000\r\n" + bytes(0x11000))
    assert_refused(await client.answer(AT_ONCE_S), status, body)
    await client.until_closed()


@pytest.mark.parametrize(
    ("framing", "data"),
    [
        (f"Content-Length: {64 * 1024}", bytes(64 * 1024)),
        (
            "Transfer-Encoding: chunked",
            b"10000\r\n" + bytes(64 * 1024) + b"\r\n0\r\n\r\n",
        ),
    ],
)
async def test_refusal_of_a_small_body_keeps_the_connection(
    client: Client, framing: str, data: bytes
) -> None:
    for key, status in ((WRONG_KEY, 401), (WRONG_KEY, 401), (RIGHT_KEY, 200)):
        client.send_head("/safe/x", key, framing)
        client.send(data)
        head, _ = await client.answer()
        assert head.startswith(b"HTTP/1.1 %d " % status)
        assert b"connection: close" not in head.lower()


async def test_large_body_of_an_admitted_request_is_read(
    client: Client,
) -> None:
    for _ in range(2):
        client.send_head("/safe/x", RIGHT_KEY, f"Content-Length: {MB}")
        client.send(bytes(MB))
        head, _ = await client.answer()
        assert head.startswith(b"HTTP/1.1 200 ")


async def test_body_without_memory_is_refused_at_once(
    box: gateway.Gateway, client: Client, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def refuse(
        request: messages.Request, size: int
    ) -> body_gate.Reservation:
        box.bodies.hold(1)
        return body_gate.Reservation(1, False)

    monkeypatch.setattr(box.bodies, "reserve", refuse)
    client.send_head("/safe/x", RIGHT_KEY, f"Content-Length: {4 * MB}")
    head, body = await client.answer(AT_ONCE_S)
    assert_refused((head, body), 503, b"memory-short")
    assert b"retry-after" in head.lower()
    await client.until_closed()


async def test_box_without_a_configuration_refuses_at_once() -> None:
    fleet = boxes.Boxes()
    fleet.store.start()
    box = await fleet.add_box("box-1")
    client = await connect(box.members.own.callers)
    client.send_head("/safe/x", RIGHT_KEY, f"Content-Length: {MB}")
    answer = await client.answer(AT_ONCE_S)
    client.close()
    await fleet.stop()
    assert_refused(answer, 503, b"no-config")


@pytest.mark.parametrize("port", ["ready", "entry", "operator"])
async def test_ports_without_bodies_take_only_small_ones(
    box: gateway.Gateway, port: str
) -> None:
    settings = box._settings
    address = {
        "ready": settings.ready,
        "entry": settings.entry,
        "operator": f"{settings.ip}:{settings.metrics_port}",
    }[port]
    client = await connect(address)
    client.send_head("/x", "", f"Content-Length: {16 * 1024 + 1}")
    head, _ = await client.answer(AT_ONCE_S)
    client.close()
    assert head.startswith(b"HTTP/1.1 413 ")


# The bounds of what is dropped.


class Gate(body_gate.OpenGate):
    """Refuses by a function."""

    def __init__(self, refuses: Callable[[], bool]) -> None:
        self._refuses = refuses
        self.held = 0
        self.most_held = 0

    async def reserve(
        self, request: messages.Request, size: int
    ) -> body_gate.Reservation:
        self.held += size
        self.most_held = max(self.most_held, self.held)
        return body_gate.Reservation(size, True)

    def release(self, size: int) -> None:
        self.held -= size

    def refuses(self, request: messages.Request) -> bool:
        return self._refuses()


class Handler:
    """Refuses requests whose body was discarded, and accepts others."""

    def __init__(self) -> None:
        self.bodies: list[int] = []
        self.connections: list[server_connection.ServerConnection] = []

    async def __call__(
        self,
        connection: server_connection.ServerConnection,
        request: messages.Request,
    ) -> None:
        self.connections.append(connection)
        if request.discarded:
            await connection.answer(401, [], b"refused")
            return
        self.bodies.append(len(request.body))
        await connection.answer(200, [], b"")


class Listening:
    """A server that asks a gate."""

    def __init__(
        self,
        refuses: Callable[[], bool],
        share: connection_share.ConnectionShare | None = None,
    ) -> None:
        self.handler = Handler()
        self.gate = Gate(refuses)
        self.address = bench.free_address()
        self.server = server.Server(
            "test",
            self.handler,
            lambda: messages.ClientLimits(max_body_bytes=4 * MB),
            gate=self.gate,
            share=share,
        )
        self.server.listen_on(self.address)

    async def until_unconnected(self) -> float:
        """Waits until no connection is open; returns how long it took."""
        began_at = time.monotonic()
        await boxes.until(lambda: self.server.connections == 0)
        return time.monotonic() - began_at


# Length of the body, and the status: refused by its head, and too large.
UNREAD = [(4 * MB, 401), (64 * MB, 413)]


@pytest.mark.parametrize(("length", "status"), UNREAD)
async def test_answer_reaches_a_client_that_goes_on_sending(
    length: int, status: int
) -> None:
    listening = Listening(lambda: True)
    client = await connect(listening.address)
    client.send_head("/x", "", f"Content-Length: {length}")
    client.send(bytes(4 * MB))
    # Much later than the box has answered.
    await asyncio.sleep(AT_ONCE_S)
    head, _ = await client.answer()
    await client.until_closed()
    client.close()
    assert head.startswith(b"HTTP/1.1 %d " % status)
    await listening.until_unconnected()


@pytest.mark.parametrize(
    ("length", "status", "data", "pause_s"),
    [
        (4 * MB, 401, bytes(1024), 0.02),
        (64 * MB, 413, bytes(64 * 1024), 0.0),
        (64 * MB, 413, bytes(1024), 0.02),
    ],
)
async def test_what_is_dropped_is_bounded(
    length: int, status: int, data: bytes, pause_s: float
) -> None:
    listening = Listening(lambda: True)
    client = await connect(listening.address)
    client.send_head("/x", "", f"Content-Length: {length}")
    await client.answer()
    [connection] = listening.server._connections
    sending = asyncio.create_task(client.send_slowly(data, pause_s))
    took_s = await listening.until_unconnected()
    sending.cancel()
    client.close()
    assert took_s <= refused_bodies.MAX_DROP_S + AT_ONCE_S
    assert (
        connection._input.received
        <= refused_bodies.MAX_DROPPED_BYTES + 128 * 1024
    )


async def test_client_that_closes_is_not_waited_for() -> None:
    listening = Listening(lambda: True)
    client = await connect(listening.address)
    client.send_head("/x", "", f"Content-Length: {MB}")
    await client.answer()
    client.close()
    assert await listening.until_unconnected() < AT_ONCE_S


async def test_stop_does_not_wait_for_what_is_dropped() -> None:
    listening = Listening(lambda: True)
    client = await connect(listening.address)
    client.send_head("/x", "", f"Content-Length: {MB}")
    await client.answer()
    listening.server.close_all()
    assert await listening.until_unconnected() < AT_ONCE_S
    client.close()


async def test_chunked_body_is_read_if_its_key_became_known_meanwhile() -> None:
    refused = True
    listening = Listening(lambda: refused)
    client = await connect(listening.address)
    client.send_head("/x", "", "Transfer-Encoding: chunked")
    client.send(b"8000\r\n" + bytes(0x8000) + b"\r\n")
    await asyncio.sleep(0.1)
    refused = False
    client.send(b"20000\r\n" + bytes(0x20000) + b"\r\n")
    await asyncio.sleep(0.1)
    # It is decided once: the handler refuses what has been read.
    refused = True
    client.send(b"20000\r\n" + bytes(0x20000) + b"\r\n0\r\n\r\n")
    head, _ = await client.answer()
    client.close()
    assert head.startswith(b"HTTP/1.1 200 ")
    assert listening.handler.bodies == [0x48000]
    assert listening.gate.most_held == 4 * MB
    await boxes.until(lambda: listening.gate.held == 0)
    listening.server.close_all()


async def test_refused_chunked_body_holds_little_memory() -> None:
    listening = Listening(lambda: True)
    client = await connect(listening.address)
    client.send_head("/x", "", "Transfer-Encoding: chunked")
    client.send(b"20000\r\n" + bytes(0x20000))
    head, _ = await client.answer()
    client.close()
    await listening.until_unconnected()
    assert head.startswith(b"HTTP/1.1 401 ")
    assert listening.gate.most_held == discarding.MAX_READ_BYTES
    assert listening.gate.held == 0
