"""What has to hold of requests at boxes and endpoints that have trouble."""

import collections
from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses

from martenjunction import gateway
from martenjunction.http1 import request_ledger
from martenjunction_lab import replica

# Statuses that do not say that a request has not run.
_MAY_HAVE_RUN = frozenset({200, 500, 502, 504})

# Routes whose requests run once.
_ONCE = frozenset({"unsafe", "chat"})
_STREAMS = frozenset({"chat", "digest"})

# Seconds that a response needs from an endpoint to a client.
_ON_ITS_WAY_S = 0.05

_EVENTS = b"".join(
    f"id: {number}\ndata: t{number}\n\n".encode() for number in range(1, 6)
)


@dataclasses.dataclass
class Asked:
    """A request and its response.

    Attributes:
        name: Its id.
        route: Its route.
        box: The address of its box.
        sent_at: When it was sent.
        sent: Its body.
        left: Whether its client left, or cannot know what became of it.
        status: The status of its response; 0 without one.
        body: The body of the response.
        whole: Whether all of the response came.
        hung: Whether neither a response nor an end came.
        ended_at: When it ended.
    """

    name: str
    route: str
    box: str
    sent_at: float
    sent: bytes
    left: bool = False
    status: int = 0
    body: bytes = b""
    whole: bool = False
    hung: bool = False
    ended_at: float = 0.0


@dataclasses.dataclass
class Seen:
    """What clients and endpoints saw.

    Attributes:
        asked: The requests.
        runs: How often each reached an endpoint.
        answered: When and by which endpoint each was answered.
        closed: When kept connections were found to have ended although the
            last response did not say so, and the address of their box.
        stopped: When the box at each address began to stop.
        disturbed: Times in which endpoints, or the ways to them, were.
    """

    asked: list[Asked] = dataclasses.field(default_factory=list)
    runs: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    answered: dict[str, list[tuple[float, str]]] = dataclasses.field(
        default_factory=dict
    )
    closed: list[tuple[float, str]] = dataclasses.field(default_factory=list)
    stopped: dict[str, float] = dataclasses.field(default_factory=dict)
    disturbed: list[tuple[float, float, frozenset[str]]] = dataclasses.field(
        default_factory=list
    )

    def is_stopping(self, box: str, at: float) -> bool:
        """Returns whether the box at an address has begun to stop."""
        return box in self.stopped and self.stopped[box] <= at

    def outcomes(self) -> collections.Counter[str]:
        """Returns how many requests ended in each way, by route."""
        return collections.Counter(
            f"{one.route} {_outcome(one)}" for one in self.asked
        )


def broken(seen: Seen) -> Iterator[str]:
    """Yields the invariants that were broken, each with what was seen."""
    for at, box in seen.closed:
        if not seen.is_stopping(box, at):
            yield f"closed-untold: a connection to {box} at {at}"
    for one in seen.asked:
        runs = seen.runs[one.name]
        told = f"{one.name}: {_outcome(one)}, {runs} runs"
        if one.route in _ONCE and runs > 1:
            yield f"ran-twice: {told}"
        if one.left:
            continue
        # A box that stops closes resting connections.
        if one.hung or (
            not one.status
            and (runs or not seen.is_stopping(one.box, one.ended_at))
        ):
            yield f"no-response: {told}"
        if one.status and one.status not in _MAY_HAVE_RUN and runs:
            yield f"refused-and-run: {told}"
        if one.whole and one.status == 200 and one.body != _expected(one):
            yield f"wrong-response: {told}, {one.body[:80]!r}"
        if one.status != 200:
            yield from _not_delivered(seen, one, told)


def held(
    made: gateway.Gateway, endpoints: Iterable[replica.Replica]
) -> Iterator[str]:
    """Yields what a box holds although it has no request.

    Args:
        made: The box.
        endpoints: All endpoints.
    """
    ledger = made._callers.ledger
    counts = {end: ledger.ends[end] for end in request_ledger.UNEXPECTED}
    if ledger.open or ledger.ended_twice or any(counts.values()):
        yield f"ledger: {ledger.gauges()}"
    if made.registry.runs.running:
        yield f"runs: {made.registry.runs.running}"
    if made.bodies.budget.held:
        yield f"memory: {made.bodies.budget.held}"
    gauges = {**made.bodies.gauges(), **made.answers.gauges()}
    waiting = {name: n for name, n in gauges.items() if "waiting" in name and n}
    if waiting:
        yield f"waiting: {waiting}"
    made.pool.close()
    open_ = {
        name: made.pool.open_connections(name)
        for name in list(made.pool._endpoints)
    }
    if any(open_.values()):
        yield f"connections: {open_}"


def _outcome(one: Asked) -> str:
    if one.left:
        return "left"
    if one.hung:
        return "hung"
    if not one.status:
        return "closed"
    return f"{one.status}{'' if one.whole else ' cut'}"


def _expected(one: Asked) -> bytes:
    return _EVENTS if one.route in _STREAMS else b"answer to " + one.sent


def _not_delivered(seen: Seen, one: Asked, told: str) -> Iterator[str]:
    """Yields a response that was whole at its endpoint, and did not come."""
    for at, endpoint in seen.answered.get(one.name, ()):
        if at + _ON_ITS_WAY_S > one.ended_at:
            continue
        if not any(
            began <= one.ended_at
            and ended >= at - _ON_ITS_WAY_S
            and endpoint in parts
            for began, ended, parts in seen.disturbed
        ):
            yield f"not-delivered: {told}, answered by {endpoint} at {at}"
