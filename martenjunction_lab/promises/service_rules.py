"""Rules on requests that are lost, and on those that are served."""

from collections.abc import Iterator

from martenjunction_lab.promises import cases
from martenjunction_lab.promises import configurations
from martenjunction_lab.promises import events
from martenjunction_lab.promises import rules

# Time after the end of a planned stop that still counts as one, in seconds.
STOP_SLACK_S = 1.0

# Last part of a planned stop, in which streams may be cut.
LAST_PART = 1 / 6


@rules.rule("lost", rules.Section.CONNECTIONS)
def lost(history: events.History) -> Iterator[rules.Broken]:
    """Few requests that were passed on get no answer."""
    found = [
        case.broken("lost", case.ended_at)
        for case, sent in cases.sent(history)
        if _is_cut(history, case, sent)
        and not _answered(case)
        and not _planned(history, case, sent)
    ]
    if len(found) > history.terms.max_lost:
        yield from found


@rules.rule("planned-work", rules.Section.BOXES)
def planned_work(history: events.History) -> Iterator[rules.Broken]:
    """No request is lost, and no stream cut early, by planned work."""
    for case, sent in cases.sent(history):
        if not _is_cut(history, case, sent):
            continue
        since = [stop.at for stop in _planned(history, case, sent)]
        last_s = history.terms.grace_s * (1 - LAST_PART)
        outlasts = since and case.ended_at >= min(since) + last_s
        if since and not (_answered(case) and outlasts):
            yield case.broken("planned-work", case.ended_at)


@rules.rule("served", rules.Section.BOXES)
def served(history: events.History) -> Iterator[rules.Broken]:
    """Nearly all requests are served while nothing is disturbed."""
    judged = [
        case
        for case, sent in owed(history)
        if history.undisturbed(None, sent.at, _waited_until(case, sent))
    ]
    yield from too_few(history.terms.min_served, "served", judged)


@rules.rule("back-to-work", rules.Section.BOXES)
def back_to_work(history: events.History) -> Iterator[rules.Broken]:
    """Requests are served again soon after the last disturbance."""
    disturbances = history.of(events.Disturbance)
    if not disturbances:
        return
    contact_s = history.terms.contact_s
    begin = min(event.at for event in disturbances)
    back = max(event.until for event in disturbances) + contact_s
    due = owed(history)
    before = [case for case, sent in due if sent.at < begin]
    after = [case for case, sent in due if sent.at >= back]
    soon = [case for case, sent in due if 0 <= sent.at - back <= contact_s]
    part = history.terms.recovered
    if not list(too_few(part, "back-to-work", before)):
        yield from too_few(part, "back-to-work", soon or after)


def _is_cut(
    history: events.History, case: cases.Case, sent: events.Sent
) -> bool:
    """Returns whether a box ended a request without a whole answer.

    Not if it was not passed on, its client or an endpoint gave it up, its
    time was over, or its box or an endpoint was disturbed.
    """
    ended = case.ended
    if ended is None or (ended.status and ended.whole):
        return False
    limit = min(sent.deadline_at, sent.timeout_at, case.left_at)
    passed_on = any(arrived.at <= ended.at for _, arrived in case.arrivals)
    broken_off = any(
        attempt.ended_as(events.RunEnd.BROKEN_OFF) for attempt in case.attempts
    )
    return (
        passed_on
        and not broken_off
        and ended.at < limit
        and history.undisturbed(sent.box, sent.at, ended.at, planned=False)
        and case.endpoints_undisturbed(history, sent.at, ended.at)
    )


def _answered(case: cases.Case) -> bool:
    """Returns whether an answer began."""
    return case.ended is not None and case.ended.status > 0


def _planned(
    history: events.History, case: cases.Case, sent: events.Sent
) -> list[events.Event]:
    """Returns the planned work at a request's box beside which it ended."""
    stop_s = history.terms.grace_s + STOP_SLACK_S
    found: list[events.Event] = [
        stop
        for stop in history.of(events.BoxStops)
        if stop.box == sent.box and 0 <= case.ended_at - stop.at <= stop_s
    ]
    found += [
        work
        for work in history.of(events.Disturbance)
        if work.planned
        and work.part == sent.box
        and work.at <= case.ended_at
        and work.until >= sent.at
    ]
    return found


def owed(
    history: events.History,
) -> list[tuple[cases.Case, events.Sent]]:
    """Returns the requests whose clients waited for a success.

    Not those that a configuration in force may refuse, and not those that
    still waited as the trial ended.
    """
    found = []
    for case, sent in cases.sent(history):
        until = _waited_until(case, sent)
        gave_up = case.left_at <= until and case.left_at < sent.deadline_at
        if (
            not gave_up
            and until <= history.end
            and configurations.all_allow(history, sent, until)
        ):
            found.append((case, sent))
    return found


def _waited_until(case: cases.Case, sent: events.Sent) -> float:
    return min(case.ended_at, sent.deadline_at)


def too_few(
    part: float, promise: str, judged: list[cases.Case]
) -> Iterator[rules.Broken]:
    """Yields one that was broken if too few requests were served."""
    unserved = [case for case in judged if not case.is_served]
    if len(judged) - len(unserved) < part * len(judged):
        trace = sorted(
            (event for case in unserved for event in case.trace),
            key=lambda event: event.at,
        )
        at = min(case.trace[0].at for case in unserved)
        about = f"{len(unserved)} of {len(judged)} requests"
        yield rules.Broken(promise, at, about, tuple(trace))
