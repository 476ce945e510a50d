"""Base rate of endpoint crashes during requests, by service."""

import collections
from collections.abc import Collection
import dataclasses
import math

# Length of the counting window in seconds.
WINDOW_S = 10.0

# Maximum probability of quarantining a request whose endpoints crashed
# independently of it during each of its runs. At 0.02, about 1 in 170 contents
# was quarantined on a day on which one of five engines crashed each second.
MISTAKE_PART = 0.001

# Bounds of the number of consecutive crashes that lead to quarantine. The upper
# bound applies only while most other runs are answered: after the third crash
# that all boxes know of, at most three more requests may reach an endpoint, one
# of them as a later trial.
LEAST_ENDS = 3
MOST_ENDS = 5
MOST_ENDS_UP_TO = 0.5

# Prior counts of runs and of runs that crashed. Boxes see few runs: without the
# prior, a box that happened to see no crash would quarantine after three
# crashes although every fifth run crashes.
RUNS_BEFORE = 10
ENDED_BEFORE = 2


@dataclasses.dataclass(frozen=True, slots=True)
class _Death:
    at: float
    endpoint_id: str


# Maximum number of crashes that are remembered.
MAX_DEATHS = 1024


class EndpointHazard:
    """Outcomes of one service's runs seen by a box in a sliding window."""

    def __init__(self) -> None:
        """Initializes the counts with zero."""
        self._answered: collections.Counter[int] = collections.Counter()
        self._deaths: collections.deque[_Death] = collections.deque(
            maxlen=MAX_DEATHS
        )

    def answered(self, now: float) -> None:
        """Records that an endpoint completed a run."""
        self._answered[int(now)] += 1

    def ended(self, endpoint_id: str, now: float) -> None:
        """Records that an endpoint crashed during a run."""
        self._deaths.append(_Death(now, endpoint_id))

    def part(self, explained: Collection[str], now: float) -> float:
        """Returns the fraction of other runs whose endpoint crashes.

        The prior is a fifth if no run was seen.

        Args:
            explained: Endpoints whose crash the request itself may have caused.
            now: The current time.
        """
        self._forget(now)
        died = sum(d.endpoint_id not in explained for d in self._deaths)
        answered = self._answered.total()
        return (died + ENDED_BEFORE) / (answered + died + RUNS_BEFORE)

    def ends_needed(self, explained: Collection[str], now: float) -> int:
        """Returns how many consecutive crashes are unlikely to be chance.

        Args:
            explained: Endpoints whose crash the request itself may have caused.
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
