"""Pairs of histories for the rules on changes and streams."""

import dataclasses
from typing import Any

from martenjunction_lab.promises import events
from tests import promise_histories as histories

BROKEN_OFF = events.RunEnd.BROKEN_OFF
START = histories.START
LENIENT = histories.LENIENT
Kind = events.RouteKind
Case = histories.Case

served = histories.served
sent = histories.sent
arrived = histories.arrived
run = histories.run
ended = histories.ended
refused = histories.refused
configured = histories.configured
disturbed = histories.disturbed
pieces = histories.pieces


def _with(kind: type[events.Event], **changes: Any) -> list[events.Event]:
    return histories.replaced(served(), kind, **changes)


def _changed(at: float, *more: events.Event) -> list[events.Event]:
    """Version 2 moves the route; a request is sent then to the old service."""
    return [
        configured(1, START - 50),
        configured(2, START, "s2"),
        *served(at=at),
        *more,
    ]


def _moved_back(at: float, *more: events.Event) -> list[events.Event]:
    """A box runs a request at the new service, then one at the old one."""
    return [
        *_changed(at, *more),
        *served("r8", START - 10, 8),
        *served("r0", START, 9, service="s2"),
    ]


def _revoked(at: float, **changes: Any) -> list[events.Event]:
    """A key is taken away; a request is sent then that runs by it."""
    return [
        configured(1, START - 50),
        configured(2, START, keys=frozenset({"k2"}), **changes),
        # What is disturbed binds a lost key all the same.
        disturbed("b1", START, START + 100),
        *served(at=at),
    ]


def _denied(status: int, **changes: Any) -> list[events.Event]:
    return [configured(1, START - 50), sent(**changes), refused(status)]


def _added(at: float) -> events.Configured:
    """Version 2 adds a route."""
    return configured(2, at, services={"chat": "s1", "new": "s1"})


def _denial() -> events.Ended:
    return refused(401, START + 50.2)


def _configured_late() -> list[events.Event]:
    return [configured(1, START + 50), *served()]


def _again(at: float) -> list[events.Event]:
    """Version 3 takes back what version 2 changed."""
    return [*_changed(START + 10), configured(3, at)]


def _other_total(total: int) -> list[events.Event]:
    """A stream that was taken up, and what its first event said of it."""
    first, *others = histories.pieces(1, request="r0", at=START - 1)
    assert isinstance(first, events.Piece) and not others
    first = dataclasses.replace(first, total=total, attempt=9)
    return [
        first,
        *(
            event
            for event in _taken_up(2, 3)
            if not (isinstance(event, events.Piece) and event.request == "r0")
        ),
    ]


def _leaving(
    at: float, *more: events.Event, box: str = ""
) -> list[events.Event]:
    return [events.Leaves(START, "e1", box), *served(at=at), *more]


def _taken_up(*numbers: int, **changes: Any) -> list[events.Event]:
    """A stream that broke off after an event, and was taken up."""
    return [
        sent("r0", START - 1, kind=Kind.RESUMABLE),
        arrived("r0", START - 0.99, 9),
        *run(START - 0.98, 9, how=BROKEN_OFF),
        *pieces(1, request="r0", at=START - 1, attempt=9),
        ended("r0", START - 0.8, whole=False),
        sent(kind=Kind.RESUMABLE, resumes="r0", after_event=1),
        arrived(),
        *run(),
        *pieces(*numbers, **changes),
        ended(),
    ]


def _taken_up_at_end() -> list[events.Event]:
    """A whole stream that is taken up after its last event."""
    return [
        *histories.streamed(1, 2, 3),
        sent("r2", START + 1, kind=Kind.RESUMABLE, resumes="r1", after_event=3),
        arrived("r2", START + 1.01, 2),
        *run(START + 1.02, 2),
        ended("r2", START + 1.2),
    ]


def _at_once(total: int, *numbers: int) -> list[events.Event]:
    """A stream whose events came in one chunk; their places if told."""
    places = {number: place for place, number in enumerate(numbers)}
    made = [
        events.Piece(
            START + 0.1, "r1", number, total, place=places.get(number, 0)
        )
        for number in range(1, total + 1)
    ]
    return [*histories.streamed(), *made]


def _two_runs(kind: Kind, second: int, *last: int) -> list[events.Event]:
    """A stream that breaks off and goes on with a run of another arrival."""
    return [
        sent(kind=kind),
        arrived(),
        *run(how=BROKEN_OFF, lasts_s=0.02),
        *pieces(1),
        arrived(at=START + 0.05, attempt=2, endpoint="e2"),
        *([] if kind is Kind.STREAM else run(START + 0.05, 2)),
        *pieces(2, at=START + 0.05, attempt=second),
        *pieces(*last, at=START + 0.07),
        ended(whole=False),
    ]


