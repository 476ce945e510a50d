"""Rules on open connections that fall silent while new ones work."""

from collections.abc import Iterator
import dataclasses

from martenjunction_lab.promises import cases
from martenjunction_lab.promises import events
from martenjunction_lab.promises import rules
from martenjunction_lab.promises import service_rules
from martenjunction_lab.promises import spans


@dataclasses.dataclass(frozen=True, slots=True)
class Silence(events.Disturbance):
    """Open connections fell silent for good; new ones worked."""


@rules.rule("answered-past-silence", rules.Section.BOXES)
def answered_past_silence(history: events.History) -> Iterator[rules.Broken]:
    """A request has a final answer by its client's deadline."""
    for case, sent in _beside_silence(history):
        due = sent.deadline_at + history.terms.late_s
        parts = [sent.box, "store"]
        parts += [arrived.endpoint for _, arrived in case.arrivals]
        waits = due <= min(case.left_at, history.end)
        is_late = case.ended_at > due
        ended = case.ended
        if (
            waits
            and (is_late or ended is None or not ended.status)
            and all(_undisturbed(history, its, sent.at, due) for its in parts)
        ):
            yield case.broken("answered-past-silence", due)


@rules.rule("served-past-silence", rules.Section.BOXES)
def served_past_silence(history: events.History) -> Iterator[rules.Broken]:
    """Nearly all requests that are sent later and may be repeated are served.

    What was under way, and streams that are taken up again after it, may come
    too late for their clients.
    """
    begin = min((its.at for its in history.of(Silence)), default=0.0)
    owed = {case.request for case, _ in service_rules.owed(history)}
    judged = [
        case
        for case, sent in _beside_silence(history)
        if sent.kind.repeatable
        and sent.at >= begin
        and not sent.resumes
        and case.request in owed
        and _undisturbed(history, None, sent.at, sent.deadline_at)
    ]
    yield from service_rules.too_few(
        history.terms.min_served, "served-past-silence", judged
    )


def _beside_silence(
    history: events.History,
) -> list[tuple[cases.Case, events.Sent]]:
    """Returns the requests under way at a silence, or sent soon after it."""
    contact_s = history.terms.contact_s
    found = history.of(Silence)
    return [
        (case, sent)
        for case, sent in cases.sent(history)
        if any(
            sent.at <= its.at + contact_s and case.ended_at >= its.at
            for its in found
        )
    ]


def _undisturbed(
    history: events.History, part: str | None, since: float, until: float
) -> bool:
    """Returns whether nothing but silences disturbed a part."""
    found = history.derived(_other_disturbances)
    return not found.overlap(part, since - history.terms.contact_s, until)


def _other_disturbances(history: events.History) -> spans.PartSpans:
    grace_s = history.terms.grace_s
    made: list[tuple[tuple[str, ...], spans.Span]] = [
        ((event.part, *event.ends), (event.at, event.until))
        for event in history.of(events.Disturbance)
        if not isinstance(event, Silence)
    ]
    made += [
        ((stop.box,), (stop.at, stop.at + grace_s))
        for stop in history.of(events.BoxStops)
    ]
    return spans.PartSpans(made)
