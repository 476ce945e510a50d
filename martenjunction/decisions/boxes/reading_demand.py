"""How many prompt tokens a service's requests ask its engines to read.

Answers a load in which long prompts burst, or engines are lost, while short
streams run that may not pause: engines are divided between the two by what
each asks for, not by fixed parts. Refused requests count, since a division by
what was sent would keep refusing them.
"""

import dataclasses
import math

# Seconds after which a request counts a third in what is asked for. Bursts
# last for 5 to 9 s, and boxes that tell each other each 0.2 to 0.5 s must come
# to the same division.
MEMORY_S = 3.0

# Seconds for which another box's word counts.
PEER_LIFETIME_S = 1.5


@dataclasses.dataclass(frozen=True, slots=True)
class ReadingRates:
    """Prompt tokens that are asked to be read in a second.

    Attributes:
        short: Of requests with short prompts.
        long: Of requests with long ones.
    """

    short: float = 0.0
    long: float = 0.0


class ReadingDemand:
    """What all boxes' requests of one service ask to be read."""

    def __init__(self) -> None:
        self._short = _Decaying()
        self._long = _Decaying()
        self._peers: dict[str, tuple[float, ReadingRates]] = {}

    def note(self, tokens: int, is_long: bool, now: float) -> None:
        """Notes a request of this box.

        Args:
            tokens: Prompt tokens that it needs to have read.
            is_long: Whether its prompt is long.
            now: The current time.
        """
        (self._long if is_long else self._short).add(tokens, now)

    def own(self, now: float) -> ReadingRates:
        """Returns what this box's requests ask for."""
        return ReadingRates(self._short.rate(now), self._long.rate(now))

    def take_peer(self, box: str, rates: ReadingRates, now: float) -> None:
        """Notes what another box's requests ask for."""
        self._peers[box] = (now, rates)

    def total(self, now: float) -> ReadingRates:
        """Returns what the requests of all boxes that are heard ask for."""
        for box, (heard, _) in list(self._peers.items()):
            if now - heard > PEER_LIFETIME_S:
                del self._peers[box]
        rates = [self.own(now), *(told for _, told in self._peers.values())]
        return ReadingRates(
            sum(rate.short for rate in rates), sum(rate.long for rate in rates)
        )


class _Decaying:
    """Tokens a second, recent ones weighing more."""

    def __init__(self) -> None:
        self._sum = 0.0
        self._at = -math.inf

    def add(self, tokens: int, now: float) -> None:
        self._sum = self._left(now) + tokens
        self._at = now

    def rate(self, now: float) -> float:
        return self._left(now) / MEMORY_S

    def _left(self, now: float) -> float:
        return self._sum * math.exp(min(0.0, self._at - now) / MEMORY_S)
