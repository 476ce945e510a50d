"""Endpoint records of a cell and the choice of an endpoint."""

import collections
from collections.abc import Iterable
import dataclasses

from martenjunction.decisions import endpoint_refusals
from martenjunction.decisions import endpoint_states
from martenjunction.decisions import estimates
from martenjunction.decisions import grant_bucket
from martenjunction.decisions.cells import dispatch_types

# Prompt tokens per block, the unit of prefix cache matching.
BLOCK_TOKENS = 64

# Maximum number of blocks remembered per endpoint.
MAX_BLOCKS = 4096

# Seconds after which a load report expires.
REPORT_LIFETIME = 10.0


class Endpoint:
    """An endpoint as seen by its cell's dispatcher."""

    def __init__(self, name: str, slots: int, zone: str = "") -> None:
        """Initializes the record of a newly listed endpoint.

        Args:
            name: The endpoint's name in the configuration.
            slots: Maximum number of concurrent requests.
            zone: The endpoint's availability zone.
        """
        self.name = name
        self.zone = zone
        self.slots = slots
        self.health = endpoint_states.Health()
        self.refusals = endpoint_refusals.Refusals()
        self._limit_per_s: float | None = None
        self._limit_changed_at = 0.0
        self._bucket: grant_bucket.GrantBucket | None = None
        self.speed = estimates.Speed()
        self.runs: dict[str, dispatch_types.Run] = {}
        self._ended: collections.deque[tuple[float, float]] = (
            collections.deque()
        )
        self._blocks: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )
        self._external_load = 0
        self._reported_at = -REPORT_LIFETIME
        self._last_granted = 0.0

    @property
    def granted(self) -> float:
        """Time of the last grant."""
        return self._last_granted

    @property
    def busy(self) -> int:
        """Occupied slots, including those of requests from elsewhere."""
        return len(self.runs) + self._external_load

    def rests(self, now: float) -> bool:
        """Returns whether the endpoint is in a back-off."""
        return now < self.refusals.backoff_until

    @property
    def limit_per_s(self) -> float | None:
        """Rate limit in requests per second; None for no limit."""
        return self._limit_per_s

    def set_rate_limit(
        self, run: dispatch_types.Run, per_s: float | None, now: float
    ) -> None:
        """Applies the rate limit announced in a response.

        Args:
            run: The run whose response announced it. It is ignored if the run
                was granted before the last change of the limit, since the
                response then may state the previous limit.
            per_s: The limit in requests per second; None for no limit.
            now: The current time.
        """
        per_s = grant_bucket.effective_limit(per_s)
        if per_s == self._limit_per_s or run.granted < self._limit_changed_at:
            return
        if per_s is None:
            self._bucket = None
            self.refusals.begin_ramp_up(now)
        elif self._bucket is None:
            self._bucket = grant_bucket.GrantBucket(now)
        self._limit_per_s = per_s
        self._limit_changed_at = now

    def free(self, now: float) -> int:
        """Returns the number of slots available to new runs."""
        room = self.refusals.capacity(len(self.runs), now)
        if self._bucket is not None and self._limit_per_s is not None:
            room = min(room, self._bucket.capacity(self._limit_per_s, now))
        state = self.health.state
        if state is endpoint_states.EndpointState.ROUTING:
            return int(min(max(0, self.slots - self.busy), room))
        if state is endpoint_states.EndpointState.EJECTED:
            trial = not self.runs and self.health.trial_due(now)
            return int(trial and room > 0)
        return 0

    def start(self, run: dispatch_types.Run) -> None:
        """Records a run that occupies a slot."""
        self.runs[run.ask.request_id] = run
        self._last_granted = run.granted
        if self._bucket is not None and self._limit_per_s is not None:
            self._bucket.take(self._limit_per_s, 1.0, run.granted)
        self.record_cached(run.ask.prefix)

    def finish(self, request_id: str, now: float) -> None:
        """Releases a run's slot."""
        run = self.runs.pop(request_id, None)
        if run is not None:
            self._ended.append((run.granted, now))

    def report(self, report: dispatch_types.LoadReport, now: float) -> None:
        """Applies a delayed load report.

        The runs of this dispatcher at the time of measurement are subtracted;
        only the remainder, sent by others, is added to the current count.
        """
        while self._ended and self._ended[0][1] < now - REPORT_LIFETIME:
            self._ended.popleft()
        moment = report.measured
        ours = sum(run.granted <= moment for run in self.runs.values())
        ours += sum(granted <= moment < ended for granted, ended in self._ended)
        self._external_load = max(0, report.running + report.waiting - ours)
        self._reported_at = now
        self.health.move(endpoint_states.EndpointEvent.RESPONDED, now)

    def expire_report(self, now: float) -> None:
        """Resets the count of other senders' requests if the report expired."""
        if now - self._reported_at > REPORT_LIFETIME:
            self._external_load = 0

    def record_cached(self, prefix: Iterable[int]) -> None:
        """Records blocks that the endpoint's cache probably holds."""
        for block in prefix:
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        while len(self._blocks) > MAX_BLOCKS:
            self._blocks.popitem(last=False)

    def forget(self, blocks: Iterable[int]) -> None:
        """Removes blocks that the endpoint reported as evicted."""
        for block in blocks:
            self._blocks.pop(block, None)

    def uncached(self, ask: dispatch_types.SlotRequest) -> float:
        """Returns the expected number of prompt tokens not in its cache."""
        cached = 0
        for block in ask.prefix:
            if block not in self._blocks:
                break
            cached += BLOCK_TOKENS
        return float(max(1, ask.prompt_tokens - cached))

    def predicted_first_token(self, ask: dispatch_types.SlotRequest) -> float:
        """Returns the predicted seconds from grant to first token."""
        return self.speed.first_token(self.uncached(ask), self.busy)


