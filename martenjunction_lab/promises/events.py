"""What clients, endpoints and operators saw of a trial, as events.

Trials in one process, scenarios and soaks of processes record the same events,
so that one judge (`judge.py`) finds the promises that were broken. All times
are seconds on one clock.
"""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import enum
from typing import Any
from typing import TypeVar

from martenjunction_lab.promises import spans
from martenjunction_lab.promises import terms


class RouteKind(enum.StrEnum):
    """How a route's requests may run."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"
    RESUMABLE = "resumable"

    @property
    def repeatable(self) -> bool:
        """Whether a request may run more than once."""
        return self in (RouteKind.SAFE, RouteKind.RESUMABLE)


class Source(enum.StrEnum):
    """Whose body an answer carries."""

    ENDPOINT = "endpoint"
    BOX = "box"


class RunEnd(enum.StrEnum):
    """How a run ended at its endpoint."""

    ANSWERED = "answered"
    BROKEN_OFF = "broken-off"
    CANCELLED = "cancelled"


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """Something that was seen.

    Attributes:
        at: When.
    """

    at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Sent(Event):
    """A client sent a request whole.

    Attributes:
        request: Its id.
        box: The box.
        connection: Name of the client's connection.
        kept: Whether the connection has carried a request before.
        route: Its route.
        kind: How it may run.
        service: The service that the configuration in force names.
        deadline_at: When its client gives it up.
        timeout_at: When its route's time limit ends.
        digest: Of method, target and body, as its endpoint should see them.
        tenant: Whose key it carries; empty for none.
        key: The key; empty for none.
        resumes: Id of the request whose stream it goes on with; empty for none.
        after_event: Number of the last event that its client has of that
            stream; 0 for none.
        most_endpoints: Endpoints that may run it; 0 if not known.
    """

    request: str
    box: str
    connection: str
    kept: bool
    route: str
    kind: RouteKind
    service: str
    deadline_at: float
    timeout_at: float
    digest: str
    tenant: str = ""
    key: str = ""
    resumes: str = ""
    after_event: int = 0
    most_endpoints: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Ended(Event):
    """A client's wait for an answer ended.

    Attributes:
        request: The request.
        status: The answer's status; 0 if none came.
        whole: Whether the answer ended as complete.
        source: Whose answer it is, by its headers.
        answers: Id of the request that the body says it belongs to; empty if
            it says none.
        endpoint: The endpoint that the answer names; empty for none.
        retry_after_s: The time that a refusal names; None for none.
        body_digest: Of the body; empty if not known.
    """

    request: str
    status: int
    whole: bool = True
    source: Source = Source.ENDPOINT
    answers: str = ""
    endpoint: str = ""
    retry_after_s: float | None = None
    body_digest: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Piece(Event):
    """A client got an event of a stream.

    Attributes:
        request: The request.
        number: Number of the event, from 1 on.
        total: Events of the whole stream.
        version: Software version of the endpoint that wrote it.
        attempt: The arrival whose run wrote it; 0 if not known.
        place: Its place among those that came at the same time.
    """

    request: str
    number: int
    total: int
    version: str = ""
    attempt: int = 0
    place: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Left(Event):
    """A client closed its connection before its answer was whole.

    Attributes:
        request: The request.
    """

    request: str


@dataclasses.dataclass(frozen=True, slots=True)
class Arrived(Event):
    """An endpoint read a request.

    Attributes:
        request: Its id.
        attempt: Number of the arrival in the trial.
        endpoint: The endpoint.
        service: Its service.
        digest: Of method, target and body, as they arrived.
        tenant: The tenant that the box named.
        saw_key: Whether the client's key was passed on.
        time_left_s: The time that the box granted; None for none.
    """

    request: str
    attempt: int
    endpoint: str
    service: str
    digest: str
    tenant: str = ""
    saw_key: bool = False
    time_left_s: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class TurnedAway(Event):
    """An endpoint refused a request and has not run it.

    Attributes:
        attempt: The arrival.
        status: The status of the refusal; 0 if not known.
    """

    attempt: int
    status: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class RunBegan(Event):
    """An endpoint began to work on a request.

    Attributes:
        attempt: The arrival.
    """

    attempt: int


@dataclasses.dataclass(frozen=True, slots=True)
class RunEnded(Event):
    """An endpoint ended its work on a request.

    Attributes:
        attempt: The arrival.
        how: How it ended.
        status: The status that the endpoint returned; 0 for none.
        body_digest: Of the body that it returned; empty if not known.
    """

    attempt: int
    how: RunEnd
    status: int = 0
    body_digest: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Configured(Event):
    """The store acknowledged a configuration.

    Attributes:
        version: Its version.
        services: The service of each route.
        keys: The keys that it holds.
        public: The routes that need no key; None if not known.
    """

    version: int
    services: dict[str, str]
    keys: frozenset[str]
    public: frozenset[str] | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Leaves(Event):
    """An endpoint's leaving was acknowledged, by the store or by a box.

    Attributes:
        endpoint: The endpoint.
        box: The box that acknowledged it; empty for the store.
    """

    endpoint: str
    box: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Returns(Event):
    """An endpoint that had left was listed as ready again.

    Attributes:
        endpoint: The endpoint.
    """

    endpoint: str


@dataclasses.dataclass(frozen=True, slots=True)
class BoxStops(Event):
    """A box was told to stop.

    Attributes:
        box: The box.
    """

    box: str


@dataclasses.dataclass(frozen=True, slots=True)
class Disturbance(Event):
    """A part was disturbed; `at` is its begin.

    Attributes:
        until: When it ended.
        kind: Name of the behaviour.
        part: Name of the box, endpoint or link; `store` for the store.
        ends: The boxes and endpoints that a link connects; they count as
            disturbed too.
        planned: Whether it is planned work, such as a reload.
        restarts: Whether the part's process ended and another one began.
    """

    until: float
    kind: str
    part: str
    ends: tuple[str, ...] = ()
    planned: bool = False
    restarts: bool = False


Terms = terms.Terms

EventT = TypeVar("EventT", bound=Event)
ResultT = TypeVar("ResultT")


class History:
    """All events of a trial, in the order of their times."""

    def __init__(
        self, events: Iterable[Event] = (), terms: Terms | None = None
    ) -> None:
        """Takes events that were seen before."""
        self.terms = terms or Terms()
        self._events = list(events)
        self._derived: dict[Callable[[History], Any], Any] = {}
        self._of: dict[type[Event], list[Any]] = {}

    @property
    def end(self) -> float:
        """When the last event was seen; 0 if there is none."""
        ordered = self._ordered(Event)
        return ordered[-1].at if ordered else 0.0

    def add(self, event: Event) -> None:
        """Adds an event; events may come in any order of their times."""
        self._events.append(event)
        self._derived.clear()
        self._of.clear()

    def of(self, kind: type[EventT]) -> list[EventT]:
        """Returns the events of a kind, in the order of their times."""
        return list(self._ordered(kind))

    def derived(self, build: Callable[["History"], ResultT]) -> ResultT:
        """Returns what a function makes of this history.

        The function is called once until an event is added.
        """
        if build not in self._derived:
            self._derived[build] = build(self)
        result: ResultT = self._derived[build]
        return result

    def calm(self, part: str, since: float, until: float) -> bool:
        """Returns whether a part and the store were not disturbed.

        The arguments are those of `undisturbed`.
        """
        return all(
            self.undisturbed(name, since, until) for name in (part, "store")
        )

    def undisturbed(
        self,
        part: str | None,
        since: float,
        until: float,
        planned: bool = True,
    ) -> bool:
        """Returns whether a part alone was not disturbed.

        Args:
            part: A box, an endpoint or the store; None for all parts.
            since: Begin of the time; `contact_s` before it counts as well.
            until: Its end.
            planned: Whether planned work, a box's stop too, counts.
        """
        found = self.derived(_disturbances)[planned]
        return not found.overlap(part, since - self.terms.contact_s, until)

    def _ordered(self, kind: type[EventT]) -> list[EventT]:
        if Event not in self._of:
            self._of[Event] = sorted(self._events, key=_order)
        if kind not in self._of:
            everything = self._of[Event]
            self._of[kind] = [
                event for event in everything if isinstance(event, kind)
            ]
        return self._of[kind]


def _order(event: Event) -> tuple[float, int, int, str]:
    """Returns a key that orders events, also those of the same time."""
    if isinstance(event, Piece):
        return event.at, event.place, event.number, repr(event)
    return event.at, 0, 0, repr(event)


def _disturbances(history: History) -> dict[bool, spans.PartSpans]:
    """Returns when parts were disturbed, with and without planned work."""
    made: list[tuple[bool, tuple[str, ...], spans.Span]] = [
        (event.planned, (event.part, *event.ends), (event.at, event.until))
        for event in history.of(Disturbance)
    ]
    grace_s = history.terms.grace_s
    for stop in history.of(BoxStops):
        made.append((True, (stop.box,), (stop.at, stop.at + grace_s)))
    unplanned = [(parts, span) for planned, parts, span in made if not planned]
    return {
        True: spans.PartSpans((parts, span) for _, parts, span in made),
        False: spans.PartSpans(unplanned),
    }
