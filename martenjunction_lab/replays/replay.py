"""Replays a load against the decisions of boxes, in simulated time.

The boxes hold the same books of endpoints as daemons; only connections and
engines are simulated. The same load and policy give the same outcome.
"""

from collections.abc import Callable
import dataclasses
import heapq
import itertools
import random
from typing import Any

from martenjunction import model
from martenjunction import revisions
from martenjunction.decisions.boxes import endpoint_list
from martenjunction.decisions.boxes import endpoint_records
from martenjunction.decisions.boxes import load_shedding
from martenjunction.decisions.boxes import load_sums
from martenjunction.routing.endpoints import endpoint_registry
from martenjunction.routing.endpoints import run_ticket
from martenjunction.routing.log import decision_log
from martenjunction.routing.sync import fleet_loads
from martenjunction_lab.replays import engines
from martenjunction_lab.replays import loads

SERVICE = "engines"
ZONE = "zone-a"
CACHE_TOKENS = 400_000

# Seconds between two looks of a box, and between two messages to the others.
LOOK_S = 0.1
TELL_S = 0.2

# Seconds for which requests are served after the last one came.
TAIL_S = 12.0


# Numbers of requests that are asked again begin here.
FIRST_REPEAT = 1_000_000


@dataclasses.dataclass(slots=True)
class KindResult:
    """What became of the requests of one kind.

    Attributes:
        asked: Requests that came.
        in_time: Those with a first event and all pauses in time.
        late: Those answered in full, but late.
        refused: Those refused before any work was done for them.
        lost: Those whose engine was lost.
    """

    asked: int = 0
    in_time: int = 0
    late: int = 0
    refused: int = 0
    lost: int = 0


@dataclasses.dataclass(slots=True)
class _Request:
    arrival: loads.Arrival
    book: endpoint_registry.EndpointRegistry
    ticket: run_ticket.RunTicket
    heard_at: float
    late: bool = False
    first: bool = True

    @property
    def at(self) -> str:
        return self.ticket.record.id


