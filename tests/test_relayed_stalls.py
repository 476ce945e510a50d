"""Repeatable requests whose engine takes longer than their class's stall limit.

Each attempt was cancelled at the limit, the last one as well, so that a request
to engines that were all sound and slow got no answer at all.
"""

import dataclasses

from martenjunction.decisions import retries
from martenjunction_lab import engine
from martenjunction_lab import standins
from tests import caller_builders as callers

# The first token of the prompt takes seconds.
SLOW = engine.EngineSpeed(slots=8, step_s=0.015, prefill_s=0.05)
STALL = "300ms"


@dataclasses.dataclass(frozen=True)
class Asked:
    """What became of a request: its status, runs, and faults of engines."""

    status: int
    runs: int
    faults: list[int]


async def ask_slow_engines(count: int) -> Asked:
    """Asks slow engines once."""
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
        faults = [
            endpoint.health.faults
            for task in made.daemons[0].cells.tasks.values()
            for endpoint in task.dispatcher.endpoints.values()
        ]
        return Asked(status, callers.started_runs(made), faults)


async def test_last_attempt_is_not_ended_as_silent() -> None:
    asked = await ask_slow_engines(4)
    assert asked.status == 200
    assert asked.runs <= retries.MAX_ATTEMPTS


async def test_request_to_the_only_engine_is_not_ended_as_silent() -> None:
    asked = await ask_slow_engines(1)
    assert asked.status == 200


async def test_cancelled_runs_are_no_failures_of_their_engines() -> None:
    # Three failures in a row eject an engine that only was slow.
    asked = await ask_slow_engines(4)
    assert asked.runs == retries.MAX_ATTEMPTS
    assert len(asked.faults) > retries.MAX_ATTEMPTS
    assert not any(asked.faults)
