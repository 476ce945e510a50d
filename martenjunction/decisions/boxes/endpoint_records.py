"""State that a box keeps for each endpoint, and latency predictions."""

import collections
from collections.abc import Iterable
import dataclasses

from martenjunction.decisions import endpoint_refusals
from martenjunction.decisions import endpoint_states
from martenjunction.decisions import estimates
from martenjunction.decisions.boxes import endpoint_doubt
from martenjunction.decisions.boxes import endpoint_loads
from martenjunction.decisions.boxes import endpoint_outcomes
from martenjunction.decisions.boxes import engine_profiles
from martenjunction.decisions.boxes import prefill_demand
from martenjunction.decisions.boxes import response_times

# Fraction of an engine's prefill rate up to which long prompts are sent to it.
# While it prefills without a break, its streams get a token only after each
# chunk, and long responses miss their deadline.
MAX_LONG_RATE_FRACTION = 0.8

# Fixed part of the time in seconds to a first event: the round trip, and the
# tokens of one event.
FIRST_EVENT_BASE_S = 0.03

# Seconds of a tolerated pause reserved for delivery to the client.
PAUSE_MARGIN_S = 0.015

# Delay in seconds of a first token by each running request.
STEP_DELAY_S = 0.001

# Initial estimate of the seconds for which a request holds a slot of an engine,
# and the weight of one observation.
INITIAL_HOLD_S = 0.6
HOLD_WEIGHT = 0.05

# Maximum fraction of the slots that count as taken by more urgent requests.
MAX_PREFERRED_FRACTION = 0.95

# Weight of one observation of an engine's slowness, and the number of
# observations that the initial value of 1 counts for. Single first events may
# be several times late because requests arrive at the same moment, not because
# the engine is slow.
SLOWNESS_WEIGHT = 0.05
SLOWNESS_INITIAL_WEIGHT = 19

# Time constant in seconds of the rate at which this box sends prompt tokens to
# an engine, and the longest time for which a rate of the other boxes holds.
SENT_RATE_DECAY_S = 2.0
MAX_RATE_AGE_S = 1.0

# Difference below which statistics count as at their best-case values.
NEGLIGIBLE = 1e-4

# Urgency of requests to plain services.
PLAIN_URGENCY = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """Properties of a request that determine its cost at an endpoint.

    Attributes:
        service: The service.
        parts: Ids and token counts of the parts of its prompt, in order.
        prompt_tokens: Length of the prompt in tokens.
        zone: The box's availability zone.
        is_engine: Whether the service's endpoints are model engines.
        repeatable: Whether the request may run more than once.
        urgency: Rank at an engine; 0 is served first.
        shortest_pause_s: The shortest pause limit between events of any stream
            of the service; None for no limit.
        pause_s: The pause limit between events of its own stream; None for no
            limit.
        tokens_per_event: Tokens in one event of a stream.
        profile: Performance profile of the service's engines.
        prefill_rates: Prefill demand of all requests of the service.
        peer_prefill_per_s: Prompt tokens per second that are asked of the
            service's engines through other boxes.
    """

    service: str
    parts: tuple[tuple[str, int], ...]
    prompt_tokens: int
    zone: str
    is_engine: bool
    repeatable: bool
    urgency: int = PLAIN_URGENCY
    shortest_pause_s: float | None = None
    pause_s: float | None = None
    tokens_per_event: int = 1
    profile: engine_profiles.EngineProfile = engine_profiles.EngineProfile()
    prefill_rates: prefill_demand.PrefillRates = prefill_demand.PrefillRates()
    peer_prefill_per_s: float = 0.0

    @property
    def tolerates_prefill(self) -> bool:
        """Whether streams stay within their pause limit during prefill."""
        if self.shortest_pause_s is None:
            return True
        pause_s = self.tokens_per_event * self.profile.prefill_token_interval_s
        return pause_s <= self.shortest_pause_s - PAUSE_MARGIN_S

    @property
    def affinity_key(self) -> str | None:
        """The id of the last part that other requests may share, or None."""
        if not self.parts:
            return None
        return self.parts[-2 if len(self.parts) > 1 else -1][0]

    @property
    def shared_tokens(self) -> int:
        """Tokens of the parts that other requests may share."""
        return sum(tokens for _, tokens in self.parts[:-1])

    @property
    def load_key(self) -> endpoint_loads.LoadKey:
        """The key under which the request's load is counted."""
        return endpoint_loads.LoadKey(self.urgency, self.is_long)

    @property
    def is_long(self) -> bool:
        """Whether prefilling the prompt delays streams on the same engine.

        A request whose own pause limit is the shortest one counts as long only
        if its prefill alone would exceed a higher threshold: among long prompts
        its own stream would be delayed.
        """
        if self.shortest_pause_s is None:
            return False
        fraction = LONG_PAUSE_FRACTION
        if self.pause_s is not None and self.pause_s <= self.shortest_pause_s:
            fraction = LONG_OWN_PAUSE_FRACTION
        prefill_s = self.profile.prefill_s(self.prompt_tokens)
        return prefill_s > fraction * self.shortest_pause_s