def choose(
    ask: dispatch_types.SlotRequest,
    free: list[Endpoint],
    use: float,
    now: float,
) -> tuple[Endpoint, float] | None:
    """Chooses an endpoint for a request.

    The prediction decides; where places are scarce, an endpoint that is
    faster than the others also has a price, which a request with time to
    spare feels and an urgent one does not.

    Args:
        ask: The request.
        free: Endpoints with a free slot.
        use: Fraction of the cell's slots that is occupied, 0 to 1.
        now: The current time.

    Returns:
        The endpoint and the predicted seconds to its first token, or None if
        every free endpoint already failed to serve this request.
    """
    candidates = [e for e in free if e.name not in ask.avoid]
    if not candidates:
        return None
    # An endpoint that refuses at once has a free slot at once, so paused ones
    # are used only if there is no other.
    candidates = [
        e for e in candidates if not e.refusals.is_deprioritized(now)
    ] or candidates
    slowest = max(e.speed.interval_s.value for e in candidates)
    slack = max(0.0, ask.deadline - now)
    best: tuple[Endpoint, float] | None = None
    best_score = 0.0
    for endpoint in candidates:
        predicted = endpoint.predicted_first_token(ask)
        score = predicted + use * _opportunity_cost(
            endpoint, predicted, slack, slowest
        )
        if ask.zones and endpoint.zone not in ask.zones:
            score += POLICY_MISMATCH_PENALTY_S
        if best is None or score < best_score:
            best = (endpoint, predicted)
            best_score = score
    return best


def _opportunity_cost(
    endpoint: Endpoint, predicted: float, slack: float, slowest: float
) -> float:
    """Returns the opportunity cost, in seconds, of using a fast endpoint."""
    if slack <= 0.0:
        spare = 1.0
    else:
        spare = max(0.0, 1.0 - URGENCY * predicted / slack)
    advantage = 1.0 - endpoint.speed.interval_s.value / max(slowest, 1e-9)
    return spare * advantage * FAST_ENDPOINT_COST_S


# Penalty in seconds for an endpoint outside the policies' preferred zones.
POLICY_MISMATCH_PENALTY_S = 0.5

# A request is urgent when this multiple of its predicted time fills its slack.
URGENCY = 2.0

# Opportunity cost, in seconds of time to the first token, of the fastest
# hardware when all slots of a cell are occupied.
FAST_ENDPOINT_COST_S = 0.5


def decay_idle(endpoints: list[Endpoint], now: float) -> None:
    """Moves the estimates of idle endpoints towards the best one.

    Otherwise an endpoint once estimated as slow would never be used again, and
    its estimate never be corrected.
    """
    routing = endpoint_states.EndpointState.ROUTING
    usable = [e for e in endpoints if e.health.state is routing]
    if len(usable) < 2:
        return
    best = min(e.speed.base_s.value for e in usable)
    for endpoint in usable:
        idle = not endpoint.runs and now - endpoint.granted > IDLE_AFTER
        if idle:
            endpoint.speed.base_s.drift(best, IDLE_DRIFT)


# Seconds without a run after which an endpoint counts as idle, and the fraction
# by which its estimate moves at each call.
IDLE_AFTER = 2.0
IDLE_DRIFT = 0.1


@dataclasses.dataclass(slots=True, frozen=True)
class Overdue:
    """An endpoint with a run whose first token is long overdue.

    Attributes:
        endpoint: The endpoint.
        ratio: Time waited over predicted time.
        granted: When the run was granted.
    """

    endpoint: Endpoint
    ratio: float
    granted: float


def overdue_runs(endpoints: Iterable[Endpoint], now: float) -> list[Overdue]:
    """Returns endpoints with a run that waits far beyond its prediction."""
    found = []
    for endpoint in endpoints:
        for run in endpoint.runs.values():
            predicted = run.predicted_first_token
            # A run of a previous owner has no prediction.
            if run.first_token is not None or predicted <= 0.0:
                continue
            waited = run.observed_s(now)
            due = max(predicted * OVERDUE_RATIO, MIN_OVERDUE_S)
            if waited > due:
                ratio = waited / max(predicted, 0.01)
                found.append(Overdue(endpoint, ratio, run.granted))
                break
    return found


# A first token is overdue after this multiple of its prediction, but not before
# this many seconds.
OVERDUE_RATIO = 4.0
MIN_OVERDUE_S = 0.75
