"""Which engines are weighed for a request.

Answers the load pattern of many boxes that decide by the same totals, which are
some tenths of a second old. If each weighed all engines, all would send to the
one that was the least loaded, until the next totals: worst where empty engines
join in a burst. So engines are drawn, the fewer the more prompts the other
boxes send meanwhile; two are enough to keep the loads even (the power of two
choices: Azar and others, 1994; Mitzenmacher, 1996). Those that hold all shared
parts of the prompt are weighed as well; nearly all hold the first ones.

Short prompts are drawn for the engines reserved for them. Where many engines
are gone, these have no free slot while the others do, so a short prompt weighs
as many engines that are not reserved as it draws without a free slot.
"""

from collections.abc import Sequence
import random

from martenjunction.decisions.boxes import endpoint_records

# Minimum number of engines that are drawn for a request.
MIN_DRAWN = 2

# Age in seconds of what is known of other boxes' loads, and the prefill time in
# seconds that other boxes may add to the least loaded engine meanwhile.
LOAD_AGE_S = 0.3
MAX_ADDED_S = 0.05


def sample(
    records: Sequence[endpoint_records.EndpointRecord],
    demand: endpoint_records.Demand,
    reserved: set[str],
    owner: str | None,
    now: float,
    rng: random.Random,
) -> list[endpoint_records.EndpointRecord]:
    """Returns the engines to weigh for a request.

    Args:
        records: The engines that may receive it.
        demand: The request.
        reserved: Ids of the engines reserved for short prompts.
        owner: Id of the engine with affinity for the request, or None.
        now: The current time.
        rng: Draws engines among those that are meant for the request.
    """
    count = _count(len(records), demand)
    if count >= len(records):
        return list(records)
    is_long, shared = demand.is_long, demand.shared_tokens
    meant = [r for r in records if (r.id in reserved) is not is_long]
    others = [r for r in records if (r.id in reserved) is is_long]
    if not meant:
        meant, others = others, []
    drawn = rng.sample(meant, min(count, len(meant)))
    if not is_long:
        full = sum(not r.has_free_slot(now) for r in drawn)
        missing = max(count - len(drawn), full)
        drawn += rng.sample(others, min(missing, len(others)))
    holders = [
        r
        for r in records
        if (r.id == owner or 0 < shared <= r.cached_tokens(demand.parts))
        and r not in drawn
    ]
    return drawn + holders


def _count(engines: int, demand: endpoint_records.Demand) -> int:
    """Returns the number of engines to draw.

    Each box sends to the least loaded one of those that it draws, so that the
    least loaded one of all gets the same fraction of what all boxes send.
    """
    added_s = demand.profile.prefill_s(demand.peer_prefill_per_s * LOAD_AGE_S)
    if added_s <= MAX_ADDED_S:
        return engines
    return max(MIN_DRAWN, int(engines * MAX_ADDED_S / added_s))
