"""All boxes are killed at once and started again.

Guards against boxes that cannot begin without each other, or that begin with a
configuration from before an accepted change.
"""

import asyncio
from collections.abc import AsyncIterator
import pathlib
import signal

import pytest

from martenjunction_lab import boxes
from tests import box_processes
from tests import gateway_requests as requests
from tests import routing_builders as builders

NAMES = ("box-1", "box-2", "box-3")


@pytest.fixture
async def fleet() -> AsyncIterator[boxes.Boxes]:
    box_fleet = boxes.Boxes()
    await box_fleet.start(builders.config_document(), boxes=0)
    await box_fleet.add_replica(builders.PLAIN)
    yield box_fleet
    await box_fleet.stop()


@pytest.fixture
async def processes() -> AsyncIterator[list[box_processes.Box]]:
    """Yields a list of box processes, which are killed after the test."""
    started: list[box_processes.Box] = []
    yield started
    for box in started:
        await box.discard()


async def start_all(
    fleet: boxes.Boxes,
    folder: pathlib.Path,
    processes: list[box_processes.Box],
) -> None:
    for name in NAMES:
        settings = box_processes.settings_of(fleet, name)
        processes.append(await box_processes.start(folder, settings))
    await asyncio.gather(*(box.until_ready() for box in processes))


async def statuses(processes: list[box_processes.Box], path: str) -> list[int]:
    answers = await asyncio.gather(
        *(
            boxes.call(
                box.settings.callers,
                "POST",
                path,
                requests.request_headers(f"r-{number}"),
                b"hello",
            )
            for number, box in enumerate(processes)
        )
    )
    return [head.status for head, _ in answers]


async def test_boxes_killed_at_once_serve_again_with_the_newest_configuration(
    fleet: boxes.Boxes,
    tmp_path: pathlib.Path,
    processes: list[box_processes.Box],
) -> None:
    await start_all(fleet, tmp_path, processes)
    assert await statuses(processes, "/safe/x") == [200] * len(NAMES)
    document = builders.config_document(9)
    document["routes"].append(builders.route("later", "/later/"))
    fleet.configure(document)
    # Right after the change was accepted, before any box can rely on it.
    for box in processes:
        box.signal(signal.SIGKILL)
    await asyncio.gather(*(box.discard() for box in processes))
    processes.clear()
    await start_all(fleet, tmp_path, processes)
    assert await statuses(processes, "/later/x") == [200] * len(NAMES)
