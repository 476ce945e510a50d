"""Pairs of histories for the rules on answers, limits and service."""

from typing import Any

from martenjunction_lab.promises import events
from tests import promise_histories as histories

BOX = events.Source.BOX
ANSWERED = events.RunEnd.ANSWERED
CANCELLED = events.RunEnd.CANCELLED
BROKEN_OFF = events.RunEnd.BROKEN_OFF
START = histories.START
LENIENT = histories.LENIENT
END = events.Event(START + 200)
Kind = events.RouteKind
Case = histories.Case

served = histories.served
sent = histories.sent
arrived = histories.arrived
run = histories.run
ended = histories.ended
refused = histories.refused
disturbed = histories.disturbed


def _with(kind: type[events.Event], **changes: Any) -> list[events.Event]:
    return histories.replaced(served(), kind, **changes)


def _failed(status: int, answer: events.Ended) -> list[events.Event]:
    return [sent(), arrived(), *run(status=status), answer]


def _lost(count: int, **changes: Any) -> list[events.Event]:
    def build(number: int) -> list[events.Event]:
        request = f"r{number}"
        return [
            sent(request),
            arrived(request, attempt=number),
            ended(request, **{"status": 0, **changes}),
        ]

    return histories.many(count, build)


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


def _left(at: float, kind: Kind, end: float) -> list[events.Event]:
    """A client leaves; its request arrived and its run ends as told."""
    return [
        sent(kind=kind),
        arrived(at=at),
        events.RunBegan(at, 1),
        events.RunEnded(end, 1, CANCELLED),
        events.Left(START + 0.5, "r1"),
        END,
    ]


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


def _leaving_early() -> list[events.Event]:
    """A client leaves before its request has run."""
    return [
        sent(kind=Kind.SAFE),
        arrived(),
        events.Left(START + 0.5, "r1"),
    ]


def _turned_away() -> events.Arrived:
    return arrived(at=START + 0.05, attempt=9, endpoint="e9")


def _late(at: float, **changes: Any) -> list[events.Event]:
    """A request that is ended by its time limit."""
    return [
        sent(**changes),
        arrived(),
        *run(how=CANCELLED, lasts_s=10.0),
        ended(at=at, status=504, source=BOX),
        END,
    ]


def _at_endpoints(*ends: events.RunEnd) -> list[events.Event]:
    made: list[events.Event] = [sent(kind=Kind.SAFE, most_endpoints=2)]
    for number, how in enumerate(ends, 1):
        at = START + number / 100
        made.append(arrived(at=at, attempt=number, endpoint=f"e{number}"))
        made += run(at, number, 500, how, lasts_s=0.01)
    return [*made, ended(status=500)]