class Replay:
    """One load under one policy."""

    def __init__(self, load: loads.Load) -> None:
        """Makes a replay; `run` carries it out."""
        self._load = load
        self._engines = {
            f"e{number}": engines.Engine(f"e{number}", load.engine_kind)
            for number in range(load.engines)
        }
        self._service = model.Service(
            SERVICE,
            "/healthz",
            360,
            model.Engine(
                load.engine_kind.slots,
                CACHE_TOKENS,
                0,
                load.engine_kind.tokens_per_event,
            ),
        )
        self._books = [self._book(number) for number in range(load.boxes)]
        self._sums = [
            fleet_loads.FleetLoads(book, number)
            for number, book in enumerate(self._books)
        ]
        self._requests: dict[int, _Request] = {}
        self._stepping: set[str] = set()
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._order = itertools.count()
        self._joined = itertools.count()
        self._repeated = itertools.count(FIRST_REPEAT)
        self._leaving: set[str] = set()
        self._shortest = min(kind.pause_s for kind in load.kinds)
        self._uncounted = KindResult()
        self.results = {kind.name: KindResult() for kind in load.kinds}

    @property
    def worth(self) -> float:
        """The part of all worth that was served in time."""
        kinds = [(kind, self.results[kind.name]) for kind in self._load.kinds]
        asked = sum(kind.worth * found.asked for kind, found in kinds)
        return sum(kind.worth * found.in_time for kind, found in kinds) / asked

    def run(self) -> dict[str, KindResult]:
        """Replays the load; returns what became of it, by kind."""
        for number, arrival in enumerate(loads.arrivals(self._load)):
            self._at(arrival.at_s, self._come, number, arrival)
        end_s = self._load.length_s + TAIL_S
        for at_s in self._load.lost:
            self._at(at_s, self._lose)
        for at_s, count in self._load.leaving:
            self._at(at_s, self._leave, count)
        for at_s, count in self._load.joining:
            self._at(at_s, self._join, count)
        for index in range(len(self._books)):
            # Boxes do not look and tell at the same moment.
            offset = 0.01 * index
            self._every(offset + LOOK_S, LOOK_S, end_s, self._look, index)
            if self._load.sums_s is None:
                self._every(offset + TELL_S, TELL_S, end_s, self._tell, index)
        if self._load.sums_s is not None:
            self._every(0.0, self._load.sums_s, end_s, self._tell_sums, 0)
        while self._events:
            now, _, call = heapq.heappop(self._events)
            call(now)
        return self.results

    def _book(self, number: int) -> endpoint_registry.EndpointRegistry:
        listed = endpoint_list.EndpointList()
        endpoints = [self._endpoint(name) for name in self._engines]
        first = revisions.Revision(1, 1)
        listed.apply_listing([(e, first) for e in endpoints], first, 0.0)
        return endpoint_registry.EndpointRegistry(
            listed, decision_log.DecisionLog(lambda: 0.0), random.Random(number)
        )

    def _endpoint(self, name: str) -> model.Endpoint:
        return model.Endpoint(
            name,
            SERVICE,
            "127.0.0.1:1",
            ZONE,
            self._load.engine_kind.slots,
            model.EndpointState.READY,
        )

    def _at(self, at_s: float, call: Callable[..., None], *args: Any) -> None:
        heapq.heappush(
            self._events,
            (at_s, next(self._order), lambda now: call(now, *args)),
        )

    def _every(
        self,
        at_s: float,
        pause_s: float,
        end_s: float,
        call: Callable[..., None],
        index: int,
    ) -> None:
        def again(now: float) -> None:
            call(now, index)
            if now + pause_s < end_s:
                self._at(now + pause_s, again)

        self._at(at_s, again)

    def _look(self, now: float, index: int) -> None:
        self._books[index].tick(now)

    def _tell(self, now: float, index: int) -> None:
        book = self._books[index]
        for other in self._books:
            if other is not book:
                name = f"box-{index}"
                other.reports.update_peer_loads(name, book.reports.loads(), now)
                other.reports.update_peer_sent(
                    name, book.reports.sent_tokens(), now
                )
                other.table.engines.update_peer(
                    name, book.table.engines.rows(now), now
                )

    def _tell_sums(self, now: float, index: int) -> None:
        total = load_sums.total(part.take(now) for part in self._sums)
        for part in self._sums:
            part.apply(total, now)

    def _come(self, now: float, number: int, arrival: loads.Arrival) -> None:
        self._result(arrival).asked += 1
        self._ask(now, number, arrival, False)

    def _ask(
        self, now: float, number: int, arrival: loads.Arrival, again: bool
    ) -> None:
        """Decides on a request, which may have been refused before."""
        book = self._books[number % len(self._books)]
        demand = self._demand(book, number, arrival, now)
        chosen = book.selector.choose(self._service, demand, set(), now)
        if chosen is None:
            self._result(arrival).refused += 1
            return
        endpoint, choice = chosen
        book.table.engines.note_prefill_demand(
            SERVICE, choice.prefill_tokens, demand.is_long, now
        )
        pause_s = load_shedding.retry_after_s(
            load_shedding.AdmissionForecast(
                choice.predicted_s, arrival.kind.target_s, again, choice.busy
            )
        )
        if pause_s is not None and not book.selector.serves_lower_tiers(
            self._service, demand.urgency, now
        ):
            if self._load.returns and not again:
                other = next(self._repeated)
                self._at(now + pause_s, self._ask, other, arrival, True)
            else:
                self._result(arrival).refused += 1
            return
        ticket = book.runs.begin(choice, demand, now)
        self._requests[number] = _Request(arrival, book, ticket, arrival.at_s)
        engine = self._engines[endpoint.id]
        engine.submit(
            engines.Run(
                number, demand.urgency, demand.prompt_tokens, arrival.events
            ),
            demand.parts[:-1],
        )
        if arrival.impatient and not again:
            patience_s = loads.PATIENCE * arrival.kind.target_s
            self._at(now + patience_s, self._leave_unanswered, number)
        self._wake(now, engine)

    def _leave_unanswered(self, now: float, number: int) -> None:
        """Lets a client without an event leave, and ask another box at once."""
        request = self._requests.get(number)
        if request is None or not request.first:
            return
        del self._requests[number]
        request.book.runs.end(request.ticket, now, failed=False)
        self._engines[request.at].cancel(number)
        self._ask(now, next(self._repeated), request.arrival, True)

    def _demand(
        self,
        book: endpoint_registry.EndpointRegistry,
        number: int,
        arrival: loads.Arrival,
        now: float,
    ) -> endpoint_records.Demand:
        kind = arrival.kind
        return endpoint_records.Demand(
            SERVICE,
            (*arrival.shared, (f"own-{number}", arrival.own_tokens)),
            sum(tokens for _, tokens in arrival.shared) + arrival.own_tokens,
            ZONE,
            True,
            False,
            kind.urgency,
            self._shortest,
            kind.pause_s,
            self._load.engine_kind.tokens_per_event,
            book.table.engines.profile(SERVICE),
            book.table.engines.prefill_demand(SERVICE, now),
            book.table.engines.peer_prefill_per_s(SERVICE, now),
        )

    def _wake(self, now: float, engine: engines.Engine) -> None:
        if engine.name not in self._stepping and not engine.idle:
            self._stepping.add(engine.name)
            seconds, made = engine.step()
            self._at(now + seconds, self._made, engine, made)

    def _made(
        self, now: float, engine: engines.Engine, made: list[engines.Run]
    ) -> None:
        self._stepping.discard(engine.name)
        if engine.name not in self._engines:
            return
        for run in made:
            self._event(now, run)
        self._wake(now, engine)

    def _event(self, now: float, run: engines.Run) -> None:
        request = self._requests.get(run.number)
        if request is None:
            # Its client left during the step.
            return
        kind = request.arrival.kind
        waited = now - request.heard_at
        request.late |= waited > (
            kind.target_s if request.first else kind.pause_s
        )
        request.first = False
        request.heard_at = now
        request.book.runs.note_events(request.ticket, now, 1)
        if run.events:
            return
        del self._requests[run.number]
        request.book.runs.end(request.ticket, now, failed=False)
        result = self._result(request.arrival)
        if request.late:
            result.late += 1
        else:
            result.in_time += 1

    def _result(self, arrival: loads.Arrival) -> KindResult:
        if arrival.at_s < self._load.warm_s:
            return self._uncounted
        return self.results[arrival.kind.name]

    def _leave(self, now: float, count: int) -> None:
        """Lets some engines say that they leave; they serve for a while."""
        for name in sorted(set(self._engines) - self._leaving)[:count]:
            self._leaving.add(name)
            for book in self._books:
                book.table.listed.mark_draining(name, revisions.Revision(1, 2))
            self._at(now + self._load.notice_s, self._lose, name)

    def _join(self, now: float, count: int) -> None:
        """Lets some empty engines be listed."""
        for _ in range(count):
            name = f"new-{next(self._joined)}"
            kind = self._load.engine_kind
            self._engines[name] = engines.Engine(name, kind)
            for book in self._books:
                book.table.listed.apply_entry(
                    self._endpoint(name), revisions.Revision(1, 2)
                )

    def _lose(self, now: float, name: str | None = None) -> None:
        name = min(self._engines) if name is None else name
        del self._engines[name]
        held = [n for n, r in self._requests.items() if r.at == name]
        for number in held:
            request = self._requests.pop(number)
            request.book.runs.end(request.ticket, now, failed=True)
            self._result(request.arrival).lost += 1
        for book in self._books:
            book.table.listed.mark_draining(name, revisions.Revision(1, 2))
