"""Grant throughput of a cell and the queueing delay predicted from it."""

from martenjunction.decisions import estimates
from martenjunction.decisions.cells import places
from martenjunction.decisions.cells import rates
from martenjunction.decisions.cells import tiers
from martenjunction.decisions.cells import waiting_requests

# A request counts as late once its slack is below this multiple of the average
# time to the first token.
LEAD_MARGIN = 1.2

# Delay predicted while no endpoint receives requests, in seconds.
NO_ENDPOINT_DELAY_S = 5.0

# Minimum queue length of a tier for its grant rate to be used in predictions.
MIN_QUEUE_FOR_RATE = 4

# Initial estimate and minimum of the seconds for which a run occupies a slot.
DEFAULT_HOLD_S = 1.0
MIN_HOLD_S = 0.001

# Initial estimate of the seconds to the first token.
DEFAULT_FIRST_TOKEN_S = 0.05


class CellPace:
    """Estimates of one cell's throughput and latency."""

    def __init__(self) -> None:
        self._first_tokens = estimates.Average(DEFAULT_FIRST_TOKEN_S)
        self._hold = estimates.Average(DEFAULT_HOLD_S)
        self._grants = {tier: rates.Rate() for tier in tiers.TIERS}

    @property
    def lead(self) -> float:
        """Average seconds to the first token, plus a margin."""
        return self._first_tokens.value * LEAD_MARGIN

    @property
    def hold(self) -> float:
        """Average seconds for which a run occupies a slot."""
        return self._hold.value

    def granted(self, tier: int, now: float) -> None:
        """Records a grant to a request of a tier."""
        self._grants[tier].add(now)

    def first_token(self, seconds: float) -> None:
        """Records the seconds from grant to first token."""
        self._first_tokens.add(seconds)

    def completed(self, seconds: float) -> None:
        """Records the seconds for which a completed run occupied a slot."""
        self._hold.add(max(MIN_HOLD_S, seconds))

    def rate(self, tier: int, now: float) -> float:
        """Returns a tier's grants per second."""
        return self._grants[tier].per_second(now)

    def delay(
        self,
        tier: int,
        present: waiting_requests.WaitingRequests,
        slot_counts: places.Places,
        now: float,
    ) -> float:
        """Returns the predicted queueing delay of a new request in seconds.

        Args:
            tier: The request's tier.
            present: The requests already waiting.
            slot_counts: The cell's slot counts.
            now: The current time.
        """
        if slot_counts.slots == 0:
            return NO_ENDPOINT_DELAY_S
        ahead = max(0, present.up_to(tier) - slot_counts.free)
        by_capacity = ahead * self._hold.value / slot_counts.slots
        own = len(present.of_tier(tier))
        rate = self.rate(tier, now)
        if own < MIN_QUEUE_FOR_RATE or rate <= 0.0:
            return by_capacity
        return max(by_capacity, own / rate)
