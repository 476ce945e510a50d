"""Endpoint selection for requests."""

import dataclasses
import math
import random

from martenjunction.decisions import endpoint_states
from martenjunction.decisions import rendezvous
from martenjunction.decisions.boxes import endpoint_records
from martenjunction.decisions.boxes import shedding

# Additional latency in seconds of a response from another availability zone.
FAR_ZONE_S = 0.0005

# Cost in seconds of a failure whose probability is 1.
FAILURE_COST_S = 0.1

# Cost in seconds of prefilling one shared token again: 6,000 such tokens cost
# users about as much as a long response that misses its deadline.
SHARED_TOKEN_COST_S = 0.0001

# Fractions of an engine's time that may be spent on prefilling short and long
# prompts. Above the first, streams on the same engine wait for several prefill
# chunks in a row; above the second, long prompts queue for longer than their
# own prefill takes. Endpoints are divided in proportion to the demand of each
# kind divided by its fraction.
SHORT_READING_PART = 0.4
LONG_READING_PART = 0.7

# Fraction of the concurrency slots that short streams may fill on endpoints
# reserved for them, and the maximum fraction of endpoints that may be reserved.
SHORT_PLACES_PART = 0.6
MOST_SHORT_PART = 0.5

# Cost in seconds of a long prompt on an endpoint that runs short streams. The
# first value applies while the prefill of the prompt and of the backlog there
# fits into a fraction of the shortest pause that streams tolerate. Above that,
# the second value applies per short stream, because all streams there are
# delayed at once. The third value is the minimum on a reserved endpoint, which
# therefore costs as much as one with many short streams.
LONG_BESIDE_SHORT_S = 0.15
LONG_A_SHORT_STREAM_S = 0.15
LONG_AMONG_SHORT_S = 3.0
HELD_UP_PART = 0.25

# Cost in seconds of a short prompt on an endpoint that serves long prompts.
SHORT_AMONG_LONG_S = 0.2


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """An endpoint selected for a request, with the inputs of the selection.

    Attributes:
        record: The endpoint.
        unread: Prompt tokens that the endpoint would have to prefill.
        predicted_s: Predicted time in seconds to the first event, or to a plain
            response.
        running: Requests of all boxes at the endpoint.
        ahead: Prefill backlog in tokens that is served before the request.
        waiting: Total prefill backlog of the endpoint in tokens.
        short_running: Requests with short prompts at the endpoint.
        debt: Tokens sent to the endpoint in excess of the rate for long
            prompts.
        again: Tokens to prefill that belong to parts shared with other
            requests.
    """

    record: endpoint_records.EndpointRecord
    unread: int
    predicted_s: float
    running: int
    ahead: int
    waiting: int
    short_running: int = 0
    debt: int = 0
    again: int = 0

    @property
    def busy(self) -> bool:
        """Whether requests queue there or at least half its slots are used."""
        places = shedding.BUSY_PART * self.record.slots
        return self.ahead > 0 or self.running >= places


def choose(
    records: list[endpoint_records.EndpointRecord],
    demand: endpoint_records.Demand,
    now: float,
    rng: random.Random,
    apart: bool = False,
) -> Choice | None:
    """Selects an endpoint for a request.

    Endpoints in back-off are never selected. Endpoints that are ejected or that
    recently refused a request are selected only if there is no alternative.
    Half-open probes use only requests that may be repeated.

    Args:
        records: Endpoints that are listed as ready.
        demand: The request.
        now: The current time.
        rng: Breaks ties.
        apart: Whether to consider only the healthy endpoints with the fewest
            running requests.

    Returns:
        The choice, or None if no endpoint may receive the request.
    """
    records = [r for r in records if r.accepts(now)]
    if not records:
        return None
    ejected = endpoint_states.EndpointState.EJECTED
    sound = [r for r in records if r.health.state is not ejected]
    if demand.repeatable and not apart:
        trials = [r for r in records if r not in sound and r.may_get_work(now)]
        if trials:
            return weigh(rng.choice(trials), demand, False, now)
    fit = [r for r in sound if r.may_get_work(now)] or sound or records
    if apart:
        fewest = min(r.loads.running(now) for r in fit)
        fit = [r for r in fit if r.loads.running(now) <= fewest]
    short: set[str] = set()
    owner: str | None = None
    if demand.is_engine:
        # Rate-limited endpoints cannot take all requests of a kind, so they are
        # excluded from reservation and affinity.
        homes = [r for r in fit if not r.limited] or fit
        short = kept_for_short(homes, demand, now)
        owner = _owner(homes, demand, short)
    rng.shuffle(fit)
    choices = [weigh(r, demand, r.id == owner, now) for r in fit]
    return min(choices, key=lambda c: _cost_s(c, demand, c.record.id in short))


