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
from martenjunction.http1 import request_bodies
from martenjunction.http1 import server
from martenjunction.http1 import server_connection
from martenjunction_lab import bench

CLIENTS = 3
IDLE_S = 0.12
TIMEOUT_S = 20.0

# Iterations of the event loop after which pending callbacks have run.
LOOP_ITERATIONS = 8

MAX_LISTEN_ATTEMPTS = 10
BIG_BYTES = 200_000
RESET = struct.pack("ii", 1, 0)

REQUEST_SHAPES = {
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
        self.socket_closed = False
        self.ended = False
        self.malformed = False
        self.disconnected = False
        self.expected: list[int] = []

    def send(self, data: bytes) -> bool:
        """Sends bytes; returns whether all were sent while it was open."""
        self.receive()
        if self.socket_closed or self.ended or self.malformed:
            return False
        try:
            sent = self._socket.send(data)
        except OSError:
            self.ended = True
            return False
        if sent < len(data):
            self.malformed = True
        return not self.malformed

    def receive(self) -> None:
        while not self.socket_closed and not self.ended:
            try:
                data = self._socket.recv(65536)
            except BlockingIOError:
                return
            except OSError:
                data = b""
            self.ended = not data
            self.received += data

    def disconnect(self, reset: bool) -> None:
        if self.socket_closed:
            return
        self.receive()
        if reset:
            self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        self._socket.close()
        self.socket_closed = True

    def answered(self, number: int) -> bool:
        return b"Number: %d\r\n" % number in self.received

    @property
    def close_announced(self) -> bool:
        """Whether a response announced the close of the connection."""
        return b"onnection: close" in self.received


@dataclasses.dataclass
class Scenario:
    """A server, its clients and the recorded requests."""

    address: str = ""
    clients: list[Client] = dataclasses.field(default_factory=list)
    handled: list[int] = dataclasses.field(default_factory=list)
    handled_after_close: list[int] = dataclasses.field(default_factory=list)
    work_s: float = 0.0
    aborted: bool = False
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
        self.handled.append(number)
        if connection.closed:
            self.handled_after_close.append(number)
        if self.work_s > 0.0:
            await asyncio.sleep(self.work_s)
        pairs = [(b"Number", b"%d" % number)]
        await connection.answer(200, pairs, b"whole")


def _send(scenario: Scenario, client: Client, shape: str) -> None:
    number = next(scenario.numbers)
    if client.send(REQUEST_SHAPES[shape] % number):
        client.expected.append(number)


async def _send_split(scenario: Scenario, client: Client, shape: str) -> None:
    number = next(scenario.numbers)
    whole = REQUEST_SHAPES[shape] % number
    cut = len(whole) // 2
    first = client.send(whole[:cut])
    await asyncio.sleep(0.0)
    if first and client.send(whole[cut:]):
        client.expected.append(number)


async def _run_step(scenario: Scenario, step: tuple[str, int, float]) -> None:
    action, index, seconds = step
    client = scenario.clients[index]
    if action in REQUEST_SHAPES:
        _send(scenario, client, action)
    elif action.startswith("apart-"):
        await _send_split(scenario, client, action.removeprefix("apart-"))
    elif action in ("fin", "reset"):
        client.disconnected = True
        client.disconnect(action == "reset")
    elif action == "half":
        client.send((REQUEST_SHAPES["post"] % 0)[:-2])
        client.malformed = True
    elif action == "bad":
        client.send(b"bad\r\n\r\n")
        client.malformed = True
    elif action == "connect":
        if not scenario.finishing:
            scenario.clients.append(Client(scenario.address))
    elif action == "hold-up":
        time.sleep(seconds)
    elif action == "pass":
        await asyncio.sleep(0.0)
    elif action == "rest":
        await asyncio.sleep(seconds)
    elif action == "work":
        scenario.work_s = seconds
    elif action == "finish":
        scenario.server.finish()
        scenario.finishing = True
    elif action == "close-all":
        scenario.server.close_all()
        scenario.aborted = scenario.finishing = True


def _listen(scenario: Scenario) -> None:
    """Starts to listen; retries if another process takes the port."""
    for _ in range(MAX_LISTEN_ATTEMPTS):
        scenario.address = bench.free_address()
        try:
            scenario.server.listen_on(scenario.address)
        except OSError as error:
            if error.errno != errno.EADDRINUSE:
                raise
        else:
            return
    raise OSError("no free address")


async def _run_steps(steps: list[tuple[str, int, float]]) -> Scenario:
    scenario = Scenario()
    _listen(scenario)
    scenario.clients = [Client(scenario.address) for _ in range(CLIENTS)]
    await _run_event_loop()
    for step in steps:
        await _run_step(scenario, step)
    await _run_event_loop()
    scenario.server.finish()
    async with asyncio.timeout(TIMEOUT_S):
        await scenario.server.wait_ended()
    await _run_event_loop()
    for client in scenario.clients:
        client.receive()
        client.disconnect(reset=False)
    assert not asyncio.all_tasks() - {asyncio.current_task()}
    assert scenario.server.connections == 0
    return scenario


async def _run_event_loop() -> None:
    for _ in range(LOOP_ITERATIONS):
        await asyncio.sleep(0.0)


_STEPS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(
            [
                *REQUEST_SHAPES,
                *(f"apart-{shape}" for shape in REQUEST_SHAPES),
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
def test_no_interleaving_loses_a_request(
    steps: list[tuple[str, int, float]],
) -> None:
    with mock.patch.object(request_bodies, "BODY_TIMEOUT_S", 2 * IDLE_S):
        scenario = asyncio.run(_run_steps(steps))
    assert not scenario.handled_after_close
    assert len(set(scenario.handled)) == len(scenario.handled)
    if scenario.aborted:
        return
    for client in scenario.clients:
        if client.close_announced or client.disconnected:
            continue
        missed = [n for n in client.expected if not client.answered(n)]
        assert not missed, (missed, scenario.handled, client.received[-300:])
