"""Random interleavings of requests, closes, timeouts and shutdown.

Properties: a request that the box received completely while its connection was
open gets a complete response, unless its client disconnected or an earlier
response announced the close; a handler never gets a request on a closed
connection; no task and no connection is left over.
"""

import asyncio
import dataclasses
import errno
import itertools
import socket
import struct
import time
from unittest import mock

import hypothesis
from hypothesis import strategies

from martenjunction.http1 import messages
from martenjunction.http1 import server
from martenjunction.http1 import server_connection
from martenjunction_lab import bench

CLIENTS = 3
IDLE_S = 0.12
PATIENCE_S = 20.0

# Iterations of the event loop after which pending callbacks have run.
PASSES = 8

LISTEN_TRIES = 10
BIG_BYTES = 200_000
RESET = struct.pack("ii", 1, 0)

SHAPES = {
    "get": b"GET /%d HTTP/1.1\r\nHost: a\r\n\r\n",
    "head": b"HEAD /%d HTTP/1.1\r\nHost: a\r\n\r\n",
    "post": b"POST /%d HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nabcd",
    "chunked": b"POST /%d HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked"
    b"\r\n\r\n4\r\nabcd\r\n0\r\n\r\n",
    "big": b"POST /%%d HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n"
    % BIG_BYTES
    + b"x" * BIG_BYTES,
    "expect": b"POST /%d HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\n"
    b"Content-Length: 4\r\n\r\nabcd",
    "upgrade": b"GET /%d HTTP/1.1\r\nHost: a\r\nConnection: Upgrade\r\n"
    b"Upgrade: websocket\r\n\r\n",
}

_LIMITS = messages.ClientLimits(
    max_body_bytes=2 * BIG_BYTES,
    header_timeout_s=2 * IDLE_S,
    idle_timeout_s=IDLE_S,
)


class Client:
    """A client with synchronous I/O in the thread of the server."""

    def __init__(self, address: str) -> None:
        host, _, port = address.partition(":")
        self._socket = socket.create_connection((host, int(port)))
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 1 << 20)
        self._socket.setblocking(False)
        self.received = b""
        self.gone = False
        self.ended = False
        self.spoiled = False
        self.left = False
        self.due: list[int] = []

    def send(self, data: bytes) -> bool:
        """Sends bytes; returns whether all were sent while it was open."""
        self.receive()
        if self.gone or self.ended or self.spoiled:
            return False
        try:
            sent = self._socket.send(data)
        except OSError:
            self.ended = True
            return False
        if sent < len(data):
            self.spoiled = True
        return not self.spoiled

    def receive(self) -> None:
        while not self.gone and not self.ended:
            try:
                data = self._socket.recv(65536)
            except BlockingIOError:
                return
            except OSError:
                data = b""
            self.ended = not data
            self.received += data

    def leave(self, reset: bool) -> None:
        if self.gone:
            return
        self.receive()
        if reset:
            self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        self._socket.close()
        self.gone = True

    def answered(self, number: int) -> bool:
        return b"Number: %d\r\n" % number in self.received

    @property
    def told(self) -> bool:
        """Whether a response announced the close of the connection."""
        return b"onnection: close" in self.received


@dataclasses.dataclass
class Scene:
    """A server, its clients and the recorded requests."""

    address: str = ""
    clients: list[Client] = dataclasses.field(default_factory=list)
    handed_on: list[int] = dataclasses.field(default_factory=list)
    on_closed: list[int] = dataclasses.field(default_factory=list)
    work_s: float = 0.0
    cut_off: bool = False
    numbers: "itertools.count[int]" = dataclasses.field(
        default_factory=itertools.count
    )

    def __post_init__(self) -> None:
        self.finishing = False
        self.server = server.Server("test", self.handle, lambda: _LIMITS)

    async def handle(
        self,
        connection: server_connection.ServerConnection,
        request: messages.Request,
    ) -> None:
        number = int(request.target[1:])
        self.handed_on.append(number)
        if connection.closed:
            self.on_closed.append(number)
        if self.work_s > 0.0:
            await asyncio.sleep(self.work_s)
        pairs = [(b"Number", b"%d" % number)]
        await connection.answer(200, pairs, b"whole")


def _send(scene: Scene, client: Client, shape: str) -> None:
    number = next(scene.numbers)
    if client.send(SHAPES[shape] % number):
        client.due.append(number)


