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
MAX_FALSE_POSITIVE_RATE = 0.001

# Bounds of the number of consecutive crashes that lead to quarantine. The upper
# bound applies only while most other runs are answered: after the third crash
# that all boxes know of, at most three more requests may reach an endpoint, one
# of them as a later trial.
MIN_CRASHES = 3
MAX_CRASHES = 5
MAX_CRASHES_UP_TO_RATE = 0.5

# Prior counts of runs and of runs that crashed. Boxes see few runs: without the
# prior, a box that happened to see no crash would quarantine after three
# crashes although every fifth run crashes.
PRIOR_RUNS = 10
PRIOR_CRASHES = 2


@dataclasses.dataclass(frozen=True, slots=True)
class _Crash:
    at: float
    endpoint_id: str


# Maximum number of crashes that are remembered.
MAX_REMEMBERED_CRASHES = 1024


class CrashRate:
    """Outcomes of one service's runs seen by a box in a sliding window."""

    def __init__(self) -> None:
        """Initializes the counts with zero."""
        self._answers: collections.Counter[int] = collections.Counter()
        self._crashes: collections.deque[_Crash] = collections.deque(
            maxlen=MAX_REMEMBERED_CRASHES
        )

    def record_answer(self, now: float) -> None:
        """Records that an endpoint completed a run."""
        self._answers[int(now)] += 1

    def record_crash(self, endpoint_id: str, now: float) -> None:
        """Records that an endpoint crashed during a run."""
        self._crashes.append(_Crash(now, endpoint_id))

    def rate(self, explained: Collection[str], now: float) -> float:
        """Returns the fraction of other runs whose endpoint crashes.

        The prior is a fifth if no run was seen.

        Args:
            explained: Endpoints whose crash the request itself may have caused.
            now: The current time.
        """
        self._expire(now)
        crashed = sum(
            crash.endpoint_id not in explained for crash in self._crashes
        )
        answered = self._answers.total()
        return (crashed + PRIOR_CRASHES) / (answered + crashed + PRIOR_RUNS)

    def crashes_needed(self, explained: Collection[str], now: float) -> int:
        """Returns how many consecutive crashes are unlikely to be chance.

        Args:
            explained: Endpoints whose crash the request itself may have caused.
            now: The current time.
        """
        rate = self.rate(explained, now)
        needed = math.ceil(math.log(MAX_FALSE_POSITIVE_RATE) / math.log(rate))
        if rate <= MAX_CRASHES_UP_TO_RATE:
            needed = min(needed, MAX_CRASHES)
        return max(MIN_CRASHES, needed)

    def _expire(self, now: float) -> None:
        for second in [s for s in self._answers if s < now - WINDOW_S]:
            del self._answers[second]
        while self._crashes and self._crashes[0].at < now - WINDOW_S:
            self._crashes.popleft()
