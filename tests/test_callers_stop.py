"""Connections of callers that end: idle time, planned stop, callers who leave.

Symptom: on a connection that had carried others before, a request was taken
in, passed on to an endpoint, and its connection closed without an answer.

Sequence: the event loop is held up; in one pass of it the bytes of a request
arrive and the connection's idle time, or the end of a stop, closes it. Or a
stop finds no request held while a body is still read or an answer still
written, and closes the connection.

Cause: whether a connection may be closed and whether a request was taken from
it were decided in two places with no state between them. Measured with 12
kept connections and the loop held up over the end of the idle time: 12
requests read, 0 answered.
"""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Iterator
import contextlib
import json
import os
import socket
import time
from typing import Any

import eliot
import pytest
import uvloop

from martenjunction import http_headers
from martenjunction import http_server
from martenjunction import listeners
from martenjunction import mailbox
from martenjunction.callers import handlers
from martenjunction.cells import broker
from martenjunction.cells import messages
from martenjunction_lab import bench
from martenjunction_lab import engine
from martenjunction_lab import fleets
from martenjunction_lab import plain
from martenjunction_lab import standins

CHAT = "/v1/chat/completions"
MODELS = "/v1/models"
BOOKING = "/v1/services/weighbridge-app/tags"

CALLERS = 12

# Tokens of an answer that no test waits for.
ENDLESS = 100_000

# Bytes of the socket buffers between the daemon and a caller who reads late.
SOCKET_BYTES = 16 * 1024

# Seconds of the idle and body times in these tests, and how long before their
# end the bytes are sent.
SHORT = 0.5
BEFORE_END = 0.1

# Seconds for which the event loop is held up.
HOLD_UP = 0.2

# Longest wait for what has to happen, in seconds.
LIMIT = 20.0


# The other way, a hook, would give every test of the project two ids.
pytestmark = pytest.mark.filterwarnings(
    'ignore:Overriding the "event_loop_policy" fixture'
)


# The order of timers, bytes and tasks within a pass is each loop's own.
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
    """A caller whose bytes go into the socket without a turn of the loop."""

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

    def leave(self) -> None:
        self._socket.close()

    async def _more(self) -> bool:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(LIMIT):
                data = await loop.sock_recv(self._socket, 64 * 1024)
        except ConnectionResetError:
            return False
        self._data += data
        return bool(data)

    async def head(self) -> str:
        """Reads an answer's head; empty if the connection ends before."""
        while b"\r\n\r\n" not in self._data:
            if not await self._more():
                return ""
        head, _, self._data = self._data.partition(b"\r\n\r\n")
        return head.decode()

    async def answer(self) -> tuple[int, str, bytes]:
        """Reads an answer with a length; status 0 if there is none."""
        head = await self.head()
        if not head:
            return 0, "", b""
        length = int(field(head, "Content-Length"))
        while len(self._data) < length and await self._more():
            pass
        body, self._data = self._data[:length], self._data[length:]
        return int(head.split()[1]), head, body

    async def rest(self) -> bytes:
        """Reads until the daemon closes the connection."""
        while await self._more():
            pass
        return self._data


def field(head: str, name: str) -> str:
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
    # The first destination is given what was logged before it.
    lines.clear()
    yield lines
    eliot.remove_destination(lines.append)


def cut_off(lines: list[dict[str, Any]]) -> list[tuple[str, str]]:
    return [
        (line["request_id"], line["why"])
        for line in lines
        if line.get("message_type") == "connection-closed"
    ]


async def callers_of(fleet: bench.Bench, count: int = CALLERS) -> list[Caller]:
    """Returns callers whose connections have carried a request each."""
    made = [Caller(fleet.addresses[0]) for _ in range(count)]
    for caller in made:
        await caller.connect()
        caller.send(request(MODELS))
    for caller in made:
        assert (await caller.answer())[0] == 200
    return made


async def until_held(fleet: bench.Bench, count: int) -> None:
    async with asyncio.timeout(LIMIT):
        while len(fleet.daemons[0].callers.relays) != count:
            await asyncio.sleep(0.01)


def started(fleet: bench.Bench) -> int:
    engines = fleet.outside.engines.values()
    return sum(sum(e.counts.started.values()) for e in engines)


