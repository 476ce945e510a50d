"""What a cell knows of its endpoints, and which of them suits a request."""

import collections
from collections.abc import Iterable
import dataclasses

from martenjunction.decisions import endpoint_refusals
from martenjunction.decisions import endpoint_states
from martenjunction.decisions import estimates
from martenjunction.decisions import grant_bucket
from martenjunction.decisions.cells import asks

# Prompt tokens in one block, the unit in which cached prefixes are compared.
BLOCK_TOKENS = 64

# Blocks that we remember having sent to one endpoint.
MAX_BLOCKS = 4096

# Seconds after which a load report no longer says anything.
REPORT_LIFETIME = 10.0


class Endpoint:
    """One endpoint as its cell's dispatcher sees it."""

    def __init__(self, name: str, slots: int, zone: str = "") -> None:
        """Makes the record of an endpoint that was just listed.

        Args:
            name: Its name in the configuration.
            slots: Requests it may run at once.
            zone: Its availability zone.
        """
        self.name = name
        self.zone = zone
        self.slots = slots
        self.health = endpoint_states.Health()
        self.refusals = endpoint_refusals.Refusals()
        self._limit_per_s: float | None = None
        self._limit_since = 0.0
        self._bucket: grant_bucket.GrantBucket | None = None
        self.speed = estimates.Speed()
        self.runs: dict[str, asks.Run] = {}
        self._ended: collections.deque[tuple[float, float]] = (
            collections.deque()
        )
        self._blocks: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )
        self._foreign = 0
        self._reported = -REPORT_LIFETIME
        self._granted = 0.0

    @property
    def granted(self) -> float:
        """When it last got a run."""
        return self._granted

    @property
    def busy(self) -> int:
        """Places that are taken, by our runs or by others."""
        return len(self.runs) + self._foreign

    def rests(self, now: float) -> bool:
        """Returns whether it wants nothing at this moment."""
        return now < self.refusals.rest_until

    @property
    def limit_per_s(self) -> float | None:
        """Requests a second that it takes; None for no limit."""
        return self._limit_per_s

    def names_limit(
        self, run: asks.Run, per_s: float | None, now: float
    ) -> None:
        """Takes in what an answer says of the requests a second it takes.

        Args:
            run: The run that was answered. One that was granted before the
                limit changed says what held before.
            per_s: The limit that it names; None for none.
            now: The current time.
        """
        per_s = grant_bucket.binding(per_s)
        if per_s == self._limit_per_s or run.granted < self._limit_since:
            return
        if per_s is None:
            self._bucket = None
            self.refusals.return_from(now)
        elif self._bucket is None:
            self._bucket = grant_bucket.GrantBucket(now)
        self._limit_per_s = per_s
        self._limit_since = now

    def free(self, now: float) -> int:
        """Returns the places that a new run may take."""
        room = self.refusals.room(len(self.runs), now)
        if self._bucket is not None and self._limit_per_s is not None:
            room = min(room, self._bucket.room(self._limit_per_s, now))
        state = self.health.state
        if state is endpoint_states.EndpointState.ROUTING:
            return int(min(max(0, self.slots - self.busy), room))
        if state is endpoint_states.EndpointState.EJECTED:
            trial = not self.runs and self.health.trial_due(now)
            return int(trial and room > 0)
        return 0

    def start(self, run: asks.Run) -> None:
        """Books a run that takes a place."""
        self.runs[run.ask.request_id] = run
        self._granted = run.granted
        if self._bucket is not None and self._limit_per_s is not None:
            self._bucket.take(self._limit_per_s, 1.0, run.granted)
        self.remember(run.ask.prefix)

    def finish(self, request_id: str, now: float) -> None:
        """Gives a run's place back."""
        run = self.runs.pop(request_id, None)
        if run is not None:
            self._ended.append((run.granted, now))

    def report(self, report: asks.LoadReport, now: float) -> None:
        """Takes in a lagging report.

        What we had booked at the time of the report is taken off; only the
        rest, which others put there, is added to our own count.
        """
        while self._ended and self._ended[0][1] < now - REPORT_LIFETIME:
            self._ended.popleft()
        moment = report.measured
        ours = sum(run.granted <= moment for run in self.runs.values())
        ours += sum(granted <= moment < ended for granted, ended in self._ended)
        self._foreign = max(0, report.running + report.waiting - ours)
        self._reported = now
        self.health.move(endpoint_states.EndpointEvent.HEARD, now)

    def expire_report(self, now: float) -> None:
        """Forgets what others put there once the report is too old."""
        if now - self._reported > REPORT_LIFETIME:
            self._foreign = 0

    def remember(self, prefix: Iterable[int]) -> None:
        """Notes blocks that the endpoint's cache probably holds now."""
        for block in prefix:
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        while len(self._blocks) > MAX_BLOCKS:
            self._blocks.popitem(last=False)

    def forget(self, blocks: Iterable[int]) -> None:
        """Notes blocks that the endpoint said it evicted."""
        for block in blocks:
            self._blocks.pop(block, None)

    def uncached(self, ask: asks.Ask) -> float:
        """Returns the prompt tokens it probably has to process."""
        cached = 0
        for block in ask.prefix:
            if block not in self._blocks:
                break
            cached += BLOCK_TOKENS
        return float(max(1, ask.prompt_tokens - cached))

    def predicted_first_token(self, ask: asks.Ask) -> float:
        """Returns seconds from grant to first token, if granted now."""
        return self.speed.first_token(self.uncached(ask), self.busy)


