"""How often runs end with their endpoint, whatever the request is."""

import collections
from collections.abc import Collection
import dataclasses
import math

# Seconds over which runs are counted.
WINDOW_S = 10.0

# How often at most a request may be taken for one that ends endpoints, where
# they ended by themselves under each of its runs: 3 ends suffice while up to
# 27 of 100 runs of others end so, and 6 where nothing else was seen.
MISTAKE_PART = 0.02

# Ends one after the other below which no request is quarantined.
LEAST_ENDS = 3


@dataclasses.dataclass(frozen=True, slots=True)
class _Death:
    at: float
    endpoint_id: str


# Ends that are remembered at most.
MAX_DEATHS = 1024


class EndpointHazard:
    """Runs of one service that a box has seen to end, over some seconds."""

    def __init__(self) -> None:
        """Makes a count of nothing."""
        self._answered: collections.Counter[int] = collections.Counter()
        self._deaths: collections.deque[_Death] = collections.deque(
            maxlen=MAX_DEATHS
        )

    def answered(self, now: float) -> None:
        """Notes that an endpoint answered a run in full."""
        self._answered[int(now)] += 1

    def ended(self, endpoint_id: str, now: float) -> None:
        """Notes that an endpoint ended under a run."""
        self._deaths.append(_Death(now, endpoint_id))

    def part(self, explained: Collection[str], now: float) -> float:
        """Returns the part of other runs that end with their endpoint.

        By the rule of succession, so that it is a half where no run was seen.

        Args:
            explained: Endpoints whose end the request itself may explain.
            now: The current time.
        """
        self._forget(now)
        died = sum(d.endpoint_id not in explained for d in self._deaths)
        answered = self._answered.total()
        return (died + 1) / (answered + died + 2)

    def ends_needed(self, explained: Collection[str], now: float) -> int:
        """Returns how many ends in a row chance hardly brings about.

        Args:
            explained: Endpoints whose end the request itself may explain.
            now: The current time.
        """
        part = self.part(explained, now)
        chance = math.log(MISTAKE_PART) / math.log(part)
        return max(LEAST_ENDS, math.ceil(chance))

    def _forget(self, now: float) -> None:
        for second in [s for s in self._answered if s < now - WINDOW_S]:
            del self._answered[second]
        while self._deaths and self._deaths[0].at < now - WINDOW_S:
            self._deaths.popleft()