def handlers_at_work() -> list[handlers.CallerHandler]:
    """Returns the handlers of callers whose task has not ended."""
    found = []
    for task in asyncio.all_tasks():
        frame = getattr(task.get_coro(), "cr_frame", None)
        owner = frame.f_locals.get("self") if frame is not None else None
        if isinstance(owner, handlers.CallerHandler):
            found.append(owner)
    return found


# The idle time and the time for a body.


async def test_request_before_the_end_of_the_idle_time_is_answered(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(listeners, "IDLE_CONNECTION", SHORT)
    async with running(spec()) as fleet:
        callers = await callers_of(fleet)
        await asyncio.sleep(SHORT - BEFORE_END)
        for caller in callers:
            caller.send(request(MODELS))
        time.sleep(HOLD_UP)
        statuses = [(await caller.answer())[0] for caller in callers]
    assert statuses == [200] * CALLERS


async def test_connection_that_rests_is_closed_at_its_idle_time(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(listeners, "IDLE_CONNECTION", SHORT)
    async with running(spec()) as fleet:
        for caller in await callers_of(fleet):
            assert await caller.rest() == b""


async def test_head_that_has_begun_gets_its_own_time(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(listeners, "IDLE_CONNECTION", SHORT)
    monkeypatch.setattr(http_server, "HEAD_TIMEOUT", 2 * SHORT)
    async with running(spec()) as fleet:
        late, never = await callers_of(fleet, 2)
        whole = request(MODELS)
        for caller in (late, never):
            caller.send(whole[:20])
        await asyncio.sleep(2 * SHORT)
        late.send(whole[20:])
        assert (await late.answer())[0] == 200
        status, head, _ = await never.answer()
        assert (status, field(head, http_headers.OUTCOME)) == (408, "not-run")
        assert await never.rest() == b""


async def test_body_before_the_end_of_its_time_is_taken(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(listeners, "BODY_TIMEOUT", SHORT)
    async with running(spec()) as fleet:
        callers = await callers_of(fleet)
        whole = request(CHAT, chat(5, stream=False))
        for caller in callers:
            caller.send(whole[:-10])
        await asyncio.sleep(SHORT - BEFORE_END)
        for caller in callers:
            caller.send(whole[-10:])
        time.sleep(HOLD_UP)
        statuses = [(await caller.answer())[0] for caller in callers]
    assert statuses == [200] * CALLERS


async def test_body_that_does_not_come_is_told_not_run(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(listeners, "BODY_TIMEOUT", SHORT)
    async with running(spec()) as fleet:
        (caller,) = await callers_of(fleet, 1)
        caller.send(request(CHAT, chat(5))[:-10])
        status, head, _ = await caller.answer()
        assert (status, field(head, http_headers.OUTCOME)) == (408, "not-run")
        assert field(head, "Connection") == "close"
        assert await caller.rest() == b""


# A planned stop.


async def test_stop_waits_for_a_request_that_is_being_read(
    fleet: bench.Bench,
) -> None:
    callers = await callers_of(fleet, 2)
    whole = request(CHAT, chat(5, stream=False))
    in_head, in_body = 20, len(whole) - 10
    callers[0].send(whole[:in_head])
    callers[1].send(whole[:in_body])
    drain = asyncio.ensure_future(fleet.daemons[0].drain())
    await asyncio.wait({drain}, timeout=1.0)
    callers[0].send(whole[in_head:])
    callers[1].send(whole[in_body:])
    for caller in callers:
        status, head, _ = await caller.answer()
        assert (status, field(head, "Connection")) == (200, "close")
    async with asyncio.timeout(LIMIT):
        await drain


async def test_connections_are_not_kept_once_a_stop_began(
    fleet: bench.Bench,
) -> None:
    resting, holding = await callers_of(fleet, 2)
    holding.send(request(CHAT, chat(60, stream=False)))
    await until_held(fleet, 1)
    drain = asyncio.ensure_future(fleet.daemons[0].drain())
    await asyncio.sleep(0)
    resting.send(request(MODELS))
    for caller in (resting, holding):
        status, head, _ = await caller.answer()
        assert (status, field(head, "Connection")) == (200, "close")
        assert await caller.rest() == b""
    async with asyncio.timeout(LIMIT):
        await drain


async def test_stop_waits_for_the_last_byte_of_an_answer(
    fleet: bench.Bench,
) -> None:
    for stand_in in fleet.outside.engines.values():
        stand_in.speed = engine.EngineSpeed(step_s=0.0, prefill_s=0.0)
    for listening in fleet.daemons[0].listening_sockets():
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SOCKET_BYTES)
    caller = Caller(fleet.addresses[0], SOCKET_BYTES)
    await caller.connect()
    caller.send(request(CHAT, chat(20_000, stream=False)))
    await until_held(fleet, 1)
    await until_held(fleet, 0)
    drain = asyncio.ensure_future(fleet.daemons[0].drain())
    await asyncio.wait({drain}, timeout=1.0)
    status, head, body = await caller.answer()
    assert status == 200
    assert len(body) == int(field(head, "Content-Length"))
    async with asyncio.timeout(LIMIT):
        await drain


async def test_stop_at_its_limit_answers_each_held_request() -> None:
    async with running(spec(drain_limit=SHORT)) as fleet:
        callers = await callers_of(fleet)
        whole, streamed = callers[:6], callers[6:]
        for caller in whole:
            caller.send(request(CHAT, chat(ENDLESS, stream=False)))
        for caller in streamed:
            caller.send(request(CHAT, chat(ENDLESS)))
        await until_held(fleet, CALLERS)
        for caller in streamed:
            assert "200" in await caller.head()
        await fleet.daemons[0].drain()
        for caller in whole:
            status, head, _ = await caller.answer()
            assert status == 504
            assert field(head, http_headers.OUTCOME) == "ran-partly"
        for caller in streamed:
            data = await caller.rest()
            assert b"event: error\n" in data
            assert data.endswith(b"0\r\n\r\n")


async def test_stop_at_its_limit_tells_a_late_request_that_it_was_not_run() -> (
    None
):
    async with running(spec(drain_limit=SHORT)) as fleet:
        caller, holding = await callers_of(fleet, 2)
        whole = request(CHAT, chat(5, stream=False))
        caller.send(whole[:-10])
        holding.send(request(CHAT, chat(ENDLESS)))
        await until_held(fleet, 1)
        drain = asyncio.ensure_future(fleet.daemons[0].drain())
        await until_held(fleet, 0)
        caller.send(whole[-10:])
        status, head, _ = await caller.answer()
        assert (status, field(head, http_headers.OUTCOME)) == (503, "not-run")
        async with asyncio.timeout(LIMIT):
            await drain


async def test_stop_at_once_logs_the_requests_that_it_cuts_off(
    fleet: bench.Bench, log_lines: list[dict[str, Any]]
) -> None:
    (caller,) = await callers_of(fleet, 1)
    caller.send(request(CHAT, chat(ENDLESS)))
    await until_held(fleet, 1)
    (held,) = fleet.daemons[0].callers.relays
    await fleet.daemons[0].stop()
    fleet.daemons.clear()
    assert cut_off(log_lines) == [(held, "stop")]


async def test_answer_that_breaks_off_is_logged_with_its_id(
    fleet: bench.Bench, log_lines: list[dict[str, Any]]
) -> None:
    (service,) = fleet.outside.plains.values()
    service.faults = plain.PlainFaults(break_off=True)
    (caller,) = await callers_of(fleet, 1)
    caller.send(request(BOOKING, b"lot"))
    await until_held(fleet, 1)
    (held,) = fleet.daemons[0].callers.relays
    assert (await caller.head()).startswith("HTTP/1.1 200")
    assert not (await caller.rest()).endswith(b"0\r\n\r\n")
    assert cut_off(log_lines) == [(held, "answer-broken")]


# Callers who leave, and connections that close before a request is taken in.


@pytest.mark.parametrize("passes", range(1, 9))
async def test_request_on_a_closed_connection_is_not_run(
    fleet: bench.Bench, passes: int
) -> None:
    callers = await callers_of(fleet)
    for caller in callers:
        caller.send(request(CHAT, chat(ENDLESS)))
    time.sleep(HOLD_UP)
    for _ in range(passes):
        await asyncio.sleep(0)
    held = len(fleet.daemons[0].callers.relays)
    await fleet.daemons[0].stop()
    fleet.daemons.clear()
    await asyncio.sleep(HOLD_UP)
    assert started(fleet) <= held


async def test_request_whose_caller_left_is_not_run(
    fleet: bench.Bench,
) -> None:
    callers = await callers_of(fleet)
    for caller in callers:
        caller.send(request(CHAT, chat(ENDLESS)))
        caller.leave()
    time.sleep(HOLD_UP)
    await asyncio.sleep(HOLD_UP)
    assert started(fleet) == 0
    assert not fleet.daemons[0].callers.relays


async def test_waiting_call_whose_caller_left_is_not_sent(
    fleet: bench.Bench,
) -> None:
    (service,) = fleet.outside.plains.values()
    service.faults = plain.PlainFaults(delay_s=SHORT)
    running_call, waiting_call = await callers_of(fleet, 2)
    for caller, booking in ((running_call, "first"), (waiting_call, "second")):
        caller.send(request(BOOKING, b"lot", {plain.BOOKING_HEADER: booking}))
        await asyncio.sleep(BEFORE_END)
    await until_held(fleet, 2)
    waiting_call.leave()
    assert (await running_call.head()).startswith("HTTP/1.1 200")
    await until_held(fleet, 0)
    assert service.runs == {"first": 1}


async def test_running_call_whose_caller_left_goes_on(
    fleet: bench.Bench,
) -> None:
    (service,) = fleet.outside.plains.values()
    service.faults = plain.PlainFaults(delay_s=SHORT)
    (caller,) = await callers_of(fleet, 1)
    caller.send(request(BOOKING, b"lot", {plain.BOOKING_HEADER: "first"}))
    async with asyncio.timeout(LIMIT):
        while not service.running:
            await asyncio.sleep(0.01)
    caller.leave()
    await asyncio.sleep(BEFORE_END)
    assert len(fleet.daemons[0].callers.relays) == 1
    await until_held(fleet, 0)
    assert service.runs == {"first": 1}


async def test_request_whose_caller_left_as_it_was_granted_is_not_run(
    fleet: bench.Bench, monkeypatch: pytest.MonkeyPatch
) -> None:
    relays = fleet.daemons[0].callers.relays
    granted: list[str] = []
    put = mailbox.Mailbox.put

    def put_and_leave(box: mailbox.Mailbox[Any], item: Any) -> None:
        put(box, item)
        if isinstance(item, messages.PlaceGranted):
            granted.append(item.request_id)
            relays[item.request_id].stop(broker.StopReason.CALLER_LEFT)

    monkeypatch.setattr(mailbox.Mailbox, "put", put_and_leave)
    callers = await callers_of(fleet)
    for caller in callers:
        caller.send(request(CHAT, chat(ENDLESS)))
    async with asyncio.timeout(LIMIT):
        while len(granted) < CALLERS:
            await asyncio.sleep(0.01)
    await until_held(fleet, 0)
    await asyncio.sleep(HOLD_UP)
    assert started(fleet) == 0


@pytest.mark.parametrize("passes", range(8))
async def test_answer_that_meets_the_limit_of_a_stop_is_told_one_way(
    fleet: bench.Bench, passes: int
) -> None:
    callers = await callers_of(fleet)
    for caller in callers:
        caller.send(request(CHAT, chat(1, stream=False)))
    await until_held(fleet, CALLERS)
    # Engines make the token, whose bytes then wait with the limit.
    time.sleep(HOLD_UP)
    for _ in range(passes):
        await asyncio.sleep(0)
    fleet.daemons[0].callers.stop_all()
    for caller in callers:
        status, head, body = await caller.answer()
        outcome = field(head, http_headers.OUTCOME)
        if status == 200:
            assert json.loads(body)["usage"] == {"completion_tokens": 1}
        else:
            assert status == 504
            assert outcome in ("not-run", "unknown", "ran-partly")


async def test_handler_ends_when_its_caller_leaves_within_a_body(
    fleet: bench.Bench,
) -> None:
    callers = await callers_of(fleet)
    for caller in callers:
        caller.send(request(CHAT, chat(5))[:-10])
    await asyncio.sleep(BEFORE_END)
    assert len(handlers_at_work()) == CALLERS
    for caller in callers:
        caller.leave()
    await asyncio.sleep(BEFORE_END)
    assert not handlers_at_work()
