"""Which endpoint a request goes to, from what one box knows of each."""

import collections
from collections.abc import Iterable
import dataclasses
import random

from martenjunction.decisions import endpoint_states
from martenjunction.decisions import estimates
from martenjunction.decisions import rendezvous

# Prompt tokens that an engine reads in a second, until it is learnt.
PREFILL_TOKENS_PER_S = 50_000.0

# Seconds by which each running request delays the first token of another.
STEP_S_PER_RUN = 0.001

# Seconds by which each request beyond an endpoint's places delays a first
# token: another one must end first.
OVER_SLOTS_S = 0.01

# Seconds that an answer from another availability zone takes longer.
FAR_ZONE_S = 0.0005

# Seconds that a certain failure is worth, as a cost of choosing.
FAILURE_COST_S = 0.1

# Part of the shared prompt that the endpoint to which a subject belongs is
# taken to hold before we know.
BELONGS_PART = 1.0

# Seconds that reading one shared token again is worth: the users pay about as
# much for 6,000 of them as for a long answer that comes late.
SHARED_TOKEN_COST_S = 0.0001

# Part of an engine service's endpoints that is kept free of long prompts, so
# that streams with short pauses are not held up.
SHORT_PART = 0.25

# Cost in seconds of a long prompt on an endpoint kept free of them, and of a
# short one on the others. The first keeps them apart until the others are
# this far behind.
LONG_AMONG_SHORT_S = 0.5
SHORT_AMONG_LONG_S = 0.2

# A prompt is long when reading it takes more than this part of the shortest
# pause that any stream of the service may have.
LONG_PAUSE_PART = 0.2

# Seconds for which another box's word on its runs counts.
PEER_LOAD_LIFETIME_S = 2.0

# Seconds for which a refusal keeps an endpoint from being asked again.
REFUSAL_PAUSE_S = 0.1

# Seconds of an answer by a plain service, until it is learnt.
PLAIN_ANSWER_S = 0.03


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """What a request asks of an endpoint.

    Attributes:
        service: The service.
        parts: Ids and tokens of the parts of its prompt, in order.
        prompt_tokens: Length of the prompt.
        zone: The box's availability zone.
        is_engine: Whether the service's endpoints are model engines.
        repeatable: Whether it may run more than once.
        shortest_pause_s: The shortest pause between events that any stream
            of the service may have; None where there is no such bound.
    """

    service: str
    parts: tuple[tuple[str, int], ...]
    prompt_tokens: int
    zone: str
    is_engine: bool
    repeatable: bool
    shortest_pause_s: float | None = None

    @property
    def is_long(self) -> bool:
        """Whether reading its prompt holds up streams beside it."""
        if self.shortest_pause_s is None:
            return False
        reading_s = self.prompt_tokens / PREFILL_TOKENS_PER_S
        return reading_s > LONG_PAUSE_PART * self.shortest_pause_s

    @property
    def subject(self) -> str | None:
        """The last part that other requests may share, or None."""
        if not self.parts:
            return None
        return self.parts[-2 if len(self.parts) > 1 else -1][0]

    @property
    def shared_tokens(self) -> int:
        """Tokens of the parts that other requests may share."""
        return sum(tokens for _, tokens in self.parts[:-1])


class EndpointRecord:
    """What one box learnt of one endpoint."""

    def __init__(
        self, endpoint_id: str, zone: str, slots: int, cache_tokens: int
    ) -> None:
        """Makes the record of an endpoint that was just listed.

        Args:
            endpoint_id: Its id.
            zone: Its availability zone.
            slots: Requests that it runs at once.
            cache_tokens: Tokens that fit into its memory; 0 for a plain one.
        """
        self.id = endpoint_id
        self.zone = zone
        self.slots = slots
        self.cache_tokens = cache_tokens
        self.running = 0
        self.unread_tokens = 0
        self.failures = estimates.Average(0.0, weight=0.15)
        self.answer_s = estimates.Average(PLAIN_ANSWER_S, weight=0.15)
        self.slowness = estimates.Average(1.0, weight=0.2)
        self.health = endpoint_states.Health(
            endpoint_states.EndpointState.ROUTING
        )
        self.refused_until = 0.0
        self._peer_loads: dict[str, tuple[float, int, int]] = {}
        self._parts: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self._held_tokens = 0

    def take_peer_load(
        self, box: str, running: int, unread_tokens: int, now: float
    ) -> None:
        """Notes what another box has there."""
        self._peer_loads[box] = (now, running, unread_tokens)

    def load(self, now: float) -> tuple[int, int]:
        """Returns runs there and prompt tokens not read yet, of all boxes."""
        running = self.running
        unread = self.unread_tokens
        for heard, peer_running, peer_unread in self._peer_loads.values():
            if now - heard < PEER_LOAD_LIFETIME_S:
                running += peer_running
                unread += peer_unread
        return running, unread

    def remember(self, parts: Iterable[tuple[str, int]]) -> None:
        """Notes the parts of a prompt that was read there."""
        for name, tokens in parts:
            old = self._parts.pop(name, 0)
            self._parts[name] = tokens
            self._held_tokens += tokens - old
        while self._held_tokens > self.cache_tokens and self._parts:
            _, tokens = self._parts.popitem(last=False)
            self._held_tokens -= tokens

    def held(self, parts: Iterable[tuple[str, int]]) -> int:
        """Returns how many tokens at a prompt's start it probably holds."""
        total = 0
        for name, tokens in parts:
            if name not in self._parts:
                break
            total += tokens
        return total

    def may_get_work(self, now: float) -> bool:
        """Returns whether it is sound, or due for a trial."""
        if self.health.state is endpoint_states.EndpointState.EJECTED:
            return self.running == 0 and self.health.trial_due(now)
        return now >= self.refused_until


