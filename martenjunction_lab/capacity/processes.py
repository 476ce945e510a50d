"""Slopes of real daemon processes."""

import asyncio
import dataclasses
import subprocess
import sys
import time
from typing import Any

import psutil

from martenjunction_lab import cluster
from martenjunction_lab import engine
from martenjunction_lab import fleets
from martenjunction_lab import load
from martenjunction_lab import standins
from martenjunction_lab import traffic
from martenjunction_lab.capacity import fits

MEGABYTE = 1024 * 1024
ZONE = "perth-a"
FAST = engine.EngineSpeed(
    slots=64, step_s=0.01, batch_cost=0.0, prefill_s=0.000001
)

# Seconds over which an idle fleet is watched.
WATCH = 10.0

SIZES = (4, 8, 16, 32)


def _outside(engines: int) -> standins.Outside:
    return standins.Outside(
        [fleets.CELLARLINE_FILE],
        [standins.EngineGroup("vintage-lm", ZONE, engines, FAST)],
        [],
    )


@dataclasses.dataclass(frozen=True)
class Reading:
    """What one daemon has spent so far."""

    at: float
    cpu_s: float
    bytes_in: int
    bytes_out: int
    messages_in: int
    platform_calls: int
    memory: int


async def read(fleet: cluster.Cluster, box: str) -> Reading:
    """Reads a daemon's accounts."""
    dump: dict[str, Any] = await fleet.dump(box)
    process = psutil.Process(fleet.daemons[box].pid)
    times = process.cpu_times()
    return Reading(
        time.monotonic(),
        times.user + times.system,
        dump["peers"]["bytes_in"],
        dump["peers"]["bytes_out"],
        dump["peers"]["messages_in"],
        sum(dump["platform"]["calls"].values()),
        process.memory_info().rss,
    )


@dataclasses.dataclass(frozen=True)
class Spent:
    """What a daemon spends a second."""

    core: float
    bytes_s: float
    messages_s: float
    platform_calls_s: float
    memory_mb: float


def between(before: Reading, after: Reading) -> Spent:
    """Returns what was spent a second between two readings."""
    seconds = after.at - before.at
    sent = after.bytes_in + after.bytes_out
    sent -= before.bytes_in + before.bytes_out
    return Spent(
        (after.cpu_s - before.cpu_s) / seconds,
        sent / seconds,
        (after.messages_in - before.messages_in) / seconds,
        (after.platform_calls - before.platform_calls) / seconds,
        after.memory / MEGABYTE,
    )


def _mean(values: list[float]) -> float:
    return sum(values) / len(values)


async def idle(fleet: cluster.Cluster) -> list[Spent]:
    """Returns what each daemon of an idle fleet spends a second."""
    boxes = list(fleet.daemons)
    before = [await read(fleet, box) for box in boxes]
    await asyncio.sleep(WATCH)
    after = [await read(fleet, box) for box in boxes]
    pairs = zip(before, after, strict=True)
    return [between(first, last) for first, last in pairs]


@dataclasses.dataclass(frozen=True)
class ControlSlopes:
    """The cost of control over the daemons that one is connected to."""

    core: fits.Slope
    bytes_s: fits.Slope
    messages_s: fits.Slope
    memory: fits.Slope
    platform_calls: fits.Slope


async def control(engines: int = 4) -> ControlSlopes:
    """Measures idle fleets of several sizes in one availability zone."""
    rows = []
    for size in SIZES:
        spec = cluster.ClusterSpec(_outside(engines), [ZONE] * size)
        async with cluster.Cluster(spec) as fleet:
            await asyncio.sleep(2.0)
            rows.append((float(size - 1), await idle(fleet)))

    def slope(name: str, unit: str, field: str) -> fits.Slope:
        points = [
            (links, _mean([getattr(spent, field) for spent in fleet]))
            for links, fleet in rows
        ]
        return fits.fit(name, unit, points)

    calls = [
        (links + 1, sum(s.platform_calls_s for s in fleet))
        for links, fleet in rows
    ]
    return ControlSlopes(
        slope("control, by connections", "core", "core"),
        slope("control, by connections", "B/s", "bytes_s"),
        slope("control, by connections", "messages/s", "messages_s"),
        slope("memory, by connections", "MB", "memory_mb"),
        fits.fit("platform calls, by daemons of a zone", "calls/s", calls),
    )


@dataclasses.dataclass(frozen=True)
class RelayCost:
    """What one request and one token cost a daemon.

    Attributes:
        loop: The event loop.
        request_us: Microseconds of processor time a request.
        token_us: Microseconds a token passed on by itself.
        held_kb: Kilobytes of memory a request held.
    """

    loop: str
    request_us: float
    token_us: float
    held_kb: float


