"""Runs trials with endpoints that fall over when they turn requests away.

    python -m tests.brittle_table ROW[,ROW...] FIRST_SEED LAST_SEED

Prints one line per row and seed. `ROWS` defines the rows.
"""

from martenjunction_lab import brittle_endpoints
from tests import routing_builders as builders
from tests import trial_tables

# Overrides of the default trial's parameters per row.
ROWS: dict[str, dict[str, object]] = {
    "steady": {},
    "calm": {"per_s": 40.0},
    "burst": {"per_s": 40.0, "burst_s": 1.5, "burst_per_s": 200.0},
    "overload": {"per_s": 40.0, "burst_s": 1.5, "burst_per_s": 500.0},
    "some-wait": {"waiting_later": 2, "per_s": 120.0},
    "one-slot": {"slots": 1, "per_s": 60.0},
}


async def run_row(row: str, seed: int) -> str:
    """Runs one row with one seed and returns the line to print."""
    trial = brittle_endpoints.Trial(seed=seed, **ROWS[row])  # type: ignore[arg-type]
    fleet = brittle_endpoints.BrittleFleet(trial)
    outcome = await fleet.run(builders.relaxed_config_document())
    waits = sorted(outcome.waits) or [0.0]
    return (
        f"{row} seed {seed}: falls {outcome.falls} ({outcome.borne:.1f} borne),"
        f" turned away {outcome.turned_away}, served {outcome.served:.3f} of"
        f" {outcome.statuses.total()} {dict(outcome.texts)}, wait"
        f" {waits[len(waits) // 2]:.3f} s,"
        f" {waits[len(waits) * 99 // 100]:.3f} s"
        f" at p99, twice {len(outcome.twice)}"
    )


if __name__ == "__main__":
    trial_tables.main(run_row)