async def _send_apart(scene: Scene, client: Client, shape: str) -> None:
    number = next(scene.numbers)
    whole = SHAPES[shape] % number
    cut = len(whole) // 2
    first = client.send(whole[:cut])
    await asyncio.sleep(0.0)
    if first and client.send(whole[cut:]):
        client.due.append(number)


async def _act(scene: Scene, step: tuple[str, int, float]) -> None:
    what, index, seconds = step
    client = scene.clients[index]
    if what in SHAPES:
        _send(scene, client, what)
    elif what.startswith("apart-"):
        await _send_apart(scene, client, what.removeprefix("apart-"))
    elif what in ("fin", "reset"):
        client.left = True
        client.leave(what == "reset")
    elif what == "half":
        client.send((SHAPES["post"] % 0)[:-2])
        client.spoiled = True
    elif what == "bad":
        client.send(b"bad\r\n\r\n")
        client.spoiled = True
    elif what == "connect":
        if not scene.finishing:
            scene.clients.append(Client(scene.address))
    elif what == "hold-up":
        time.sleep(seconds)
    elif what == "pass":
        await asyncio.sleep(0.0)
    elif what == "rest":
        await asyncio.sleep(seconds)
    elif what == "work":
        scene.work_s = seconds
    elif what == "finish":
        scene.server.finish()
        scene.finishing = True
    elif what == "close-all":
        scene.server.close_all()
        scene.cut_off = scene.finishing = True


def _listen(scene: Scene) -> None:
    """Starts to listen; retries if another process takes the port."""
    for _ in range(LISTEN_TRIES):
        scene.address = bench.free_address()
        try:
            scene.server.listen_on(scene.address)
        except OSError as error:
            if error.errno != errno.EADDRINUSE:
                raise
        else:
            return
    raise OSError("no free address")


async def _play(steps: list[tuple[str, int, float]]) -> Scene:
    scene = Scene()
    _listen(scene)
    scene.clients = [Client(scene.address) for _ in range(CLIENTS)]
    await _passes()
    for step in steps:
        await _act(scene, step)
    await _passes()
    scene.server.finish()
    async with asyncio.timeout(PATIENCE_S):
        await scene.server.wait_ended()
    await _passes()
    for client in scene.clients:
        client.receive()
        client.leave(reset=False)
    assert not asyncio.all_tasks() - {asyncio.current_task()}
    assert scene.server.connections == 0
    return scene


async def _passes() -> None:
    for _ in range(PASSES):
        await asyncio.sleep(0.0)


_STEPS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(
            [
                *SHAPES,
                *(f"apart-{shape}" for shape in SHAPES),
                *("fin", "reset", "half", "bad", "connect"),
                *("hold-up", "hold-up", "hold-up", "pass", "pass", "rest"),
                *("work", "finish", "close-all"),
            ]
        ),
        strategies.integers(0, CLIENTS - 1),
        strategies.sampled_from([0.0, 0.01, 0.02, IDLE_S, 1.1 * IDLE_S]),
    ),
    max_size=14,
)


@hypothesis.settings(max_examples=100, deadline=None)
@hypothesis.given(_STEPS)
@hypothesis.example([("get", 0, 0.0), ("hold-up", 0, 1.1 * IDLE_S)])
@hypothesis.example(
    [
        ("apart-post", 0, 0.0),
        ("hold-up", 0, 2.2 * IDLE_S),
        ("pass", 0, 0.0),
    ]
)
@hypothesis.example(
    [("get", 0, 0.0), ("hold-up", 0, 1.1 * IDLE_S), ("finish", 0, 0.0)]
)
@hypothesis.example([("get", 0, 0.0), ("reset", 0, 0.0)])
def test_no_order_loses_a_request(steps: list[tuple[str, int, float]]) -> None:
    with mock.patch.object(server_connection, "BODY_TIMEOUT_S", 2 * IDLE_S):
        scene = asyncio.run(_play(steps))
    assert not scene.on_closed
    assert len(set(scene.handed_on)) == len(scene.handed_on)
    if scene.cut_off:
        return
    for client in scene.clients:
        if client.told or client.left:
            continue
        missed = [n for n in client.due if not client.answered(n)]
        assert not missed, (missed, scene.handed_on, client.received[-300:])
