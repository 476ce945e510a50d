"""Loads of many boxes at the endpoints, as sums.

Answers the load pattern of hundreds of boxes that share the same endpoints:
what a box needs to choose one is the load of all boxes together, so boxes pass
on sums instead of the load of each box. A sum has a row for each endpoint and
kind of request, however many boxes it covers.
"""

from collections.abc import Iterable
import dataclasses
import functools
import heapq

import xxhash

from martenjunction.decisions.boxes import endpoint_loads
from martenjunction.decisions.boxes import engine_profiles
from martenjunction.decisions.boxes import prefill_demand

# Maximum number of boxes whose estimates of an engine profile are passed on.
# They are drawn at random, so that a quantile over them estimates that over all
# boxes.
MAX_ESTIMATES = 16

# Key of the load at an endpoint: the endpoint's key and the kind of request.
RowKey = tuple[int, endpoint_loads.LoadKey]


@functools.lru_cache(maxsize=8192)
def endpoint_key(endpoint_id: str) -> int:
    """Returns the 64-bit number that stands for an endpoint in sums."""
    return xxhash.xxh3_64_intdigest(endpoint_id.encode())


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Estimate:
    """One box's estimate of the engine profile of a service.

    Attributes:
        priority: Decides which estimates are passed on, the lowest first; drawn
            by the box that made the estimate.
        prefill_tokens_per_s: See `engine_profiles`; 0 if unknown.
        prefill_token_interval_us: The same in microseconds; 0 if unknown.
    """

    priority: int
    prefill_tokens_per_s: int
    prefill_token_interval_us: int

    def as_profile(self) -> engine_profiles.ProfileEstimate:
        """Returns the estimate in the units of `engine_profiles`."""
        return engine_profiles.ProfileEstimate(
            self.prefill_tokens_per_s or None,
            self.prefill_token_interval_us / 1_000_000 or None,
        )


@dataclasses.dataclass(slots=True)
class LoadSums:
    """Loads of some boxes.

    Attributes:
        loads: Requests in flight and their backlog by endpoint and kind.
        sent_per_s: Prompt tokens per second sent to each engine, by its key.
        demand: Prefill demand of each engine service.
        estimates: Estimates of the engine profile of each service.
        outcomes: Requests that ended and that failed at each endpoint per
            second, by its key.
    """

    loads: dict[RowKey, endpoint_loads.Load] = dataclasses.field(
        default_factory=dict
    )
    sent_per_s: dict[int, float] = dataclasses.field(default_factory=dict)
    demand: dict[str, prefill_demand.PrefillRates] = dataclasses.field(
        default_factory=dict
    )
    estimates: dict[str, list[Estimate]] = dataclasses.field(
        default_factory=dict
    )
    outcomes: dict[int, tuple[float, float]] = dataclasses.field(
        default_factory=dict
    )

    def add(self, other: "LoadSums") -> None:
        """Adds the loads of other boxes."""
        for key, load in other.loads.items():
            known = self.loads.get(key)
            if known is None:
                self.loads[key] = dataclasses.replace(load)
            else:
                known.running += load.running
                known.backlog_tokens += load.backlog_tokens
        for number, rate in other.sent_per_s.items():
            self.sent_per_s[number] = self.sent_per_s.get(number, 0.0) + rate
        for number, (ended, failed) in other.outcomes.items():
            known_ended, known_failed = self.outcomes.get(number, (0.0, 0.0))
            self.outcomes[number] = known_ended + ended, known_failed + failed
        for service, rates in other.demand.items():
            sum_so_far = self.demand.get(service, prefill_demand.PrefillRates())
            self.demand[service] = prefill_demand.PrefillRates(
                sum_so_far.short + rates.short, sum_so_far.long + rates.long
            )
        for service, drawn in other.estimates.items():
            self.estimates[service] = heapq.nsmallest(
                MAX_ESTIMATES, {*self.estimates.get(service, ()), *drawn}
            )

    def without(self, part: "LoadSums") -> "LoadSums":
        """Returns these sums without those of some boxes covered by them.

        Values stay at 0 or above, as the part may be newer than the sums.
        """
        rest = LoadSums(estimates=self.estimates)
        none = endpoint_loads.Load()
        for key, load in self.loads.items():
            own = part.loads.get(key, none)
            running = max(0, load.running - own.running)
            backlog = max(0, load.backlog_tokens - own.backlog_tokens)
            if running or backlog:
                rest.loads[key] = endpoint_loads.Load(running, backlog)
        for number, rate in self.sent_per_s.items():
            own_rate = part.sent_per_s.get(number, 0.0)
            if rate > own_rate:
                rest.sent_per_s[number] = rate - own_rate
        for number, (ended, failed) in self.outcomes.items():
            own_ended, own_failed = part.outcomes.get(number, (0.0, 0.0))
            rest.outcomes[number] = (
                max(0.0, ended - own_ended),
                max(0.0, failed - own_failed),
            )
        for service, rates in self.demand.items():
            own_rates = part.demand.get(service, prefill_demand.PrefillRates())
            rest.demand[service] = prefill_demand.PrefillRates(
                max(0.0, rates.short - own_rates.short),
                max(0.0, rates.long - own_rates.long),
            )
        return rest


def total(parts: Iterable[LoadSums]) -> LoadSums:
    """Returns the sum of some parts, which stay unchanged."""
    result = LoadSums()
    for part in parts:
        result.add(part)
    return result
