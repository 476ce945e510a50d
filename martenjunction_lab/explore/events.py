"""The events of a play.

An order is a tuple of steps. A step is the name of an event, followed by `&` if
the next event comes before the loop runs, or by `~` if it comes after one turn
of the loop. Otherwise the loop runs until it has nothing to do.
"""

import asyncio
from collections.abc import Callable
import sys

from martenjunction_lab.explore import configurations
from martenjunction_lab.explore import endpoints
from martenjunction_lab.explore import rig

Order = tuple[str, ...]

# Ends of steps: the next event comes before the loop runs, or after one turn.
AT_ONCE = "&"
NEXT_TURN = "~"

# Seconds for which the loop comes to rest.
SETTLE_S = 0.001

# Requests after which a box knows how quick endpoints are, and the seconds
# within which quick ones answer them in turn.
_MANY = 24
_MANY_S = 0.4

# Seconds before the end of the shortest idle time at which a wait ends.
_BEFORE_S = 0.02

# Seconds before a timer that the loop takes to be due in the same turn.
_SAME_TURN_S = 0.0005

# Seconds for which an endpoint pauses.
_PAUSE_S = 1.0

_HEAD = (
    b"%s /%s/x HTTP/1.1\r\nHost: api.example\r\n"
    b"Martenjunction-Attempt-Id: %s\r\n"
)
_BODY = b"Content-Length: 4\r\n\r\nabcd"

# An event returns whether it could take place.
Event = Callable[[rig.Rig], bool]


def _new(made: rig.Rig, kind: str) -> rig.Sent:
    name = f"r{len(made.sent)}"
    if kind == configurations.SAFE:
        whole = _HEAD % (b"GET", kind.encode(), name.encode()) + b"\r\n"
    else:
        whole = _HEAD % (b"POST", kind.encode(), name.encode()) + _BODY
    sent = rig.Sent(
        name,
        kind,
        made.loop.time(),
        configurations.timeout_s(made.configuration),
        configurations.timeout_s(made.configuration),
        made.turn,
        whole,
    )
    made.sent.append(sent)
    return sent


def _may_send(made: rig.Rig) -> bool:
    made.client.receive()
    partly = bool(made.sent) and bool(made.sent[-1].rest)
    return made.client.is_open and not partly


def _send(*kinds: str) -> Event:
    def act(made: rig.Rig) -> bool:
        if not _may_send(made):
            return False
        sent = [_new(made, kind) for kind in kinds]
        complete = made.client.send(b"".join(one.rest for one in sent))
        for one in sent:
            one.rest = b""
            one.complete = complete
            one.done_at = made.loop.time()
        return True

    return act


def _send_part(at: Callable[[bytes], int]) -> Event:
    """Sends a request up to a place."""

    def act(made: rig.Rig) -> bool:
        if not _may_send(made):
            return False
        sent = _new(made, configurations.UNSAFE)
        size = at(sent.rest)
        sent.turn = sys.maxsize
        made.client.send(sent.rest[:size])
        sent.rest = sent.rest[size:]
        return True

    return act


def _send_rest(made: rig.Rig) -> bool:
    if not made.sent or not made.sent[-1].rest:
        return False
    sent = made.sent[-1]
    sent.turn = made.turn
    sent.complete = made.client.send(sent.rest)
    sent.done_at = made.loop.time()
    sent.rest = b""
    return True


def _leave(how: str) -> Event:
    def act(made: rig.Rig) -> bool:
        if made.client.left:
            return False
        if how == "half":
            made.client.half_close()
        else:
            made.client.close(how == "reset")
        return True

    return act


def _on_run(
    act: Callable[[rig.Rig, endpoints.Run], bool], which: int = 0
) -> Event:
    """An event at a run without a complete answer: the first, or the last."""

    def event(made: rig.Rig) -> bool:
        for endpoint in made.endpoints:
            for connection in endpoint.connections:
                connection.receive()
        waiting = made.waiting_runs
        least = 2 if which else 1
        return len(waiting) >= least and act(made, waiting[which])

    return event