CASES = [
    Case(
        "own-tenant",
        _with(events.Arrived, tenant="t2"),
        [sent(), arrived(tenant="t2"), events.TurnedAway(START + 0.1, 1)],
    ),
    Case(
        "own-tenant",
        [configured(1, START - 50), *_with(events.Arrived, tenant="")],
        [
            configured(1, START - 50, public=frozenset({"chat"})),
            *_with(events.Arrived, tenant=""),
        ],
    ),
    Case(
        "lost-key",
        _revoked(START + 50),
        [*_revoked(START + 50)[:-5], sent(at=START + 50), _denial()],
    ),
    # What was in force before the first configuration is not known.
    Case("lost-key", _revoked(START + 5.1), _configured_late()),
    Case("key-kept", _with(events.Arrived, saw_key=True), served()),
    Case("lost-key", _revoked(START + 5.1), _revoked(START + 4.9)),
    Case(
        "lost-key",
        _revoked(START + 50),
        _revoked(START + 50, public=frozenset({"chat"})),
    ),
    Case(
        "allowed-run",
        [configured(1, START - 50, public=frozenset()), *served(key="")],
        [configured(1, START - 50), *served(key="")],
    ),
    Case(
        "allowed-run",
        [configured(1, START - 50, "s2"), *served()],
        [configured(1, START - 50), *served()],
    ),
    Case(
        "allowed-run",
        [configured(1, START - 50), *served(key="k2")],
        [
            configured(1, START - 50, public=frozenset({"chat"})),
            *served(key="k2"),
        ],
    ),
    Case(
        "denied",
        _denied(404),
        [configured(1, START - 50), sent(), arrived(), *run(status=404)]
        + [ended(status=404)],
        terms=LENIENT,
    ),
    Case("denied", _denied(404), _denied(404, route="other"), terms=LENIENT),
    Case("denied", _denied(401), _denied(401, key="k2"), terms=LENIENT),
    Case(
        "change-in-force",
        _changed(START + 2.0),
        _changed(START + 1.9),
        excused_by=histories.BOX_PARTS,
    ),
    Case(
        "change-in-force",
        _changed(START + 2.1),
        _changed(START + 2.1, disturbed("store", START - 2, START - 1.8)),
        excused_by=histories.BOX_PARTS,
    ),
    Case(
        "change-in-force",
        [*_denied(404, route="new"), _added(START - 2.1)],
        [*_denied(404, route="new"), _added(START - 1.9)],
        terms=LENIENT,
        excused_by=histories.BOX_PARTS,
    ),
    Case("never-back", _moved_back(START + 1), _moved_back(START)),
    Case(
        "change-in-force",
        _again(START + 20),
        _again(START + 12),
        excused_by=histories.BOX_PARTS,
    ),
    Case(
        "never-back",
        _moved_back(START + 1),
        [*_moved_back(START)[:-5], *served("r2", START, 9, service="s2")]
        + served("r3", START + 1, 10, service="s2"),
    ),
    Case(
        "never-back",
        _moved_back(START + 1, disturbed("b1", START, START + 9)),
        _moved_back(
            START + 1, disturbed("b1", START + 0.5, START + 9, restarts=True)
        ),
    ),
    Case(
        "leaving-endpoint",
        _leaving(START + 9, events.Returns(START + 20, "e1")),
        _leaving(START + 9, events.Returns(START + 0.1, "e1")),
        about="e1",
        excused_by=histories.BOX_PARTS,
    ),
    Case(
        "leaving-endpoint",
        _leaving(START + 9, events.TurnedAway(START + 9.1, 1, 503)),
        _leaving(START + 9, events.TurnedAway(START + 9.1, 1, 421)),
        about="e1",
        excused_by=histories.BOX_PARTS,
    ),
    Case(
        "leaving-endpoint",
        _leaving(START + 2.0),
        _leaving(START + 1.99),
        about="e1",
        excused_by=histories.BOX_PARTS,
    ),
    Case(
        "leaving-endpoint",
        _leaving(START + 9),
        _leaving(START + 9, events.Returns(START + 8, "e1")),
        about="e1",
        excused_by=histories.BOX_PARTS,
    ),
    Case(
        "leaving-endpoint",
        _leaving(START + 9, disturbed("store", START, START + 9), box="b1"),
        _leaving(START + 9, disturbed("store", START, START + 9), box="b2"),
        about="e1",
        excused_by=("b1",),
    ),
    Case(
        "stream-order",
        histories.streamed(1, 3),
        histories.streamed(1, 2, 3),
    ),
    Case("stream-order", histories.streamed(1, 2, 2, 3), served()),
    Case(
        "stream-order",
        histories.replaced(
            histories.streamed(1, 2, 3, 2), events.Piece, at=START + 0.05
        ),
        _at_once(12),
    ),
    Case("stream-order", _at_once(3, 2, 1, 3), _at_once(3, 1, 2, 3)),
    Case(
        "stream-order",
        _taken_up(1, 2, 3),
        _taken_up(2, 3),
        terms=LENIENT,
    ),
    Case(
        "stream-run",
        _two_runs(Kind.STREAM, 2),
        _two_runs(Kind.STREAM, 0),
        terms=LENIENT,
    ),
    Case(
        "stream-version",
        _other_total(4),
        _other_total(3),
        terms=LENIENT,
    ),
    Case(
        "stream-run",
        _two_runs(Kind.STREAM, 2),
        _two_runs(Kind.STREAM, 1),
        terms=LENIENT,
    ),
    Case(
        "stream-run",
        _two_runs(Kind.RESUMABLE, 2, 3),
        _two_runs(Kind.RESUMABLE, 2),
        terms=LENIENT,
    ),
    Case(
        "stream-version",
        _taken_up(2, 3, version="v2"),
        _taken_up(2, 3),
        terms=LENIENT,
    ),
    Case("stream-end", histories.streamed(1, 2), histories.streamed(1, 2, 3)),
    Case("stream-end", histories.streamed(), _taken_up_at_end()),
]
