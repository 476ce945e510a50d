"""How fast a cell grants places, and the delay that follows from it."""

from martenjunction.decisions import estimates
from martenjunction.decisions.cells import places
from martenjunction.decisions.cells import rates
from martenjunction.decisions.cells import tiers
from martenjunction.decisions.cells import waiting_requests

# A request counts as late once its slack is below this many times the usual
# time to a first token.
LEAD_MARGIN = 1.2

# The delay that is predicted while no endpoint receives work, in seconds.
NO_PLACE_DELAY = 5.0

# A tier's own rate of grants says something once so many wait.
MIN_QUEUE_FOR_RATE = 4

# Seconds for which a run holds its place, by default and at the least.
USUAL_HOLD = 1.0
SHORTEST_HOLD = 0.001

# Seconds to a first token before any was seen.
USUAL_FIRST_TOKEN = 0.05


class Pace:
    """What one cell has learnt of its own speed."""

    def __init__(self) -> None:
        self._first_tokens = estimates.Average(USUAL_FIRST_TOKEN)
        self._hold = estimates.Average(USUAL_HOLD)
        self._grants = {tier: rates.Rate() for tier in tiers.TIERS}

    @property
    def lead(self) -> float:
        """Seconds that a first token takes here, with a margin."""
        return self._first_tokens.value * LEAD_MARGIN

    @property
    def hold(self) -> float:
        """Seconds for which a run holds its place."""
        return self._hold.value

    def granted(self, tier: int, now: float) -> None:
        """Notes that a place was given to a request of a tier."""
        self._grants[tier].add(now)

    def first_token(self, seconds: float) -> None:
        """Notes the seconds from a grant to the first token."""
        self._first_tokens.add(seconds)

    def completed(self, seconds: float) -> None:
        """Notes the seconds for which a run that got through held a place."""
        self._hold.add(max(SHORTEST_HOLD, seconds))

    def rate(self, tier: int, now: float) -> float:
        """Returns grants a second of a tier."""
        return self._grants[tier].per_second(now)

    def delay(
        self,
        tier: int,
        present: waiting_requests.WaitingRequests,
        room: places.Places,
        now: float,
    ) -> float:
        """Returns seconds that a new request of a tier would wait.

        Args:
            tier: Its tier.
            present: The requests that wait already.
            room: The cell's places.
            now: The current time.
        """
        if room.slots == 0:
            return NO_PLACE_DELAY
        ahead = max(0, present.up_to(tier) - room.free)
        by_capacity = ahead * self._hold.value / room.slots
        own = len(present.of_tier(tier))
        rate = self.rate(tier, now)
        if own < MIN_QUEUE_FOR_RATE or rate <= 0.0:
            return by_capacity
        return max(by_capacity, own / rate)
