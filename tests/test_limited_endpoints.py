"""Endpoints that name the requests a second that they take from all boxes.

An engine named 2.1 requests a second in its answers from 8.0 s on. In the 4 s
from 11.025 s on it got 31 requests, from all six boxes, where 18 are allowed;
another one that named 1 got 13 in the 4 s from 18.086 s on, of 11. No line of
any log tells of a limit.
"""

import dataclasses

import pytest

from martenjunction_lab import limit_outcome
from martenjunction_lab import limited_endpoints
from tests import routing_builders as builders

SHORT = limited_endpoints.Trial(from_s=1.0, seconds=9.0)

# The least part of a limit that is to be used where enough is asked for.
LEAST_USED = 0.5


async def play(**changes: object) -> limit_outcome.Outcome:
    trial = dataclasses.replace(SHORT, **changes)  # type: ignore[arg-type]
    fleet = limited_endpoints.LimitedFleet(trial)
    return await fleet.run(builders.patient_config_document())


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
    seen = await play(**changes)
    assert seen.windows()
    assert seen.broken == 0
    used = seen.used().values()
    assert sum(used) / len(used) >= LEAST_USED
    assert seen.served >= 0.99 * seen.sent
