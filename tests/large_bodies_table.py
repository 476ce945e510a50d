"""Runs trials with large bodies at a box process with limited memory.

    python -m tests.large_bodies_table CLIENTSxBYTES[,...] [SECONDS]

Prints one line per pair; every tenth client sends its bodies slowly. A second
line has what clients with small bodies get beside them.
"""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import dataclasses
import logging
import pathlib
import sys
import tempfile

from martenjunction_lab import boxes
from martenjunction_lab import large_bodies
from tests import box_processes
from tests import routing_builders as builders

MEMORY_BYTES = 150 * 2**20
REPLICAS = 3

# Seconds after which a box that is ready has taken its state in.
SETTLE_S = 1.0


# Clients with small bodies beside those of a trial.
BESIDE = large_bodies.Trial(8, 1_000, path="/safe/x")


@contextlib.asynccontextmanager
async def _started(
    trial: large_bodies.Trial, folder: pathlib.Path, memory_bytes: int
) -> AsyncIterator[tuple[str, int, boxes.Boxes]]:
    """Starts a box process before three replicas.

    Yields:
        The address for its clients, its process and the fleet.
    """
    fleet = boxes.Boxes()
    document = builders.relaxed_config_document()
    document["limits"]["max_body_bytes"] = trial.body_bytes
    await fleet.start(document, boxes=0)
    for _ in range(REPLICAS):
        slots = trial.clients + BESIDE.clients
        made = await fleet.add_replica(builders.PLAIN, slots=slots)
        made.echoes = False
    settings = box_processes.settings_of(
        fleet, "box-1", memory_bytes=memory_bytes
    )
    box = await box_processes.start(folder, settings)
    try:
        await box.until_ready()
        await asyncio.sleep(SETTLE_S)
        yield settings.callers, box.process.pid, fleet
    finally:
        await box.discard()
        await fleet.stop()


@contextlib.asynccontextmanager
async def played(
    trial: large_bodies.Trial, folder: pathlib.Path, memory_bytes: int
) -> AsyncIterator[tuple[large_bodies.Outcome, boxes.Boxes]]:
    """Plays a trial at a box process before three replicas."""
    async with _started(trial, folder, memory_bytes) as (address, pid, fleet):
        yield await large_bodies.LargeBodies(trial, address, pid).run(), fleet


async def run_pair(clients: int, body_bytes: int, seconds: float) -> str:
    """Runs one trial and returns the lines to print."""
    trial = large_bodies.Trial(clients, body_bytes, 10, seconds)
    beside = dataclasses.replace(BESIDE, seconds=seconds)
    with tempfile.TemporaryDirectory() as folder:
        async with _started(trial, pathlib.Path(folder), MEMORY_BYTES) as (
            address,
            pid,
            _,
        ):
            outcome, small = await asyncio.gather(
                large_bodies.LargeBodies(trial, address, pid).run(),
                large_bodies.LargeBodies(beside, address, pid).run(),
            )
    return (
        f"{clients} clients, {body_bytes} bytes: peak"
        f" {outcome.peak_bytes / 1e6:.0f} MB of"
        f" {MEMORY_BYTES / 1e6:.0f} MB, before"
        f" {outcome.base_bytes / 1e6:.0f} MB,"
        f" {outcome.bytes_per_byte(trial):.2f} bytes a byte;"
        f" {_answers(outcome)}\n"
        f"  beside them {beside.clients} clients, {beside.body_bytes} bytes:"
        f" {_answers(small)}"
    )


def _answers(outcome: large_bodies.Outcome) -> str:
    waits = sorted(outcome.waits) or [0.0]
    return (
        f"{dict(sorted(outcome.statuses.items()))},"
        f" {outcome.unconnected} not connected, wait"
        f" {waits[len(waits) // 2]:.3f} s,"
        f" {waits[len(waits) * 99 // 100]:.3f} s at p99"
    )


if __name__ == "__main__":
    logging.disable(logging.CRITICAL)
    for pair in sys.argv[1].split(","):
        count, _, size = pair.partition("x")
        length_s = float(sys.argv[2]) if len(sys.argv) > 2 else 4.0
        print(asyncio.run(run_pair(int(count), int(size), length_s)))
