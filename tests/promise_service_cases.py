"""Pairs of histories for the rules on requests that are lost or served."""

from typing import Any

from martenjunction_lab.promises import events
from martenjunction_lab.promises import silences
from tests import promise_histories as histories

BOX = events.Source.BOX
CANCELLED = events.RunEnd.CANCELLED
BROKEN_OFF = events.RunEnd.BROKEN_OFF
START = histories.START
LENIENT = histories.LENIENT
END = events.Event(START + 200)
Kind = events.RouteKind
Case = histories.Case

SILENCE = silences.Silence(START, START, "silence", "all")

# The box and the endpoint of each request.
ENDS = ("b1", "e1")

served = histories.served
sent = histories.sent
arrived = histories.arrived
run = histories.run
ended = histories.ended
refused = histories.refused
disturbed = histories.disturbed


def _lost(count: int, **changes: Any) -> list[events.Event]:
    def build(number: int) -> list[events.Event]:
        request = f"r{number}"
        return [
            sent(request),
            arrived(request, attempt=number),
            ended(request, **{"status": 0, **changes}),
        ]

    return histories.many(count, build)


def _refused_later() -> events.Event:
    return ended(at=START + 1.5, status=503, source=BOX)


def _many(unserved: int, at: float) -> list[events.Event]:
    """A hundred requests, of which some are refused."""

    def build(number: int) -> list[events.Event]:
        request = f"r{number}-{at}"
        if number > unserved:
            return served(request, at, number + int(at * 1000))
        return [sent(request, at), ended(request, at, 503, source=BOX)]

    return histories.many(100, build)


def _stopping(at: float, **changes: Any) -> list[events.Event]:
    """A stream that is cut as its box stops."""
    return [
        events.BoxStops(START + 0.1, "b1"),
        sent(kind=Kind.STREAM),
        arrived(),
        events.RunBegan(START + 0.02, 1),
        events.RunEnded(at, 1, CANCELLED),
        ended(at=at, **{"whole": False, **changes}),
    ]


def _configured(
    answer: events.Event, at: float = START - 50, **changes: Any
) -> list[events.Event]:
    """A request and its answer, with a configuration of some time."""
    return [histories.configured(1, at), sent(**changes), answer]


def _back(
    unserved: int, at: float = START + 10, before: int = 0, later: int = 0
) -> list[events.Event]:
    """Requests before a disturbance of one second, and soon after it.

    Args:
        unserved: Requests of a hundred that are refused after it.
        at: When these are sent, in seconds.
        before: Requests of a hundred that are refused before it.
        later: Requests that are served 30 s later.
    """
    return [
        *_many(before, START),
        disturbed("b1", START + 5, START + 6),
        *_many(unserved, at),
        *_many(0, START + 40)[: 5 * later],
    ]


