"""Endpoint selection for requests."""

import dataclasses
import math
import random
import statistics

from martenjunction.decisions import endpoint_states
from martenjunction.decisions import rendezvous
from martenjunction.decisions.boxes import candidates
from martenjunction.decisions.boxes import endpoint_records
from martenjunction.decisions.boxes import load_shedding

# Additional latency in seconds of a response from another availability zone.
CROSS_ZONE_LATENCY_S = 0.0005

# Cost in seconds of a failure whose probability is 1.
FAILURE_COST_S = 0.1

# Cost in seconds of prefilling one shared token again: 6,000 such tokens cost
# users about as much as a long response that misses its deadline.
SHARED_PREFILL_COST_S = 0.0001

# Fractions of an engine's time that may be spent on prefilling short and long
# prompts. Above the first, streams on the same engine wait for several prefill
# chunks in a row; above the second, long prompts queue for longer than their
# own prefill takes. Endpoints are divided in proportion to the demand of each
# kind divided by its fraction.
SHORT_PREFILL_FRACTION = 0.4
LONG_PREFILL_FRACTION = 0.7

# Maximum fraction of the time of endpoints reserved for short prompts that is
# spent on prefilling those. Where more is asked than all endpoints can prefill,
# a division in proportion would let both kinds come late.
MAX_SHORT_PREFILL_FRACTION = 0.6

# Fraction of the concurrency slots that short streams may fill on endpoints
# reserved for them, and the maximum fraction of endpoints that may be reserved.
SHORT_SLOT_FRACTION = 0.6
MAX_RESERVED_FRACTION = 0.5

# Cost in seconds of a long prompt on an endpoint that runs short streams. The
# first value applies while the prefill of the prompt and of the backlog there
# fits into a fraction of the shortest pause that streams tolerate. Above that,
# the second value applies per short stream, because all streams there are
# delayed at once. The third value is the minimum on a reserved endpoint, which
# therefore costs as much as one with many short streams.
LONG_BESIDE_SHORT_COST_S = 0.15
LONG_COST_PER_SHORT_STREAM_S = 0.15
LONG_ON_RESERVED_COST_S = 3.0
MAX_DELAY_FRACTION = 0.25

# Cost in seconds of a short prompt on an endpoint that serves long prompts.
SHORT_ON_UNRESERVED_COST_S = 0.2


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """An endpoint selected for a request, with the inputs of the selection.

    Attributes:
        record: The endpoint.
        prefill_tokens: Prompt tokens that the endpoint would have to prefill.
        predicted_s: Predicted time in seconds to the first event, or to a plain
            response.
        running: Requests of all boxes at the endpoint.
        tokens_ahead: Prefill backlog in tokens that is served before the
            request.
        backlog_tokens: Total prefill backlog of the endpoint in tokens.
        short_running: Requests with short prompts at the endpoint.
        debt: Tokens sent to the endpoint in excess of the rate for long
            prompts.
        repeated_prefill_tokens: Tokens to prefill that belong to parts shared
            with other requests.
        failure_part: The part of the requests that fail there.
    """

    record: endpoint_records.EndpointRecord
    prefill_tokens: int
    predicted_s: float
    running: int
    tokens_ahead: int
    backlog_tokens: int
    short_running: int = 0
    debt: int = 0
    repeated_prefill_tokens: int = 0
    failure_part: float = 0.0

    @property
    def busy(self) -> bool:
        """Whether requests queue there or at least half its slots are used."""
        busy_slots = load_shedding.BUSY_FRACTION * self.record.slots
        return self.tokens_ahead > 0 or self.running >= busy_slots


def choose(
    records: list[endpoint_records.EndpointRecord],
    demand: endpoint_records.Demand,
    now: float,
    rng: random.Random,
    isolated: bool = False,
) -> Choice | None:
    """Selects an endpoint for a request.

    Endpoints in back-off are never selected. Endpoints that are ejected or that
    recently refused a request are selected only if there is no alternative.
    Half-open probes use only requests that may be repeated. Others get an
    endpoint that is in doubt only if no other one has a free slot.

    Args:
        records: Endpoints that are listed as ready.
        demand: The request.
        now: The current time.
        rng: Breaks ties.
        isolated: Whether to consider only the healthy endpoints with the fewest
            running requests.

    Returns:
        The choice, or None if no endpoint may receive the request.
    """
    records = [r for r in records if r.accepts(now)]
    if not records:
        return None
    ejected = endpoint_states.EndpointState.EJECTED
    healthy = [r for r in records if r.health.state is not ejected]
    if demand.repeatable and not isolated:
        probes = [r for r in records if r not in healthy and r.is_eligible(now)]
        if probes:
            return evaluate(rng.choice(probes), demand, False, now)
    eligible = [r for r in healthy if r.is_eligible(now)] or healthy or records
    if not demand.repeatable:
        eligible = _undoubted(eligible, now)
    if isolated:
        fewest = min(r.loads.running(now) for r in eligible)
        eligible = [r for r in eligible if r.loads.running(now) <= fewest]
    reserved: set[str] = set()
    owner: str | None = None
    if demand.is_engine:
        # Rate-limited endpoints cannot take all requests of a kind, so they are
        # excluded from reservation and affinity.
        unlimited = [r for r in eligible if not r.limited] or eligible
        reserved = reserved_for_short(unlimited, demand, now)
        owner = _affinity_owner(unlimited, demand, reserved)
        eligible = candidates.sample(
            eligible, demand, reserved, owner, now, rng
        )
    rng.shuffle(eligible)
    choices = [evaluate(r, demand, r.id == owner, now) for r in eligible]
    return min(
        choices, key=lambda c: _cost_s(c, demand, c.record.id in reserved)
    )


