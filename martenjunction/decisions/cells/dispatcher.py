"""The dispatcher of one cell: queueing, grants, shedding and preemption."""

from collections.abc import Iterator
import dataclasses
import random

from martenjunction.decisions.cells import cell_state
from martenjunction.decisions.cells import dispatch_counts
from martenjunction.decisions.cells import dispatch_types
from martenjunction.decisions.cells import granted_runs
from martenjunction.decisions.cells import granting
from martenjunction.decisions.cells import outliers
from martenjunction.decisions.cells import placement
from martenjunction.decisions.cells import preemption
from martenjunction.decisions.cells import sheds
from martenjunction.decisions.cells import tiers
from martenjunction.decisions.cells import waiting_requests

# Lower bound on predictions in seconds, for the ratio of observed to predicted.
MIN_PREDICTION = 0.02


@dataclasses.dataclass(frozen=True, slots=True)
class DispatchSettings:
    """Operator settings of a cell.

    Attributes:
        sharing: How slots are shared between tiers.
        max_waiting: Maximum number of waiting requests.
        max_preemptions: Maximum preemptions of one request.
        shed_by_delay: Whether requests are shed when their predicted delay
            exceeds their patience.
        preempt: Whether higher tiers may preempt lower ones.
    """

    sharing: tiers.TierSettings = tiers.TierSettings()
    max_waiting: int = 2000
    max_preemptions: int = 2
    shed_by_delay: bool = True
    preempt: bool = True


@dataclasses.dataclass(slots=True, frozen=True)
class CellSummary:
    """The summary of a cell that is sent to entry daemons.

    Attributes:
        free: Number of free slots.
        delay: Predicted queueing delay in seconds by tier, highest first.
    """

    free: int
    delay: tuple[float, ...]


