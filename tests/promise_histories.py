"""Histories of trials that break one promise, and ones that just keep it.

All begin at 100 s. A request of the builders is sent then, arrives 10 ms later
at endpoint `e1` by box `b1`, runs there and is answered.
"""

from collections.abc import Callable
import dataclasses
from typing import Any

from martenjunction_lab.promises import events

Kind = events.RouteKind
Events = list[events.Event]

# Parts of the trials: the box and the endpoint of each request, and the store.
BOX_PARTS = ("b1", "store")
PARTS = (*BOX_PARTS, "e1")

START = 100.0
WAIT_S = 30.0
LIMIT_S = 10.0

# Figures that small histories can break; LENIENT asks for none to be served.
TERMS = events.Terms(retry_allowance=2.0, max_lost=1)
LENIENT = dataclasses.replace(TERMS, min_served=0.0)
NO_RATIO = dataclasses.replace(TERMS, retry_ratio=0.0, retry_allowance=3.0)


@dataclasses.dataclass(frozen=True)
class Case:
    """Two histories that differ in little.

    Attributes:
        promise: The promise that the first one breaks.
        breaks: A history that breaks this promise and no other.
        keeps: One that breaks none.
        about: What the broken promise is about.
        terms: The figures of the promises.
        excused_by: The parts that excuse it while they are disturbed.
    """

    promise: str
    breaks: list[events.Event]
    keeps: list[events.Event]
    about: str = "r1"
    terms: events.Terms = TERMS
    excused_by: tuple[str, ...] = ()


def sent(request: str = "r1", at: float = START, **changes: Any) -> events.Sent:
    fields: dict[str, Any] = {
        "box": "b1",
        "connection": "c1",
        "kept": True,
        "route": "chat",
        "kind": Kind.UNSAFE,
        "service": "s1",
        "deadline_at": at + WAIT_S,
        "timeout_at": at + LIMIT_S,
        "digest": "d1",
        "tenant": "t1",
        "key": "k1",
    }
    return events.Sent(at, request, **{**fields, **changes})


def arrived(
    request: str = "r1",
    at: float = START + 0.01,
    attempt: int = 1,
    **changes: Any,
) -> events.Arrived:
    fields: dict[str, Any] = {
        "endpoint": "e1",
        "service": "s1",
        "digest": "d1",
        "tenant": "t1",
        "time_left_s": 5.0,
    }
    return events.Arrived(at, request, attempt, **{**fields, **changes})


def run(
    at: float = START + 0.02,
    attempt: int = 1,
    status: int = 200,
    how: events.RunEnd = events.RunEnd.ANSWERED,
    lasts_s: float = 0.1,
    digest: str = "",
) -> Events:
    return [
        events.RunBegan(at, attempt),
        events.RunEnded(at + lasts_s, attempt, how, status, digest),
    ]


def ended(
    request: str = "r1",
    at: float = START + 0.2,
    status: int = 200,
    **changes: Any,
) -> events.Ended:
    fields = {"source": events.Source.ENDPOINT, **changes}
    return events.Ended(at, request, status, **fields)


def refused(status: int = 503, at: float = START + 0.2) -> events.Ended:
    return ended(at=at, status=status, source=events.Source.BOX)


def served(
    request: str = "r1", at: float = START, attempt: int = 1, **changes: Any
) -> Events:
    made = sent(request, at, **changes)
    return [
        made,
        arrived(request, at + 0.01, attempt, service=made.service),
        *run(at + 0.02, attempt),
        ended(request, at + 0.2),
    ]


def configured(
    version: int, at: float, service: str = "s1", **changes: Any
) -> events.Configured:
    fields: dict[str, Any] = {
        "services": {"chat": service},
        "keys": frozenset({"k1"}),
    }
    return events.Configured(at, version, **{**fields, **changes})


def disturbed(
    part: str, at: float, until: float, **changes: Any
) -> events.Disturbance:
    return events.Disturbance(at, until, "freeze", part, **changes)


def streamed(*numbers: int, kind: Kind = Kind.RESUMABLE) -> Events:
    """Returns a whole stream of three events and the pieces that came of it."""
    return [
        sent(kind=kind),
        arrived(),
        *run(),
        *pieces(*numbers),
        ended(),
    ]


def pieces(
    *numbers: int, request: str = "r1", at: float = START, **changes: Any
) -> Events:
    fields = {"version": "v1", "attempt": 1, **changes}
    return [
        events.Piece(at + 0.03 + place / 100, request, number, 3, **fields)
        for place, number in enumerate(numbers)
    ]


def later(made: Events, seconds: float) -> Events:
    """Returns events with other times."""
    return [dataclasses.replace(event, at=event.at + seconds) for event in made]


def replaced(made: Events, kind: type[events.Event], **changes: Any) -> Events:
    """Returns events of which those of a kind are changed."""
    return [
        dataclasses.replace(event, **changes)
        if isinstance(event, kind)
        else event
        for event in made
    ]


def retried(
    count: int, gap_s: float = 0.0, requests: int = 5, at: float = START + 6
) -> Events:
    """Returns safe requests at once, and arrivals beyond the first of each.

    Args:
        count: How many come again, some seconds apart.
        gap_s: These seconds.
        requests: How many clients send.
        at: When the first one comes again, in seconds.
    """
    limits = {"timeout_at": at + 60, "deadline_at": at + 60}
    made = many(
        requests,
        lambda number: served(
            f"r{number}", START + 1, number, kind=Kind.SAFE, **limits
        ),
    )
    for number in range(count):
        came_at, attempt = at + number * gap_s, int(at * 1000) + number
        request = f"r{number % requests + 1}"
        made.append(arrived(request, came_at, attempt, endpoint="e2"))
        made.append(events.TurnedAway(came_at, attempt, 503))
    return made


def many(count: int, build: Callable[[int], Events]) -> Events:
    """Returns the events of as many requests as are asked for."""
    return [event for number in range(1, count + 1) for event in build(number)]
