"""Requests that come to box processes until their planned stops are over.

Guards against requests that are taken late in the grace period, among them
those that may not be repeated, and that end without an answer or with an
unknown outcome: several boxes stop in turn, with their stops overlapping,
beside changes of the configuration, reloads and a second SIGTERM. The grace
period of one box was shortened by a reload before its stop.
"""

import asyncio
from collections.abc import AsyncIterator
import dataclasses
import pathlib
import random
import signal
from typing import Any

import pytest

from martenjunction_lab import boxes
from martenjunction_lab import settings_files
from tests import box_processes
from tests import kept_deployment
from tests import routing_builders as builders

# Repeatable requests are moved from slow endpoints, whether a box stops or not.
PATHS = ("/unsafe/x", "/chat/x")

# Seconds that endpoints take.
WORK_S = 0.9

# Seconds until a box is killed, and those of the box whose grace period is
# shortened.
STOP_S = 6.0
SHORT_STOP_S = 5.0

# Minimum and maximum seconds between two steps.
STEPS_S = (0.1, 0.6)

# Requests at once on kept connections, and seconds between two of a client.
BUSY, BUSY_PAUSE_S = 6, 0.05


def document(version: int = 7, timeout_ms: int = 20_000) -> dict[str, Any]:
    made = builders.config_document(version)
    for route in made["routes"]:
        route["timeout_ms"] = timeout_ms
    return made


def without_route(version: int) -> dict[str, Any]:
    made = document(version)
    made["routes"] = [r for r in made["routes"] if r["name"] != "unsafe"]
    return made


@pytest.fixture
async def site(
    tmp_path: pathlib.Path,
) -> AsyncIterator[kept_deployment.Deployment]:
    fleet = boxes.Boxes()
    await fleet.start(document(), boxes=0)
    for service in (builders.PLAIN, builders.ENGINE):
        for _ in range(2):
            made = await fleet.add_replica(service, slots=64)
            made.queue_s = WORK_S
    deployment = kept_deployment.Deployment(fleet, tmp_path)
    await deployment.start(3, stop_s=STOP_S)
    yield deployment
    await deployment.stop()
    await fleet.stop()


def shorten(box: box_processes.Box, folder: pathlib.Path) -> None:
    """Has a box read a shorter grace period."""
    changed = dataclasses.replace(box.settings, stop_s=SHORT_STOP_S)
    file = folder / f"{box.settings.box}.toml"
    file.write_text(settings_files.settings_text(changed))
    box.signal(signal.SIGHUP)


async def kill_at_the_end(box: box_processes.Box, stop_s: float) -> int:
    """Kills a box as the platform does; returns its exit code."""
    try:
        async with asyncio.timeout(stop_s):
            return await box.until_ended()
    except TimeoutError:
        box.signal(signal.SIGKILL)
        return await box.until_ended()


@pytest.mark.parametrize("seed", [1, 2])
async def test_late_requests_are_answered_or_did_not_run(
    site: kept_deployment.Deployment, tmp_path: pathlib.Path, seed: int
) -> None:
    rng = random.Random(seed)
    traffic = []
    for number, box in enumerate(site.boxes):
        for kind, obeys in enumerate((True, False)):
            clients = site.add_clients(
                box, 100 * seed + 10 * kind + number, PATHS, obeys
            )
            traffic.append(asyncio.create_task(clients.run(BUSY, BUSY_PAUSE_S)))
    await boxes.until(lambda: all(len(c.records) > 12 for c in site.clients))
    shorten(site.boxes[0], tmp_path)
    await asyncio.sleep(0.3)
    changes = [without_route(8), document(9, 60_000), document(10, 10_000)]
    ends = []
    for number, box in enumerate(site.boxes):
        box.signal(signal.SIGTERM)
        stop_s = SHORT_STOP_S if number == 0 else STOP_S
        ends.append(asyncio.create_task(kill_at_the_end(box, stop_s)))
        await asyncio.sleep(rng.uniform(*STEPS_S))
        site.fleet.configure(changes[number])
        site.boxes[0].signal(rng.choice([signal.SIGHUP, signal.SIGTERM]))
        box.signal(rng.choice([signal.SIGHUP, signal.SIGTERM]))
        await asyncio.sleep(rng.uniform(*STEPS_S))
    assert await asyncio.gather(*ends) == [0, 0, 0]
    for made in site.clients:
        made.halt()
    await asyncio.gather(*traffic)
    await site.assert_none_lost()
    refused = [r for c in site.clients for r in c.records if r.status == 503]
    assert refused
