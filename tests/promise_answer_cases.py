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


def _retried(count: int, gap_s: float) -> list[events.Event]:
    """Five safe requests 1 s apart, of which some arrive again later."""

    def build(number: int) -> list[events.Event]:
        request, at = f"r{number}", START + number
        limits = {"timeout_at": at + 30, "deadline_at": at + 30}
        made = served(request, at, number, kind=Kind.SAFE, **limits)
        if number <= count:
            second = START + 6 + number * gap_s
            made.append(arrived(request, second, 100 + number, endpoint="e2"))
            made.append(events.TurnedAway(second, 100 + number, 503))
        return made

    return histories.many(5, build)


def _lost(count: int, **changes: Any) -> list[events.Event]:
    def build(number: int) -> list[events.Event]:
        request = f"r{number}"
        return [
            sent(request),
            arrived(request, attempt=number),
            ended(request, status=0, **changes),
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


def _back(unserved: int) -> list[events.Event]:
    return [
        *_many(0, START),
        disturbed("b1", START + 5, START + 6),
        *_many(unserved, START + 9),
        *_many(0, START + 40),
    ]


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
        _late(START + 15),
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
        "endpoints-per-request",
        _at_endpoints(ANSWERED, ANSWERED, ANSWERED),
        _at_endpoints(ANSWERED, BROKEN_OFF, ANSWERED),
        terms=LENIENT,
    ),
    # Five requests and an allowance of two: three retries, in ten seconds.
    Case("retry-budget", _retried(4, 0.0), _retried(3, 0.0), "s1"),
    Case("retry-budget", _retried(4, 3.3), _retried(4, 5.1), "s1"),
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
        _stopping(START + 6.8, status=504, whole=True, source=BOX),
        excused_by=("b1", "e1"),
    ),
    Case(
        "planned-work",
        [*_lost(1), disturbed("b1", START, START + 1, planned=True)],
        [*_lost(1), disturbed("b1", START, START + 1)],
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
        _back(76),
        _back(75),
        about="76 of 100 requests",
        terms=LENIENT,
        excused_by=histories.PARTS,
    ),
]
