"""Measures how quickly boxes converge after the store is restored from a copy.

    python -m tests.restore_table ROW[,ROW...] FIRST_SEED LAST_SEED

Prints one line per row and seed with:

* the seconds until all boxes have applied each change written after the
  restore,
* the seconds until the entry of a box that is missing from the copy is back in
  the store,
* whether any box would send work to an endpoint that ended after the copy was
  made,
* whether any box stopped sending to an endpoint that was added after the copy
  was made.

`ROWS` defines the rows.
"""

import asyncio
from collections.abc import Callable
import dataclasses
import random
import time

from martenjunction.platform import documents
from martenjunction_lab import boxes
from martenjunction_lab import platform
from tests import routing_builders as builders
from tests import trial_tables

# Conditions that do not hold within this time are printed as missing.
TIMEOUT_S = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """Parameters of a restore trial.

    Attributes:
        outage_s: Seconds for which the store is down before each restore.
        revisions: Number of unrelated writes between the copy and the outage.
        restores: Number of restores from the same copy, with a 1 s pause
            between them.
    """

    outage_s: float
    revisions: int
    restores: int = 1


ROWS = {
    f"{outage_s:g}s-{revisions}": Row(outage_s, revisions)
    for outage_s in (0.0, 0.05, 0.2, 1.0, 5.0)
    for revisions in (0, 1, 5, 200)
} | {
    "twice-5": Row(0.2, 5, restores=2),
    "twice-200": Row(0.2, 200, restores=2),
}


async def run_row(row: str, seed: int) -> str:
    """Runs one row with one seed and returns the line to print."""
    fleet = boxes.Boxes()
    try:
        await fleet.start(builders.config_document(), boxes=3)
        for _ in range(3):
            await fleet.add_replica(builders.PLAIN)
        await fleet.until_listed()
        return f"{row} seed {seed}: " + await _run_restore(
            fleet, ROWS[row], seed
        )
    finally:
        await fleet.stop()


async def _run_restore(fleet: boxes.Boxes, row: Row, seed: int) -> str:
    rng = random.Random(seed)
    copy = fleet.store.copy()
    ended = fleet.replicas[2]
    fleet.forget(ended)
    await fleet.add_box("box-late")
    late = await fleet.add_replica(builders.PLAIN)
    for number in range(row.revisions):
        fleet.store.write("other-kind", "one", {"number": number})
    await boxes.until(
        lambda: all(
            box.endpoint_list.is_ready(late.id)
            and not box.endpoint_list.is_ready(ended.id)
            for box in fleet.gateways
        )
    )
    await asyncio.sleep(rng.uniform(0.0, 1.0))
    for restore in range(row.restores):
        if restore:
            await asyncio.sleep(1.0)
        if row.outage_s:
            fleet.store.faults = platform.PlatformFaults(down=True)
            await asyncio.sleep(row.outage_s)
        fleet.store.go_back(copy)
        fleet.store.faults = platform.PlatformFaults()
        for replica in (fleet.replicas[0], fleet.replicas[1], late):
            fleet.record(replica, builders.PLAIN)
    return await _measure_convergence(fleet, ended.id, late.id)


async def _measure_convergence(
    fleet: boxes.Boxes, ended_id: str, late_id: str
) -> str:
    started_at = time.monotonic()
    fleet.record(fleet.replicas[0], builders.PLAIN, state="draining")
    leaving_id = fleet.replicas[0].id
    joined = await fleet.add_replica(builders.PLAIN)
    fleet.configure(builders.config_document(9))

    def all_boxes(predicate: Callable[..., bool]) -> Callable[[], bool]:
        return lambda: all(predicate(box) for box in fleet.gateways)

    def own_entry_restored() -> bool:
        return fleet.store.find(documents.BOX_KIND, "box-late") is not None

    conditions = {
        "leaving": all_boxes(
            lambda box: not box.endpoint_list.is_ready(leaving_id)
        ),
        "joined": all_boxes(lambda box: box.endpoint_list.is_ready(joined.id)),
        "config": all_boxes(lambda box: box.store_cache.version == 9),
        "own-entry": own_entry_restored,
    }
    elapsed: dict[str, float] = {}
    ended_served, late_lost = False, False
    while time.monotonic() - started_at < TIMEOUT_S and len(elapsed) < len(
        conditions
    ):
        for name, condition in conditions.items():
            if name not in elapsed and condition():
                elapsed[name] = time.monotonic() - started_at
        ended_served |= any(
            box.endpoint_list.is_ready(ended_id) for box in fleet.gateways
        )
        late_lost |= any(
            not box.endpoint_list.is_ready(late_id) for box in fleet.gateways
        )
        await asyncio.sleep(0.005)
    times = " ".join(
        f"{name} {elapsed[name]:.2f}" if name in elapsed else f"{name} missing"
        for name in conditions
    )
    return f"{times} ended-served {ended_served} late-lost {late_lost}"


if __name__ == "__main__":
    trial_tables.main(run_row)
