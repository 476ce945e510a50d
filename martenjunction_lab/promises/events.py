"""What clients, endpoints and operators saw of a trial, as events.

Trials in one process, scenarios and soaks of processes record the same events,
so that one judge (`judge.py`) finds the promises that were broken. All times
are seconds on one clock.
"""

from collections.abc import Iterable
import dataclasses
import enum
from typing import TypeVar


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
    """

    request: str
    status: int
    whole: bool = True
    source: Source = Source.ENDPOINT
    answers: str = ""
    endpoint: str = ""
    retry_after_s: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Piece(Event):
    """A client got an event of a stream.

    Attributes:
        request: The request.
        number: Number of the event, from 1 on.
        total: Events of the whole stream.
        version: Software version of the endpoint that wrote it.
    """

    request: str
    number: int
    total: int
    version: str = ""


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
    """

    attempt: int


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
    """

    attempt: int
    how: RunEnd
    status: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Configured(Event):
    """The store acknowledged a configuration.

    Attributes:
        version: Its version.
        services: The service of each route.
        keys: The keys that it holds.
    """

    version: int
    services: dict[str, str]
    keys: frozenset[str]


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
    """

    until: float
    kind: str
    part: str


@dataclasses.dataclass(frozen=True, slots=True)
class Terms:
    """Figures of the promises that are judged, in seconds unless named.

    Attributes:
        contact_s: Time without a disturbance after which time limits bind.
        change_s: Time within which a configuration is in force.
        revoke_s: Time after which no box runs a request with a lost key.
        drain_s: Time after which a leaving endpoint gets no more work.
        grace_s: Time that a box has to stop.
        gone_s: Time within which an endpoint hears that a client has left.
        late_s: Time after a time limit within which a final answer is due.
        retry_ratio: Retries of a request that a service gets, at most.
        retry_allowance: Retries beyond these in a window.
        retry_window_s: The length of a window.
        min_served: Part of the requests that is served while nothing is
            disturbed.
    """

    contact_s: float = 2.0
    change_s: float = 2.0
    revoke_s: float = 5.0
    drain_s: float = 2.0
    grace_s: float = 8.0
    gone_s: float = 0.5
    late_s: float = 0.5
    retry_ratio: float = 0.2
    retry_allowance: float = 52.0
    retry_window_s: float = 10.0
    min_served: float = 0.99


E_co = TypeVar("E_co", bound=Event)


class History:
    """All events of a trial, in the order of their times."""

    def __init__(
        self, events: Iterable[Event] = (), terms: Terms | None = None
    ) -> None:
        """Takes events that were seen before."""
        self.terms = terms or Terms()
        self._events = list(events)

    def add(self, event: Event) -> None:
        """Adds an event; events may come in any order of their times."""
        self._events.append(event)

    def of(self, kind: type[E_co]) -> list[E_co]:
        """Returns the events of a kind, in the order of their times."""
        found = [event for event in self._events if isinstance(event, kind)]
        return sorted(found, key=lambda event: event.at)

    def calm(self, part: str, since: float, until: float) -> bool:
        """Returns whether a part and the store were not disturbed.

        Args:
            part: A box or an endpoint.
            since: Begin of the time; `contact_s` before it counts as well.
            until: Its end.
        """
        since -= self.terms.contact_s
        return not any(
            event.part in (part, "store")
            and event.at <= until
            and event.until >= since
            for event in self.of(Disturbance)
        )
