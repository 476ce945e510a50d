"""Standard output of a box that nobody reads, or that is closed.

Guards against requests that wait for the reader of the log, and against lines
that are missing without a trace.
"""

import asyncio
from collections.abc import AsyncIterator
import fcntl
import json
import os
import pathlib
import signal
from typing import Any

import pytest

from martenjunction import logs
from martenjunction_lab import boxes
from tests import box_processes
from tests import routing_builders as builders

HEADERS = {
    "Martenjunction-Attempt-Id": "r1",
    "Authorization": f"Bearer {builders.KEY}",
}

REQUESTS = 30

# Lines that take more than one pipe and less than two.
LINES = 50

# A box that buffers few lines.
SMALL_BUFFER = """
import sys
from martenjunction import logs
from martenjunction.cmd import box

logs.BoundedOutput.MAX_BUFFERED_BYTES = 4096
sys.exit(box.main())
"""


@pytest.fixture
async def fleet() -> AsyncIterator[boxes.Boxes]:
    made = boxes.Boxes()
    await made.start(builders.config_document(), boxes=0)
    await made.add_replica(builders.PLAIN)
    yield made
    await made.stop()


async def serve_requests(box: box_processes.Box) -> None:
    for _ in range(REQUESTS):
        head, _ = await boxes.call(
            box.settings.callers, "POST", "/safe/x", HEADERS, b"hello"
        )
        assert head.status == 200


def small_pipe() -> tuple[int, int]:
    reader, writer = os.pipe()
    fcntl.fcntl(writer, fcntl.F_SETPIPE_SZ, 4096)
    return reader, writer


def lines_in(text: bytes) -> list[dict[str, Any]]:
    return [json.loads(line) for line in text.splitlines()]


async def test_box_whose_output_is_not_read_serves_and_counts_lost_lines(
    fleet: boxes.Boxes, tmp_path: pathlib.Path
) -> None:
    reader, writer = small_pipe()
    settings = box_processes.settings_of(fleet, "box-1")
    box = await box_processes.start(
        tmp_path, settings, ("-c", SMALL_BUFFER), stdout=writer
    )
    os.close(writer)
    try:
        await box.until_ready()
        await serve_requests(box)
        box.signal(signal.SIGTERM)
        # Read from now on, so that the last lines find room.
        reading = asyncio.create_task(asyncio.to_thread(read_all, reader))
        assert await box.until_ended() == 0
        lines = lines_in(await reading)
    finally:
        await box.discard()
    lost = [x for x in lines if x["message_type"] == "log-lines-dropped"]
    kept = [x for x in lines if x["message_type"] == "request"]
    assert 1 <= REQUESTS - len(kept) <= sum(x["count"] for x in lost)
    assert all(x["box"] == "box-1" for x in lines)
    assert lines[-1]["message_type"] == "stopped"


async def test_box_whose_output_is_closed_serves_and_stops_as_planned(
    fleet: boxes.Boxes, tmp_path: pathlib.Path
) -> None:
    reader, writer = small_pipe()
    settings = box_processes.settings_of(fleet, "box-1")
    box = await box_processes.start(tmp_path, settings, stdout=writer)
    os.close(writer)
    os.close(reader)
    try:
        await box.until_ready()
        await serve_requests(box)
        box.signal(signal.SIGTERM)
        assert await box.until_ended() == 0
    finally:
        await box.discard()


def test_buffered_lines_are_written_at_the_end() -> None:
    reader, writer = small_pipe()
    output = logs.BoundedOutput(writer)
    for number in range(LINES):
        output.write({"message_type": "x" * 100, "number": number})
    head = os.read(reader, 4096)
    output.finish()
    os.close(writer)
    lines = lines_in(head + read_all(reader))
    assert [x["number"] for x in lines] == list(range(LINES))


def read_all(reader: int) -> bytes:
    with os.fdopen(reader, "rb") as file:
        return file.read()
