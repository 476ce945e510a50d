"""Prefill demand of a service's requests.

Long prompts may burst, or engines may be lost, while short streams run that
tolerate no pauses. Engines are therefore divided between the two in proportion
to the demand of each instead of by fixed fractions. Refused requests count as
well: a division by what was sent would keep refusing them.
"""

import dataclasses

from martenjunction.decisions import estimates

# Time constant in seconds of the exponential decay of the demand. Bursts last
# for 5 to 9 s, and boxes that exchange their demand every 0.2 to 0.5 s must
# arrive at the same division.
DECAY_S = 3.0

# Seconds after which the demand reported by another box expires.
PEER_LIFETIME_S = 1.5


@dataclasses.dataclass(frozen=True, slots=True)
class PrefillRates:
    """Prefill demand in prompt tokens per second.

    Attributes:
        short: Demand of requests with short prompts.
        long: Demand of requests with long prompts.
    """

    short: float = 0.0
    long: float = 0.0


class PrefillDemand:
    """Prefill demand of one service's requests at all boxes."""

    def __init__(self) -> None:
        self._short = estimates.DecayingRate(DECAY_S)
        self._long = estimates.DecayingRate(DECAY_S)
        self._peers: dict[str, tuple[float, PrefillRates]] = {}

    def record_request(self, tokens: int, is_long: bool, now: float) -> None:
        """Records a request of this box.

        Args:
            tokens: Prompt tokens that have to be prefilled for it.
            is_long: Whether its prompt is long.
            now: The current time.
        """
        (self._long if is_long else self._short).add(tokens, now)

    def own_rates(self, now: float) -> PrefillRates:
        """Returns the demand of this box."""
        return PrefillRates(self._short.rate(now), self._long.rate(now))

    def update_peer(self, box: str, rates: PrefillRates, now: float) -> None:
        """Replaces the demand reported by another box."""
        self._peers[box] = (now, rates)

    def peer_rates(self, now: float) -> PrefillRates:
        """Returns the demand of the other boxes with a current report."""
        for box, (reported_at, _) in list(self._peers.items()):
            if now - reported_at > PEER_LIFETIME_S:
                del self._peers[box]
        rates = [reported for _, reported in self._peers.values()]
        return PrefillRates(
            sum(rate.short for rate in rates), sum(rate.long for rate in rates)
        )

    def total_rates(self, now: float) -> PrefillRates:
        """Returns the demand of all boxes with a current report."""
        own, peers = self.own_rates(now), self.peer_rates(now)
        return PrefillRates(own.short + peers.short, own.long + peers.long)
