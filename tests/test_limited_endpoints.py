"""Endpoints that announce a rate limit for all boxes together.

Guards against ignoring a limit in the headers of answers. Six boxes that did so
sent 31 requests within 4 s to an engine with a limit of 2.1 requests per
second, where 18 are allowed, and 13 to one with a limit of 1, where 11 are
allowed. No box can keep a shared limit alone, so one box grants the requests of
all boxes.
"""

import dataclasses

import pytest

from martenjunction_lab import limit_outcome
from martenjunction_lab import limited_endpoints
from tests import routing_builders as builders

pytestmark = pytest.mark.simulated_time

SHORT = limited_endpoints.Trial(from_s=1.0, seconds=9.0)

# Minimum fraction of a limit to be used if there is enough demand.
MIN_USED_FRACTION = 0.5


async def run_trial(**changes: object) -> limit_outcome.Outcome:
    trial = dataclasses.replace(SHORT, **changes)  # type: ignore[arg-type]
    fleet = limited_endpoints.LimitedFleet(trial)
    return await fleet.run(builders.relaxed_config_document())


@pytest.mark.parametrize(
    "changes",
    [
        {},
        {"turns_away": True},
        {"limit": "4", "later": "1", "later_s": 2.0},
        {"routes": ("unsafe",), "tell_engines": 0},
        {"at_one_box": 0.9},
        {"joins_s": 5.0},
    ],
)
async def test_all_boxes_together_keep_to_a_limit(
    changes: dict[str, object],
) -> None:
    outcome = await run_trial(**changes)
    assert outcome.windows()
    assert outcome.broken == 0
    used = outcome.used().values()
    assert sum(used) / len(used) >= MIN_USED_FRACTION
    assert outcome.served >= 0.99 * outcome.sent


@pytest.mark.parametrize("limit", ["0", "0.5"])
async def test_endpoint_that_takes_nearly_nothing_gets_little(
    limit: str,
) -> None:
    outcome = await run_trial(limit=limit)
    assert outcome.windows()
    assert outcome.broken == 0
    assert outcome.served >= 0.99 * outcome.sent


async def test_endpoint_gets_more_work_after_its_limit_ends() -> None:
    outcome = await run_trial(limit="1", ends_s=6.0, seconds=10.0)
    assert outcome.broken == 0
    assert all(outcome.work_after_end(2.0).values())
    assert outcome.served >= 0.99 * outcome.sent


async def test_all_endpoints_of_a_service_may_announce_limits() -> None:
    outcome = await run_trial(tell_plain=SHORT.plain, tell_engines=0)
    assert outcome.windows()
    assert outcome.broken == 0
    assert set(outcome.statuses) <= {200, 503}
    assert {r.code for r in outcome.refusals} == {"endpoints-limited"}
    assert all(r.back_in_s for r in outcome.refusals)
