"""Load shedding decisions with retry times."""

import random

from martenjunction.decisions.cells import dispatch_counts
from martenjunction.decisions.cells import dispatch_types

# Bounds of the retry time of a shed request in seconds, before jitter.
MIN_RETRY_AFTER = 1.0
MAX_RETRY_AFTER = 30.0


class Shedder:
    """Creates and counts the decisions that shed requests."""

    def __init__(
        self, counts: dispatch_counts.DispatchCounts, rng: random.Random
    ) -> None:
        """Initializes the shedder.

        Args:
            counts: The dispatcher's counters.
            rng: Source of jitter for retry times.
        """
        self._counts = counts
        self._rng = rng

    def shed(
        self,
        ask: dispatch_types.SlotRequest,
        reason: dispatch_types.ShedReason,
        excess: float,
    ) -> dispatch_types.Shed:
        """Sheds a request.

        Args:
            ask: The request.
            reason: The reason.
            excess: Seconds by which the predicted wait exceeds its patience.
        """
        self._counts.shed += 1
        by_tier = self._counts.shed_by_tier
        by_tier[ask.tier] = by_tier.get(ask.tier, 0) + 1
        delay = min(max(MIN_RETRY_AFTER, excess), MAX_RETRY_AFTER)
        retry_after = delay * (1.0 + self._rng.random())
        return dispatch_types.Shed(
            ask.request_id, ask.entry, reason, round(retry_after, 2)
        )
