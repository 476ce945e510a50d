"""Works the measured slopes out at the target, and prints the tables."""

import dataclasses

from martenjunction.claims import keeper
from martenjunction.claims import shards
from martenjunction_lab.capacity import fits
from martenjunction_lab.capacity import processes
from martenjunction_lab.capacity import pure
from martenjunction_lab.capacity import target

# Endpoints that one cell's dispatcher holds at the target.
CELL = 24

# Bytes that a held prompt may take while it is on its way, as an assumption.
PROMPT_KB = 8.0

# Seconds that an answer takes at the target: 424 tokens of 70 ms.
ANSWER_S = 30.0


@dataclasses.dataclass(frozen=True)
class Measured:
    """Everything that was measured in one run."""

    by_waiting: fits.Slope
    by_endpoints: fits.Slope
    classify_us: float
    memory_by_objects: fits.Slope
    change_by_objects: fits.Slope
    control: processes.ControlSlopes
    relay: dict[str, processes.RelayCost]
    changes: processes.ChangeCost
    bare_mb: float


async def measure() -> Measured:
    """Measures everything; takes some minutes."""
    by_waiting = pure.by_waiting()
    by_endpoints = pure.by_endpoints()
    memory = pure.memory_by_objects()
    change = pure.change_by_objects()
    classify_us = pure.classify_us()
    relay = {
        loop: await processes.relay(loop) for loop in ("uvloop", "asyncio")
    }
    return Measured(
        by_waiting,
        by_endpoints,
        classify_us,
        memory,
        change,
        await processes.control(),
        relay,
        await processes.changes(),
        processes.bare_interpreter_mb(),
    )


Row = tuple[str, ...]


def table(heading: Row, rows: list[Row]) -> str:
    """Returns a table in Markdown."""
    lines = ["| " + " | ".join(heading) + " |"]
    lines.append("|" + "---|" * len(heading))
    lines += ["| " + " | ".join(row) + " |" for row in rows]
    return "\n".join(lines)


def slopes(found: Measured) -> str:
    """Returns the table of measured slopes."""
    control = found.control
    fitted = [
        found.by_waiting,
        found.by_endpoints,
        found.memory_by_objects,
        found.change_by_objects,
        control.core,
        control.bytes_s,
        control.messages_s,
        control.memory,
        control.platform_calls,
    ]
    rows: list[Row] = [
        (
            s.name,
            s.unit,
            f"{s.base:.4g}",
            f"{s.slope:.4g}",
            ", ".join(f"{x:g}: {y:.4g}" for x, y in s.points),
        )
        for s in fitted
    ]
    return table(("what", "unit", "base", "each more", "measured"), rows)


def single(found: Measured) -> str:
    """Returns the table of single figures."""
    rows: list[Row] = [("policy call", f"{found.classify_us:.1f} us")]
    for loop, cost in found.relay.items():
        rows.append((f"request, {loop}", f"{cost.request_us:.0f} us"))
        rows.append((f"token relayed, {loop}", f"{cost.token_us:.1f} us"))
        rows.append((f"held request, {loop}", f"{cost.held_kb:.0f} KiB"))
    change = found.changes
    rows += [
        ("change of configuration, bytes", f"{change.bytes_each:.0f} B"),
        ("change of configuration, core", f"{change.core_ms:.2f} ms"),
        ("in force on 12 daemons, median", f"{change.median_s:.3f} s"),
        ("in force on 12 daemons, worst", f"{change.worst_s:.3f} s"),
        ("bare interpreter", f"{found.bare_mb:.1f} MB"),
    ]
    return table(("what", "measured"), rows)


def at_target(found: Measured) -> str:
    """Returns the table of what one daemon needs at the target."""
    t = target.TARGET
    relay = found.relay["uvloop"]
    links = t.links_each
    control_bytes = found.control.bytes_s.at(links)
    control_bytes += found.changes.bytes_each * t.changes_s
    change_ms = found.change_by_objects.at(t.config_objects)
    control_core = found.control.core.at(links) + t.changes_s * change_ms / 1e3
    memory = found.control.memory.at(links) - found.bare_mb
    memory += found.memory_by_objects.at(t.config_objects) / 1024
    held = t.requests_each_s * ANSWER_S
    decisions = found.by_endpoints.at(CELL) * t.requests_each_s / 1e6
    watchers = 2 * t.zones
    reads = watchers * (1.0 + t.changes_s)
    claims = t.requests_s * t.keyed_share
    claim_writes = min(claims, keeper.SHARDS / shards.WRITE_INTERVAL)
    rows: list[Row] = [
        (
            "control of one daemon: bytes a second",
            f"{control_bytes:.0f}",
            f"{t.control_bytes_s}",
        ),
        (
            "control of one daemon: part of a core",
            f"{100 * control_core:.2f} %",
            f"{100 * t.control_core:.1f} %",
        ),
        (
            "control of one daemon: MB above the bare interpreter",
            f"{memory:.0f}",
            f"{t.control_mb}",
        ),
        (
            "dispatcher of its cells: part of a core",
            f"{100 * decisions:.1f} %",
            "request path",
        ),
        (
            "entry: requests, part of a core",
            f"{100 * relay.request_us * t.requests_each_s / 1e6:.1f} %",
            "request path",
        ),
        (
            "entry: tokens, cores",
            f"{relay.token_us * t.tokens_each_s / 1e6:.2f}",
            "request path",
        ),
        (
            f"entry: {held:.0f} held requests, MB",
            f"{held * (relay.held_kb + PROMPT_KB) / 1024:.0f}",
            "request path",
        ),
        (
            "platform: reads a second, all daemons",
            f"{reads:.0f}",
            f"{t.platform_reads_s}",
        ),
        (
            f"platform: claim writes a second, {claims:.0f} claims",
            f"{claim_writes:.0f}",
            f"{t.platform_writes_s}",
        ),
    ]
    return table(("what", "at the target", "allowed"), rows)


def page(found: Measured) -> str:
    """Returns all tables."""
    parts = [
        "### Measured slopes",
        slopes(found),
        "### Measured figures",
        single(found),
        "### At the target",
        at_target(found),
    ]
    return "\n\n".join(parts)
