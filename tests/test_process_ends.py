"""What may end a box process, or its connections, without a line.

Guards against requests under way that end with their process: at a signal
without a handler, and at an error that nobody awaits.
"""

import asyncio
from collections.abc import AsyncIterator
import pathlib
import signal
from typing import Any

import pytest

from martenjunction.cmd import early_signals
from martenjunction_lab import boxes
from martenjunction_lab import replica
from tests import box_processes
from tests import keep_alive_connections as kept
from tests import routing_builders as builders

# Seconds for which a request under way is at its endpoint.
QUEUE_S = 1.0

# Seconds within which a request reaches its endpoint.
ARRIVAL_S = 10.0

REQUEST = (
    f"POST /safe/x HTTP/1.1\r\nHost: {builders.HOST}\r\n"
    f"Authorization: Bearer {builders.KEY}\r\n"
    "Martenjunction-Attempt-Id: r1\r\nContent-Length: 5\r\n\r\nhello"
).encode()

# A box whose directory fails in the way that the path names.
FAILING_BOX = """
import asyncio, sys
from tornado import ioloop
from martenjunction.cmd import box
from martenjunction.routing.ports import entry_answers

async def fail_in_task():
    raise ValueError("in a task")

def fail():
    raise ValueError("in a callback")

async def serve(self, connection, request):
    loop = asyncio.get_running_loop()
    if request.path == b"/task":
        loop.create_task(fail_in_task())
    elif request.path == b"/callback":
        loop.call_soon(fail)
    elif request.path == b"/tornado":
        ioloop.IOLoop.current().add_callback(fail)
    elif request.path == b"/memory":
        raise MemoryError
    await connection.answer(200, [], b"")

entry_answers.EntryAnswers.serve = serve
sys.exit(box.main())
"""


@pytest.fixture
async def fleet() -> AsyncIterator[boxes.Boxes]:
    made = boxes.Boxes()
    await made.start(builders.config_document(), boxes=0)
    await made.add_replica(builders.PLAIN)
    yield made
    await made.stop()


class Started:
    """Box processes before one fleet."""

    def __init__(self, fleet: boxes.Boxes, folder: pathlib.Path) -> None:
        self.fleet = fleet
        self.boxes: list[box_processes.Box] = []
        self._folder = folder

    async def start(self, *program: str, **changes: Any) -> box_processes.Box:
        name = f"box-{len(self.boxes) + 1}"
        settings = box_processes.settings_of(self.fleet, name, **changes)
        box = await box_processes.start(
            self._folder, settings, program or ("-m", "martenjunction.cmd.box")
        )
        self.boxes.append(box)
        return box

    async def ready(self, *program: str) -> box_processes.Box:
        box = await self.start(*program)
        await box.until_ready()
        return box

    async def request(self, box: box_processes.Box) -> kept.KeptConnection:
        """Returns a connection whose request is at its endpoint."""
        self.fleet.replicas[0].queue_s = QUEUE_S
        client = kept.KeptConnection()
        await client.connect(box.settings.callers)
        client.send(REQUEST)
        await until_received(self.fleet.replicas[0])
        return client


@pytest.fixture
async def started(
    fleet: boxes.Boxes, tmp_path: pathlib.Path
) -> AsyncIterator[Started]:
    made = Started(fleet, tmp_path)
    yield made
    for box in made.boxes:
        await box.discard()


async def until_received(stand_in: replica.Replica, count: int = 1) -> None:
    async with asyncio.timeout(ARRIVAL_S):
        while len(stand_in.received) < count:
            await asyncio.sleep(0.01)


def holds_signals(pid: int) -> bool:
    """Whether the program blocks some signals; its start blocks all."""
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    [line] = [x for x in status.splitlines() if x.startswith("SigBlk")]
    blocked = int(line.split()[1], 16)
    return bool(
        blocked >> (signal.SIGTERM - 1) & 1
        and not blocked >> (signal.SIGCHLD - 1) & 1
    )


