"""Runs trials in which endpoints crash, because of requests or by themselves.

    python -m tests.ending_table ROW[,ROW...] FIRST_SEED LAST_SEED

Prints one line per row and seed. `ROWS` defines the rows.
"""

from martenjunction_lab import ending_requests
from tests import routing_builders as builders
from tests import trial_tables

Trial = ending_requests.Trial
OWN = {"fatal": 0, "alike": 0.3, "own_ends": 18}

# Overrides of the default trial's parameters per row.
ROWS: dict[str, dict[str, object]] = {
    "repeatable": {},
    "not-repeatable": {"kind": "unsafe"},
    "stream": {"kind": "digest"},
    "stream-not-repeatable": {"kind": "chat"},
    "two": {"fatal": 2},
    "copies": {"burst": 4},
    "replaced": {"replaced": True},
    "none": {"fatal": 0},
    "own": OWN,
    "own-not-repeatable": {**OWN, "kind": "unsafe"},
    "own-stream": {**OWN, "kind": "digest", "own_ends_at_once": 3},
    "own-chat": {**OWN, "kind": "chat", "own_ends_at_once": 6},
    "own-half": {
        **OWN,
        "kind": "unsafe",
        "own_ends": 120,
        "own_ends_at_once": 12,
        "back_s": 1.0,
    },
}


async def run_row(row: str, seed: int) -> str:
    """Runs one row with one seed and returns the line to print."""
    trial = Trial(seed=seed, **ROWS[row])  # type: ignore[arg-type]
    fleet = ending_requests.EndingFleet(trial)
    outcome = await fleet.run(builders.config_document())
    return (
        f"{row} seed {seed}: ended {outcome.ended},"
        f" late {outcome.late_arrivals},"
        f" by themselves {outcome.own_ends},"
        f" served {outcome.served} of {outcome.sent},"
        f" alike {dict(outcome.alike)}, shut out {outcome.innocent_shut_out}"
    )


if __name__ == "__main__":
    trial_tables.main(run_row)
