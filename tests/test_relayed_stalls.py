"""Repeatable requests whose engine takes longer than their class's stall limit.

Each attempt was cancelled at the limit, the last one as well, so that a request
to engines that were all sound and slow got no answer at all.
"""

import dataclasses

from martenjunction.decisions import retries
from martenjunction_lab import bench
from martenjunction_lab import engine
from martenjunction_lab import standins
from tests import caller_builders as callers

# The first token of the prompt takes seconds.
SLOW = engine.EngineSpeed(slots=8, step_s=0.015, prefill_s=0.05)
STALL = "300ms"


async def ask_slow_engines(count: int) -> tuple[int, bench.Bench]:
    """Returns the status of a request to slow engines, and the bench."""
    usual = callers.spec()
    outside = dataclasses.replace(
        usual.outside,
        engines=[standins.EngineGroup("vintage-lm", "perth-a", count, SLOW)],
        class_values={"stall": STALL},
    )
    spec = dataclasses.replace(usual, outside=outside)
    async with callers.running(spec) as made:
        caller = callers.Caller(made.addresses[0])
        await caller.connect()
        text = "ripe? " * 20
        caller.send(
            callers.request(callers.CHAT, callers.chat(2, text, stream=False))
        )
        status, _, _ = await caller.read_response()
        caller.disconnect()
        return status, made


async def test_last_attempt_is_not_ended_as_silent() -> None:
    status, made = await ask_slow_engines(4)
    assert status == 200
    assert callers.started_runs(made) <= retries.MAX_ATTEMPTS


async def test_request_to_the_only_engine_is_not_ended_as_silent() -> None:
    status, _ = await ask_slow_engines(1)
    assert status == 200
