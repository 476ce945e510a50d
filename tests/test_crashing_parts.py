"""Requests that share a part of their prompts and crash many endpoints."""

import dataclasses

import pytest

from martenjunction_lab import crashing_parts
from tests import routing_builders as builders

pytestmark = pytest.mark.simulated_time

# Requests with a part that are tolerated after all boxes should know of it.
MAX_LATE_ARRIVALS = 3

# Minimum share of sound requests that begin at their first try once the part is
# known, relative to the share before the first crash.
MIN_BEGUN = 0.5
MIN_SOUND = 20

SHORT = crashing_parts.Trial(seconds=15.0, begins_s=2.0)


async def run_trial(**changes: object) -> crashing_parts.Outcome:
    trial = dataclasses.replace(SHORT, **changes)  # type: ignore[arg-type]
    fleet = crashing_parts.CrashingFleet(trial)
    return await fleet.run(builders.relaxed_config_document())


@pytest.mark.parametrize(
    "changes",
    [
        {"drawn_company": False},
        {},
        {"comes_first": True},
        {"fatal": 2},
        {"sound_until_s": 3.0, "seconds": 22.0},
        {"path": "/chat/a", "writes": True},
        {"immune": 8},
    ],
)
async def test_part_that_crashes_endpoints_is_stopped(
    changes: dict[str, object],
) -> None:
    outcome = await run_trial(**changes)
    assert outcome.crashed > 0
    assert outcome.most_late_arrivals <= MAX_LATE_ARRIVALS
    begun, sent = outcome.begun(known=False)
    begun_after, sent_after = outcome.begun(known=True)
    assert min(sent, sent_after) >= MIN_SOUND
    assert begun_after / sent_after >= MIN_BEGUN * begun / sent


async def test_parts_are_served_while_endpoints_crash_by_themselves() -> None:
    outcome = await run_trial(fatal=0, own_ends=24, own_ends_at_once=4)
    assert outcome.own_ends == 24
    assert outcome.innocent_refused == 0
