"""Runs trials with endpoints that announce leaving or request a back-off.

    python -m tests.notice_table ROW[,ROW...] FIRST_SEED LAST_SEED

Prints one line per row and seed. `ROWS` defines the rows.
"""

from martenjunction_lab import telling_endpoints
from martenjunction_lab import trial_fleet
from tests import routing_builders as builders
from tests import trial_tables

Trial = telling_endpoints.Trial
REST = {"word": telling_endpoints.Word.REST, "tell_engines": 0}

# Overrides of the default trial's parameters per row.
ROWS: dict[str, dict[str, object]] = {
    "leaving": {},
    "leaving-and-back": {"back_at_s": 6.0},
    "leaving-then-refusing": {
        "word": telling_endpoints.Word.LEAVING_THEN_REFUSING
    },
    "rest": REST,
    "rest-not-repeatable": {**REST, "routes": ("unsafe",)},
    "rest-engines": {**REST, "tell_plain": 0, "tell_engines": 3},
    "rest-of-all": {**REST, "tell_plain": 10, "rest_s": 2.5},
    "rest-of-all-for-a-while": {**REST, "tell_plain": 10, "for_s": 2.5},
    "rest-of-all-coming-back": {
        **REST,
        "tell_plain": 10,
        "for_s": 2.5,
        "rest_s": 0.4,
        "comes_back": True,
    },
    "none": {**REST, "tell_plain": 0},
}


async def run_row(row: str, seed: int) -> str:
    """Runs one row with one seed and returns the line to print."""
    trial = Trial(seed=seed, **ROWS[row])  # type: ignore[arg-type]
    fleet = telling_endpoints.TellingFleet(trial)
    outcome = await fleet.run(builders.relaxed_config_document())
    work = outcome.work_of_returned(fleet.names(trial_fleet.PLAIN))
    return (
        f"{row} seed {seed}: late {outcome.late_from_told} from told"
        f" {outcome.late_from_any} from any, rests {len(outcome.refusals)}"
        f" broken {outcome.broken} most {max(outcome.in_rest, default=0)},"
        f" served {outcome.served} of {outcome.sent} {dict(outcome.statuses)}"
        f" {dict(outcome.codes)},"
        f" work of returned {work} barred {outcome.barred},"
        f" longest refusal {max(outcome.refused_s, default=0.0):.3f} s,"
        f" told to come back in {max(outcome.back_in_s, default=0.0):.2f} s"
        " at most"
    )


if __name__ == "__main__":
    trial_tables.main(run_row)
