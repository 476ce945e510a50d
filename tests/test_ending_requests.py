"""Requests that crash endpoints and are sent repeatedly.

Guards against a request that crashes one endpoint after the other: with six
boxes and five engines, one request crashed ten engines in 13 seconds and
another one twelve. The client resends it with a new id to another box, which
does not know of the earlier crashes, and a box that may retry it sends it to
the next engine as soon as the first has crashed. After the third crash, three
more arrivals are tolerated from the time when all boxes can know of it.
"""

import dataclasses

import pytest

from martenjunction_lab import ending_requests
from tests import routing_builders as builders

pytestmark = pytest.mark.simulated_time

# Number of arrivals tolerated after the third crash is known.
MAX_LATE_ARRIVALS = 3

SHORT = ending_requests.Trial(seconds=6.0, back_s=1.0)
INNOCENT = dataclasses.replace(
    SHORT, fatal=0, alike=0.3, own_ends=12, own_ends_at_once=4
)


async def run_trial(
    trial: ending_requests.Trial, **changes: object
) -> ending_requests.Outcome:
    changed_trial = dataclasses.replace(trial, **changes)  # type: ignore[arg-type]
    fleet = ending_requests.EndingFleet(changed_trial)
    return await fleet.run(builders.config_document())


@pytest.mark.parametrize(
    "changes",
    [
        {"kind": "safe"},
        {"kind": "unsafe"},
        {"kind": "digest"},
        {"kind": "chat"},
        {"kind": "safe", "fatal": 2},
        {"kind": "digest", "burst": 4},
    ],
)
async def test_request_that_ends_endpoints_is_stopped(
    changes: dict[str, object],
) -> None:
    outcome = await run_trial(SHORT, **changes)
    assert outcome.ended >= ending_requests.KNOWN_AFTER
    assert outcome.late_arrivals <= MAX_LATE_ARRIVALS


async def test_boxes_that_start_later_know_of_it() -> None:
    outcome = await run_trial(SHORT, seconds=9.0, replaced=True)
    assert outcome.late_arrivals <= MAX_LATE_ARRIVALS


@pytest.mark.parametrize("kind", ["safe", "unsafe", "digest", "chat"])
async def test_popular_request_is_served_while_endpoints_end(
    kind: str,
) -> None:
    outcome = await run_trial(INNOCENT, kind=kind)
    assert outcome.own_ends == INNOCENT.own_ends
    assert outcome.innocent_shut_out == 0
    assert outcome.alike[200] > 0
