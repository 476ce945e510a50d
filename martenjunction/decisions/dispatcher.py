"""The dispatcher of one cell: who gets which place, and what gives way."""

from collections.abc import Iterator
import dataclasses
import random
import statistics

from martenjunction.decisions import asks
from martenjunction.decisions import endpoint_states
from martenjunction.decisions import estimates
from martenjunction.decisions import placement
from martenjunction.decisions import places
from martenjunction.decisions import queues
from martenjunction.decisions import rates
from martenjunction.decisions import tiers

HIGHEST_TIER = 1


@dataclasses.dataclass(frozen=True, slots=True)
class DispatchSettings:
    """What an operator may set of a cell.

    Attributes:
        sharing: How places are shared between tiers.
        max_waiting: Requests that may wait in one cell.
        max_preemptions: How often one request may be preempted.
        shed_by_delay: Whether a request is shed when its predicted delay
            exceeds its patience.
        preempt: Whether a higher tier may preempt a lower one.
    """

    sharing: tiers.TierSettings = tiers.TierSettings()
    max_waiting: int = 2000
    max_preemptions: int = 2
    shed_by_delay: bool = True
    preempt: bool = True


@dataclasses.dataclass(slots=True, frozen=True)
class CellSummary:
    """What entry daemons are told of a cell.

    Attributes:
        free: Places free now.
        delay: Predicted seconds of waiting by tier, the highest first.
    """

    free: int
    delay: tuple[float, ...]


@dataclasses.dataclass(slots=True)
class Counts:
    """What a dispatcher did since it started."""

    granted: int = 0
    shed: int = 0
    preempted: int = 0
    ejected: int = 0
    shed_by_tier: dict[int, int] = dataclasses.field(default_factory=dict)


