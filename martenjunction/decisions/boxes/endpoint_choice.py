"""Which endpoint a request goes to."""

import dataclasses
import math
import random

from martenjunction.decisions import endpoint_states
from martenjunction.decisions import rendezvous
from martenjunction.decisions.boxes import endpoint_records
from martenjunction.decisions.boxes import shedding

# Seconds that an answer from another availability zone takes longer.
FAR_ZONE_S = 0.0005

# Seconds that a certain failure is worth, as a cost of choosing.
FAILURE_COST_S = 0.1

# Seconds that reading one shared token again is worth: the users pay about as
# much for 6,000 of them as for a long answer that comes late.
SHARED_TOKEN_COST_S = 0.0001

# Part of an engine's time in which it may read short prompts before streams
# beside them wait for piece after piece, and long ones before they queue for
# longer than reading them takes. Endpoints are divided by what is asked of
# each kind over its part.
SHORT_READING_PART = 0.4
LONG_READING_PART = 0.7

# Part of an engine's places that short streams take where it is kept for them,
# and the largest part of the endpoints that may be kept.
SHORT_PLACES_PART = 0.6
MOST_SHORT_PART = 0.5

# Cost in seconds of a long prompt where it is read beside short streams: the
# first one as long as all that is unread there is read within a part of the
# shortest pause that streams may have; beyond that, for each of them, since
# all that run there come late at once. An endpoint that is kept free of long
# prompts costs as much as one with many.
LONG_BESIDE_SHORT_S = 0.15
LONG_A_SHORT_STREAM_S = 0.15
LONG_AMONG_SHORT_S = 3.0
HELD_UP_PART = 0.25

# Cost in seconds of a short prompt on an endpoint that gets long ones.
SHORT_AMONG_LONG_S = 0.2


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """An endpoint for a request, and what the choice was made from.

    Attributes:
        record: The endpoint.
        unread: Prompt tokens that it would have to read.
        predicted_s: Seconds to a first event, or to a plain answer.
        running: Requests of all boxes there.
        ahead: Unread tokens there that go first.
        waiting: All unread tokens there.
        short_running: Requests with short prompts there.
        debt: Tokens sent there beyond the rate for long prompts.
        again: Tokens of the unread ones that other requests may share.
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
        """Whether others wait there, or few of its places are left."""
        places = shedding.BUSY_PART * self.record.slots
        return self.ahead > 0 or self.running >= places


def choose(
    records: list[endpoint_records.EndpointRecord],
    demand: endpoint_records.Demand,
    now: float,
    rng: random.Random,
    apart: bool = False,
) -> Choice | None:
    """Chooses an endpoint.

    None that wants rest is taken. Those that are ejected or refused work a
    moment ago are taken only where there is no other; a trial goes to a request
    that may be repeated.

    Args:
        records: Endpoints that are listed as ready.
        demand: The request.
        now: The current time.
        rng: Breaks ties.
        apart: Whether it is chosen among the sound ones where fewest run.

    Returns:
        The choice, or None if no endpoint may get it.
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
        # What takes only so many requests a second can be no home of any kind
        # of them, and is not open to all requests alike.
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
    """Returns the endpoints of an engine service that get short prompts.

    There are none where streams stay in time beside prompts that are read.
    Boxes that know the same endpoints and loads come to the same answer.

    Args:
        records: Endpoints of the service that may get work.
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
    """Returns what is expected of a request at one endpoint.

    Args:
        record: The endpoint.
        demand: The request.
        belongs: Whether the request's subject belongs there.
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
    """Returns the cost, in seconds, of a choice."""
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
    """Returns the cost of a long prompt beside short streams.

    Streams that run at an endpoint that is no longer kept for them count as
    well: 16,450 tokens beside 25 of them made all 25 late.
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
    """Returns the endpoint to which a request's subject belongs."""
    if demand.subject is None:
        return None
    matching = [r.id for r in fit if (r.id in short) is not demand.is_long]
    return rendezvous.owner(matching or [r.id for r in fit], demand.subject)
