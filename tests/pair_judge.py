"""Rules for the trials of pairs that are stricter than those of all trials.

They hold for the seeds that the tests play, on disturbed endpoints as well: the
end of a run whose client left, each answer within both time limits, no work at
an endpoint that leaves.
"""

import collections
from collections.abc import Callable
from collections.abc import Iterator

from martenjunction_lab.promises import endpoints
from martenjunction_lab.promises import events

STREAM_EVENTS = endpoints.STREAM_EVENTS

Rule = Callable[[events.History], Iterator[str]]

_RULES: list[Rule] = []


def broken(history: events.History) -> list[str]:
    """Returns the promises that a history breaks."""
    return [text for rule in _RULES for text in rule(history)]


def _rule(rule: Rule) -> Rule:
    _RULES.append(rule)
    return rule


def _by_request(history: events.History) -> dict[str, events.Sent]:
    return {sent.request: sent for sent in history.of(events.Sent)}


def _runs(history: events.History) -> dict[str, list[events.Arrived]]:
    """Returns the arrivals that began to run, by request."""
    began = {run.attempt for run in history.of(events.RunBegan)}
    runs = collections.defaultdict(list)
    for arrived in history.of(events.Arrived):
        if arrived.attempt in began:
            runs[arrived.request].append(arrived)
    return runs


@_rule
def _at_most_once(history: events.History) -> Iterator[str]:
    runs = _runs(history)
    for sent in history.of(events.Sent):
        if not sent.kind.repeatable and len(runs[sent.request]) > 1:
            yield f"{sent.request} ran {len(runs[sent.request])} times"


@_rule
def _refusals_are_true(history: events.History) -> Iterator[str]:
    runs = _runs(history)
    for ended in history.of(events.Ended):
        refused = ended.status == 503 and ended.source is events.Source.BOX
        if refused and runs[ended.request]:
            yield f"{ended.request} was refused and ran"


@_rule
def _own_answers(history: events.History) -> Iterator[str]:
    for ended in history.of(events.Ended):
        if ended.answers not in ("", ended.request):
            yield f"{ended.request} got the answer to {ended.answers}"
        if ended.status == 200 and ended.source is events.Source.BOX:
            yield f"{ended.request} got a success without a seal"


@_rule
def _unchanged(history: events.History) -> Iterator[str]:
    sent = _by_request(history)
    for arrived in history.of(events.Arrived):
        if arrived.digest != sent[arrived.request].digest:
            yield f"{arrived.request} arrived changed"
        if arrived.tenant != sent[arrived.request].tenant:
            yield f"{arrived.request} arrived for {arrived.tenant}"
        if arrived.saw_key:
            yield f"{arrived.request} arrived with its key"


@_rule
def _right_service(history: events.History) -> Iterator[str]:
    sent = _by_request(history)
    configured = history.of(events.Configured)
    for arrived in history.of(events.Arrived):
        request = sent[arrived.request]
        since = request.at - history.terms.change_s
        before = [c for c in configured if c.at <= since][-1:]
        meanwhile = [c for c in configured if since < c.at <= arrived.at]
        served = {c.services[request.route] for c in before + meanwhile}
        if arrived.service not in served:
            yield f"{arrived.request} arrived at {arrived.service}"


@_rule
def _final_answers_in_time(history: events.History) -> Iterator[str]:
    ended = {one.request: one for one in history.of(events.Ended)}
    left = {one.request for one in history.of(events.Left)}
    for sent in history.of(events.Sent):
        if sent.request in left:
            continue
        end = ended.get(sent.request)
        due = min(sent.deadline_at, sent.timeout_at) + history.terms.late_s
        calm = history.calm(sent.box, sent.at, due)
        if end is None:
            yield f"{sent.request} has no end"
        elif end.at > due and calm:
            yield f"{sent.request} ended {end.at - due:.3f} s late"
        elif not end.status and calm:
            yield f"{sent.request} got no answer"


@_rule
def _whole_streams(history: events.History) -> Iterator[str]:
    pieces = collections.defaultdict(list)
    for piece in history.of(events.Piece):
        pieces[piece.request].append(piece.number)
    ended = {one.request: one for one in history.of(events.Ended)}
    for sent in history.of(events.Sent):
        numbers = pieces[sent.request]
        first = sent.after_event + 1
        if numbers != list(range(first, first + len(numbers))):
            yield f"{sent.request} got events {numbers}"
        end = ended.get(sent.request)
        is_whole = end is not None and end.status == 200 and end.whole
        last = (numbers or [sent.after_event])[-1]
        if is_whole and sent.kind in _STREAMS and last != STREAM_EVENTS:
            yield f"{sent.request} ended whole after event {last}"


@_rule
def _leaving_gets_no_work(history: events.History) -> Iterator[str]:
    for leaves in history.of(events.Leaves):
        from_s = leaves.at + history.terms.drain_s
        for arrived in history.of(events.Arrived):
            if arrived.endpoint == leaves.endpoint and arrived.at > from_s:
                yield f"{arrived.request} arrived at a leaving endpoint"


@_rule
def _lost_keys(history: events.History) -> Iterator[str]:
    configured = history.of(events.Configured)
    for sent in history.of(events.Sent):
        since = sent.at - history.terms.revoke_s
        held = [c for c in configured if c.at <= since][-1:]
        held += [c for c in configured if since < c.at <= sent.at]
        if sent.key and held and not any(sent.key in c.keys for c in held):
            for arrived in _runs(history)[sent.request]:
                yield f"{arrived.request} ran with a key that is gone"


@_rule
def _runs_of_clients_that_left_end(history: events.History) -> Iterator[str]:
    ends = {run.attempt: run.at for run in history.of(events.RunEnded)}
    runs = _runs(history)
    sent = _by_request(history)
    for left in history.of(events.Left):
        due = left.at + history.terms.gone_s
        for run in runs[left.request]:
            calm = history.calm(sent[left.request].box, left.at, due)
            if calm and ends.get(run.attempt, due + 1.0) > due:
                yield f"{left.request} ran on after its client left"


_STREAMS = frozenset({events.RouteKind.STREAM, events.RouteKind.RESUMABLE})