CASES = [
    Case(
        "lost",
        _lost(2),
        _lost(2, status=200, whole=False),
        terms=LENIENT,
        excused_by=ENDS,
    ),
    Case("lost", _lost(2), _lost(1), terms=LENIENT, excused_by=ENDS),
    Case(
        "planned-work",
        _stopping(START + 6.7),
        _stopping(START + 6.8),
        excused_by=ENDS,
    ),
    Case(
        "planned-work",
        _stopping(START + 6.8, status=0),
        _stopping(START + 1.0, status=504, whole=True, source=BOX),
        excused_by=ENDS,
    ),
    Case(
        "planned-work",
        [*_lost(2), disturbed("b1", START, START + 1, planned=True)],
        [*_lost(2), disturbed("b1", START, START + 1)],
        terms=LENIENT,
        excused_by=ENDS,
    ),
    Case(
        "served",
        _configured(refused(503)),
        _configured(refused(404), route="other"),
        about="1 of 1 requests",
        excused_by=histories.PARTS,
    ),
    Case(
        "served",
        _configured(refused(503)),
        _configured(refused(401), key="k2"),
        about="1 of 1 requests",
        excused_by=histories.PARTS,
    ),
    Case(
        "served",
        _configured(refused(503)),
        _configured(refused(503), START + 50),
        about="1 of 1 requests",
        excused_by=histories.PARTS,
    ),
    Case(
        "served",
        _configured(refused(503)),
        _configured(events.Event(START + 0.2)),
        about="1 of 1 requests",
        excused_by=histories.PARTS,
    ),
    Case(
        "served",
        _many(2, START),
        _many(1, START),
        about="2 of 100 requests",
        excused_by=histories.PARTS,
    ),
    Case(
        "back-to-work",
        _back(76, later=100),
        _back(75, later=100),
        about="76 of 100 requests",
        terms=LENIENT,
        excused_by=histories.PARTS,
    ),
    Case(
        "back-to-work",
        _back(76, START + 30),
        _back(76, START + 30, later=20),
        about="76 of 100 requests",
        terms=LENIENT,
        excused_by=histories.PARTS,
    ),
    Case(
        "back-to-work",
        _back(100, before=75),
        _back(100, before=76),
        about="100 of 100 requests",
        terms=LENIENT,
        excused_by=histories.PARTS,
    ),
    Case(
        "lost",
        _lost(2),
        [event for event in _lost(2) if not isinstance(event, events.Arrived)],
        terms=LENIENT,
        excused_by=ENDS,
    ),
    Case(
        "lost",
        _lost(2),
        [*_lost(2), *run(how=BROKEN_OFF), *run(attempt=2, how=BROKEN_OFF)],
        terms=LENIENT,
        excused_by=ENDS,
    ),
    Case(
        "lost",
        _lost(2),
        [*_lost(2), events.Left(START + 0.2, "r1")],
        terms=LENIENT,
        excused_by=ENDS,
    ),
    Case(
        "planned-work",
        [*_lost(1), events.BoxStops(START - 8.5, "b1")],
        [*_lost(1), events.BoxStops(START - 9.0, "b1")],
        terms=LENIENT,
        excused_by=ENDS,
    ),
    Case(
        "planned-work",
        [*_lost(1), events.BoxStops(START, "b1")],
        [*_lost(1), events.BoxStops(START, "b2")],
        terms=LENIENT,
        excused_by=ENDS,
    ),
    Case(
        "planned-work",
        [*_lost(1), disturbed("b1", START, START + 1, planned=True)],
        [*_lost(1), disturbed("b2", START, START + 1, planned=True)],
        terms=LENIENT,
        excused_by=ENDS,
    ),
    Case(
        "planned-work",
        [*_lost(1), disturbed("b1", START - 2, START, planned=True)],
        [
            *_lost(1),
            disturbed("b1", START - 2, START - 1, planned=True),
            disturbed("b1", START + 1, START + 2, planned=True),
        ],
        terms=LENIENT,
        excused_by=ENDS,
    ),
    Case(
        "served",
        [sent(deadline_at=START + 1), events.Left(START + 1, "r1")],
        [sent(deadline_at=START + 1), events.Left(START + 0.9, "r1"), END],
        about="1 of 1 requests",
        excused_by=histories.PARTS,
    ),
    Case(
        "served",
        [sent(), refused(503), events.Left(START + 0.5, "r1")],
        [sent(), ended(status=0), events.Left(START + 0.2, "r1")],
        about="1 of 1 requests",
        excused_by=histories.PARTS,
    ),
    Case(
        "answered-past-silence",
        [SILENCE, sent(), ended(at=START + 1, status=0), END],
        [SILENCE, sent(), ended(at=START + 1, status=504, source=BOX), END],
        terms=LENIENT,
        excused_by=histories.BOX_PARTS,
    ),
    Case(
        "served-past-silence",
        [SILENCE, sent(at=START + 1, kind=Kind.SAFE), _refused_later()],
        [SILENCE, sent(at=START + 1), _refused_later()],
        about="1 of 1 requests",
        excused_by=histories.PARTS,
    ),
]
