"""Plays fast senders against a box and describes what was seen."""

import asyncio
import collections
import dataclasses
import pathlib
import statistics
import tempfile
import time

from martenjunction_lab import boxes
from martenjunction_lab import replica
from martenjunction_lab.fast_senders import forms
from martenjunction_lab.fast_senders import others
from martenjunction_lab.fast_senders import probed_box
from martenjunction_lab.fast_senders import processes
from martenjunction_lab.fast_senders import sender

REPLICAS = 3
SLOTS = 32

# Seconds after which a box that is ready has taken its state in.
SETTLE_S = 0.5

# Seconds after which a turn has ended whose answer was received.
ANSWER_TURN_S = 0.1


@dataclasses.dataclass(frozen=True)
class Trial:
    """What is played.

    Attributes:
        form: What the senders send; nobody sends if it is None.
        senders: How many send at once.
        clients: Other clients.
        lead_s: For how long the other clients send before the senders begin.
        seconds: For how long they send beside the senders.
        code: Folder with the code that the box runs.
        memory_bytes: The box's limit of memory, in bytes, which nothing
            enforces here.
    """

    form: forms.Form | None = None
    senders: int = 1
    clients: int = 20
    lead_s: float = 1.0
    seconds: float = 3.5
    code: pathlib.Path = pathlib.Path()
    memory_bytes: int = processes.MEMORY_BYTES


@dataclasses.dataclass
class Outcome:
    """What was seen.

    Attributes:
        lead: What the other clients saw before the senders began.
        base_delay_s: The box's event loop delay then, in seconds.
        seen: What they saw beside the senders.
        delay_s: The box's event loop delay then, or None if it did not answer.
        turns_s: The longest turns of each kind beside the senders, in seconds
            of processor time.
        ends: How the senders' connections ended.
    """

    lead: others.Seen
    base_delay_s: float
    seen: others.Seen = dataclasses.field(default_factory=others.Seen)
    delay_s: float | None = None
    turns_s: dict[str, float] = dataclasses.field(
        default_factory=lambda: {
            probed_box.CALLBACK: 0.0,
            probed_box.ITERATION: 0.0,
        }
    )
    ends: list[sender.End] = dataclasses.field(default_factory=list)


async def play(trial: Trial) -> Outcome:
    """Plays a trial.

    Raises:
        TimeoutError: If the box does not get ready.
    """
    fleet = boxes.Boxes()
    await fleet.start(processes.config_document(), boxes=0)
    for _ in range(REPLICAS):
        await fleet.add_replica(processes.PLAIN, slots=SLOTS)
    settings = processes.own_settings(fleet, memory_bytes=trial.memory_bytes)
    playing = None
    if trial.form is not None:
        playing = processes.SenderProcess(
            trial.form, trial.senders, settings.callers
        )
        await playing.start()
        stand_in = replica.Replica("sender")
        stand_in.address = playing.address
        fleet.record(stand_in, processes.SENDER, slots=2 * trial.senders)
    try:
        with tempfile.TemporaryDirectory() as name:
            async with processes.box(
                settings, trial.code, pathlib.Path(name)
            ) as pid:
                await asyncio.sleep(SETTLE_S)
                made = others.Others(settings, pid, trial.clients)
                return await _play(trial, made, playing, pathlib.Path(name))
    finally:
        if playing is not None:
            await playing.stop()
        await fleet.stop()


async def _play(
    trial: Trial,
    made: others.Others,
    playing: processes.SenderProcess | None,
    folder: pathlib.Path,
) -> Outcome:
    # The first call has the box import what it needs for it.
    await made.loop_delay()
    lead = await made.run(trial.lead_s)
    base_delay_s = await made.loop_delay()
    outcome = Outcome(lead, base_delay_s or 0.0)
    # The turn of that answer goes on after it was sent.
    await asyncio.sleep(ANSWER_TURN_S)
    began_at = time.monotonic()
    if playing is not None:
        playing.begin()
    outcome.seen = await made.run(trial.seconds)
    if playing is not None:
        outcome.ends = await playing.stop()
    ended_at = time.monotonic()
    outcome.delay_s = await made.loop_delay()
    for kind in outcome.turns_s:
        outcome.turns_s[kind] = processes.longest_turn(
            folder, kind, began_at, ended_at
        )
    return outcome


HEADINGS = (
    "form",
    "senders",
    "longest callback, iteration",
    "box, clients held up at most",
    "others before: median, 99th in 100, longest",
    "others beside",
    "answered, failed",
    "/readyz at most",
    "memory",
    "senders' ends",
)


def headings() -> str:
    """Returns the first lines of a table."""
    return f"{_line(HEADINGS)}\n{_line(['---'] * len(HEADINGS))}"


def row(trial: Trial, outcome: Outcome) -> str:
    """Returns the line of a trial in a table."""
    seen = outcome.seen
    form = trial.form
    failed = "".join(
        f", {count} x {status or 'none'}"
        for status, count in sorted(seen.failures.items())
    )
    cells = (
        f"{form.side}: {form.name}" if form else "nobody",
        str(trial.senders) if form else "",
        _turns(outcome),
        f"{_loop_delay(outcome)}, {seen.own_delay_s * 1000:.0f} ms",
        _latencies(outcome.lead.waits),
        _latencies(seen.waits),
        f"{len(seen.waits)}, {seen.failures.total()}{failed}",
        f"{max(seen.ready_waits) * 1000:.0f} ms",
        f"{seen.memory / 2**20:.0f} MB",
        _ends(outcome.ends, form) if form else "",
    )
    return _line(cells)


def _turns(outcome: Outcome) -> str:
    if outcome.delay_s is None:
        return "not ended"
    least_s = probed_box.LEAST_S
    return ", ".join(
        f"{seconds * 1000:.0f} ms"
        if seconds >= least_s
        else f"under {least_s * 1000:.0f} ms"
        for seconds in outcome.turns_s.values()
    )


def _latencies(waits: list[float]) -> str:
    if not waits:
        return "none"
    ordered = sorted(waits)
    chosen = (
        statistics.median(ordered),
        ordered[len(ordered) * 99 // 100],
        ordered[-1],
    )
    return f"{', '.join(f'{value * 1000:.0f}' for value in chosen)} ms"


def _loop_delay(outcome: Outcome) -> str:
    """Describes the longest delay, which an earlier one may hide."""
    if outcome.delay_s is None:
        return "no answer"
    hidden = outcome.delay_s <= outcome.base_delay_s
    return f"{'under ' if hidden else ''}{outcome.delay_s * 1000:.0f} ms"


def _ends(ends: list[sender.End], form: forms.Form) -> str:
    by_status: dict[int, list[sender.End]] = collections.defaultdict(list)
    for end in ends:
        by_status[end.status].append(end)
    return (
        "; ".join(
            f"{len(found)} x {status or 'closed'} after"
            f" {_range([end.after_s for end in found])} s{_size(found, form)}"
            for status, found in sorted(by_status.items())
        )
        or "none"
    )


def _size(ends: list[sender.End], form: forms.Form) -> str:
    """Describes what clients sent; endpoints do not tell it."""
    if form.side is forms.Side.ENDPOINT:
        return ""
    return f", {max(end.size for end in ends) / 1e6:.1f} MB"


def _range(values: list[float]) -> str:
    least, most = min(values), max(values)
    if most - least < 0.01:
        return f"{most:.2f}"
    return f"{least:.2f} to {most:.2f}"


def _line(cells: list[str] | tuple[str, ...]) -> str:
    return f"| {' | '.join(cells)} |"
