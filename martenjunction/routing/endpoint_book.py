"""What this box knows of endpoints: the list, loads and soundness."""

import math
import random
from typing import Any

from martenjunction import model
from martenjunction.decisions import endpoint_refusals
from martenjunction.decisions.boxes import endpoint_choice
from martenjunction.decisions.boxes import endpoint_limits
from martenjunction.decisions.boxes import endpoint_list
from martenjunction.decisions.boxes import endpoint_loads
from martenjunction.decisions.boxes import endpoint_records
from martenjunction.routing import decision_log
from martenjunction.routing import endpoint_trust
from martenjunction.routing import service_engines

# Longest time, in seconds, between two looks at silent endpoints that counts
# as listened: looks are due each 0.1 s, and beyond this the box was held up.
LONGEST_LOOK_S = 0.15

# Part by which what was learnt of an endpoint without work moves back towards
# the best of its service, each time it is looked at.
IDLE_DRIFT = 0.02

# Bounds of an observed time over its prediction.
SLOWNESS = (0.3, 4.0)

# How slow an engine may be for the figures of its service to be learnt from it.
SLOW = 1.5


class RunTicket:
    """One request at one endpoint, for the accounts of its load.

    Attributes:
        move: Whether it should be taken from its endpoint, which is silent.
        lost: Whether its run ended with its endpoint, which started again.
    """

    def __init__(
        self,
        choice: endpoint_choice.Choice,
        demand: endpoint_records.Demand,
        now: float,
        listened: float,
    ) -> None:
        """Books a request that is about to be sent.

        Args:
            choice: Where it goes.
            demand: What it asks.
            now: The current time.
            listened: The same, on the book's clock of what was listened.
        """
        self.record = choice.record
        self.choice = choice
        self.demand = demand
        self.began_at = now
        self.sent_at = listened
        self.heard_at = listened
        self.waiting = True
        self.move = False
        self.lost = False


def describe(choice: endpoint_choice.Choice) -> dict[str, Any]:
    """Returns what a choice was made from, for the log."""
    return {
        "endpoint": choice.record.id,
        "predicted_ms": round(choice.predicted_s * 1000, 1),
        "unread": choice.unread,
        "running": choice.running,
        "ahead": choice.ahead,
        "debt": choice.debt,
        "short": choice.short_running,
        "slowness": round(choice.record.slowness.value, 2),
    }


