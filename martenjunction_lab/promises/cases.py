"""What was seen of each request of a trial, put together from its events."""

import collections
from collections.abc import Iterator
import dataclasses
import functools
import math
from typing import TypeVar

from martenjunction_lab.promises import events
from martenjunction_lab.promises import rules

EventT = TypeVar("EventT", bound=events.Event)

# Kinds of events about a request, and about an arrival of one.
_OF_REQUESTS = (
    events.Sent,
    events.Ended,
    events.Piece,
    events.Left,
    events.Arrived,
)
_OF_ATTEMPTS = (events.TurnedAway, events.RunBegan, events.RunEnded)


@dataclasses.dataclass(frozen=True)
class Attempt:
    """An arrival of a request at an endpoint.

    Attributes:
        number: Its number in the trial.
        trace: The events about it, in the order of their times.
    """

    number: int
    trace: tuple[events.Event, ...]

    @functools.cached_property
    def arrived(self) -> events.Arrived | None:
        """The arrival; None if none was seen."""
        return _first(self.trace, events.Arrived)

    @functools.cached_property
    def turned_away(self) -> events.TurnedAway | None:
        """The endpoint's refusal; None for none."""
        return _first(self.trace, events.TurnedAway)

    @functools.cached_property
    def runs(self) -> tuple[events.RunBegan, ...]:
        """The runs that began."""
        return _all(self.trace, events.RunBegan)

    @functools.cached_property
    def ended(self) -> events.RunEnded | None:
        """How the run ended; None if no end was seen."""
        return _first(self.trace, events.RunEnded)

    @property
    def ended_at(self) -> float:
        """When the run ended; infinite if no end was seen."""
        return math.inf if self.ended is None else self.ended.at

    @property
    def endpoint(self) -> str:
        """The endpoint; empty if no arrival was seen."""
        return "" if self.arrived is None else self.arrived.endpoint

    def ended_as(self, how: events.RunEnd) -> bool:
        """Returns whether the run ended in a way."""
        return self.ended is not None and self.ended.how is how


@dataclasses.dataclass(frozen=True)
class Case:
    """A request.

    Attributes:
        request: Its id.
        trace: The events about it, in the order of their times.
    """

    request: str
    trace: tuple[events.Event, ...]

    @functools.cached_property
    def sent(self) -> events.Sent | None:
        """How it was sent; None if no client sent it."""
        return _first(self.trace, events.Sent)

    @functools.cached_property
    def ends(self) -> tuple[events.Ended, ...]:
        """The ends of its client's wait."""
        return _all(self.trace, events.Ended)

    @property
    def ended(self) -> events.Ended | None:
        """The first end of its client's wait; None for none."""
        return self.ends[0] if self.ends else None

    @property
    def ended_at(self) -> float:
        """When its client's wait ended; infinite if no end was seen."""
        return math.inf if self.ended is None else self.ended.at

    @property
    def is_served(self) -> bool:
        """Whether its client got a whole success."""
        ended = self.ended
        return ended is not None and ended.whole and is_success(ended.status)

    @functools.cached_property
    def pieces(self) -> tuple[events.Piece, ...]:
        """The events of its stream that its client got."""
        return _all(self.trace, events.Piece)

    @functools.cached_property
    def left_at(self) -> float:
        """When its client left; infinite if it did not."""
        left = _first(self.trace, events.Left)
        return math.inf if left is None else left.at

    @functools.cached_property
    def attempts(self) -> tuple[Attempt, ...]:
        """Its arrivals, in the order of what was seen first of each."""
        by_number = collections.defaultdict(list)
        for event in self.trace:
            if isinstance(event, (events.Arrived, *_OF_ATTEMPTS)):
                by_number[event.attempt].append(event)
        return tuple(
            Attempt(number, tuple(trace)) for number, trace in by_number.items()
        )

    @property
    def arrivals(self) -> Iterator[tuple[Attempt, events.Arrived]]:
        """Its attempts whose arrival was seen."""
        for attempt in self.attempts:
            if attempt.arrived is not None:
                yield attempt, attempt.arrived

    @functools.cached_property
    def runs(self) -> tuple[events.RunBegan, ...]:
        """Its runs that began, at all endpoints."""
        return _all(self.trace, events.RunBegan)

    def broken(self, promise: str, at: float) -> rules.Broken:
        """Returns that a promise was broken for it."""
        return rules.Broken(promise, at, self.request, self.trace)

    def endpoints_undisturbed(
        self, history: events.History, since: float, until: float
    ) -> bool:
        """Returns whether no endpoint that it reached was disturbed."""
        return all(
            history.undisturbed(arrived.endpoint, since, until)
            for _, arrived in self.arrivals
        )


def of(history: events.History) -> dict[str, Case]:
    """Returns what was seen of each request, by its id.

    A run of which no arrival was seen is a request of its own that nobody
    sent.
    """
    return history.derived(_gather)


def sent(history: events.History) -> list[tuple[Case, events.Sent]]:
    """Returns the requests that clients sent, with how they were sent."""
    return history.derived(_gather_sent)


def is_success(status: int) -> bool:
    """Returns whether a status says that a request was served."""
    return 200 <= status < 300


def _gather(history: events.History) -> dict[str, Case]:
    owners = {its.attempt: its.request for its in history.of(events.Arrived)}
    traces: dict[str, list[events.Event]] = collections.defaultdict(list)
    for event in history.of(events.Event):
        if isinstance(event, _OF_REQUESTS):
            traces[event.request].append(event)
        elif isinstance(event, _OF_ATTEMPTS):
            unknown = f"attempt {event.attempt}"
            traces[owners.get(event.attempt, unknown)].append(event)
    return {
        request: Case(request, tuple(trace))
        for request, trace in traces.items()
    }


def _gather_sent(history: events.History) -> list[tuple[Case, events.Sent]]:
    return [
        (case, case.sent)
        for case in of(history).values()
        if case.sent is not None
    ]


def _all(
    trace: tuple[events.Event, ...], kind: type[EventT]
) -> tuple[EventT, ...]:
    return tuple(event for event in trace if isinstance(event, kind))


def _first(
    trace: tuple[events.Event, ...], kind: type[EventT]
) -> EventT | None:
    return next((event for event in trace if isinstance(event, kind)), None)