def _answer_after(seconds: float) -> Event:
    def act(made: rig.Rig) -> bool:
        for endpoint in made.endpoints:
            endpoint.answer_after(seconds)
        return True

    return act


def _fall_silent(made: rig.Rig, run: endpoints.Run) -> bool:
    run.connection.owner.fall_silent()
    return True


def _pause(made: rig.Rig, run: endpoints.Run) -> bool:
    run.connection.owner.pause(_PAUSE_S)
    return True


def _answer(made: rig.Rig, run: endpoints.Run) -> bool:
    run.answer()
    return True


def _answer_partly(made: rig.Rig, run: endpoints.Run) -> bool:
    if run.sent:
        return False
    size = run.whole.index(b"\r\n\r\n") + 9
    if run.connection.send(run.whole[:size]):
        run.sent = size
        run.state = endpoints.RunState.PARTLY
    return True


def _respond(status: bytes, more: bytes, state: endpoints.RunState) -> Event:
    def act(made: rig.Rig, run: endpoints.Run) -> bool:
        if run.sent:
            return False
        if run.connection.send(
            b"HTTP/1.1 %s\r\n%sContent-Length: 0\r\n\r\n" % (status, more)
        ):
            run.end(state)
        return True

    return _on_run(act)


def _restart(made: rig.Rig) -> bool:
    """Restarts the endpoint at which the last request runs or ran."""
    runs = made.runs
    if not runs or runs[-1].connection.closed:
        return False
    made.restart_endpoint(runs[-1].connection.owner)
    return True


def _break(by_reset: bool, which: int = 0) -> Event:
    def act(made: rig.Rig, run: endpoints.Run) -> bool:
        run.connection.end(by_reset, endpoints.RunState.BROKEN)
        return True

    return _on_run(act, which)


def _end_kept(by_reset: bool, stray: bytes = b"") -> Event:
    """Ends, or writes to, kept connections without a run."""

    def act(made: rig.Rig) -> bool:
        busy = {run.connection for run in made.waiting_runs}
        kept = [
            connection
            for endpoint in made.endpoints
            for connection in endpoint.connections
            if not connection.closed and connection not in busy
        ]
        for connection in kept:
            # An answer that may still be unread must not be lost by a reset.
            if stray:
                connection.send(stray)
            else:
                connection.end(by_reset, endpoints.RunState.BROKEN)
        return bool(kept)

    return act


def _refuse(made: rig.Rig) -> bool:
    if not made.endpoints[0].listens:
        return False
    for endpoint in made.endpoints:
        endpoint.refuse()
    return True


def _connect_in(delay_s: float | None) -> Event:
    def act(made: rig.Rig) -> bool:
        if made.connect_delay_s == delay_s:
            return False
        made.connect_delay_s = delay_s
        return True

    return act


def _mute(made: rig.Rig) -> bool:
    if made.mute:
        return False
    made.mute = True
    return True


def _configure(name: str) -> Event:
    def act(made: rig.Rig) -> bool:
        if made.configuration == name:
            return False
        made.configure(name)
        return True

    return act


def _hold_up(seconds: float) -> Event:
    def act(made: rig.Rig) -> bool:
        made.hold_up(seconds)
        return True

    return act


def _hold_up_past_timer(made: rig.Rig) -> bool:
    due = [left for left in made.timers_due_in() if left > SETTLE_S]
    if due:
        made.hold_up(due[0] + SETTLE_S)
    return bool(due)


def _stop(stage: rig.Stop, act: Callable[[rig.Rig], None]) -> Event:
    def event(made: rig.Rig) -> bool:
        if made.stop_stage >= stage:
            return False
        act(made)
        return True

    return event


def _nothing(made: rig.Rig) -> bool:
    return True


_REJECTION = b"Martenjunction-Not-Executed: 1\r\n"
_STRAY = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"

