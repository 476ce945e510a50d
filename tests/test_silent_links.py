"""Open connections that fall silent for good, while new ones work.

Guards against boxes that go on waiting for connections of which nothing
arrives any more.
"""

import asyncio
import time

import pytest

from martenjunction_lab.promises import judge
from martenjunction_lab.promises import schedule
from martenjunction_lab.promises import silences
from martenjunction_lab.promises import trial
from martenjunction_lab.simulated import loop as simulated_loop

# Kinds, and whether requests under way may be lost.
KINDS = (
    ("peer-links-go-silent", False),
    ("store-links-go-silent", False),
)


@pytest.mark.simulated_time
@pytest.mark.parametrize(("kind", "loses"), KINDS)
async def test_silent_links_break_no_promise(kind: str, loses: bool) -> None:
    drawn = schedule.draw_one(1, kind)
    seen = await trial.play_here(trial.Trial(drawn, seconds=6.0))
    assert not judge.broken(seen.history)
    assert seen.history.of(silences.Silence)
    assert loses or seen.served == seen.requests


@pytest.mark.simulated_time
async def test_loop_that_keeps_pace_is_no_faster_than_real_time() -> None:
    loop = asyncio.get_running_loop()
    assert isinstance(loop, simulated_loop.SimulatedLoop)
    loop.keep_pace()
    real, simulated = time.perf_counter(), loop.time()
    await asyncio.sleep(0.3)
    assert time.perf_counter() - real >= loop.time() - simulated - 0.002
    assert loop.time() - simulated >= 0.3
