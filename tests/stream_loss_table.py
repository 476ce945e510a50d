"""Counts the streams that go on after the loss of all boxes at once.

    python -m tests.stream_loss_table BOXES FIRST_SEED LAST_SEED [nothing-kept]

Prints one line per seed, in simulated time.
"""

import asyncio
import collections
import sys
import time

import msgspec

from martenjunction.routing.streams import archive
from martenjunction_lab import boxes
from martenjunction_lab.simulated import loop as simulated_loop
from tests import test_streams_after_loss as after_loss

MAX_SIMULATED_S = 600.0
BATCHES = 20
PAUSE_S = 0.5

# Seconds beyond the interval between two writes that a write may take.
WRITE_S = 0.2


async def run(count: int) -> str:
    """Loses all boxes once and returns the line to print."""
    fleet = boxes.Boxes()
    await after_loss.start(fleet, count)
    await asyncio.sleep(2.0)
    began: dict[str, str] = {}
    ages: dict[str, float] = {}
    writes = fleet.store.calls["write"]
    started_at = time.monotonic()
    for number in range(BATCHES + 1):
        if number == BATCHES:
            seconds = time.monotonic() - started_at
            writes = fleet.store.calls["write"] - writes
        at = time.monotonic()
        batch = await after_loss.begin(fleet)
        began.update(batch)
        ages.update(dict.fromkeys(batch, at))
        if number < BATCHES:
            await asyncio.sleep(PAUSE_S)
    killed_at = time.monotonic()
    kept = fleet.store.entries(archive.KIND, "")
    sizes = [len(msgspec.json.encode(one.spec)) for one in kept]
    await after_loss.lose_all(fleet, count)
    await after_loss.until_restored(fleet)
    interval_s = max(0.25, count / 40) + WRITE_S
    seen: collections.Counter[tuple[bool, bool]] = collections.Counter()
    names = list(began)
    for first in range(0, len(names), after_loss.STREAMS):
        lot = {n: began[n] for n in names[first : first + after_loss.STREAMS]}
        gone_on = await after_loss.take_up(fleet, lot)
        for name, went_on in zip(lot, gone_on, strict=True):
            seen[(killed_at - ages[name] > interval_s, went_on)] += 1
    await fleet.stop()
    older = seen[True, True], seen[True, True] + seen[True, False]
    younger = seen[False, True], seen[False, True] + seen[False, False]
    versions = collections.Counter(began.values())
    return (
        f"{count} boxes, {dict(sorted(versions.items()))}:"
        f" {writes / seconds:.1f} writes/s,"
        f" {sum(sizes)} bytes, largest {max(sizes, default=0)};"
        f" gone on {older[0]} of {older[1]},"
        f" younger {younger[0]} of {younger[1]}"
    )


def main() -> None:
    count, first, last = (int(word) for word in sys.argv[1:4])
    if "nothing-kept" in sys.argv:
        archive.StreamArchive._record = lambda self, record: None
    for seed in range(first, last + 1):
        simulated = simulated_loop.SimulatedLoop(seed, MAX_SIMULATED_S)
        with asyncio.Runner(loop_factory=lambda made=simulated: made) as runner:
            print(f"seed {seed}: {runner.run(run(count))}", flush=True)


if __name__ == "__main__":
    main()