# What one box has at one endpoint: its id, the urgency and whether prompts
# are long, the requests of that kind and their tokens that are yet unread.
LoadRow = tuple[str, int, bool, int, int]


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
        self._trust = endpoint_trust.EndpointTrust(log)
        self._rng = rng
        self._records: dict[str, endpoint_records.EndpointRecord] = {}
        self._tickets: set[RunTicket] = set()
        self._heard: dict[str, float] = {}
        self._engines = service_engines.ServiceEngines(log)
        self._limits = endpoint_limits.LimitTable()
        self._told_by: dict[str, set[str]] = {}
        self._scale = 1.0
        self._looked_at = math.inf
        self._held_up_s = 0.0

    @property
    def listed(self) -> endpoint_list.EndpointList:
        """The platform's list as this box knows it."""
        return self._listed

    @property
    def records(self) -> dict[str, endpoint_records.EndpointRecord]:
        """What was learnt, by endpoint id; to be read only."""
        return self._records

    @property
    def engines(self) -> service_engines.ServiceEngines:
        """What is known of the engines of each service."""
        return self._engines

    @property
    def limits(self) -> endpoint_limits.LimitTable:
        """The requests a second that endpoints take."""
        return self._limits

    @property
    def running(self) -> int:
        """Requests at endpoints now."""
        return len(self._tickets)

    def choose(
        self,
        service: model.Service,
        demand: endpoint_records.Demand,
        avoid: set[str],
        now: float,
        apart: bool = False,
    ) -> tuple[model.Endpoint, endpoint_choice.Choice] | None:
        """Chooses an endpoint for a request.

        Args:
            service: The service.
            demand: What the request asks.
            avoid: Ids of endpoints that already failed it.
            now: The current time.
            apart: Whether it goes where fewest others run.

        Returns:
            The endpoint and what it was chosen from, or None if there is
            none.
        """
        endpoints = {
            endpoint.id: endpoint
            for endpoint in self._listed.ready(service.name)
            if endpoint.id not in avoid
            and self._limits.is_open(endpoint.id, now)
        }
        records = [self._record(e, service) for e in endpoints.values()]
        choice = endpoint_choice.choose(records, demand, now, self._rng, apart)
        if choice is None:
            return None
        return endpoints[choice.record.id], choice

    def accepts(self, endpoint_id: str, now: float) -> bool:
        """Returns whether an endpoint may be sent work at this moment.

        To be asked again right before a request is sent: what an endpoint
        said of itself since it was chosen must not be passed over.
        """
        record = self._records.get(endpoint_id)
        return self._listed.may_send(endpoint_id) and (
            record is None or record.accepts(now)
        )

    def opens_in_s(self, service: model.Service, now: float) -> float | None:
        """Returns when a request that no endpoint may be sent can come back.

        That is once the first endpoint of its service takes work again.

        Args:
            service: The service.
            now: The current time.

        Returns:
            Seconds from now; None where one may be sent some now, or none is
            known.
        """
        times = [
            max(
                record.refusals.opens_in_s(record.loads.own_running, now),
                self._limits.opens_in_s(record.id, now),
            )
            for record in (
                self._record(endpoint, service)
                for endpoint in self._listed.ready(service.name)
            )
        ]
        first_s = min(times, default=0.0)
        if not first_s:
            return None
        # Clients that are told alike come back in the same moment.
        return first_s + self._rng.uniform(0.0, endpoint_refusals.RETURN_STEP_S)

    def limited(self, service: str) -> bool:
        """Returns whether an endpoint of a service names a limit."""
        return any(
            self._limits.per_s(endpoint.id) is not None
            for endpoint in self._listed.ready(service)
        )

    def unlimited(self, endpoint_id: str, now: float) -> None:
        """Notes that an endpoint names no limit any more.

        Args:
            endpoint_id: The endpoint.
            now: The current time.
        """
        record = self._records.get(endpoint_id)
        if record is not None:
            record.refusals.return_from(now)

    def resting(self, now: float) -> int:
        """Returns how many endpoints want nothing from this box."""
        return sum(
            now < record.refusals.rest_until
            for record in self._records.values()
        )

    def rest(self, endpoint_id: str, seconds: float, now: float) -> float:
        """Notes that an endpoint wants nothing from this box for some time.

        Args:
            endpoint_id: The endpoint.
            seconds: For how long it asks.
            now: The current time.

        Returns:
            Seconds by which its rest got longer; 0 if it did not.
        """
        record = self._records.get(endpoint_id)
        if record is None:
            return 0.0
        return record.refusals.ask_rest(seconds, self._rng.random(), now)

    def serves_lower_tiers(
        self, service: model.Service, urgency: int, now: float
    ) -> bool:
        """Returns whether requests of a lower tier run at a service.

        Args:
            service: The service.
            urgency: Of a request.
            now: The current time.
        """
        return any(
            self._record(endpoint, service).loads.lower_tiers(urgency, now)
            for endpoint in self._listed.ready(service.name)
        )

    def weigh(
        self,
        endpoint: model.Endpoint,
        service: model.Service,
        demand: endpoint_records.Demand,
        now: float,
    ) -> endpoint_choice.Choice:
        """Returns what is expected of a request at one endpoint."""
        record = self._record(endpoint, service)
        return endpoint_choice.weigh(record, demand, False, now)

    def begin(
        self,
        choice: endpoint_choice.Choice,
        demand: endpoint_records.Demand,
        now: float,
    ) -> RunTicket:
        """Books a request that is sent to the chosen endpoint."""
        ticket = RunTicket(choice, demand, now, self._listened(now))
        choice.record.loads.add(demand.load_key, 1, choice.unread)
        if demand.is_engine:
            choice.record.sent(choice.unread, now)
        self._tickets.add(ticket)
        return ticket

    def heard(self, ticket: RunTicket, now: float, events: int = 0) -> None:
        """Notes that bytes of an answer came.

        Args:
            ticket: The run.
            now: The current time.
            events: Whole events of a stream among them.
        """
        record = ticket.record
        listened = self._listened(now)
        self._heard[record.id] = listened
        self._trust.heard(record, now)
        record.refusals.answer(ticket.began_at)
        ticket.move = False
        pause_s = listened - ticket.heard_at
        ticket.heard_at = listened
        if not ticket.waiting:
            self._learn_pause(ticket, pause_s, events, now)
            return
        ticket.waiting = False
        record.loads.add(ticket.demand.load_key, 0, -ticket.choice.unread)
        if ticket.demand.is_engine:
            record.remember(ticket.demand.parts)
            # The prediction holds the slowness already.
            base = ticket.choice.predicted_s / record.slowness.value
            ratio = pause_s / base
            record.slowness.add(min(max(ratio, SLOWNESS[0]), SLOWNESS[1]))
            if ticket.choice.ahead == 0 and ticket.choice.again == 0:
                # Shared parts that were thought unread may have been held: a
                # box that restarted would take its engines for far too fast.
                self._engines.note_read(
                    ticket.demand.service, ticket.choice.unread, pause_s
                )

    def _learn_pause(
        self, ticket: RunTicket, pause_s: float, events: int, now: float
    ) -> None:
        """Learns from a pause of a stream beside prompts that are read."""
        record = ticket.record
        if not events or not record.loads.waiting(now):
            return
        if record.slowness.value > SLOW:
            return
        tokens = events * ticket.demand.tokens_per_event
        self._engines.note_paused(ticket.demand.service, pause_s / tokens)

    def end(self, ticket: RunTicket, now: float, failed: bool) -> None:
        """Books the end of a request at an endpoint."""
        record = ticket.record
        self._tickets.discard(ticket)
        unread = ticket.choice.unread if ticket.waiting else 0
        record.loads.add(ticket.demand.load_key, -1, -unread)
        ticket.waiting = False
        if not (failed and now < record.refusals.rest_until):
            # A rest keeps work from it by itself, and after the rest it has
            # its share again.
            record.failures.add(1.0 if failed else 0.0)
        if not failed and not ticket.demand.is_engine:
            record.answer_s.add(self._listened(now) - ticket.sent_at)

    def refused(self, endpoint_id: str, now: float) -> None:
        """Notes that an endpoint refused work: it is full or leaves."""
        self._records[endpoint_id].refusals.refuse(now)

    def not_reached(self, endpoint_id: str, now: float) -> None:
        """Notes that no connection to an endpoint could be had."""
        record = self._records.get(endpoint_id)
        if record is not None:
            self._trust.not_reached(record, now)

    def broken(self, endpoint_id: str, now: float) -> None:
        """Notes that an endpoint broke an answer off."""
        record = self._records.get(endpoint_id)
        if record is not None:
            self._trust.broken(record, now)

    def due_for_probe(self, now: float) -> list[str]:
        """Returns ids of ejected endpoints that no request has tried.

        Health checks are requests: one that wants rest gets none.
        """
        return [
            record.id
            for record in self._records.values()
            if endpoint_trust.due_for_probe(record, now)
            and self.accepts(record.id, now)
            and self._limits.is_open(record.id, now)
        ]

    def probed(self, endpoint_id: str, sound: bool, now: float) -> None:
        """Notes the answer to a health check of an ejected endpoint."""
        record = self._records.get(endpoint_id)
        if record is not None:
            self._trust.probed(record, sound, now)

    def tick(self, now: float) -> None:
        """Looks for silent endpoints and forgets those that are gone."""
        self._held_up_s += self._late(now)
        self._looked_at = now
        for record in self._records.values():
            if not self._is_silent(record, now):
                continue
            self._trust.silent(record, now)
            for ticket in self._tickets:
                if ticket.record is record:
                    ticket.move = True
        for ticket in self._tickets:
            # The connection may stay open: a box that is cut off from the
            # endpoint learns of its new start from the store or a peer.
            if self._listed.restarted(ticket.record.id):
                ticket.lost = True
        for gone in [i for i in self._records if i not in self._listed.entries]:
            record = self._records[gone]
            # What it asked for holds if its entry comes back, but not for
            # another start of it.
            rests = now < record.refusals.rest_until
            kept = rests and not self._listed.restarted(gone)
            if record.loads.own_running == 0 and not kept:
                del self._records[gone]
                self._heard.pop(gone, None)
        self._drift()
        self._engines.settle(now)

    def loads(self) -> list[LoadRow]:
        """Returns what this box has at each endpoint where it has anything."""
        return [
            (
                record.id,
                key.urgency,
                key.is_long,
                load.running,
                max(0, load.unread),
            )
            for record in self._records.values()
            for key, load in record.loads.own.items()
            if load.running
        ]

    def sent_tokens(self) -> list[tuple[str, int]]:
        """Returns the tokens that this box has sent to each engine."""
        return [
            (record.id, record.sent_tokens)
            for record in self._records.values()
            if record.sent_tokens
        ]

    def scale_loads(self, scale: float) -> None:
        """Notes how much more all boxes have than those that are heard."""
        self._scale = scale
        for record in self._records.values():
            record.loads.scale = scale

    def take_peer_sent(
        self, box: str, rows: list[tuple[str, int]], now: float
    ) -> None:
        """Notes the tokens that another box has sent to each engine."""
        for endpoint_id, total in rows:
            record = self._records.get(endpoint_id)
            if record is not None:
                record.take_peer_sent(box, total, now)

    def take_peer_loads(
        self, box: str, rows: list[LoadRow], now: float
    ) -> None:
        """Notes what another box has at endpoints."""
        told: dict[str, dict[endpoint_loads.LoadKey, endpoint_loads.Load]] = {}
        for endpoint_id, urgency, is_long, running, unread in rows:
            key = endpoint_loads.LoadKey(urgency, is_long)
            loads = told.setdefault(endpoint_id, {})
            loads[key] = endpoint_loads.Load(running, unread)
        # Only what it tells, or told last: with 56 engines it tells of a few.
        before = self._told_by.get(box, set())
        self._told_by[box] = set(told)
        if not told:
            del self._told_by[box]
        for endpoint_id in before | set(told):
            record = self._records.get(endpoint_id)
            if record is not None:
                record.loads.take_peer(box, told.get(endpoint_id, {}), now)

    def _record(
        self, endpoint: model.Endpoint, service: model.Service
    ) -> endpoint_records.EndpointRecord:
        record = self._records.get(endpoint.id)
        if record is None:
            cache = service.engine.cache_tokens if service.engine else 0
            record = endpoint_records.EndpointRecord(
                endpoint.id, endpoint.zone, endpoint.slots, cache
            )
            record.loads.scale = self._scale
            self._records[endpoint.id] = record
        if service.engine is not None:
            record.figures = self._engines.figures(service.name)
        record.limited = self._limits.per_s(endpoint.id) is not None
        return record

    def _listened(self, now: float) -> float:
        """Returns a time on a clock that stops while this box is held up.

        What endpoints sent meanwhile is not read yet: else one hold-up makes
        all of them silent, and slow.
        """
        return now - self._held_up_s - self._late(now)

    def _late(self, now: float) -> float:
        return max(0.0, now - self._looked_at - LONGEST_LOOK_S)

    def _is_silent(
        self, record: endpoint_records.EndpointRecord, now: float
    ) -> bool:
        owed = [t.sent_at for t in self._tickets if t.record is record]
        heard_at = self._heard.get(record.id, 0.0)
        return endpoint_trust.is_silent(
            record, owed, heard_at, self._listened(now)
        )

    def _drift(self) -> None:
        """Lets what was learnt of endpoints without work fade."""
        for record in self._records.values():
            if record.loads.own_running == 0:
                record.failures.drift(0.0, IDLE_DRIFT)
                record.slowness.drift(1.0, IDLE_DRIFT)
                record.answer_s.drift(
                    endpoint_records.PLAIN_ANSWER_S, IDLE_DRIFT
                )
