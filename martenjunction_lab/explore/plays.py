"""Plays one order of events and judges it."""

import asyncio
import collections
import contextlib
import dataclasses
import logging
import math
from typing import Any
from unittest import mock

import xxhash

from martenjunction.http1 import peeks
from martenjunction.http1 import streams
from martenjunction.http1 import watched_streams
from martenjunction_lab.explore import configurations
from martenjunction_lab.explore import endpoints
from martenjunction_lab.explore import events
from martenjunction_lab.explore import judge
from martenjunction_lab.explore import rig
from martenjunction_lab.simulated import loop as simulated_loop
from martenjunction_lab.simulated import sockets

# Simulated seconds after which a play counts as one without an end.
LIMIT_S = 60.0

# Seconds in which the connection of a client that is answered ends.
_END_S = 5.0

# Seconds by which waits at the end of a play exceed a limit.
_MARGIN_S = 0.01

# Seconds of a state's timers and ages that count as alike.
_ALIKE_S = 0.01


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """What a play showed.

    Attributes:
        order: The order that was played.
        possible: Whether each of its events could take place.
        state: Hash of what could be observed after the last event.
        broken: The invariants that were broken.
        timeline: Time and description of what happened, if it was asked for.
    """

    order: events.Order
    possible: bool
    state: str = ""
    broken: tuple[str, ...] = ()
    timeline: tuple[str, ...] = ()


class _Errors(logging.Handler):
    """Keeps what is logged as an error."""

    def __init__(self) -> None:
        super().__init__(logging.ERROR)
        self.found: list[str] = []

    def emit(self, record: logging.LogRecord) -> None:
        error = record.exc_info[1] if record.exc_info else None
        text = record.getMessage().splitlines()[0]
        self.found.append(f"error: {text}: {error!r}")


def play(
    order: events.Order,
    seed: int = 1,
    traced: bool = False,
    most: int | None = None,
    in_memory: bool = False,
) -> Outcome:
    """Plays an order.

    Args:
        order: The steps.
        seed: Decides what the box leaves to chance.
        traced: Whether the outcome has a timeline.
        most: If given, impossible events are left out of the order, and it ends
            after so many possible ones.
        in_memory: Whether the sockets are in memory, and not over loopback.
    """
    noted = _Errors()
    root = logging.getLogger()
    root.addHandler(noted)
    memory = sockets.Memory() if in_memory else None
    try:
        with asyncio.Runner(
            loop_factory=lambda: simulated_loop.SimulatedLoop(
                seed, LIMIT_S, network=memory
            )
        ) as runner:
            outcome = runner.run(_play(order, traced, most, memory))
    except simulated_loop.StuckError as error:
        return Outcome(order, True, broken=(f"stuck: {error}",))
    finally:
        root.removeHandler(noted)
    if not outcome.possible or not noted.found:
        return outcome
    return dataclasses.replace(
        outcome, broken=(*outcome.broken, *dict.fromkeys(noted.found))
    )


async def _play(
    order: events.Order,
    traced: bool,
    most: int | None,
    memory: sockets.Memory | None,
) -> Outcome:
    made = rig.Rig(memory or sockets.Loopback())
    parts: list[tuple[Any, str, Any]] = [
        (streams, "connect", made.connect),
        (streams, "new_stream", made.new_stream),
        # The kernel acknowledges later by its own time.
        (streams, "fcntl", sockets.ControlModule),
        (watched_streams, "_read_info", _acknowledged),
    ]
    if memory is not None:
        parts.append((peeks, "select", sockets.PollModule))
    with contextlib.ExitStack() as stack:
        for module, name, part in parts:
            stack.enter_context(mock.patch.object(module, name, part))
        try:
            return await _play_on(made, order, traced, most)
        finally:
            await made.end()


def _acknowledged(sock: Any) -> tuple[int, ...]:
    """Tells that nothing that was sent is unacknowledged."""
    return 0, 0, 0, 0, 0


async def _play_on(
    made: rig.Rig, order: events.Order, traced: bool, most: int | None
) -> Outcome:
    began_at = made.loop.time()
    timeline: list[str] = []
    await events.settle(made)
    taken: list[str] = []
    for step in order:
        if len(taken) == most:
            break
        at_ms = (made.loop.time() - began_at) * 1000
        if not await events.take(made, step):
            if most is None:
                return Outcome(order, False)
            continue
        taken.append(step)
        if traced:
            timeline.append(f"{at_ms:7.0f} ms  {step:16} {_seen(made)}")
    order = tuple(taken)
    state = _state(made, order)
    ended = await _finish(made)
    if traced:
        at_ms = (made.loop.time() - began_at) * 1000
        timeline.append(f"{at_ms:7.0f} ms  {'end':16} {_seen(made)}")
        timeline += [
            f"           {report.reason} {report.peer_end} "
            + " ".join(name for _, name in report.events)
            for report in made.reports
        ]
    broken = tuple(dict.fromkeys(judge.broken(made, ended)))
    return Outcome(order, True, state, broken, tuple(timeline))