def _questions(count: int, tokens: int, rate: float) -> list[traffic.Arrival]:
    stream = traffic.Stream(
        "field-question",
        fleets.FIELD_KEY,
        "vintage-lm",
        "chat",
        rate,
        answer_tokens=tokens,
    )
    return [
        traffic.Arrival(
            number / rate,
            number,
            stream,
            {
                "model": "vintage-lm",
                "stream": True,
                "messages": [{"role": "user", "content": f"{number} ripe?"}],
                "answer_tokens": tokens,
            },
        )
        for number in range(count)
    ]


async def _cost_of(
    fleet: cluster.Cluster, arrivals: list[traffic.Arrival]
) -> float:
    before = await read(fleet, "box-1")
    callers = load.Load(fleet.addresses)
    seen = await callers.run(arrivals)
    after = await read(fleet, "box-1")
    callers.close()
    whole = sum(item.whole for item in seen)
    if whole != len(arrivals):
        raise RuntimeError(f"only {whole} of {len(arrivals)} answered")
    return after.cpu_s - before.cpu_s


async def relay(loop: str) -> RelayCost:
    """Measures requests of two lengths through one daemon."""
    spec = cluster.ClusterSpec(_outside(4), [ZONE], loop=loop)
    async with cluster.Cluster(spec) as fleet:
        await _cost_of(fleet, _questions(50, 5, 100.0))
        quiet = between(await read(fleet, "box-1"), await _later(fleet)).core
        short = _questions(600, 2, 150.0)
        long = _questions(300, 120, 30.0)
        spent_short = await _cost_of(fleet, short) - quiet * short[-1].at
        spent_long = await _cost_of(fleet, long) - quiet * long[-1].at
        held = await _held_kb(fleet)
    request_us = spent_short / len(short) * 1e6
    token_us = (spent_long / len(long) * 1e6 - request_us) / 118
    return RelayCost(loop, request_us, token_us, held)


async def _later(fleet: cluster.Cluster) -> Reading:
    await asyncio.sleep(5.0)
    return await read(fleet, "box-1")


async def _held_kb(fleet: cluster.Cluster) -> float:
    before = await read(fleet, "box-1")
    callers = load.Load(fleet.addresses)
    count = 200
    work = asyncio.ensure_future(callers.run(_questions(count, 400, 200.0)))
    await asyncio.sleep(count / 200.0 + 1.5)
    during = await read(fleet, "box-1")
    await work
    callers.close()
    return (during.memory - before.memory) / 1024 / count


@dataclasses.dataclass(frozen=True)
class ChangeCost:
    """What one change of configuration costs, and how fast it spreads.

    Attributes:
        bytes_each: Bytes to and from one daemon a change.
        core_ms: Milliseconds of processor time a change at one daemon.
        median_s: Seconds until all daemons have it, at the median.
        worst_s: The same at worst.
    """

    bytes_each: float
    core_ms: float
    median_s: float
    worst_s: float


async def changes(daemons: int = 12, count: int = 20) -> ChangeCost:
    """Measures changes one after another in a fleet over three zones."""
    zones = [fleets.CELLARLINE_ZONES[i % 3] for i in range(daemons)]
    spec = cluster.ClusterSpec(_outside(4), zones)
    async with cluster.Cluster(spec) as fleet:
        quiet = await idle(fleet)
        before = [await read(fleet, box) for box in fleet.daemons]
        times = []
        for turn in range(count):
            times.append(await _spread(fleet, turn))
            await asyncio.sleep(0.2)
        after = [await read(fleet, box) for box in fleet.daemons]
    spent = [between(b, a) for b, a in zip(before, after, strict=True)]
    seconds = after[0].at - before[0].at
    more_bytes = _mean([s.bytes_s for s in spent])
    more_bytes -= _mean([s.bytes_s for s in quiet])
    more_core = _mean([s.core for s in spent]) - _mean([s.core for s in quiet])
    times.sort()
    return ChangeCost(
        max(0.0, more_bytes * seconds / count),
        max(0.0, more_core * seconds / count * 1e3),
        times[len(times) // 2],
        times[-1],
    )


async def _spread(fleet: cluster.Cluster, turn: int) -> float:
    """Returns seconds until every daemon has a change in force."""
    outside = fleet.outside
    document = next(d for d in outside.documents if d.name == "day-digest")
    values = {**document.values, "patience": f"{100 + turn}s"}
    standins.put_documents(
        outside.platform, [dataclasses.replace(document, values=values)]
    )
    version = outside.platform.version
    started = time.monotonic()
    path = f"/operator/config?key={document.key}"
    for box in fleet.daemons:
        while True:
            status = await fleet.ask_json(box, path)
            if status["versions"][document.key] >= version:
                break
            await asyncio.sleep(0.01)
    return time.monotonic() - started


def bare_interpreter_mb() -> float:
    """Returns the memory of an interpreter that does nothing."""
    with subprocess.Popen(
        [sys.executable, "-c", "import asyncio; input()"],
        stdin=subprocess.PIPE,
    ) as process:
        time.sleep(1.0)
        memory = psutil.Process(process.pid).memory_info().rss
        process.terminate()
    return float(memory) / MEGABYTE
