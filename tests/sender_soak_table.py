"""Plays soaks with senders that never pause, and prints a line for each seed.

python -m tests.sender_soak_table FIRST LAST
"""

import asyncio
import functools
import logging
import pathlib
import sys
import tempfile

from martenjunction_lab import boxes
from martenjunction_lab.fast_senders import processes
from martenjunction_lab.fast_senders import soak
from tests import box_processes

BOXES = 3
REPLICAS = 3
MEMORY_BYTES = 150 * 2**20
STOP_S = 5.0


async def played(seed: int, folder: pathlib.Path) -> soak.Outcome:
    """Plays the trial of a seed."""
    fleet = boxes.Boxes()
    await fleet.start(processes.config_document(), boxes=0)
    for _ in range(REPLICAS):
        await fleet.add_replica(processes.PLAIN, slots=64)
    made = []
    try:
        for number in range(1, BOXES + 1):
            settings = box_processes.settings_of(
                fleet, f"box-{number}", stop_s=STOP_S, memory_bytes=MEMORY_BYTES
            )
            box = soak.Box(
                functools.partial(box_processes.start, folder, settings)
            )
            made.append(box)
            await box.restart()
        return await soak.Soak(fleet, made, seed).play()
    finally:
        for box in made:
            if box.process is not None:
                await box.process.discard()
        await fleet.stop()


def main(first: int, last: int) -> int:
    """Plays the seeds; returns how many failed."""
    logging.disable(logging.WARNING)
    failed = 0
    for seed in range(first, last + 1):
        with tempfile.TemporaryDirectory() as name:
            outcome = asyncio.run(played(seed, pathlib.Path(name)))
        failed += bool(outcome.faults or outcome.ended)
        print(
            f"{seed}: {outcome.tally}, {outcome.memory / 2**20:.0f} MB,"
            f" ended {outcome.ended}",
            flush=True,
        )
    return failed


if __name__ == "__main__":
    sys.exit(main(int(sys.argv[1]), int(sys.argv[2])))
