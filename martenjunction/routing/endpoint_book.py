"""What this box knows of endpoints: the list, loads and soundness."""

import random

from martenjunction.decisions import endpoint_choice
from martenjunction.decisions import endpoint_list
from martenjunction.decisions import endpoint_states
from martenjunction.routing import decision_log
from martenjunction.routing import model

# Seconds without a byte from an endpoint that owes answers, after which it
# gets no new work. A plain service answers within a few tens of milliseconds,
# an engine's running streams bring an event every 20 to 250 ms.
PLAIN_SILENCE_S = 0.4
ENGINE_SILENCE_S = 1.0

# Part by which what was learnt of an endpoint without work moves back towards
# the best of its service, each time it is looked at.
IDLE_DRIFT = 0.02


class RunTicket:
    """One request at one endpoint, for the accounts of its load."""

    def __init__(
        self,
        record: endpoint_choice.EndpointRecord,
        demand: endpoint_choice.Demand,
        now: float,
    ) -> None:
        """Books a request that is about to be sent."""
        self.record = record
        self.demand = demand
        self.sent_at = now
        self.heard_at = now
        self.waiting = True
        self.unread = int(endpoint_choice.unread(record, demand, False))
        self.predicted_s = endpoint_choice.predicted_s(
            record, demand, False, now
        )
        self.move: bool = False
        running, unread = record.load(now)
        self._seen = (running, unread)

    def describe(self) -> dict[str, float]:
        """Returns what the choice was made from, for the log."""
        return {
            "predicted_ms": round(self.predicted_s * 1000, 1),
            "unread": self.unread,
            "running": self._seen[0],
            "ahead": self._seen[1],
            "slowness": round(self.record.slowness.value, 2),
        }