def choose(
    ask: asks.Ask, free: list[Endpoint], use: float, now: float
) -> tuple[Endpoint, float] | None:
    """Chooses an endpoint for a request.

    The prediction decides; where places are scarce, an endpoint that is
    faster than the others also has a price, which a request with time to
    spare feels and an urgent one does not.

    Args:
        ask: The request.
        free: Endpoints with a free place.
        use: Part of the cell's places that are taken, 0 to 1.
        now: The current time.

    Returns:
        The endpoint and the predicted seconds to its first token, or None if
        every free endpoint already failed this request.
    """
    fit = [e for e in free if e.name not in ask.avoid]
    if not fit:
        return None
    # The place of one that refuses at once is free again at once.
    fit = [e for e in fit if not e.refusals.pauses(now)] or fit
    slowest = max(e.speed.interval_s.value for e in fit)
    slack = max(0.0, ask.deadline - now)
    best: tuple[Endpoint, float] | None = None
    best_score = 0.0
    for endpoint in fit:
        predicted = endpoint.predicted_first_token(ask)
        score = predicted + use * _price(endpoint, predicted, slack, slowest)
        if ask.zones and endpoint.zone not in ask.zones:
            score += AGAINST_POLICY
        if best is None or score < best_score:
            best = (endpoint, predicted)
            best_score = score
    return best


def _price(
    endpoint: Endpoint, predicted: float, slack: float, slowest: float
) -> float:
    """Returns what it costs others, in seconds, to take a fast endpoint."""
    if slack <= 0.0:
        spare = 1.0
    else:
        spare = max(0.0, 1.0 - URGENCY * predicted / slack)
    advantage = 1.0 - endpoint.speed.interval_s.value / max(slowest, 1e-9)
    return spare * advantage * FAST_PRICE


# Seconds that an endpoint against the policy's preference seems slower.
AGAINST_POLICY = 0.5

# A request counts as urgent when its predicted time, so many times over,
# fills its slack.
URGENCY = 2.0

# Seconds of first-token time that the fastest hardware is worth to others
# when all of a cell's places are taken.
FAST_PRICE = 0.5


def forget_idle(endpoints: list[Endpoint], now: float) -> None:
    """Moves what was learnt of unused endpoints towards the best.

    An endpoint that once seemed slow would otherwise never be used again, and
    so never be found to be fast.
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


# Seconds without a run after which an endpoint counts as unused, and the part
# by which its estimate moves each time it is looked at.
IDLE_AFTER = 2.0
IDLE_DRIFT = 0.1


@dataclasses.dataclass(slots=True, frozen=True)
class Overdue:
    """A run whose first token is long overdue."""

    endpoint: Endpoint
    ratio: float


def overdue_runs(endpoints: Iterable[Endpoint], now: float) -> list[Overdue]:
    """Finds endpoints that keep a run waiting far beyond its prediction."""
    found = []
    for endpoint in endpoints:
        for run in endpoint.runs.values():
            if run.first_token is not None:
                continue
            waited = now - run.granted
            due = max(run.predicted_first_token * OVERDUE_RATIO, OVERDUE_FLOOR)
            if waited > due:
                ratio = waited / max(run.predicted_first_token, 0.01)
                found.append(Overdue(endpoint, ratio))
                break
    return found


# A first token is overdue after so many times its prediction, but never
# sooner than the floor, in seconds.
OVERDUE_RATIO = 4.0
OVERDUE_FLOOR = 0.75
