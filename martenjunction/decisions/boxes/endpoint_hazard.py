"""How often runs end with their endpoint, whatever the request is."""

import collections
from collections.abc import Collection
import dataclasses
import math

# Seconds over which runs are counted.
WINDOW_S = 10.0

# How often at most a request may be taken for one that ends endpoints, where
# they ended by themselves under each of its runs. With 2 in 100, 1 of some 170
# contents was, on a day on which one of five engines ended each second.
MISTAKE_PART = 0.001

# Ends one after the other below which no request is quarantined, and those that
# suffice while most other runs are answered: beyond the third end that all
# boxes know of, three more arrivals are borne, one of them for a later trial.
LEAST_ENDS = 3
MOST_ENDS = 5
MOST_ENDS_UP_TO = 0.5

# Runs, and those of them that ended with their endpoint, that count as seen
# from the start. Few runs are seen: without these, boxes that by luck saw no
# end would be satisfied with three where each fifth run ends so.
RUNS_BEFORE = 10
ENDED_BEFORE = 2


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

        It is a fifth where no run was seen.

        Args:
            explained: Endpoints whose end the request itself may explain.
            now: The current time.
        """
        self._forget(now)
        died = sum(d.endpoint_id not in explained for d in self._deaths)
        answered = self._answered.total()
        return (died + ENDED_BEFORE) / (answered + died + RUNS_BEFORE)

    def ends_needed(self, explained: Collection[str], now: float) -> int:
        """Returns how many ends in a row chance hardly brings about.

        Args:
            explained: Endpoints whose end the request itself may explain.
            now: The current time.
        """
        part = self.part(explained, now)
        needed = math.ceil(math.log(MISTAKE_PART) / math.log(part))
        if part <= MOST_ENDS_UP_TO:
            needed = min(needed, MOST_ENDS)
        return max(LEAST_ENDS, needed)

    def _forget(self, now: float) -> None:
        for second in [s for s in self._answered if s < now - WINDOW_S]:
            del self._answered[second]
        while self._deaths and self._deaths[0].at < now - WINDOW_S:
            self._deaths.popleft()