def reserved_for_short(
    records: list[endpoint_records.EndpointRecord],
    demand: endpoint_records.Demand,
    now: float,
) -> set[str]:
    """Returns the endpoints of an engine service reserved for short prompts.

    No endpoint is reserved if streams stay within their pause limit while their
    engine prefills prompts. The result is deterministic: boxes with the same
    endpoints and loads reserve the same endpoints.

    Args:
        records: Endpoints of the service that may receive requests.
        demand: A request for the service.
        now: The current time.
    """
    if demand.tolerates_prefill:
        return set()
    order = rendezvous.ranked(
        [r.id for r in records], f"short {demand.service}"
    )
    short = demand.prefill_rates.short / SHORT_PREFILL_FRACTION
    total = short + demand.prefill_rates.long / LONG_PREFILL_FRACTION
    count = round(len(order) * short / total) if total else 0
    running = sum(record.loads.short_running(now) for record in records)
    # The median: one endpoint that names too many changes nothing for others.
    slots = statistics.median([r.slots for r in records]) if records else 1
    prefill_s = demand.profile.prefill_s(demand.prefill_rates.short)
    count = max(
        1,
        count,
        math.ceil(prefill_s / MAX_SHORT_PREFILL_FRACTION),
        math.ceil(running / (slots * SHORT_SLOT_FRACTION)),
    )
    return set(order[: min(count, int(len(order) * MAX_RESERVED_FRACTION))])


def evaluate(
    record: endpoint_records.EndpointRecord,
    demand: endpoint_records.Demand,
    has_affinity: bool,
    now: float,
) -> Choice:
    """Returns the prediction for a request at one endpoint.

    Args:
        record: The endpoint.
        demand: The request.
        has_affinity: Whether the endpoint has affinity for the request.
        now: The current time.
    """
    unread = record.prefill_tokens(demand, has_affinity)
    return Choice(
        record,
        unread,
        record.predicted_s(demand, unread, now),
        record.loads.running(now),
        record.loads.tokens_ahead(demand.urgency, now),
        record.loads.backlog_tokens(now),
        record.loads.short_running(now),
        round(record.debt(now)),
        max(0, unread - (demand.prompt_tokens - demand.shared_tokens)),
        record.failure_part(now),
    )


def _undoubted(
    records: list[endpoint_records.EndpointRecord], now: float
) -> list[endpoint_records.EndpointRecord]:
    """Returns the endpoints with a free slot that are not in doubt, if any."""
    return [
        r
        for r in records
        if not r.doubt.is_doubted(now) and r.has_free_slot(now)
    ] or records


def _cost_s(
    choice: Choice, demand: endpoint_records.Demand, reserved: bool
) -> float:
    """Returns the cost of a choice in seconds."""
    record = choice.record
    cost = choice.predicted_s + choice.failure_part * FAILURE_COST_S
    if record.zone != demand.zone:
        cost += CROSS_ZONE_LATENCY_S
    if demand.is_engine:
        cost += choice.repeated_prefill_tokens * SHARED_PREFILL_COST_S
        if demand.is_long:
            cost += _long_cost_s(choice, demand, reserved)
        elif not reserved and not record.limited:
            cost += SHORT_ON_UNRESERVED_COST_S
    return cost


def _long_cost_s(
    choice: Choice, demand: endpoint_records.Demand, reserved: bool
) -> float:
    """Returns the cost in seconds of a long prompt beside short streams.

    Short streams also count on an endpoint that is no longer reserved for them:
    a prefill of 16,450 tokens delayed all 25 streams that still ran there.
    """
    if demand.tolerates_prefill or not (reserved or choice.short_running):
        return 0.0
    delay_s = demand.profile.prefill_s(
        choice.prefill_tokens + choice.backlog_tokens
    )
    if delay_s <= MAX_DELAY_FRACTION * (demand.shortest_pause_s or 0.0):
        return LONG_BESIDE_SHORT_COST_S
    streams_cost_s = choice.short_running * LONG_COST_PER_SHORT_STREAM_S
    return max(streams_cost_s, LONG_ON_RESERVED_COST_S if reserved else 0.0)


def _affinity_owner(
    records: list[endpoint_records.EndpointRecord],
    demand: endpoint_records.Demand,
    reserved: set[str],
) -> str | None:
    """Returns the id of the endpoint with affinity for a request, or None."""
    if demand.affinity_key is None:
        return None
    matching = [
        r.id for r in records if (r.id in reserved) is not demand.is_long
    ]
    return rendezvous.owner(
        matching or [r.id for r in records], demand.affinity_key
    )
