"""Pairs of histories for the rules on answers and limits."""

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


def _with(kind: type[events.Event], **changes: Any) -> list[events.Event]:
    return histories.replaced(served(), kind, **changes)


def _failed(status: int, answer: events.Ended) -> list[events.Event]:
    return [sent(), arrived(), *run(status=status), answer]


def _replaced_late(lasts_s: float) -> list[events.Event]:
    """A failure of an endpoint shortly before its request's time limit."""
    made = run(status=500, lasts_s=lasts_s)
    return [sent(), arrived(), *made, refused(504, START + 10)]


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
    Case(
        "whole-answer",
        _with(events.Ended, endpoint="e2"),
        histories.replaced(
            histories.streamed(1, 2, 3), events.Ended, endpoint="e2"
        ),
    ),
    Case(
        "endpoint-status",
        _replaced_late(9.4),
        _replaced_late(9.6),
        terms=LENIENT,
        excused_by=histories.PARTS,
    ),
    Case(
        "endpoint-status",
        _failed(500, refused(502)),
        [sent(), arrived(), *run(status=500, how=BROKEN_OFF), refused(502)],
        terms=LENIENT,
        excused_by=histories.PARTS,
    ),
    Case(
        "endpoint-status",
        _failed(500, refused(502)),
        _failed(200, refused(502)),
        terms=LENIENT,
        excused_by=histories.PARTS,
    ),
    Case("asked-run", [arrived(), *run()], [arrived()]),
    Case("asked-run", [*run()], [], about="attempt 1"),
    Case("unaltered-run", _with(events.Arrived, digest="d2"), served()),
    Case(
        "unaltered-run",
        _with(events.Arrived, digest="d2"),
        [sent(), arrived(digest="d2"), events.TurnedAway(START + 0.1, 1)],
    ),
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
]
