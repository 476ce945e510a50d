"""Rules on answers: whose they are, and whether they are true."""

from collections.abc import Iterator

from martenjunction_lab.promises import cases
from martenjunction_lab.promises import events
from martenjunction_lab.promises import rules

# Statuses by which an answer promises that its request never runs.
NOT_RUN = frozenset({408, 421, 429, 503})


@rules.rule("own-answer", rules.Section.REQUESTS)
def own_answer(history: events.History) -> Iterator[rules.Broken]:
    """A client gets one answer, to the request that it sent."""
    for case in cases.of(history).values():
        for number, ended in enumerate(case.ends):
            foreign = ended.answers not in ("", case.request)
            if foreign or number or case.sent is None:
                yield case.broken("own-answer", ended.at)


@rules.rule("whole-answer", rules.Section.REQUESTS)
def whole_answer(history: events.History) -> Iterator[rules.Broken]:
    """What looks like a whole success is one that an endpoint returned."""
    for case, sent in cases.sent(history):
        ended = case.ended
        if ended is None or not case.is_served:
            continue
        made = ended.source is events.Source.ENDPOINT and any(
            _is_origin(attempt, ended, sent) for attempt in case.attempts
        )
        if not made:
            yield case.broken("whole-answer", ended.at)


@rules.rule("endpoint-status", rules.Section.REQUESTS)
def endpoint_status(history: events.History) -> Iterator[rules.Broken]:
    """A failure of an endpoint reaches its client with its status."""
    for case, sent in cases.sent(history):
        ended = case.ended
        if ended is None or ended.status < 300:
            continue
        if ended.source is events.Source.BOX:
            wrong = _is_replaced(history, case, sent, ended)
        else:
            wrong = ended.status not in _statuses(case, ended.endpoint)
        if wrong:
            yield case.broken("endpoint-status", ended.at)


@rules.rule("asked-run", rules.Section.REQUESTS)
def asked_run(history: events.History) -> Iterator[rules.Broken]:
    """Nothing runs that no client sent."""
    for case in cases.of(history).values():
        if case.sent is None and case.runs:
            yield case.broken("asked-run", case.runs[0].at)


@rules.rule("unaltered-run", rules.Section.REQUESTS)
def unaltered_run(history: events.History) -> Iterator[rules.Broken]:
    """Nothing runs but what its client sent."""
    for case, sent in cases.sent(history):
        for attempt, arrived in case.arrivals:
            if attempt.runs and arrived.digest != sent.digest:
                yield case.broken("unaltered-run", attempt.runs[0].at)


@rules.rule("once", rules.Section.ONCE)
def once(history: events.History) -> Iterator[rules.Broken]:
    """What may run once runs once."""
    for case, sent in cases.sent(history):
        if not sent.kind.repeatable and len(case.runs) > 1:
            yield case.broken("once", case.runs[1].at)


@rules.rule("true-refusal", rules.Section.ONCE)
def true_refusal(history: events.History) -> Iterator[rules.Broken]:
    """What was refused as not run has not run, and does not run later."""
    for case, _ in cases.sent(history):
        for ended in case.ends:
            if ended.status in NOT_RUN and case.runs:
                at = max(ended.at, case.runs[0].at)
                yield case.broken("true-refusal", at)


def _is_origin(
    attempt: cases.Attempt, ended: events.Ended, sent: events.Sent
) -> bool:
    """Returns whether a success can be what a run returned."""
    run = attempt.ended
    if run is None or not attempt.ended_as(events.RunEnd.ANSWERED):
        return False
    # The answer to a stream names the endpoint that began it.
    may_move = sent.kind is events.RouteKind.RESUMABLE
    named = may_move or ended.endpoint in ("", attempt.endpoint)
    digests = {run.body_digest, ended.body_digest} - {""}
    return named and cases.is_success(run.status) and len(digests) < 2


def _statuses(case: cases.Case, endpoint: str) -> set[int]:
    """Returns what an endpoint returned for a request; all if none is named."""
    found = set()
    for attempt in case.attempts:
        if endpoint in ("", attempt.endpoint):
            for told in (attempt.ended, attempt.turned_away):
                found.add(0 if told is None else told.status)
    return found


def _is_replaced(
    history: events.History,
    case: cases.Case,
    sent: events.Sent,
    ended: events.Ended,
) -> bool:
    """Returns whether a box's failure stands for the only run's own.

    A status that promises that the request never ran is never passed on.
    """
    if len(case.attempts) != 1:
        return False
    run = case.attempts[0].ended
    if run is None or not case.attempts[0].ended_as(events.RunEnd.ANSWERED):
        return False
    due = min(sent.deadline_at, sent.timeout_at) - history.terms.late_s
    return (
        run.status >= 300
        and run.status not in NOT_RUN
        and run.at <= min(ended.at, due)
        and history.calm(sent.box, sent.at, ended.at)
        and case.endpoints_undisturbed(history, sent.at, ended.at)
    )
