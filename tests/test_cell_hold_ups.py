"""Tests that a hold-up of this process does not count as slowness of engines.

Guards against learning durations by the clock. Answers that arrived during a
hold-up of 1 s were read after it, and the engine that was to serve all requests
then counted as an outlier: it was ejected, and the requests of all later rounds
were shed, as the other engine had asked for a back-off.
"""

import asyncio
from collections.abc import AsyncIterator

import pytest

from martenjunction_lab import bench
from martenjunction_lab.simulated import loop as simulated_loop
from tests import caller_builders

pytestmark = pytest.mark.simulated_time

CALLERS = 4
ROUNDS_BEFORE = 4
ROUNDS_AFTER = 4

# Seconds after the requests of a round were sent at which a hold-up begins. The
# engines work on them then, and answer within 0.2 s.
BEGINS_S = 0.02


@pytest.fixture
async def fleet() -> AsyncIterator[bench.Bench]:
    async with caller_builders.running(caller_builders.spec()) as made:
        yield made


def hold_up(seconds: float) -> None:
    loop = asyncio.get_running_loop()
    assert isinstance(loop, simulated_loop.SimulatedLoop)
    loop.hold_up(seconds)


@pytest.mark.parametrize("seconds", [0.0, 0.3, 1.0, 3.0, 6.0])
async def test_requests_are_served_after_a_hold_up(
    fleet: bench.Bench, seconds: float
) -> None:
    resting, serving = fleet.outside.engines.values()
    resting.faults.refuse = True
    resting.faults.rest_s = 60.0
    # Makes the refusing engine the preferred one.
    serving.faults.slow = 5.0
    callers = await caller_builders.connect_callers(fleet, CALLERS)
    await caller_builders.send_in_rounds(callers, ROUNDS_BEFORE)
    asyncio.get_running_loop().call_later(BEGINS_S, hold_up, seconds)
    await caller_builders.send_in_rounds(callers, ROUNDS_AFTER)
    # No run is taken for one of a silent engine and started again.
    rounds = ROUNDS_BEFORE + ROUNDS_AFTER
    assert serving.counts.started.total() == rounds * CALLERS
