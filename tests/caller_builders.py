"""Callers that write to their sockets directly, and a bench with one box.

A test module uses a fixture by assigning it to a module-level name.
"""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Iterator
import contextlib
import json
import os
import socket
import struct
from typing import Any

import eliot
import pytest
import uvloop

from martenjunction.callers import handlers
from martenjunction_lab import bench
from martenjunction_lab import fleets
from martenjunction_lab import standins

CHAT = "/v1/chat/completions"
MODELS = "/v1/models"
PLAIN_CALL = "/v1/services/weighbridge-app/tags"

CALLERS = 12

# Tokens of a response that does not complete within a test.
UNENDING_TOKENS = 100_000

# Bytes of the socket buffers between the daemon and a slow reader.
SOCKET_BYTES = 16 * 1024

# Idle and body timeouts in these tests, and how long before a timeout the bytes
# are sent, in seconds.
SHORT_TIMEOUT_S = 0.5
LEAD_S = 0.1

# Seconds for which the event loop is blocked.
BLOCK_S = 0.2

# Timeout of every wait in these tests, in seconds.
WAIT_TIMEOUT_S = 20.0


# The `pytestmark` of modules that use `event_loop_policy`. The alternative, a
# pytest hook, would give every test of the project two ids.
ON_EACH_LOOP = pytest.mark.filterwarnings(
    'ignore:Overriding the "event_loop_policy" fixture'
)


# Each event loop has its own order of timers, I/O and tasks in an iteration.
@pytest.fixture(
    params=[asyncio.DefaultEventLoopPolicy, uvloop.EventLoopPolicy],
    ids=["asyncio", "uvloop"],
)
def event_loop_policy(
    request: pytest.FixtureRequest,
) -> asyncio.AbstractEventLoopPolicy:
    os.environ["UV_USE_IO_URING"] = "0"
    made: asyncio.AbstractEventLoopPolicy = request.param()
    return made


class Caller:
    """A caller that writes to its socket without yielding to the loop."""

    def __init__(self, address: str, buffer_bytes: int | None = None) -> None:
        host, _, port = address.partition(":")
        self._address = (host, int(port))
        self._socket = socket.socket()
        if buffer_bytes is not None:
            self._socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, buffer_bytes
            )
        self._socket.setblocking(False)
        self._data = b""

    async def connect(self) -> None:
        loop = asyncio.get_running_loop()
        await loop.sock_connect(self._socket, self._address)

    def send(self, data: bytes) -> None:
        assert self._socket.send(data) == len(data)

    def disconnect(self) -> None:
        self._socket.close()

    def reset(self) -> None:
        linger = struct.pack("ii", 1, 0)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        self._socket.close()

    def end_sending(self) -> None:
        self._socket.shutdown(socket.SHUT_WR)

    async def _receive(self) -> bool:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(WAIT_TIMEOUT_S):
                data = await loop.sock_recv(self._socket, 64 * 1024)
        except ConnectionResetError:
            return False
        self._data += data
        return bool(data)

    async def read_head(self) -> str:
        """Reads a response head; empty if the connection closes first."""
        while b"\r\n\r\n" not in self._data:
            if not await self._receive():
                return ""
        head, _, self._data = self._data.partition(b"\r\n\r\n")
        return head.decode()

    async def read_response(self) -> tuple[int, str, bytes]:
        """Reads a response with a Content-Length; status 0 if none."""
        head = await self.read_head()
        if not head:
            return 0, "", b""
        length = int(header_value(head, "Content-Length"))
        while len(self._data) < length and await self._receive():
            pass
        body, self._data = self._data[:length], self._data[length:]
        return int(head.split()[1]), head, body

    async def read_remaining(self) -> bytes:
        """Reads until the daemon closes the connection."""
        while await self._receive():
            pass
        return self._data


def header_value(head: str, name: str) -> str:
    for line in head.split("\r\n")[1:]:
        key, _, value = line.partition(":")
        if key.lower() == name.lower():
            return value.strip()
    return ""


