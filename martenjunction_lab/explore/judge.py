"""What has to hold of every play."""

from collections.abc import Iterator
import itertools

from martenjunction.http1 import close_reports
from martenjunction.http1 import peer_ends
from martenjunction.http1 import request_ledger
from martenjunction_lab.explore import configurations
from martenjunction_lab.explore import endpoints
from martenjunction_lab.explore import rig

# Seconds after its deadline within which a request has its response.
LATE_S = 1.0

# Seconds after a response within which endpoints end their work on it.
GOES_ON_S = 0.5

# Failures of the box's own, if no endpoint sent them.
_OWN_FAILURES = frozenset({502, 503, 504})

# Seconds between two things at most that are taken to be one.
_SAME_MOMENT_S = 0.002

_REPEATABLE = (configurations.SAFE, configurations.RESUMABLE)

# Statuses that promise that a request has not run.
NOT_RUN = frozenset({408, 421, 429, 503})

# States of runs that count as run.
_RAN = frozenset(endpoints.RunState) - {endpoints.RunState.REJECTED}

_End = request_ledger.End


def broken(made: rig.Rig, ended: bool) -> Iterator[str]:
    """Yields the invariants that a play broke, each with what was seen.

    Args:
        made: The rig after the play.
        ended: Whether all connections of the server ended.
    """
    if not ended:
        yield "no-end: the client's connection does not end"
    yield from _ledger(made)
    yield from _runs(made)
    yield from _answered_runs(made)
    yield from _runs_of_gone(made)
    yield from _responses(made)
    yield from _closes(made)


def _ledger(made: rig.Rig) -> Iterator[str]:
    ledger = made.server.ledger
    if ledger.open:
        yield f"open: {ledger.open} requests have no end"
    if ledger.ended_twice:
        yield f"two-ends: {ledger.ended_twice}"
    given_up = ledger.ends[_End.GIVEN_UP] + ledger.ends[_End.UNANSWERED]
    if given_up and made.stop_stage < rig.Stop.CLOSED:
        yield f"given-up: {dict(ledger.ends)}"
    if ledger.ends[_End.CLIENT_GONE] and not made.client.left:
        yield "taken-for-left: a request ended as that of a client that left"
    told = len(made.client.responses) + bool(made.client.rest)
    if not made.client.left and told < ledger.ends.total():
        yield f"untold: {told} responses, {dict(ledger.ends)}"


def _runs(made: rig.Rig) -> Iterator[str]:
    statuses = [one.status for one in made.client.responses]
    for number, sent in enumerate(made.sent):
        runs = [
            run
            for run in made.runs
            if run.request_id == sent.id and run.state in _RAN
        ]
        if sent.kind == configurations.RESUMABLE:
            yield from _overlaps(sent, runs)
        if sent.kind in _REPEATABLE:
            continue
        if len(runs) > 1:
            yield f"ran-twice: {sent.id}"
        if runs and number < len(statuses) and statuses[number] in NOT_RUN:
            yield f"refused-and-run: {sent.id}: {statuses[number]}"


def _overlaps(sent: rig.Sent, runs: list[endpoints.Run]) -> Iterator[str]:
    """Yields the runs of a stream that began before the last one ended."""
    for earlier, later in itertools.pairwise(runs):
        if later.at < earlier.ended_at - _SAME_MOMENT_S:
            yield f"two-at-once: {sent.id}"


def _answered_runs(made: rig.Rig) -> Iterator[str]:
    """Yields what is wrong with runs of requests that have a response."""
    for sent, response in zip(made.sent, made.client.responses, strict=False):
        for run in made.runs:
            if run.request_id != sent.id:
                continue
            on_s = _goes_on_s(made, run, response.at)
            if on_s > GOES_ON_S:
                yield f"goes-on: {sent.id}: {on_s:.3f} s after its response"
            if response.status in _OWN_FAILURES and _was_coming(
                made, sent, response.at, run
            ):
                yield (
                    f"replaced: {sent.id} got {response.status} "
                    f"{run.due_at - response.at:.3f} s before its answer"
                )


