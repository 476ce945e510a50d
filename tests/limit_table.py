"""Runs trials with endpoints that announce rate limits.

    python -m tests.limit_table ROW[,ROW...] FIRST_SEED LAST_SEED

Prints one line per row and seed. `ROWS` defines the rows.
"""

from martenjunction_lab import limited_endpoints
from tests import routing_builders as builders
from tests import trial_tables

Trial = limited_endpoints.Trial

# Overrides of the default trial's parameters per row.
ROWS: dict[str, dict[str, object]] = {
    "serves-all": {},
    "turns-away": {"turns_away": True},
    "falls": {"limit": "4", "later": "1", "later_s": 3.0},
    "not-repeatable": {"routes": ("unsafe",), "tell_engines": 0},
    "ends": {"ends_s": 9.0},
    "burst": {"gap_from_s": 6.0, "gap_s": 1.5},
    "all-plain": {"tell_plain": 10, "tell_engines": 0},
    "at-one-box": {"at_one_box": 0.9},
    "joins": {"joins_s": 7.0},
    "cut": {"cut_s": 7.0},
    "one": {"limit": "1"},
    "nothing": {"limit": "0"},
}


async def run_row(row: str, seed: int) -> str:
    """Runs one row with one seed and returns the line to print."""
    trial = Trial(seed=seed, **ROWS[row])  # type: ignore[arg-type]
    fleet = limited_endpoints.LimitedFleet(trial)
    outcome = await fleet.run(builders.relaxed_config_document())
    parts = outcome.windows()
    used = " ".join(f"{part:.2f}" for part in outcome.used().values())
    longest_s = max((r.after_s for r in outcome.refusals), default=0.0)
    back_s = max((r.back_in_s or 0.0 for r in outcome.refusals), default=0.0)
    return (
        f"{row} seed {seed}: broken {outcome.broken} of {len(parts)} windows,"
        f" most {max(parts, default=0.0):.2f}, used {used},"
        f" served {outcome.served} of {outcome.sent} {dict(outcome.statuses)},"
        f" after the end {list(outcome.work_after_end(2.0).values())},"
        f" longest refusal {longest_s:.3f} s, back in {back_s:.2f} s at most"
    )


if __name__ == "__main__":
    trial_tables.main(run_row)