class EndpointBook:
    """The endpoints of all services, and which of them suits a request."""

    def __init__(
        self,
        listed: endpoint_list.EndpointList,
        log: decision_log.DecisionLog,
        rng: random.Random,
    ) -> None:
        """Makes a book.

        Args:
            listed: Which endpoints there are.
            log: Told of each endpoint that is given up or trusted again.
            rng: Breaks ties.
        """
        self._listed = listed
        self._log = log
        self._rng = rng
        self._records: dict[str, endpoint_choice.EndpointRecord] = {}
        self._tickets: set[RunTicket] = set()
        self._heard: dict[str, float] = {}

    @property
    def listed(self) -> endpoint_list.EndpointList:
        """The platform's list as this box knows it."""
        return self._listed

    @property
    def records(self) -> dict[str, endpoint_choice.EndpointRecord]:
        """What was learnt, by endpoint id; to be read only."""
        return self._records

    @property
    def running(self) -> int:
        """Requests at endpoints now."""
        return len(self._tickets)

    def choose(
        self,
        service: model.Service,
        demand: endpoint_choice.Demand,
        avoid: set[str],
        now: float,
    ) -> model.Endpoint | None:
        """Chooses an endpoint for a request.

        Args:
            service: The service.
            demand: What the request asks.
            avoid: Ids of endpoints that already failed it.
            now: The current time.

        Returns:
            The endpoint, or None if there is none.
        """
        endpoints = {
            endpoint.id: endpoint
            for endpoint in self._listed.ready(service.name)
            if endpoint.id not in avoid
        }
        records = [self._record(e, service) for e in endpoints.values()]
        chosen = endpoint_choice.choose(records, demand, now, self._rng)
        return None if chosen is None else endpoints[chosen.id]

    def begin(
        self,
        endpoint_id: str,
        demand: endpoint_choice.Demand,
        now: float,
    ) -> RunTicket:
        """Books a request that is sent to an endpoint."""
        record = self._records[endpoint_id]
        ticket = RunTicket(record, demand, now)
        record.running += 1
        record.unread_tokens += ticket.unread
        self._tickets.add(ticket)
        return ticket

    def heard(self, ticket: RunTicket, now: float) -> None:
        """Notes that bytes of an answer came."""
        record = ticket.record
        ticket.heard_at = now
        self._heard[record.id] = now
        if record.health.state is endpoint_states.EndpointState.EJECTED:
            self._move(record, endpoint_states.EndpointEvent.TRIAL_PASSED, now)
        if not ticket.waiting:
            return
        ticket.waiting = False
        record.unread_tokens -= ticket.unread
        if ticket.demand.is_engine:
            record.remember(ticket.demand.parts)
            took = now - ticket.sent_at
            ratio = took / max(ticket.predicted_s, FASTEST_FIRST_TOKEN_S)
            record.slowness.add(min(max(ratio, 0.3), 10.0))

    def end(self, ticket: RunTicket, now: float, failed: bool) -> None:
        """Books the end of a request at an endpoint."""
        record = ticket.record
        self._tickets.discard(ticket)
        record.running -= 1
        if ticket.waiting:
            record.unread_tokens -= ticket.unread
            ticket.waiting = False
        record.failures.add(1.0 if failed else 0.0)
        if not failed and not ticket.demand.is_engine:
            record.answer_s.add(now - ticket.sent_at)

    def refused(self, endpoint_id: str, now: float) -> None:
        """Notes that an endpoint refused work: it is full or leaves."""
        record = self._records[endpoint_id]
        record.refused_until = now + endpoint_choice.REFUSAL_PAUSE_S

    def not_reached(self, endpoint_id: str, now: float) -> None:
        """Notes that no connection to an endpoint could be had."""
        record = self._records.get(endpoint_id)
        if record is None:
            return
        record.health.fault(reached=False)
        self._eject(record, "not reached", now)

    def broken(self, endpoint_id: str, now: float) -> None:
        """Notes that an endpoint broke an answer off."""
        record = self._records.get(endpoint_id)
        if record is None:
            return
        record.health.fault(reached=True)
        if record.health.faults >= endpoint_states.MAX_FAULTS:
            self._eject(record, "answers break off", now)

    def tick(self, now: float) -> None:
        """Looks for silent endpoints and forgets those that are gone."""
        for record in self._records.values():
            if not self._is_silent(record, now):
                continue
            self._eject(record, "silent", now)
            for ticket in self._tickets:
                if ticket.record is record:
                    ticket.move = True
        for gone in [i for i in self._records if i not in self._listed.entries]:
            if self._records[gone].running == 0:
                del self._records[gone]
                self._heard.pop(gone, None)
        self._drift()

    def loads(self) -> list[tuple[str, int, int]]:
        """Returns what this box has at each endpoint where it has anything."""
        return [
            (record.id, record.running, record.unread_tokens)
            for record in self._records.values()
            if record.running
        ]

    def take_peer_loads(
        self, box: str, loads: list[tuple[str, int, int]], now: float
    ) -> None:
        """Notes what another box has at endpoints."""
        told = {endpoint_id: (runs, rest) for endpoint_id, runs, rest in loads}
        for record in self._records.values():
            runs, rest = told.get(record.id, (0, 0))
            record.take_peer_load(box, runs, rest, now)

    def silent_tickets(self) -> list[RunTicket]:
        """Returns requests whose endpoint fell silent."""
        return [ticket for ticket in self._tickets if ticket.move]

    def _record(
        self, endpoint: model.Endpoint, service: model.Service
    ) -> endpoint_choice.EndpointRecord:
        record = self._records.get(endpoint.id)
        if record is None:
            cache = service.engine.cache_tokens if service.engine else 0
            record = endpoint_choice.EndpointRecord(
                endpoint.id, endpoint.zone, endpoint.slots, cache
            )
            self._records[endpoint.id] = record
        return record

    def _is_silent(
        self, record: endpoint_choice.EndpointRecord, now: float
    ) -> bool:
        if record.health.state is endpoint_states.EndpointState.EJECTED:
            return False
        owed = [t.sent_at for t in self._tickets if t.record is record]
        if not owed:
            return False
        limit = ENGINE_SILENCE_S if record.cache_tokens else PLAIN_SILENCE_S
        since = max(min(owed), self._heard.get(record.id, 0.0))
        return now - since > limit

    def _eject(
        self,
        record: endpoint_choice.EndpointRecord,
        why: str,
        now: float,
    ) -> None:
        event = endpoint_states.EndpointEvent.OUTLIER
        if record.health.state is endpoint_states.EndpointState.EJECTED:
            event = endpoint_states.EndpointEvent.TRIAL_FAILED
        self._move(record, event, now, why)

    def _move(
        self,
        record: endpoint_choice.EndpointRecord,
        event: endpoint_states.EndpointEvent,
        now: float,
        why: str = "",
    ) -> None:
        if record.health.move(event, now):
            self._log.write(
                "endpoint-trust",
                endpoint=record.id,
                state=record.health.state.value,
                why=why or event.value,
                running=record.running,
            )

    def _drift(self) -> None:
        """Lets what was learnt of endpoints without work fade."""
        for record in self._records.values():
            if record.running == 0:
                record.failures.drift(0.0, IDLE_DRIFT)
                record.slowness.drift(1.0, IDLE_DRIFT)
                record.answer_s.drift(
                    endpoint_choice.PLAIN_ANSWER_S, IDLE_DRIFT
                )


# Seconds below which a predicted first token says nothing about slowness.
FASTEST_FIRST_TOKEN_S = 0.02