CASES = [
    Case(
        "own-answer",
        _with(events.Ended, answers="r2"),
        _with(events.Ended, answers="r1"),
    ),
    Case("own-answer", [*served(), ended(at=START + 1)], served()),
    Case("own-answer", [ended()], []),
    Case(
        "whole-answer",
        [sent(), arrived(), *run(how=BROKEN_OFF), ended()],
        [sent(), arrived(), *run(how=BROKEN_OFF), ended(whole=False)],
        terms=LENIENT,
    ),
    Case("whole-answer", _with(events.Ended, source=BOX), served()),
    Case(
        "whole-answer",
        [sent(), arrived(), *run(status=500), ended()],
        [sent(), arrived(), *run(status=201), ended()],
    ),
    Case(
        "whole-answer",
        [*served()[:2], *run(digest="a"), ended(body_digest="b")],
        [*served()[:2], *run(digest="a"), ended(body_digest="a")],
    ),
    Case(
        "whole-answer",
        _with(events.Ended, endpoint="e2"),
        _with(events.Ended, endpoint="e1"),
    ),
    Case(
        "endpoint-status",
        _failed(500, ended(status=501)),
        _failed(501, ended(status=501)),
        terms=LENIENT,
    ),
    Case(
        "endpoint-status",
        _failed(500, refused(502)),
        _failed(503, refused(502)),
        terms=LENIENT,
        excused_by=histories.PARTS,
    ),
    Case("asked-run", [arrived(), *run()], [arrived()]),
    Case("asked-run", [*run()], [], about="attempt 1"),
    Case("unaltered-run", _with(events.Arrived, digest="d2"), served()),
    Case(
        "once",
        [*served(), arrived(attempt=2), *run(attempt=2)],
        [*served(kind=Kind.SAFE), arrived(attempt=2), *run(attempt=2)],
    ),
    Case(
        "true-refusal",
        [sent(), arrived(), *run(at=START + 60), refused()],
        [
            sent(),
            arrived(),
            events.TurnedAway(START + 0.02, 1),
            refused(),
        ],
        terms=LENIENT,
    ),
    Case(
        "final-answer",
        _late(START + 10.6),
        _late(START + 10.5),
        terms=LENIENT,
        excused_by=histories.BOX_PARTS,
    ),
    Case(
        "final-answer",
        _late(START + 15, deadline_at=START + 10.5),
        _late(START + 15, deadline_at=START + 10.2),
        terms=LENIENT,
        excused_by=histories.BOX_PARTS,
    ),
    Case(
        "time-granted",
        _with(events.Arrived, at=START, time_left_s=10.6),
        _with(events.Arrived, at=START, time_left_s=10.5),
        excused_by=histories.PARTS,
    ),
    Case(
        "time-granted",
        _with(events.Arrived, time_left_s=None),
        served(),
        excused_by=histories.PARTS,
    ),
    Case(
        "client-left",
        _left(START + 1.1, Kind.UNSAFE, START + 1.2),
        _left(START + 1.0, Kind.UNSAFE, START + 1.2),
        excused_by=histories.PARTS,
    ),
    Case(
        "left-run-ended",
        _left(START + 0.1, Kind.STREAM, START + 1.1),
        _left(START + 0.1, Kind.STREAM, START + 1.0),
        excused_by=histories.PARTS,
    ),
    Case(
        "left-run-ended",
        _left(START + 0.1, Kind.SAFE, START + 1.1),
        _left(START + 0.1, Kind.UNSAFE, START + 1.1),
        excused_by=histories.PARTS,
    ),
    Case(
        "left-run-ended",
        [*_leaving_early(), events.RunBegan(START + 1.1, 1)],
        [*_leaving_early(), events.TurnedAway(START + 1.1, 1)],
        excused_by=histories.PARTS,
    ),
    Case(
        "left-run-ended",
        [*_leaving_early(), events.RunBegan(START + 0.1, 1), END],
        [*_leaving_early(), events.RunBegan(START + 0.1, 1)],
        excused_by=histories.PARTS,
    ),
    Case(
        "endpoints-per-request",
        _at_endpoints(ANSWERED, ANSWERED, ANSWERED),
        _at_endpoints(ANSWERED, BROKEN_OFF, ANSWERED),
        terms=LENIENT,
    ),
    Case(
        "endpoints-per-request",
        _at_endpoints(CANCELLED, ANSWERED, ANSWERED),
        [*_at_endpoints(CANCELLED, ANSWERED), _turned_away()],
        terms=LENIENT,
    ),
    Case(
        "retry-budget",
        histories.retried(4, 0.0),
        histories.retried(3, 0.0),
        "s1",
    ),
    Case(
        "retry-budget",
        histories.retried(4, 3.3),
        histories.retried(4, 3.4),
        "s1",
        terms=histories.NO_RATIO,
    ),
    Case(
        "lost",
        _lost(2),
        _lost(2, status=200, whole=False),
        terms=LENIENT,
        excused_by=("b1", "e1"),
    ),
    Case("lost", _lost(2), _lost(1), terms=LENIENT, excused_by=("b1", "e1")),
    Case(
        "planned-work",
        _stopping(START + 6.7),
        _stopping(START + 6.8),
        excused_by=("b1", "e1"),
    ),
    Case(
        "planned-work",
        _stopping(START + 6.8, status=0),
        _stopping(START + 1.0, status=504, whole=True, source=BOX),
        excused_by=("b1", "e1"),
    ),
    Case(
        "planned-work",
        [*_lost(2), disturbed("b1", START, START + 1, planned=True)],
        [*_lost(2), disturbed("b1", START, START + 1)],
        terms=LENIENT,
        excused_by=("b1", "e1"),
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
]