def kept_for_short(
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
    if demand.reads_beside_streams:
        return set()
    order = rendezvous.ranked(
        [r.id for r in records], f"short {demand.service}"
    )
    short = demand.asked.short / SHORT_READING_PART
    asked = short + demand.asked.long / LONG_READING_PART
    count = round(len(order) * short / asked) if asked else 0
    running = sum(record.loads.short_running(now) for record in records)
    places = sum(record.slots for record in records) / max(1, len(records))
    count = max(1, count, math.ceil(running / (places * SHORT_PLACES_PART)))
    return set(order[: min(count, int(len(order) * MOST_SHORT_PART))])


def weigh(
    record: endpoint_records.EndpointRecord,
    demand: endpoint_records.Demand,
    belongs: bool,
    now: float,
) -> Choice:
    """Returns the prediction for a request at one endpoint.

    Args:
        record: The endpoint.
        demand: The request.
        belongs: Whether the endpoint has affinity for the request.
        now: The current time.
    """
    unread = record.unread(demand, belongs)
    return Choice(
        record,
        unread,
        record.predicted_s(demand, unread, now),
        record.loads.running(now),
        record.loads.ahead(demand.urgency, now),
        record.loads.waiting(now),
        record.loads.short_running(now),
        round(record.debt(now)),
        max(0, unread - (demand.prompt_tokens - demand.shared_tokens)),
    )


def _cost_s(
    choice: Choice, demand: endpoint_records.Demand, for_short: bool
) -> float:
    """Returns the cost of a choice in seconds."""
    record = choice.record
    cost = choice.predicted_s + record.failures.value * FAILURE_COST_S
    if record.zone != demand.zone:
        cost += FAR_ZONE_S
    if demand.is_engine:
        cost += choice.again * SHARED_TOKEN_COST_S
        if demand.is_long:
            cost += _beside_short_s(choice, demand, for_short)
        elif not for_short and not record.limited:
            cost += SHORT_AMONG_LONG_S
    return cost


def _beside_short_s(
    choice: Choice, demand: endpoint_records.Demand, for_short: bool
) -> float:
    """Returns the cost in seconds of a long prompt beside short streams.

    Short streams also count on an endpoint that is no longer reserved for them:
    a prefill of 16,450 tokens delayed all 25 streams that still ran there.
    """
    if demand.reads_beside_streams or not (for_short or choice.short_running):
        return 0.0
    held_up_s = demand.figures.reading_s(choice.unread + choice.waiting)
    if held_up_s <= HELD_UP_PART * (demand.shortest_pause_s or 0.0):
        return LONG_BESIDE_SHORT_S
    harm_s = choice.short_running * LONG_A_SHORT_STREAM_S
    return max(harm_s, LONG_AMONG_SHORT_S if for_short else 0.0)


def _owner(
    fit: list[endpoint_records.EndpointRecord],
    demand: endpoint_records.Demand,
    short: set[str],
) -> str | None:
    """Returns the id of the endpoint with affinity for a request, or None."""
    if demand.subject is None:
        return None
    matching = [r.id for r in fit if (r.id in short) is not demand.is_long]
    return rendezvous.owner(matching or [r.id for r in fit], demand.subject)