class Dispatcher:
    """Queues requests and grants slots, without I/O or a clock of its own."""

    def __init__(
        self, settings: DispatchSettings, rng: random.Random | None = None
    ) -> None:
        """Initializes a dispatcher without endpoints.

        Args:
            settings: The operator's settings.
            rng: Source of jitter for the retry times of shed requests.
        """
        self._settings = settings
        self._rng = rng or random.Random()
        self._cell = cell_state.CellState(
            waiting_requests.WaitingRequests(settings.sharing),
            granted_runs.GrantedRuns(settings.max_preemptions),
        )
        self._granting = granting.Granting(self._cell, settings.sharing.reserve)
        self._outliers = outliers.Outliers(self._cell)
        self._sheds = sheds.Shedder(self._cell.counts, self._rng)

    # State.

    @property
    def counts(self) -> dispatch_counts.DispatchCounts:
        """Counters since the dispatcher was created."""
        return self._cell.counts

    @property
    def endpoints(self) -> dict[str, placement.Endpoint]:
        """The endpoints by name."""
        return self._cell.endpoints.by_name

    @property
    def waiting(self) -> int:
        """Number of waiting requests."""
        return len(self._cell.waiting)

    @property
    def running(self) -> int:
        """Number of runs that occupy a slot."""
        return len(self._cell.runs)

    def waiting_requests(self) -> Iterator[dispatch_types.SlotRequest]:
        """Returns the waiting requests, highest tier first."""
        return iter(self._cell.waiting)

    def run(self, request_id: str) -> dispatch_types.Run | None:
        """Returns the run of a request, or None if it has no slot."""
        return self._cell.runs.find(request_id)

    # Endpoint events.

    def set_endpoint(
        self, name: str, slots: int, now: float, zone: str = ""
    ) -> None:
        """Adds an endpoint or changes its number of slots."""
        self._cell.endpoints.set(name, slots, now, zone)

    def set_leaving(self, name: str, now: float) -> None:
        """Starts draining an endpoint."""
        self._cell.endpoints.set_leaving(name, now)

    def remove_endpoint(self, name: str) -> None:
        """Removes an endpoint; its runs end when their entry reports it."""
        self._cell.endpoints.remove(name)

    def report(self, report: dispatch_types.LoadReport, now: float) -> None:
        """Applies an endpoint's load report."""
        self._cell.endpoints.report(report, now)

    def mark_unreachable(self, name: str, now: float) -> None:
        """Records that an endpoint could not be reached."""
        endpoint = self._cell.endpoints.by_name.get(name)
        if endpoint is not None:
            self._outliers.fault(endpoint, now, now, reached=False)

    # Request events.

    def submit(
        self, ask: dispatch_types.SlotRequest, now: float
    ) -> list[dispatch_types.Decision]:
        """Adds a request.

        Returns:
            The requests shed at once: the request itself, or one of the same
            or a lower tier. Grants are returned by `step`.
        """
        if ask.request_id in self._cell.runs:
            return []
        self._granting.record_arrival(ask.tier, now)
        delay = self.predicted_delay(ask.tier, now)
        left = ask.patience - (now - ask.arrived)
        if (
            self._settings.shed_by_delay
            and not ask.exempt_from_shedding
            and delay > left
        ):
            return [
                self._sheds.shed(
                    ask, dispatch_types.ShedReason.DELAY, delay - left
                )
            ]
        self._cell.waiting.push(ask, now)
        return self._enforce_max_waiting(now)

    def adopt(self, run: dispatch_types.Run) -> None:
        """Records a run granted by a previous owner of the cell."""
        self.withdraw(run.ask.request_id)
        known = self._cell.runs.find(run.ask.request_id)
        if known is not None:
            self._cell.remove_run(known, run.granted)
        self._cell.add_run(run, run.granted)

    def withdraw(self, request_id: str) -> bool:
        """Removes a waiting request; returns whether it was waiting."""
        return self._cell.waiting.remove(request_id)

    def first_token(self, request_id: str, seconds: float, now: float) -> None:
        """Records that a run's first token was received.

        Args:
            request_id: The run.
            seconds: Time from grant to first token, measured by its entry
                daemon without its stalls.
            now: The current time.
        """
        run = self._cell.runs.find(request_id)
        if run is None or run.first_token is not None:
            return
        run.first_token = now
        endpoint = self._cell.endpoints.by_name.get(run.endpoint)
        if endpoint is None:
            return
        self._cell.endpoints.answered(run, now)
        if run.predicted_first_token <= 0.0:
            return
        self._cell.pace.first_token(seconds)
        ratio = seconds / max(run.predicted_first_token, MIN_PREDICTION)
        self._outliers.observe(endpoint, ratio, run.granted, now)
        endpoint.speed.learn(seconds, run.uncached, run.batch)

    def ended(self, end: dispatch_types.RunEnd, now: float) -> None:
        """Releases a run's slot and updates estimates from its end."""
        run = self._cell.runs.find(end.request_id)
        if run is None:
            return
        self._cell.remove_run(run, now)
        endpoint = self._cell.endpoints.by_name.get(run.endpoint)
        if endpoint is None:
            return
        if end.ending is dispatch_types.Ending.COMPLETE:
            self._cell.endpoints.answered(run, now)
            self._cell.pace.completed(run.observed_s(now))
        if end.ending is dispatch_types.Ending.REFUSED:
            self._cell.endpoints.refused(endpoint.name, end.backoff_s, now)
        if end.answered:
            self._cell.endpoints.set_rate_limit(run, end.limit_per_s, now)
        if end.token_interval_s is not None:
            endpoint.speed.interval_s.add(end.token_interval_s)
        if end.ending in dispatch_types.FAULTS:
            reached = end.ending is not dispatch_types.Ending.NOT_REACHED
            self._outliers.fault(endpoint, run.granted, now, reached)

    def note_stall(self, seconds: float) -> None:
        """Excludes a stall of this process from the durations of all runs.

        Answers that arrive during a stall are read after it, so it would be
        taken for slowness of the endpoints.

        Args:
            seconds: Duration of the stall.
        """
        for run in self._cell.runs:
            run.stalled_s += seconds

    def forget_entry(self, entry: str, now: float) -> None:
        """Drops all requests of an entry daemon that has failed."""
        for ask in list(self.waiting_requests()):
            if ask.entry == entry:
                self.withdraw(ask.request_id)
        for run in self._cell.runs:
            if run.ask.entry == entry:
                end = dispatch_types.RunEnd(
                    run.ask.request_id, dispatch_types.Ending.CANCELLED
                )
                self.ended(end, now)

    # Decisions.

    def predicted_delay(self, tier: int, now: float) -> float:
        """Returns the predicted queueing delay of a new request in seconds."""
        return self._cell.predicted_delay(tier, now)

    def step(self, now: float) -> list[dispatch_types.Decision]:
        """Grants free slots and starts preemptions.

        Must be called after every change and periodically.
        """
        decisions: list[dispatch_types.Decision] = list(
            self._granting.grants(now)
        )
        if self._settings.preempt:
            decisions += self._preemptions(now)
        return decisions

    def review(self, now: float) -> list[dispatch_types.Decision]:
        """Applies time-dependent changes; must be called a few times a second.

        Returns:
            The shed requests: those whose patience has expired, and late ones
            that would not be granted before it expires.
        """
        self._cell.endpoints.refresh_all(now)
        listed = self._cell.endpoints.by_name.values()
        for overdue in placement.overdue_runs(listed, now):
            self._outliers.observe(
                overdue.endpoint, overdue.ratio, overdue.granted, now
            )
        return [
            self._sheds.shed(ask, dispatch_types.ShedReason.DELAY, 0.0)
            for ask in self._hopeless_requests(now)
            if self.withdraw(ask.request_id)
        ]

    def summary(self, now: float) -> CellSummary:
        """Returns the summary that is sent to entry daemons."""
        return CellSummary(
            free=self._cell.endpoints.places.free,
            delay=tuple(
                round(self.predicted_delay(tier, now), 3)
                for tier in tiers.TIERS
            ),
        )

    def _hopeless_requests(
        self, now: float
    ) -> list[dispatch_types.SlotRequest]:
        found = [
            ask
            for ask in self.waiting_requests()
            if not ask.exempt_from_shedding and now - ask.arrived > ask.patience
        ]
        for tier in tiers.TIERS:
            rate = self._cell.pace.rate(tier, now)
            if rate > 0.0 and self._settings.shed_by_delay:
                queue = self._cell.waiting.of_tier(tier)
                found += queue.unreachable_in_time(
                    now, self._cell.pace.lead, rate
                )
        return found

    def _preemptions(self, now: float) -> list[dispatch_types.Preempt]:
        found = preemption.find_victim(self._cell, now)
        if found is None:
            return []
        victim, tier = found
        self._cell.runs.start_preemption(victim)
        self._cell.counts.preempted += 1
        ask = victim.ask
        return [
            dispatch_types.Preempt(
                ask.request_id, ask.entry, victim.endpoint, tier
            )
        ]

    def _enforce_max_waiting(self, now: float) -> list[dispatch_types.Decision]:
        """Sheds the newest request of the lowest tier while too many wait.

        The oldest waiting request of each tier is kept and not counted, so a
        full cell still holds one of every tier. The limit for a higher tier
        is therefore the same whether or not lower tiers wait.
        """
        decisions: list[dispatch_types.Decision] = []
        while self._cell.waiting.counted > self._settings.max_waiting:
            newest = self._cell.waiting.take_newest_of_lowest()
            if newest is None:
                break
            delay = self.predicted_delay(newest.tier, now)
            decisions.append(
                self._sheds.shed(
                    newest, dispatch_types.ShedReason.QUEUE_FULL, delay
                )
            )
        return decisions
