"""Situations in which policies are compared."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses

from martenjunction import registry
from martenjunction_lab import engine
from martenjunction_lab import fleets
from martenjunction_lab import standins
from martenjunction_lab import traffic

# Hurts the outside while a run goes on.
Trouble = Callable[[standins.StandIns, float], Awaitable[None]]


async def no_trouble(outside: standins.StandIns, seconds: float) -> None:
    """Leaves everything as it is."""


@dataclasses.dataclass(frozen=True)
class Scenario:
    """One situation.

    Attributes:
        outside: Engines and services.
        streams: The traffic of a run of so many seconds.
        trouble: What goes wrong meanwhile.
    """

    outside: standins.Outside
    streams: Callable[[float], list[traffic.Stream]]
    trouble: Trouble = no_trouble


scenarios: registry.Registry[Callable[[], Scenario]] = registry.Registry(
    "scenario"
)


def _third(seconds: float, height: float) -> traffic.Shape:
    return traffic.burst(seconds / 4, seconds * 3 / 4, height)


@scenarios.register("harvest-morning")
def harvest_morning() -> Scenario:
    """The summaries of a harvest morning come to 3 times the capacity."""
    return Scenario(
        fleets.cellarline(),
        lambda s: fleets.cellarline_traffic(1.5, _third(s, 12.0)),
    )


@scenarios.register("end-of-day-orders")
def end_of_day() -> Scenario:
    """Quotes burst while long contracts are read."""
    return Scenario(
        fleets.mill(),
        lambda s: fleets.mill_traffic(2.0, _third(s, 8.0)),
    )


@scenarios.register("mixed-hardware")
def mixed_hardware() -> Scenario:
    """Two fast engines and four slow ones, close to full."""
    slow = engine.EngineSpeed(slots=6, step_s=0.05, prefill_s=0.0004)
    outside = standins.Outside(
        [fleets.MILL_FILE],
        [
            standins.EngineGroup("loom-llm", "pinetown-a", 2, fleets.NEW),
            standins.EngineGroup("loom-llm", "pinetown-b", 4, slow),
        ],
        [standins.PlainGroup("order-portal", "pinetown-a", 1)],
    )
    return Scenario(outside, lambda _: fleets.mill_traffic(1.8))


@scenarios.register("slow-engine")
def slow_engine() -> Scenario:
    """One engine becomes 10 times slower and reports that it is idle."""

    async def trouble(outside: standins.StandIns, seconds: float) -> None:
        await asyncio.sleep(seconds / 4)
        first = next(iter(outside.engines.values()))
        first.faults = engine.EngineFaults(slow=10.0, false_idle=True)

    return Scenario(
        fleets.cellarline(),
        lambda _: fleets.cellarline_traffic(1.2),
        trouble,
    )


@scenarios.register("crash-mid-answer")
def crash() -> Scenario:
    """Engines crash in turn, with answers under way, and come back."""

    async def trouble(outside: standins.StandIns, seconds: float) -> None:
        engines = list(outside.engines.values())
        for number in range(int(seconds / 4)):
            await asyncio.sleep(3.0)
            await engines[number % len(engines)].crash(1.0)

    return Scenario(
        fleets.cellarline(),
        lambda _: fleets.cellarline_traffic(1.5),
        trouble,
    )


@scenarios.register("one-large-workspace")
def one_large_workspace() -> Scenario:
    """One workspace sends more of a tier than all can serve."""
    small = traffic.Stream(
        "availability",
        fleets.AGENTS_KEY,
        "loom-llm",
        "chat",
        2.0,
        prompt_tokens=150,
        answer_tokens=50,
    )
    large = dataclasses.replace(small, key=fleets.PORTAL_KEY, rate=20.0)
    return Scenario(
        fleets.mill(),
        lambda s: [small, dataclasses.replace(large, shape=_third(s, 2.0))],
    )


@scenarios.register("lagging-reports")
def lagging() -> Scenario:
    """All load reports are 3 seconds old, close to full."""

    async def trouble(outside: standins.StandIns, _: float) -> None:
        for stand_in in outside.engines.values():
            stand_in.faults = engine.EngineFaults(report_lag_s=3.0)

    return Scenario(
        fleets.cellarline(),
        lambda s: fleets.cellarline_traffic(1.8, _third(s, 2.0)),
        trouble,
    )
