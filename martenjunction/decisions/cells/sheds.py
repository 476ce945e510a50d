"""Requests that are shed: counted, and told when to come back."""

import random

from martenjunction.decisions.cells import asks
from martenjunction.decisions.cells import dispatch_counts

# Bounds of the seconds after which a shed caller is told to come back.
MIN_RETRY_AFTER = 1.0
MAX_RETRY_AFTER = 30.0


class Sheds:
    """Makes the decisions that shed requests."""

    def __init__(
        self, done: dispatch_counts.Counts, rng: random.Random
    ) -> None:
        """Makes it.

        Args:
            done: Where sheds are counted.
            rng: Spreads the times at which callers may come back.
        """
        self._counts = done
        self._rng = rng

    def shed(
        self, ask: asks.Ask, reason: asks.ShedReason, excess: float
    ) -> asks.Shed:
        """Sheds a request.

        Args:
            ask: The request.
            reason: Why.
            excess: Seconds by which it would have waited too long.
        """
        self._counts.shed += 1
        by_tier = self._counts.shed_by_tier
        by_tier[ask.tier] = by_tier.get(ask.tier, 0) + 1
        pause = min(max(MIN_RETRY_AFTER, excess), MAX_RETRY_AFTER)
        retry_after = pause * (1.0 + self._rng.random())
        return asks.Shed(
            ask.request_id, ask.entry, reason, round(retry_after, 2)
        )