def _runs_of_gone(made: rig.Rig) -> Iterator[str]:
    """Yields the runs that go on although the client has left."""
    for run in made.runs:
        on_s = _goes_on_s(made, run, made.client.left_at)
        if on_s > GOES_ON_S:
            yield f"works-on: {run.request_id}: {on_s:.3f} s for no client"


def _goes_on_s(made: rig.Rig, run: endpoints.Run, since: float) -> float:
    """Returns for how many seconds a run went on after a time.

    At the limit of a stop the process ends, and all of its runs with it.
    """
    if made.stop_stage >= rig.Stop.CLOSED:
        return 0.0
    ended_at = min(run.ended_at, made.loop.time())
    return ended_at - since - made.held_up_s


def _was_coming(
    made: rig.Rig, sent: rig.Sent, refused_at: float, run: endpoints.Run
) -> bool:
    """Returns whether a run that the box ended had an answer in time."""
    if made.client.left or made.stop_stage >= rig.Stop.ENDING:
        return False
    deadline = sent.began_at + sent.least_timeout_s
    return (
        (run.waits or run.state is endpoints.RunState.CUT)
        and refused_at < deadline
        and run.due_at + made.held_up_s < deadline
    )


def _responses(made: rig.Rig) -> Iterator[str]:
    """Yields what is wrong with responses to a client that is there."""
    answered = made.client.responses
    if len(answered) > len(made.sent):
        yield "unasked: more responses than requests"
    last_at = 0.0
    for number, sent in enumerate(made.sent):
        if number >= len(answered):
            if _is_owed(made, sent):
                yield f"lost: {sent.id} has no response"
            return
        response = answered[number]
        if response.status == 200 and sent.id.encode() not in response.body:
            yield f"mixed: {sent.id} got {response.body!r}"
        if sent.complete and not made.client.left:
            limit_s = sent.timeout_s + LATE_S + made.held_up_s
            if response.at > max(sent.done_at, last_at) + limit_s:
                yield f"late: {sent.id}: {response.at - sent.done_at:.3f} s"
            if response.status != 200 and _has_answer(made, sent):
                yield f"undelivered: {sent.id} got {response.status}"
        last_at = response.at
        if response.closes:
            return


def _is_owed(made: rig.Rig, sent: rig.Sent) -> bool:
    """Returns whether a client has a right to a response."""
    if made.client.left or not sent.complete:
        return False
    # A stream that breaks off, and any response at the limit of a stop.
    return not made.client.rest and made.stop_stage < rig.Stop.CLOSED


def _has_answer(made: rig.Rig, sent: rig.Sent) -> bool:
    """Returns whether an endpoint completed an answer before the deadline."""
    if made.stop_stage >= rig.Stop.ENDING:
        return False
    return any(
        run.request_id == sent.id
        and run.done_at is not None
        and run.done_at < sent.began_at + sent.least_timeout_s
        for run in made.runs
    )


def _closes(made: rig.Rig) -> Iterator[str]:
    """Yields what is wrong with the end of a connection whose client stayed."""
    client = made.client
    if client.left:
        return
    for report in made.reports:
        if report.peer_end is not peer_ends.PeerEnd.OPEN:
            yield f"taken-for-left: {report.peer_end}"
        elif report.reason is close_reports.CloseReason.CLIENT:
            yield "taken-for-left: closed as if by the client"
    last = client.responses[-1] if client.responses else None
    at_rest = len(client.responses) == len(made.sent) and not client.rest
    if made.stop_stage or not at_rest:
        return
    if client.ended_at is None or client.ended_at >= made.over_at:
        return
    if last is None:
        least_s, since = made.shortest_idle_s, client.opened_at
    elif last.closes or last.told_s is None:
        return
    else:
        least_s, since = float(last.told_s), last.at
    if client.ended_at - since < least_s - 0.002:
        yield f"closed-early: after {client.ended_at - since:.3f} s of rest"