def unread(record: EndpointRecord, demand: Demand, belongs: bool) -> float:
    """Returns the prompt tokens that an endpoint would have to read.

    Args:
        record: The endpoint.
        demand: The request.
        belongs: Whether the request's subject belongs there.
    """
    held = float(record.held(demand.parts))
    if belongs:
        held = max(held, BELONGS_PART * demand.shared_tokens)
    return max(1.0, demand.prompt_tokens - held)


def predicted_s(
    record: EndpointRecord, demand: Demand, belongs: bool, now: float
) -> float:
    """Predicts seconds to the first token, or to a plain service's answer."""
    running, waiting_tokens = record.load(now)
    if not demand.is_engine:
        rounds = 1.0 + max(0.0, (running + 1 - record.slots) / record.slots)
        return record.answer_s.value * (rounds + 0.5 * running / record.slots)
    own = unread(record, demand, belongs) / PREFILL_TOKENS_PER_S
    ahead = waiting_tokens / PREFILL_TOKENS_PER_S
    over = max(0, running + 1 - record.slots) * OVER_SLOTS_S
    return (
        own + ahead + running * STEP_S_PER_RUN + over
    ) * record.slowness.value


def cost_s(
    record: EndpointRecord,
    demand: Demand,
    belongs: bool,
    for_short: bool,
    now: float,
) -> float:
    """Returns the cost, in seconds, of sending a request to an endpoint.

    Args:
        record: The endpoint.
        demand: The request.
        belongs: Whether the request's subject belongs there.
        for_short: Whether the endpoint is kept free of long prompts.
        now: The current time.
    """
    cost = predicted_s(record, demand, belongs, now)
    cost += record.failures.value * FAILURE_COST_S
    if record.zone != demand.zone:
        cost += FAR_ZONE_S
    if demand.is_engine:
        reading = unread(record, demand, belongs)
        own_part = demand.prompt_tokens - demand.shared_tokens
        again = max(0.0, reading - own_part)
        cost += again * SHARED_TOKEN_COST_S
        if demand.is_long and for_short:
            cost += LONG_AMONG_SHORT_S
        elif not demand.is_long and not for_short:
            cost += SHORT_AMONG_LONG_S
    return cost


def kept_for_short(ids: Iterable[str], service: str) -> set[str]:
    """Returns the endpoints of an engine service that get short prompts.

    All boxes come to the same answer from the same list.
    """
    order = rendezvous.ranked(ids, f"short {service}")
    count = round(len(order) * SHORT_PART)
    return set(order[:count])


def choose(
    records: list[EndpointRecord],
    demand: Demand,
    now: float,
    rng: random.Random,
) -> EndpointRecord | None:
    """Chooses an endpoint.

    Endpoints that are ejected or refused work a moment ago are taken only
    where there is no other; a trial goes to a request that may be repeated.

    Args:
        records: Endpoints that are listed as ready.
        demand: The request.
        now: The current time.
        rng: Breaks ties.

    Returns:
        The endpoint, or None if there is none.
    """
    if not records:
        return None
    ejected = endpoint_states.EndpointState.EJECTED
    sound = [r for r in records if r.health.state is not ejected]
    if demand.repeatable:
        trials = [r for r in records if r not in sound and r.may_get_work(now)]
        if trials:
            return rng.choice(trials)
    fit = [r for r in sound if r.may_get_work(now)] or sound or records
    if not demand.is_engine:
        return min(
            fit,
            key=lambda r: (cost_s(r, demand, False, False, now), rng.random()),
        )
    short = kept_for_short([r.id for r in records], demand.service)
    owner = _owner(fit, demand, short)
    return min(
        fit,
        key=lambda r: cost_s(r, demand, r.id == owner, r.id in short, now),
    )


def _owner(
    fit: list[EndpointRecord], demand: Demand, short: set[str]
) -> str | None:
    """Returns the endpoint to which a request's subject belongs."""
    if demand.subject is None:
        return None
    matching = [r.id for r in fit if (r.id in short) is not demand.is_long]
    return rendezvous.owner(matching or [r.id for r in fit], demand.subject)
