"""Runs trials with answers that come a second time, late.

    python -m tests.late_table ROW[,ROW...] FIRST_SEED LAST_SEED

Prints one line per row and seed. `ROWS` defines the rows.
"""

from martenjunction_lab import late_answers
from tests import routing_builders as builders
from tests import trial_tables

# Overrides of the default trial's parameters per row.
ROWS: dict[str, dict[str, object]] = {
    "as-usual": {},
    "three-times": {"share": 3 / 34},
    "ten-times": {"share": 10 / 34},
    "all": {"share": 1.0},
    "repeatable": {"share": 10 / 34, "path": "/safe/x"},
    "many-rejections": {"clients": 60, "replicas": 4, "rest_s": 0.0},
    "many-repeatable": {
        "clients": 60,
        "replicas": 4,
        "rest_s": 0.0,
        "path": "/safe/x",
    },
}


async def run_row(row: str, seed: int) -> str:
    """Runs one row with one seed and returns the line to print."""
    trial = late_answers.Trial(seed=seed, **ROWS[row])  # type: ignore[arg-type]
    fleet = late_answers.LateFleet(trial)
    outcome = await fleet.run(builders.relaxed_config_document())
    per_thousand = 1000 * outcome.opened / max(1, outcome.rejections)
    return (
        f"{row} seed {seed}: refused and ran {len(outcome.refused_and_ran)},"
        f" twice {len(outcome.twice)} of {len(outcome.runs)} that ran;"
        f" {outcome.doubled} answers came twice, {outcome.rejections}"
        f" rejections, {outcome.opened} connections opened"
        f" ({per_thousand:.0f} per 1,000 rejections),"
        f" {dict(sorted(outcome.statuses.items()))}"
    )


if __name__ == "__main__":
    trial_tables.main(run_row)
