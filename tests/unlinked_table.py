"""Runs trials with boxes that lose their links to endpoints.

    python -m tests.unlinked_table ROW[,ROW...] FIRST_SEED LAST_SEED

Prints one line per row and seed. `ROWS` defines the rows.
"""

import collections

from martenjunction_lab import unlinked_boxes
from tests import routing_builders as builders
from tests import trial_tables

Mode = unlinked_boxes.Mode

# Overrides of the default trial's parameters per row.
ROWS: dict[str, dict[str, object]] = {
    "hang": {},
    "hang-most": {"cut_boxes": 5},
    "reset": {"mode": Mode.RESET},
    "reset-most": {"mode": Mode.RESET, "cut_boxes": 5},
    "refuse": {"mode": Mode.REFUSE},
    "refuse-most": {"mode": Mode.REFUSE, "cut_boxes": 4},
    "part": {"cut_endpoints": 2},
    "part-reset": {"mode": Mode.RESET, "cut_endpoints": 2},
    "returns": {"down_s": 1.3},
    "all": {"cut_boxes": 6},
    "none": {"cut_boxes": 0},
}


async def run_row(row: str, seed: int) -> str:
    """Runs one row with one seed and returns the line to print."""
    trial = unlinked_boxes.Trial(seed=seed, **ROWS[row])  # type: ignore[arg-type]
    fleet = unlinked_boxes.UnlinkedFleet(trial)
    outcome = await fleet.run(builders.relaxed_config_document())
    end_s = trial.cut_for_s
    parts = []
    for name, from_s, to_s in (
        ("first 3 s", 0.0, 3.0),
        ("then", 3.0, end_s),
        ("after", end_s + 1.0, end_s + trial.after_s),
    ):
        cut = outcome.select(True, from_s, to_s)
        other = outcome.select(False, from_s, to_s)
        failed = collections.Counter(
            (one.status, one.text) for one in cut if one.status != 200
        )
        parts.append(
            f"{name} {unlinked_boxes.served(cut):.3f} of {len(cut)}"
            f" ({unlinked_boxes.typical_wait_s(cut):.3f} s),"
            f" others {unlinked_boxes.served(other):.3f} of {len(other)}"
            f" ({unlinked_boxes.typical_wait_s(other):.3f} s)"
            f" {dict(failed) if failed else ''}"
        )
    named = [
        at_s for at_s, count in outcome.named if count and 0 < at_s < end_s
    ]
    return (
        f"{row} seed {seed}: {'; '.join(parts)}; last named"
        f" {max(named, default=0.0):.1f} s, twice {len(outcome.twice)},"
        f" connects {outcome.connects}"
    )


if __name__ == "__main__":
    trial_tables.main(run_row)
