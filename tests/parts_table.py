"""Runs trials in which parts of prompts crash endpoints.

    python -m tests.parts_table ROW[,ROW...] FIRST_SEED LAST_SEED

Prints one line per row, way and seed. `ROWS` defines the rows and `WAYS` the
tables that decide which part is quarantined.
"""

import dataclasses

from martenjunction.decisions.boxes import part_table
from martenjunction.routing.quarantine import part_quarantine
from martenjunction_lab import crashing_parts
from martenjunction_lab import part_scores
from tests import routing_builders as builders
from tests import trial_tables

Trial = crashing_parts.Trial
OWN = {"fatal": 0, "own_ends": 24, "own_ends_at_once": 4}

# Overrides of the default trial's parameters per row.
ROWS: dict[str, dict[str, object]] = {
    "same-company": {"drawn_company": False},
    "drawn-company": {},
    "first": {"comes_first": True},
    "two": {"fatal": 2},
    "sound-before": {"sound_until_s": 6.0},
    "writes": {"path": "/chat/a", "writes": True},
    "slow": {"fatal_per_s": 1.0},
    "few-engines": {"engines": 5, "fatal_per_s": 1.0},
    "rare-company": {"company": 1, "fatal_per_s": 2.0},
    "immune": {"immune": 8},
    "own": OWN,
    "own-half": {**OWN, "own_ends": 48, "own_ends_at_once": 8},
    "beside-own": {"own_ends": 24, "own_ends_at_once": 4},
}

WAYS = {
    "clearing": part_table.PartTable,
    "score": part_scores.ScoredPartTable,
}


async def run_row(row: str, seed: int) -> str:
    """Runs one row with one seed each way and returns the lines to print."""
    return "\n".join([await _run_way(row, way, seed) for way in WAYS])


async def _run_way(row: str, way: str, seed: int) -> str:
    trial = dataclasses.replace(Trial(seed=seed), **ROWS[row])  # type: ignore[arg-type]
    part_quarantine.PartQuarantine.table_type = WAYS[way]
    fleet = crashing_parts.CrashingFleet(trial)
    outcome = await fleet.run(builders.relaxed_config_document())
    before, after = outcome.begun(known=False), outcome.begun(known=True)
    return (
        f"{row} {way} seed {seed}: crashed {outcome.crashed},"
        f" late {outcome.most_late_arrivals},"
        f" by themselves {outcome.own_ends},"
        f" sound begun {before[0]}/{before[1]}, then {after[0]}/{after[1]},"
        f" refused {outcome.innocent_refused}"
    )


if __name__ == "__main__":
    trial_tables.main(run_row)