def request(
    path: str,
    body: bytes | None = None,
    headers: dict[str, str] | None = None,
) -> bytes:
    lines = [f"{'GET' if body is None else 'POST'} {path} HTTP/1.1", "Host: x"]
    lines.append(f"Authorization: Bearer {fleets.FIELD_KEY}")
    if body is not None:
        lines.append(f"Content-Length: {len(body)}")
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    return "\r\n".join([*lines, "", ""]).encode() + (body or b"")


def chat(tokens: int, text: str = "ripe?", stream: bool = True) -> bytes:
    return json.dumps(question(tokens, text, stream)).encode()


def question(tokens: int, text: str, stream: bool) -> dict[str, Any]:
    return {
        "model": "vintage-lm",
        "stream": stream,
        "messages": [{"role": "user", "content": text}],
        "answer_tokens": tokens,
    }


def spec(drain_limit: float = 600.0) -> bench.BenchSpec:
    outside = standins.Outside(
        [fleets.CELLARLINE_FILE],
        [standins.EngineGroup("vintage-lm", "perth-a", 2, fleets.NEW)],
        [standins.PlainGroup("weighbridge-app", "perth-a", 1, slots=1)],
    )
    return bench.BenchSpec(
        outside, ["perth-a"], entry_ttl=0.2, drain_limit=drain_limit
    )


@contextlib.asynccontextmanager
async def running(wanted: bench.BenchSpec) -> AsyncIterator[bench.Bench]:
    made = bench.Bench(wanted)
    await made.start()
    yield made
    made.daemons = [d for d in made.daemons if not d.draining]
    await made.stop()


@pytest.fixture
async def fleet() -> AsyncIterator[bench.Bench]:
    async with running(spec()) as made:
        yield made


@pytest.fixture
def log_lines() -> Iterator[list[dict[str, Any]]]:
    lines: list[dict[str, Any]] = []
    eliot.add_destinations(lines.append)
    # Eliot replays earlier messages to the first destination.
    lines.clear()
    yield lines
    eliot.remove_destination(lines.append)


def closed_connections(lines: list[dict[str, Any]]) -> list[tuple[str, str]]:
    return [
        (line["request_id"], line["why"])
        for line in lines
        if line.get("message_type") == "connection-closed"
    ]


async def connect_callers(
    fleet: bench.Bench, count: int = CALLERS
) -> list[Caller]:
    """Returns callers whose connections have served one request each."""
    made = [Caller(fleet.addresses[0]) for _ in range(count)]
    for caller in made:
        await caller.connect()
        caller.send(request(MODELS))
    for caller in made:
        assert (await caller.read_response())[0] == 200
    return made


async def send_in_rounds(callers: list[Caller], rounds: int) -> None:
    """Sends a chat from all callers at once in each round.

    Asserts that every request succeeds.
    """
    for number in range(rounds):
        for caller in callers:
            # Distinct prompts, so that no cached prefix affects routing.
            text = f"{id(caller)} {number}" * 40
            caller.send(request(CHAT, chat(2, text, stream=False)))
        for caller in callers:
            assert (await caller.read_response())[0] == 200


async def wait_until_in_flight(fleet: bench.Bench, count: int) -> None:
    async with asyncio.timeout(WAIT_TIMEOUT_S):
        while len(fleet.daemons[0].callers.relays) != count:
            await asyncio.sleep(0.01)


def started_runs(fleet: bench.Bench) -> int:
    engines = fleet.outside.engines.values()
    return sum(sum(e.counts.started.values()) for e in engines)


def running_handlers() -> list[handlers.CallerHandler]:
    """Returns the caller handlers whose tasks are still running."""
    found = []
    for task in asyncio.all_tasks():
        frame = getattr(task.get_coro(), "cr_frame", None)
        owner = frame.f_locals.get("self") if frame is not None else None
        if isinstance(owner, handlers.CallerHandler):
            found.append(owner)
    return found
