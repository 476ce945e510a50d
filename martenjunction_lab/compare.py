"""The same seeded arrivals under several policies, in one run."""

import asyncio
import dataclasses
import time
from typing import Any

from martenjunction_lab import baselines
from martenjunction_lab import bench
from martenjunction_lab import load
from martenjunction_lab import results
from martenjunction_lab import scenarios
from martenjunction_lab import standins
from martenjunction_lab import traffic


@dataclasses.dataclass
class RunResult:
    """One policy in one scenario.

    Attributes:
        policy: The policy.
        classes: What each class saw.
        goodput_tokens_s: Tokens of whole answers a second.
        wasted_tokens: Tokens that engines made and that are in no whole answer.
        preempted: Runs that were moved for a higher tier.
        doubled: Plain calls that were run twice.
        seconds: How long the run took.
    """

    policy: str
    classes: list[results.ClassResult]
    goodput_tokens_s: float
    wasted_tokens: int
    preempted: int
    doubled: int
    seconds: float

    @property
    def top_attainment(self) -> float:
        """The share of the highest tier's requests that met targets."""
        tier = min(row.tier for row in self.classes)
        rows = [row for row in self.classes if row.tier == tier]
        requests = sum(row.requests for row in rows)
        return sum(row.attained for row in rows) / max(1, requests)

    def as_json(self) -> dict[str, Any]:
        """Returns the result in a form that JSON can hold."""
        return {
            "policy": self.policy,
            "classes": [results.as_json(row) for row in self.classes],
            "top_attainment": round(self.top_attainment, 4),
            "goodput_tokens_s": round(self.goodput_tokens_s, 1),
            "wasted_tokens": self.wasted_tokens,
            "preempted": self.preempted,
            "doubled": self.doubled,
            "seconds": round(self.seconds, 1),
        }


async def run_policy(
    policy: str,
    scenario: scenarios.Scenario,
    arrivals: list[traffic.Arrival],
    seconds: float,
    daemons: int,
) -> RunResult:
    """Runs one policy.

    Args:
        policy: Its name among the baselines.
        scenario: The situation.
        arrivals: What is sent.
        seconds: For how long.
        daemons: How many daemons there are.
    """
    zones = [group.zone for group in scenario.outside.engines]
    outside = scenario.outside
    if policy in baselines.QUEUE_AT_ENGINES:
        # A long wait in an engine's own queue is no fault there.
        outside = dataclasses.replace(outside, class_values={"stall": "600s"})
    spec = bench.BenchSpec(
        outside,
        [zones[i % len(zones)] for i in range(daemons)],
        baselines.policies.get(policy),
    )
    fleet = bench.Bench(spec)
    await fleet.start()
    callers = load.Load(fleet.addresses)
    trouble = asyncio.ensure_future(scenario.trouble(fleet.outside, seconds))
    started = time.monotonic()
    seen = await callers.run(arrivals)
    elapsed = time.monotonic() - started
    trouble.cancel()
    result = _sum_up(policy, fleet, seen, elapsed)
    callers.close()
    await fleet.stop()
    return result


def _sum_up(
    policy: str, fleet: bench.Bench, seen: list[load.Seen], elapsed: float
) -> RunResult:
    outside: standins.StandIns = fleet.outside
    preempted = sum(
        task.dispatcher.counts.preempted
        for daemon in fleet.daemons
        for task in daemon.cells.tasks.values()
    )
    good = sum(item.tokens for item in seen if item.whole)
    return RunResult(
        policy,
        results.by_class(seen, outside.config),
        good / elapsed,
        outside.tokens_made() - good,
        preempted,
        outside.doubled_bookings(),
        elapsed,
    )


async def compare(
    name: str,
    seconds: float,
    seed: int,
    policies: tuple[str, ...],
    daemons: int = 1,
) -> list[RunResult]:
    """Runs a scenario under each policy, one after another.

    Args:
        name: The scenario.
        seconds: How long requests are sent.
        seed: Decides what is sent, and when.
        policies: Names among the baselines.
        daemons: How many daemons there are.
    """
    runs = []
    for policy in policies:
        scenario = scenarios.scenarios.get(name)()
        arrivals = traffic.draw(scenario.streams(seconds), seconds, seed)
        runs.append(
            await run_policy(policy, scenario, arrivals, seconds, daemons)
        )
    return runs


def table(runs: list[RunResult]) -> str:
    """Returns a table for people."""
    parts = []
    for run in runs:
        parts.append(
            f"{run.policy}: top tier {100 * run.top_attainment:.1f} %,"
            f" goodput {run.goodput_tokens_s:.0f} tokens/s,"
            f" wasted {run.wasted_tokens},"
            f" preempted {run.preempted}, doubled {run.doubled}"
        )
        parts.append(results.table(run.classes))
        parts.append("")
    return "\n".join(parts)
