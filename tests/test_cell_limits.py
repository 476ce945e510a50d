"""Tests of rate limits that endpoints announce to their cell's owner.

Guards against an owner that ignores announced limits and grants every free
slot at once. The owner grants all runs at its endpoints, so it alone must
enforce the limit.
"""

import time

import pytest

from martenjunction import http_headers
from martenjunction.decisions.cells import dispatch_types
from martenjunction.decisions.cells import dispatcher
from martenjunction.endpoints import streams
from martenjunction_lab import bench
from martenjunction_lab import limit_outcome
from tests import builders
from tests import caller_builders

fleet = caller_builders.fleet

RUN_S = 0.2
STEP_S = 0.02


def play(
    cell: dispatcher.Dispatcher,
    limits: dict[str, float | None],
    began: float,
    seconds: float,
) -> list[tuple[float, str]]:
    """Submits requests to a cell continuously and completes its runs.

    Args:
        cell: The cell.
        limits: The limit that each endpoint announces.
        began: Start time in seconds.
        seconds: Duration.

    Returns:
        The time and endpoint of each grant.
    """
    grants: list[tuple[float, str]] = []
    running: list[tuple[float, str, str]] = []
    for step in range(round(seconds / STEP_S)):
        now = began + step * STEP_S
        for ends, request_id, endpoint in list(running):
            if ends <= now:
                running.remove((ends, request_id, endpoint))
                end = dispatch_types.RunEnd(
                    request_id,
                    dispatch_types.Ending.COMPLETE,
                    answered=True,
                    limit_per_s=limits[endpoint],
                )
                cell.ended(end, now)
        cell.submit(builders.ask(f"r{now:.2f}", arrived=now), now)
        cell.review(now)
        for grant in cell.step(now):
            if isinstance(grant, dispatch_types.Grant):
                grants.append((now, grant.endpoint))
                running.append((now + RUN_S, grant.request_id, grant.endpoint))
    return grants


def times(grants: list[tuple[float, str]], endpoint: str) -> list[float]:
    return [at for at, name in grants if name == endpoint]


def test_endpoint_is_granted_no_more_than_its_limit_and_most_of_it() -> None:
    cell = builders.cell(endpoints=2, slots=4)
    grants = play(cell, {"e1": 2.0, "e2": None}, 0.0, 20.0)
    granted = [at for at in times(grants, "e1") if at > 1.0]
    most = limit_outcome.most_in_window(granted)
    assert most <= limit_outcome.allowed(2.0)
    assert len(granted) >= 0.5 * 2.0 * 19.0
    assert len(times(grants, "e2")) > 10 * len(granted)


def test_endpoint_whose_limit_is_removed_receives_requests_again() -> None:
    cell = builders.cell(endpoints=2, slots=4)
    play(cell, {"e1": 2.0, "e2": None}, 0.0, 8.0)
    grants = play(cell, {"e1": None, "e2": None}, 8.0, 4.0)
    assert len([at for at in times(grants, "e1") if at > 10.0]) > 20


def test_very_high_limit_is_ignored() -> None:
    cell = builders.cell(endpoints=1, slots=8)
    cell.submit(builders.ask("first"), 0.0)
    assert len(cell.step(0.0)) == 1
    end = dispatch_types.RunEnd(
        "first", dispatch_types.Ending.COMPLETE, answered=True, limit_per_s=1e9
    )
    cell.ended(end, 0.1)
    for number in range(8):
        cell.submit(builders.ask(f"r{number}"), 0.1)
    assert len(cell.step(0.1)) == 8


def test_response_to_an_older_run_does_not_remove_the_limit() -> None:
    cell = builders.cell(endpoints=1, slots=2)
    for name in ("long", "short"):
        cell.submit(builders.ask(name), 0.0)
    assert len(cell.step(0.0)) == 2
    for name, limit, now in (("short", 2.0, 1.0), ("long", None, 1.1)):
        end = dispatch_types.RunEnd(
            name,
            dispatch_types.Ending.COMPLETE,
            answered=True,
            limit_per_s=limit,
        )
        cell.ended(end, now)
    cell.submit(builders.ask("third"), 1.1)
    assert cell.step(1.1) == []


@pytest.mark.parametrize(
    ("value", "per_s"), [("2.1", 2.1), ("0", 0.0), ("many", None), (None, None)]
)
def test_response_head_contains_the_limit(
    value: str | None, per_s: float | None
) -> None:
    pairs = [] if value is None else [(http_headers.LIMIT, value)]
    assert streams.ResponseHead(200, pairs).limit_per_s == per_s


async def test_engine_with_a_very_low_limit_receives_few_requests(
    fleet: bench.Bench,
) -> None:
    limited, serving = fleet.outside.engines.values()
    limited.faults.limit = "0"
    # Makes the idle, limited engine the preferred one.
    serving.faults.slow = 5.0
    callers = await caller_builders.connect_callers(fleet, 4)
    began = time.monotonic()
    await caller_builders.send_in_rounds(callers, 8)
    windows = 1 + (time.monotonic() - began) / limit_outcome.WINDOW_S
    # Requests sent before its first response, and those allowed by the limit.
    most = len(callers) + windows * limit_outcome.allowed(0.0)
    assert 0 < limited.counts.started.total() <= most