async def _finish(made: rig.Rig) -> bool:
    """Has endpoints answer and waits; returns whether all has ended."""
    await events.settle(made)
    longest_s = max(
        (sent.timeout_s for sent in made.unanswered),
        default=configurations.timeout_s(made.configuration),
    )
    until = made.loop.time() + judge.LATE_S + longest_s
    while made.loop.time() < until and _awaits_response(made):
        if not made.mute:
            _answer_runs(made)
        await asyncio.sleep(_next_look_s(made))
        made.note_rest()
    if made.waiting_runs:
        await asyncio.sleep(judge.GOES_ON_S + _MARGIN_S)
    if not made.client.left and made.client.ended_at is None:
        last = made.client.responses[-1:]
        if last and last[0].told_s is not None and not made.stop_stage:
            rested_s = made.loop.time() - last[0].at
            await asyncio.sleep(max(0.0, last[0].told_s - rested_s))
            made.client.receive()
    made.over_at = made.loop.time()
    made.server.finish()
    try:
        async with asyncio.timeout(_END_S):
            await made.server.wait_ended()
    except TimeoutError:
        return False
    await events.settle(made)
    made.client.receive()
    return True


def _answer_runs(made: rig.Rig) -> None:
    """Answers what endpoints do not answer by themselves."""
    for run in made.waiting_runs:
        if not run.connection.owner.answers_by_itself:
            run.answer()


def _next_look_s(made: rig.Rig) -> float:
    """Returns the seconds until something may have changed."""
    due = [left for left in made.loop.due_in() if left > 0.0]
    return max(due[0] if due else 0.0, _MARGIN_S)


def _awaits_response(made: rig.Rig) -> bool:
    return bool(made.server.connections) and (
        bool(made.unanswered) or made.server.ledger.open > 0
    )


def _seen(made: rig.Rig) -> str:
    made.client.receive()
    ledger = made.server.ledger
    statuses = " ".join(str(one.status) for one in made.client.responses)
    runs = " ".join(f"{run.request_id}:{run.state}" for run in made.runs)
    ends = " ".join(f"{end}={count}" for end, count in ledger.ends.items())
    closed = "" if made.client.ended_at is None else " closed-by-box"
    return (
        f"responses [{statuses}]{closed} runs [{runs}] "
        f"open {ledger.open} ends [{ends}]"
    )


def _state(made: rig.Rig, order: events.Order) -> str:
    """Returns a hash of what can be observed."""
    pending: list[str] = []
    for step in reversed(order):
        if step[-1] not in (events.AT_ONCE, events.NEXT_TURN):
            break
        pending.append(step)
    client, ledger = made.client, made.server.ledger
    now = made.loop.time()
    seen: tuple[Any, ...] = (
        pending,
        [(one.status, one.closes, one.told_s) for one in client.responses],
        len(client.rest),
        client.ended_at is None,
        client.left,
        client.gone,
        [(one.kind, len(one.rest), one.complete) for one in made.sent],
        [
            (
                run.request_id,
                run.state,
                run.sent,
                run.connection.closed,
                run.connection.owner.silent,
                run.due_at < math.inf and round((run.due_at - now) / _ALIKE_S),
            )
            for run in made.runs
        ],
        _connections(made.endpoints),
        ledger.open,
        sorted(ledger.ends.items()),
        made.server.connections,
        len(made.gateway.held),
        made.gateway.pool.total_opened,
        sorted(made.gateway.pool.failed.items()),
        made.configuration,
        made.shortest_idle_s,
        made.connect_delay_s,
        made.mute,
        made.endpoints[0].answer_after_s,
        made.stop_stage,
        [round(left / _ALIKE_S) for left in made.loop.due_in()],
        [round((now - one.at) / _ALIKE_S) for one in client.responses[-1:]],
    )
    return xxhash.xxh3_64_hexdigest(repr(seen).encode())


def _connections(
    listed: list[endpoints.Endpoint],
) -> list[tuple[bool, list[tuple[bool, int]]]]:
    counted = [
        collections.Counter(one.closed for one in made.connections)
        for made in listed
    ]
    return [
        (made.listens, sorted(count.items()))
        for made, count in zip(listed, counted, strict=True)
    ]