# A prompt is long if its prefill takes more than this fraction of the shortest
# pause limit of the service's streams. The second fraction applies if the
# request's own stream has that limit.
LONG_PAUSE_FRACTION = 0.2
LONG_OWN_PAUSE_FRACTION = 0.5


class EndpointRecord:
    """State that one box keeps for one endpoint."""

    def __init__(
        self, endpoint_id: str, zone: str, slots: int, cache_tokens: int
    ) -> None:
        """Initializes the record of a newly listed endpoint.

        Args:
            endpoint_id: The endpoint's id.
            zone: Its availability zone.
            slots: Number of requests that it runs concurrently.
            cache_tokens: Capacity of its prefix cache in tokens; 0 for a plain
                endpoint.
        """
        self.id = endpoint_id
        self.zone = zone
        self.slots = slots
        self.cache_tokens = cache_tokens
        self.failures = estimates.Average(0.0, weight=0.15)
        self.outcomes = endpoint_outcomes.EndpointOutcomes()
        self.response_s = response_times.ResponseTimes()
        self.hold_s = estimates.Average(INITIAL_HOLD_S, HOLD_WEIGHT)
        self.slowness = estimates.Average(
            1.0, SLOWNESS_WEIGHT, start_counts=SLOWNESS_INITIAL_WEIGHT
        )
        self.health = endpoint_states.Health(
            endpoint_states.EndpointState.ROUTING
        )
        self.refusals = endpoint_refusals.Refusals()
        self.limited = False
        self.doubt = endpoint_doubt.EndpointDoubt()
        self.profile = engine_profiles.EngineProfile()
        self.loads = endpoint_loads.EndpointLoads()
        self._parts: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self._cached_tokens = 0
        self._sent_tokens = 0
        self._peer_sent: dict[str, int] = {}
        self._sent_rate = estimates.DecayingRate(SENT_RATE_DECAY_S)
        self._fleet_rate_at: float | None = None
        self._debt = 0.0
        self._debt_at = 0.0

    @property
    def sent_tokens(self) -> int:
        """Prefill tokens that this box has sent since listing the endpoint."""
        return self._sent_tokens

    @property
    def has_history(self) -> bool:
        """Whether its statistics differ from their best-case values."""
        return (
            self.failures.value > NEGLIGIBLE
            or abs(self.slowness.value - 1.0) > NEGLIGIBLE
            or self.response_s.deviation_s > NEGLIGIBLE
        )

    @property
    def is_ejected(self) -> bool:
        """Whether it gets no requests but trials."""
        return self.health.state is endpoint_states.EndpointState.EJECTED

    def failure_part(self, now: float) -> float:
        """Returns the part of the requests that fail there.

        It is the higher one of what this box and what all boxes saw: failures
        may concern the callers of one availability zone alone.
        """
        return max(self.failures.value, self.outcomes.failure_part(now))

    def decay(self, part: float) -> None:
        """Moves the statistics back towards their best-case values.

        Args:
            part: Fraction of the difference.
        """
        self.failures.drift(0.0, part)
        self.slowness.drift(1.0, part)
        self.response_s.drift(part)

    def record_sent(self, unread: int, now: float) -> None:
        """Records prefill tokens that this box sends to the endpoint."""
        self._sent_tokens += unread
        self._sent_rate.add(unread, now)
        self._add_debt(unread, now)

    def update_peer_sent(self, box: str, total: int, now: float) -> None:
        """Updates the total of tokens that another box has sent."""
        before = self._peer_sent.get(box, total)
        self._peer_sent[box] = total
        if total > before:
            self._add_debt(total - before, now)

    def sent_per_s(self, now: float) -> float:
        """Returns the prefill tokens per second that this box sends."""
        return self._sent_rate.rate(now)

    def update_fleet_rate(self, tokens_per_s: float, now: float) -> None:
        """Adds what the other boxes together have sent since the last call.

        Args:
            tokens_per_s: The rate at which they send prefill tokens.
            now: The current time.
        """
        since = self._fleet_rate_at if self._fleet_rate_at is not None else now
        self._fleet_rate_at = now
        self._add_debt(tokens_per_s * min(now - since, MAX_RATE_AGE_S), now)

    def debt(self, now: float) -> float:
        """Returns the tokens sent in excess of the rate for long prompts."""
        rate = self.profile.prefill_tokens_per_s * MAX_LONG_RATE_FRACTION
        return max(0.0, self._debt - (now - self._debt_at) * rate)

    def _add_debt(self, tokens: float, now: float) -> None:
        self._debt = self.debt(now) + tokens
        self._debt_at = now

    def record_cached(self, parts: Iterable[tuple[str, int]]) -> None:
        """Records the parts of a prompt that the endpoint has prefilled."""
        for name, tokens in parts:
            previous = self._parts.pop(name, 0)
            self._parts[name] = tokens
            self._cached_tokens += tokens - previous
        while self._cached_tokens > self.cache_tokens and self._parts:
            _, tokens = self._parts.popitem(last=False)
            self._cached_tokens -= tokens

    def cached_tokens(self, parts: Iterable[tuple[str, int]]) -> int:
        """Returns the number of a prompt's leading tokens probably cached."""
        total = 0
        for name, tokens in parts:
            if name not in self._parts:
                break
            total += tokens
        return total

    def accepts(self, now: float) -> bool:
        """Returns whether the endpoint may be sent a request at all."""
        return self.refusals.accepts(self.loads.own_running, now)

    def is_eligible(self, now: float) -> bool:
        """Returns whether the endpoint is healthy or due for a probe."""
        if self.is_ejected:
            return self.loads.own_running == 0 and self.health.trial_due(now)
        return not self.refusals.is_deprioritized(now)

    def has_free_slot(self, now: float) -> bool:
        """Returns whether a request there would not wait for a slot."""
        return self.loads.running(now) < self.slots

    def prefill_tokens(self, demand: Demand, has_affinity: bool) -> int:
        """Returns the prompt tokens that the endpoint would have to prefill.

        Args:
            demand: The request.
            has_affinity: Whether the endpoint has affinity for the request, so
                that another box has probably sent the shared parts already.
        """
        cached = self.cached_tokens(demand.parts)
        if has_affinity:
            cached = max(cached, demand.shared_tokens)
        return max(1, demand.prompt_tokens - cached)

    def predicted_s(self, demand: Demand, unread: int, now: float) -> float:
        """Predicts the seconds to the first event or to a plain response.

        Args:
            demand: The request.
            unread: Prompt tokens that the endpoint would have to prefill.
            now: The current time.
        """
        running = self.loads.running(now)
        if not demand.is_engine:
            excess = max(0.0, (running + 1 - self.slots) / self.slots)
            return self.response_s.expected_s(self.loads.own_running) * (
                1 + excess + 0.5 * running / self.slots
            )
        expected_s = self._queue_s(demand, unread, now)
        if demand.tolerates_prefill and not demand.is_long:
            expected_s += self._interference_s(demand, now)
        return expected_s * self.slowness.value

    def _interference_s(self, demand: Demand, now: float) -> float:
        """Returns the delay in seconds of a first event by later prefills.

        Each token of the event waits for a chunk that is prefilled beside it.
        """
        later_tokens = max(
            0,
            self.loads.backlog_tokens(now)
            - self.loads.tokens_ahead(demand.urgency, now),
        )
        longest_s = (
            demand.tokens_per_event * demand.profile.prefill_token_interval_s
        )
        return min(demand.profile.prefill_s(later_tokens), longest_s)

    def _queue_s(self, demand: Demand, unread: int, now: float) -> float:
        """Predicts the seconds to a first event at an engine's usual speed.

        Args:
            demand: The request.
            unread: Prompt tokens that the endpoint would have to prefill.
            now: The current time.
        """
        running = self.loads.running(now)
        ahead = float(self.loads.tokens_ahead(demand.urgency, now))
        if demand.is_long:
            ahead = max(ahead, self.debt(now))
        prefill_s = demand.profile.prefill_s(unread + ahead)
        steps_s = running * STEP_DELAY_S
        slot_s = self._slot_wait_s(demand.urgency, now)
        return FIRST_EVENT_BASE_S + prefill_s + steps_s + slot_s

    def _slot_wait_s(self, urgency: int, now: float) -> float:
        """Predicts the seconds until an engine has a slot for a request.

        A slot that becomes free goes to the most urgent request that waits, so
        what is as urgent or more, beyond the number of slots, comes first.
        Slots become free at the rate at which requests that hold them end, and
        more urgent ones take their part of it (Cobham, 1954).

        Args:
            urgency: The urgency of the request.
            now: The current time.
        """
        if self.has_free_slot(now):
            return 0.0
        ahead = max(0, self.loads.running_at_least(urgency, now) - self.slots)
        preferred = self.loads.running_at_least(urgency - 1, now) / self.slots
        left = 1.0 - min(preferred, MAX_PREFERRED_FRACTION)
        return (ahead + 1) * self.hold_s.value / (self.slots * left)