def signals_in(lines: list[dict[str, Any]]) -> list[tuple[str, str]]:
    return [
        (line["signal"], line["effect"])
        for line in lines
        if line["message_type"] == "signal"
    ]


async def stop_box(box: box_processes.Box) -> list[dict[str, Any]]:
    """Stops a box that still runs; returns its lines."""
    assert box.running
    box.signal(signal.SIGTERM)
    assert await box.until_ended() == 0
    return await box.log()


@pytest.mark.parametrize("number", sorted(early_signals.MEANINGLESS))
async def test_signal_without_a_meaning_ends_no_request(
    started: Started, number: signal.Signals
) -> None:
    box = await started.ready()
    client = await started.request(box)
    box.signal(number)
    assert b" 200 " in await client.answer()
    await stop_box(box)


async def test_signal_during_the_start_does_not_end_the_process(
    started: Started,
) -> None:
    box = await started.start()
    async with asyncio.timeout(ARRIVAL_S):
        while not holds_signals(box.process.pid):
            await asyncio.sleep(0.002)
    for number in early_signals.MEANINGLESS:
        box.signal(number)
    await box.until_ready()
    await stop_box(box)


@pytest.mark.parametrize("number", [signal.SIGPIPE, signal.SIGXFSZ])
async def test_broken_pipe_ends_no_request(
    started: Started, number: signal.Signals
) -> None:
    box = await started.ready()
    client = await started.request(box)
    box.signal(number)
    assert b" 200 " in await client.answer()
    await stop_box(box)


@pytest.mark.parametrize("number", [signal.SIGINT, signal.SIGQUIT])
async def test_signal_from_a_terminal_stops_as_planned(
    started: Started, number: signal.Signals
) -> None:
    box = await started.ready()
    client = await started.request(box)
    box.signal(number)
    assert b" 200 " in await client.answer()
    assert await box.until_ended() == 0
    lines = await box.log()
    assert lines[-1]["message_type"] == "stopped"
    assert signals_in(lines) == [(number.name, "stop")]


async def test_signals_that_come_together_stop_as_planned(
    started: Started,
) -> None:
    # Frames of their handlers nest on the stack that `faulthandler` sets up.
    box = await started.ready()
    client = await started.request(box)
    with box.suspended():
        for number in early_signals.HELD | early_signals.MEANINGLESS:
            box.signal(number)
    assert b" 200 " in await client.answer()
    assert await box.until_ended() == 0
    lines = await box.log()
    assert len(signals_in(lines)) == len(early_signals.HELD)


@pytest.mark.parametrize("place", ["task", "callback", "tornado"])
async def test_error_that_nobody_awaits_is_logged_and_ends_nothing(
    started: Started, place: str
) -> None:
    box = await started.ready("-c", FAILING_BOX)
    client = await started.request(box)
    head, _ = await boxes.call(box.settings.entry, "GET", f"/{place}")
    assert head.status == 200
    assert b" 200 " in await client.answer()
    lines = await stop_box(box)
    [line] = [x for x in lines if x.get("level") == "error"]
    assert str(line["error"]).startswith("ValueError")


async def test_lack_of_memory_in_a_handler_ends_one_request(
    started: Started,
) -> None:
    box = await started.ready("-c", FAILING_BOX)
    client = await started.request(box)
    head, _ = await boxes.call(box.settings.entry, "GET", "/memory")
    assert head.status == 502
    assert b" 200 " in await client.answer()
    lines = await stop_box(box)
    assert "MemoryError()" in [x.get("error") for x in lines]


async def test_address_in_use_ends_the_process_with_a_line(
    started: Started,
) -> None:
    first = await started.ready()
    second = await started.start(callers=first.settings.callers)
    assert await second.until_ended() == 1
    lines = await second.log()
    assert lines[-1]["message_type"] == "log"
    assert lines[-1]["level"] == "critical"
    assert "Address already in use" in str(lines[-1]["error"])
    await stop_box(first)