EVENTS: dict[str, Event] = {
    "safe": _send("safe"),
    "unsafe": _send("unsafe"),
    "stream": _send("chat"),
    "resumable": _send("talk"),
    "two": _send("unsafe", "safe"),
    "many": _send(*["safe"] * _MANY),
    "many-streams": _send(*["talk"] * _MANY),
    "half-head": _send_part(lambda whole: 20),
    "half-body": _send_part(lambda whole: len(whole) - 2),
    "rest": _send_rest,
    "fin": _leave("fin"),
    "half-close": _leave("half"),
    "reset": _leave("reset"),
    "answer": _on_run(_answer),
    "answer-last": _on_run(_answer, -1),
    "answer-part": _on_run(_answer_partly),
    "reject": _respond(b"503 X", _REJECTION, endpoints.RunState.REJECTED),
    "fail": _respond(b"500 X", b"", endpoints.RunState.FAILED),
    "after-10": _answer_after(0.01),
    "after-500": _answer_after(0.5),
    "after-1000": _answer_after(1.0),
    "after-3000": _answer_after(3.0),
    "pause": _on_run(_pause),
    "silent": _on_run(_fall_silent),
    "break": _break(False),
    "break-reset": _break(True),
    "break-last": _break(False, -1),
    "restart": _restart,
    "kept-fin": _end_kept(False),
    "kept-reset": _end_kept(True),
    "early": _end_kept(False, _STRAY),
    "refuse": _refuse,
    "late-50": _connect_in(0.05),
    "late-100": _connect_in(0.1),
    "never": _connect_in(None),
    "mute": _mute,
    **{f"config-{name}": _configure(name) for name in configurations.LIMITS},
    "hold-1": _hold_up(0.001),
    "hold-80": _hold_up(0.08),
    "hold-300": _hold_up(0.3),
    "hold-past": _hold_up_past_timer,
    "wait-50": _nothing,
    "wait-300": _nothing,
    "wait-1000": _nothing,
    "wait-near": _nothing,
    "wait-check": _nothing,
    "wait-rest": _nothing,
    "leave": _stop(rig.Stop.LEAVING, rig.Rig.leave),
    "finish": _stop(rig.Stop.FINISHING, rig.Rig.finish),
    "stop": _stop(rig.Stop.ENDING, rig.Rig.stop),
}

# Steps of the enumeration. What waits or holds the loop up has one form only.
_ONE_FORM = (
    "after-",
    "hold-",
    "wait-",
    "late-",
    "never",
    "mute",
    "refuse",
    "leave",
    "pause",
    "silent",
    "many",
)
STEPS: Order = tuple(
    name + end
    for name in EVENTS
    for end in (
        (AT_ONCE,)
        if name.startswith("hold-")
        else ("",)
        if name.startswith(_ONE_FORM)
        else ("", AT_ONCE)
    )
)
# Steps of random walks.
ALL_STEPS: Order = (
    *STEPS,
    *(name + NEXT_TURN for name in EVENTS if not name.startswith(_ONE_FORM)),
)


async def take(made: rig.Rig, step: str) -> bool:
    """Has a step take place; returns whether it could."""
    name = step.rstrip(AT_ONCE + NEXT_TURN)
    if not EVENTS[name](made):
        return False
    if step.endswith(AT_ONCE):
        return True
    if step.endswith(NEXT_TURN):
        await asyncio.sleep(0)
        return True
    await settle(made, _seconds(made, name))
    return True


async def settle(made: rig.Rig, seconds: float = SETTLE_S) -> None:
    """Lets the loop run until it has nothing to do for some time."""
    await asyncio.sleep(seconds)
    made.note_rest()


def _seconds(made: rig.Rig, name: str) -> float:
    if name == "wait-near":
        due = [left for left in made.timers_due_in() if left > 2 * SETTLE_S]
        return due[0] - SETTLE_S if due else SETTLE_S
    if name == "wait-check":
        return max(0.0, made.check_due_in - _SAME_TURN_S)
    if name == "wait-rest":
        rested_s = made.loop.time() - made.rested_since
        return max(SETTLE_S, made.shortest_idle_s - rested_s - _BEFORE_S)
    if name.startswith("many"):
        return _MANY_S
    if name.startswith("wait-"):
        return int(name.removeprefix("wait-")) / 1000
    return SETTLE_S
