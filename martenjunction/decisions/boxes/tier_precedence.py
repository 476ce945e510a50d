"""Tier priority where all endpoints of a service are rate-limited.

Grants go to whichever request asks first. Without this priority, a lower tier
that asks more often would receive more grants.
"""

import dataclasses

from martenjunction.decisions import bounded

# Seconds for which lower tiers yield after a refusal of a higher tier, whose
# callers retry within that time.
YIELD_S = 1.0

# One in this many requests of a lower tier is not held back, so that every tier
# makes progress.
EXEMPT_EVERY = 8

# Maximum number of services; the oldest are evicted.
MAX_SERVICES = 1024


@dataclasses.dataclass(slots=True)
class _ServiceState:
    refused_at: dict[int, float] = dataclasses.field(default_factory=dict)
    yield_count: int = 0


class TierPrecedence:
    """One box's record of requests refused for lack of grants."""

    def __init__(self) -> None:
        self._services: dict[str, _ServiceState] = {}

    def record_refusal(self, service: str, tier: int, now: float) -> None:
        """Records a request that was refused because no endpoint takes it.

        Args:
            service: The request's service.
            tier: The request's tier; 0 has priority.
            now: The current time.
        """
        state = self._services.get(service)
        if state is None:
            state = _ServiceState()
            bounded.put(self._services, service, state, MAX_SERVICES)
        state.refused_at[tier] = now

    def should_yield(self, service: str, tier: int, now: float) -> bool:
        """Returns whether a request has to yield to higher tiers.

        Args:
            service: The request's service.
            tier: The request's tier.
            now: The current time.
        """
        state = self._services.get(service)
        if state is None or not any(
            higher < tier and now - refused_at < YIELD_S
            for higher, refused_at in state.refused_at.items()
        ):
            return False
        state.yield_count += 1
        return state.yield_count % EXEMPT_EVERY != 0