class Dispatcher:
    """Queues requests and grants places, with no I/O and no clock."""

    TIERS = 4

    def __init__(
        self, settings: DispatchSettings, rng: random.Random | None = None
    ) -> None:
        """Makes a dispatcher without endpoints.

        Args:
            settings: What the operator set.
            rng: Spreads the times at which shed callers may come back.
        """
        self._settings = settings
        self._rng = rng or random.Random()
        self._queues = {
            tier: queues.TierQueue()
            for tier in range(HIGHEST_TIER, self.TIERS + 1)
        }
        self._shares = tiers.TierShares(settings.sharing)
        self._endpoints: dict[str, placement.Endpoint] = {}
        self._places = places.Places()
        self._runs: dict[str, asks.Run] = {}
        self._victims: dict[int, dict[str, asks.Run]] = {
            tier: {} for tier in self._queues
        }
        self._giving_way = 0
        self._by_share = False
        self._first_tokens = estimates.Average(0.05)
        self._hold = estimates.Average(1.0)
        self._grant_rates = {tier: rates.Rate() for tier in self._queues}
        self._seen: dict[int, float] = {}
        self._counts = Counts()

    # What it knows.

    @property
    def counts(self) -> Counts:
        """What it did since it started."""
        return self._counts

    @property
    def endpoints(self) -> dict[str, placement.Endpoint]:
        """Its endpoints by name."""
        return self._endpoints

    @property
    def waiting(self) -> int:
        """How many requests wait."""
        return sum(len(queue) for queue in self._queues.values())

    @property
    def running(self) -> int:
        """How many granted requests hold a place."""
        return len(self._runs)

    def waiting_asks(self) -> Iterator[asks.Ask]:
        """Yields the waiting requests, the highest tier first."""
        for queue in self._queues.values():
            yield from queue

    def run(self, request_id: str) -> asks.Run | None:
        """Returns the run of a request, if it holds a place."""
        return self._runs.get(request_id)

    # Endpoints come, report and go.

    def set_endpoint(
        self, name: str, slots: int, now: float, zone: str = ""
    ) -> None:
        """Adds an endpoint, or changes how many requests it may run."""
        endpoint = self._endpoints.get(name)
        if endpoint is None:
            endpoint = placement.Endpoint(name, slots, zone)
            self._endpoints[name] = endpoint
        endpoint.slots = slots
        endpoint.health.move(endpoint_states.EndpointEvent.LISTED_AGAIN, now)
        self._places.refresh(endpoint, now)

    def set_leaving(self, name: str, now: float) -> None:
        """Gives an endpoint no new work from now on."""
        endpoint = self._endpoints.get(name)
        if endpoint is not None:
            endpoint.health.move(endpoint_states.EndpointEvent.LEAVING, now)
            self._places.refresh(endpoint, now)

    def remove_endpoint(self, name: str) -> None:
        """Forgets an endpoint; its runs end when their entry says so."""
        self._endpoints.pop(name, None)
        self._places.remove(name)

    def report(self, report: asks.LoadReport, now: float) -> None:
        """Takes in an endpoint's lagging word on its load."""
        endpoint = self._endpoints.get(report.endpoint)
        if endpoint is not None:
            endpoint.report(report, now)
            self._places.refresh(endpoint, now)

    def silent(self, name: str, now: float) -> None:
        """Learns that an endpoint could not be reached."""
        endpoint = self._endpoints.get(name)
        if endpoint is not None:
            self._fault(endpoint, now, reached=False)

    # Requests come, run and go.

    def submit(self, ask: asks.Ask, now: float) -> list[asks.Decision]:
        """Takes a request in.

        Returns:
            The requests that are shed for it at once: itself, or one of a
            tier that is no higher. Grants come from `step`.
        """
        if ask.request_id in self._runs:
            return []
        self._seen[ask.tier] = now
        delay = self.predicted_delay(ask.tier, now)
        left = ask.patience - (now - ask.arrived)
        if self._settings.shed_by_delay and not ask.firm and delay > left:
            return [self._shed(ask, asks.ShedReason.DELAY, delay - left)]
        self._queues[ask.tier].push(ask)
        self._shares.waiting(ask.tier, now)
        return self._keep_bound(now)

    def adopt(self, run: asks.Run) -> None:
        """Books a run that an earlier owner of the cell granted."""
        self.withdraw(run.ask.request_id)
        known = self._runs.get(run.ask.request_id)
        if known is not None:
            self._remove_run(known, run.granted)
        self._add_run(run, run.granted)

    def withdraw(self, request_id: str) -> bool:
        """Forgets a waiting request; returns whether it was waiting."""
        return any(
            queue.remove(request_id) is not None
            for queue in self._queues.values()
        )

    def first_token(self, request_id: str, seconds: float, now: float) -> None:
        """Learns that a run's first token came.

        Args:
            request_id: The run.
            seconds: From grant to first token, as its entry daemon saw it.
            now: The current time.
        """
        run = self._runs.get(request_id)
        if run is None or run.first_token is not None:
            return
        run.first_token = now
        endpoint = self._endpoints.get(run.endpoint)
        if endpoint is None:
            return
        if run.predicted_first_token <= 0.0:
            return
        self._first_tokens.add(seconds)
        ratio = seconds / max(run.predicted_first_token, MIN_PREDICTION)
        self._observe(endpoint, ratio, now)
        endpoint.speed.learn(seconds, run.uncached, run.batch)

    def ended(self, end: asks.RunEnd, now: float) -> None:
        """Gives a run's place back and learns from how it ended."""
        run = self._runs.get(end.request_id)
        if run is None:
            return
        self._remove_run(run, now)
        endpoint = self._endpoints.get(run.endpoint)
        if endpoint is None:
            return
        if end.ending is asks.Ending.COMPLETE:
            self._hold.add(max(0.001, now - run.granted))
        if end.token_interval_s is not None:
            endpoint.speed.interval_s.add(end.token_interval_s)
        if end.ending in asks.FAULTS:
            reached = end.ending is not asks.Ending.NOT_REACHED
            self._fault(endpoint, now, reached)

    def forget_entry(self, entry: str, now: float) -> None:
        """Drops all requests of an entry daemon that is gone."""
        for ask in list(self.waiting_asks()):
            if ask.entry == entry:
                self.withdraw(ask.request_id)
        for run in list(self._runs.values()):
            if run.ask.entry == entry:
                end = asks.RunEnd(run.ask.request_id, asks.Ending.CANCELLED)
                self.ended(end, now)

    # Deciding.

    def predicted_delay(self, tier: int, now: float) -> float:
        """Returns seconds that a new request of a tier would wait."""
        slots = self._places.slots
        if slots == 0:
            return NO_PLACE_DELAY
        ahead = sum(
            len(queue) for t, queue in self._queues.items() if t <= tier
        )
        free = self._places.free
        by_capacity = max(0, ahead - free) * self._hold.value / slots
        own = len(self._queues[tier])
        rate = self._grant_rates[tier].per_second(now)
        if own < MIN_QUEUE_FOR_RATE or rate <= 0.0:
            return by_capacity
        return max(by_capacity, own / rate)

    def step(self, now: float) -> list[asks.Decision]:
        """Grants what can be granted and preempts what must be.

        Call it when anything changed, and at intervals.
        """
        decisions: list[asks.Decision] = list(self._grants(now))
        if self._settings.preempt:
            decisions.extend(self._preemptions(now))
        return decisions

    def review(self, now: float) -> list[asks.Decision]:
        """Looks after what only time changes; call it a few times a second.

        Returns:
            Requests that are shed: those whose patience is over, and those
            past hope that will not be reached before it is.
        """
        endpoints = list(self._endpoints.values())
        for endpoint in endpoints:
            endpoint.expire_report(now)
            self._places.refresh(endpoint, now)
        placement.forget_idle(endpoints, now)
        for overdue in placement.overdue_runs(endpoints, now):
            self._observe(overdue.endpoint, overdue.ratio, now)
        return [
            self._shed(ask, asks.ShedReason.DELAY, 0.0)
            for ask in self._without_chance(now)
            if self.withdraw(ask.request_id)
        ]

    def _without_chance(self, now: float) -> list[asks.Ask]:
        found = [
            ask
            for ask in self.waiting_asks()
            if not ask.firm and now - ask.arrived > ask.patience
        ]
        for tier, queue in self._queues.items():
            rate = self._grant_rates[tier].per_second(now)
            if rate > 0.0 and self._settings.shed_by_delay:
                found += queue.without_chance(now, self._lead, rate)
        return found

    def summary(self, now: float) -> CellSummary:
        """Returns what entry daemons are told of this cell."""
        return CellSummary(
            free=self._places.free,
            delay=tuple(
                round(self.predicted_delay(tier, now), 3)
                for tier in self._queues
            ),
        )

    def _grants(self, now: float) -> Iterator[asks.Grant]:
        held: list[asks.Ask] = []
        while True:
            free = self._places.open()
            ask = self._next_ask(free, now)
            if ask is None:
                break
            use = self._places.use
            chosen = placement.choose(ask, free, use, now)
            if chosen is None and self._only_avoided(ask):
                again = dataclasses.replace(ask, avoid=frozenset())
                chosen = placement.choose(again, free, use, now)
            if chosen is None:
                held.append(ask)
                continue
            yield self._grant(ask, chosen[0], chosen[1], now)
        for ask in held:
            self._queues[ask.tier].push(ask)
            self._shares.waiting(ask.tier, now)

    def _next_ask(
        self, free: list[placement.Endpoint], now: float
    ) -> asks.Ask | None:
        if not free:
            return None
        waiting = self._waiting_tiers()
        if not waiting:
            return None
        due = self._shares.due(waiting, now)
        self._by_share = due is not None
        tier = waiting[0] if due is None else due
        if due is None and not self._beyond_reserve(tier, now):
            return None
        ask = self._queues[tier].pop(now, self._lead)
        if ask is not None:
            self._shares.granted(tier, ask.cost, waiting, now)
        return ask

    def _grant(
        self,
        ask: asks.Ask,
        endpoint: placement.Endpoint,
        predicted: float,
        now: float,
    ) -> asks.Grant:
        run = asks.Run(
            ask,
            endpoint.name,
            now,
            predicted,
            uncached=endpoint.uncached(ask),
            batch=endpoint.busy,
            guaranteed=self._by_share,
        )
        self._add_run(run, now)
        self._grant_rates[ask.tier].add(now)
        self._counts.granted += 1
        return asks.Grant(ask.request_id, ask.entry, endpoint.name, predicted)

    def _preemptions(self, now: float) -> Iterator[asks.Preempt]:
        waiting = self._waiting_tiers()
        if not waiting or self._places.free > 0:
            return
        tier = waiting[0]
        deadline = self._queues[tier].next_deadline(now)
        if deadline is None or not self._is_urgent(deadline, now):
            return
        if self._giving_way >= len(self._queues[tier]):
            return
        victim = self._victim(tier)
        if victim is None:
            return
        victim.cancelling = True
        self._giving_way += 1
        del self._victims[victim.ask.tier][victim.ask.request_id]
        self._counts.preempted += 1
        yield asks.Preempt(
            victim.ask.request_id, victim.ask.entry, victim.endpoint, tier
        )

    def _is_urgent(self, deadline: float, now: float) -> bool:
        """Whether a waiting request would miss its target by just waiting."""
        until_free = self._hold.value / max(1, len(self._runs))
        slack = deadline - now - self._lead
        return 0.0 < slack < max(PREEMPT_SLACK, PREEMPT_MARGIN * until_free)

    def _victim(self, tier: int) -> asks.Run | None:
        """Returns the run that loses least, of the lowest tier below `tier`."""
        for lower in range(self.TIERS, tier, -1):
            if self._victims[lower]:
                return next(reversed(self._victims[lower].values()))
        return None

    def _add_run(self, run: asks.Run, now: float) -> None:
        ask = run.ask
        self._runs[ask.request_id] = run
        may_move = ask.preemptions < self._settings.max_preemptions
        if ask.preemptible and may_move and not run.guaranteed:
            self._victims[ask.tier][ask.request_id] = run
        endpoint = self._endpoints.get(run.endpoint)
        if endpoint is not None:
            endpoint.start(run)
            self._places.refresh(endpoint, now)

    def _remove_run(self, run: asks.Run, now: float) -> None:
        ask = run.ask
        del self._runs[ask.request_id]
        self._victims[ask.tier].pop(ask.request_id, None)
        self._giving_way -= run.cancelling
        endpoint = self._endpoints.get(run.endpoint)
        if endpoint is not None:
            endpoint.finish(ask.request_id, now)
            self._places.refresh(endpoint, now)

    def _keep_bound(self, now: float) -> list[asks.Decision]:
        """Sheds the newest of the lowest tier while too many wait.

        The oldest waiting request of each tier is kept and is not counted,
        so that a full cell still holds one of every tier. A tier's places are
        therefore never given to a lower one: the bound of a higher tier is
        the same whether lower tiers wait or not.
        """
        decisions: list[asks.Decision] = []
        while self._counted_waiting() > self._settings.max_waiting:
            tier = max(t for t, queue in self._queues.items() if len(queue) > 1)
            newest = self._queues[tier].newest()
            if newest is None:
                break
            self._queues[tier].remove(newest.request_id)
            delay = self.predicted_delay(tier, now)
            decisions.append(
                self._shed(newest, asks.ShedReason.QUEUE_FULL, delay)
            )
        return decisions

    def _counted_waiting(self) -> int:
        return sum(max(0, len(queue) - 1) for queue in self._queues.values())

    def _shed(
        self, ask: asks.Ask, reason: asks.ShedReason, excess: float
    ) -> asks.Shed:
        self._counts.shed += 1
        by_tier = self._counts.shed_by_tier
        by_tier[ask.tier] = by_tier.get(ask.tier, 0) + 1
        pause = min(max(MIN_RETRY_AFTER, excess), MAX_RETRY_AFTER)
        retry_after = pause * (1.0 + self._rng.random())
        return asks.Shed(
            ask.request_id, ask.entry, reason, round(retry_after, 2)
        )

    def _observe(
        self, endpoint: placement.Endpoint, ratio: float, now: float
    ) -> None:
        endpoint.health.observe(ratio)
        if endpoint.health.state is endpoint_states.EndpointState.EJECTED:
            passed = ratio < endpoint_states.OUTLIER_RATIO
            event = (
                endpoint_states.EndpointEvent.TRIAL_PASSED
                if passed
                else endpoint_states.EndpointEvent.TRIAL_FAILED
            )
            endpoint.health.move(event, now)
            self._places.refresh(endpoint, now)
            return
        self._judge(endpoint, now)

    def _fault(
        self, endpoint: placement.Endpoint, now: float, reached: bool
    ) -> None:
        endpoint.health.fault(reached)
        if endpoint.health.state is endpoint_states.EndpointState.EJECTED:
            endpoint.health.move(
                endpoint_states.EndpointEvent.TRIAL_FAILED, now
            )
        self._judge(endpoint, now)

    def _judge(self, endpoint: placement.Endpoint, now: float) -> None:
        if not endpoint.health.may_be_outlier:
            return
        others = [
            e.health.ratio
            for e in self._endpoints.values()
            if e is not endpoint
        ]
        typical = statistics.median(others) if others else 1.0
        if not endpoint.health.is_outlier(typical):
            return
        if not self._may_eject():
            return
        if endpoint.health.move(endpoint_states.EndpointEvent.OUTLIER, now):
            self._counts.ejected += 1
            self._places.refresh(endpoint, now)

    def _may_eject(self) -> bool:
        ejected = sum(
            e.health.state is endpoint_states.EndpointState.EJECTED
            for e in self._endpoints.values()
        )
        most = max(1, int(len(self._endpoints) * endpoint_states.MAX_EJECTED))
        return ejected < most and len(self._endpoints) > 1

    @property
    def _lead(self) -> float:
        """Seconds that a first token takes here, with a margin."""
        return self._first_tokens.value * LEAD_MARGIN

    def _waiting_tiers(self) -> list[int]:
        present = []
        for tier, queue in self._queues.items():
            if len(queue):
                present.append(tier)
            else:
                self._shares.idle(tier)
        return present

    def _beyond_reserve(self, tier: int, now: float) -> bool:
        """Whether a tier may take one of the places that are free now."""
        higher_seen = any(
            now - seen < RESERVE_MEMORY
            for t, seen in self._seen.items()
            if t < tier
        )
        if not higher_seen:
            return True
        kept = int(self._places.slots * self._settings.sharing.reserve)
        return self._places.free > kept

    def _only_avoided(self, ask: asks.Ask) -> bool:
        return not any(
            e.name not in ask.avoid
            and e.health.state is endpoint_states.EndpointState.ROUTING
            for e in self._endpoints.values()
        )


# Predictions below this many seconds are not told apart.
MIN_PREDICTION = 0.02

# A request counts as late once its slack is below this many times the usual
# time to a first token.
LEAD_MARGIN = 1.2

# The delay that is predicted while no endpoint receives work, in seconds.
NO_PLACE_DELAY = 5.0

# A tier's own rate of grants says something once so many wait.
MIN_QUEUE_FOR_RATE = 4

# Bounds of the seconds after which a shed caller is told to come back.
MIN_RETRY_AFTER = 1.0
MAX_RETRY_AFTER = 30.0

# A waiting request is urgent when its slack is below this many seconds, or
# below this many times the expected wait for a place.
PREEMPT_SLACK = 0.1
PREEMPT_MARGIN = 2.0

# Seconds for which places stay reserved after a higher tier was last seen.
RESERVE_MEMORY = 10.0
