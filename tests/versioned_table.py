"""Compares ways for boxes to know at which version a stream began.

    python -m tests.versioned_table ROW[,ROW...] FIRST_SEED LAST_SEED

Prints one line per row, way and seed. `ROWS` defines the rows and `WAYS` the
number of boxes that are told of each stream.
"""

import dataclasses

from martenjunction.routing.streams import origins
from martenjunction_lab import versioned_streams
from tests import routing_builders as builders
from tests import trial_tables

Trial = versioned_streams.Trial

# Overrides of the default trial's parameters per row.
ROWS: dict[str, dict[str, object]] = {
    "side-by-side": {},
    "one-gives-way": {"replaced_each_s": 2.0},
    "boxes-end": {"box_ends_each_s": 3.0},
    "boxes-end-often": {"breaking": 0.0, "box_ends_each_s": 0.5},
    "not-repeatable": {"path": "/chat/a", "tries": 1, "pause_s": 0.06},
    "hidden": {"hidden": True},
}

# Boxes told of each stream: none (all are asked), two, and all others.
WAYS = {"ask": 0, "two": 2, "all": 99}


async def run_row(row: str, seed: int) -> str:
    """Runs one row with one seed each way and returns the lines to print."""
    return "\n".join([await _run_way(row, way, seed) for way in WAYS])


async def _run_way(row: str, way: str, seed: int) -> str:
    trial = dataclasses.replace(Trial(seed=seed), **ROWS[row])  # type: ignore[arg-type]
    document = builders.relaxed_config_document()
    document["services"][1]["engine"]["backups"] = True
    for route in document["routes"]:
        route["timeout_ms"] = 4000
    origins.StreamOrigins.boxes_told = WAYS[way]
    outcome = await versioned_streams.VersionedFleet(trial).run(document)
    return (
        f"{row} {way} seed {seed}: mixed {outcome.mixed} of {outcome.streams},"
        f" whole {outcome.whole}, taken up {outcome.taken_up},"
        f" gone on {outcome.gone_on}, begun {outcome.begun},"
        f" told {outcome.told}, asked {outcome.asked},"
        f" first event {outcome.first_event_ms:.1f} ms,"
        f" refused {outcome.refused}"
    )


if __name__ == "__main__":
    trial_tables.main(run_row)
