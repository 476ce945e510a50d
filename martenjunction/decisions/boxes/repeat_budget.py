"""How many arrivals beyond the first a service may get."""

import collections
from collections.abc import Callable

# Parts of the allowed repeats that one box uses: other boxes may see fewer
# requests than we take them to, and a restarted box forgets its repeats.
RATIO_PART = 0.6
ALLOWANCE_PART = 0.5


class RepeatBudget:
    """The repeats of one box, per service, within its share of the bound."""

    def __init__(
        self,
        ratio: float,
        allowance: float,
        window_s: float,
        boxes: Callable[[], int],
    ) -> None:
        """Makes a budget.

        Args:
            ratio: Repeats allowed for each request, over all boxes.
            allowance: Repeats allowed besides, over all boxes.
            window_s: Seconds over which both are counted.
            boxes: Returns how many boxes there may be.
        """
        self._ratio = ratio * RATIO_PART
        self._allowance = allowance * ALLOWANCE_PART
        self._window_s = window_s
        self._boxes = boxes
        self._requests: dict[str, collections.deque[float]] = {}
        self._repeats: dict[str, collections.deque[float]] = {}
        self._refused = 0

    @property
    def refused(self) -> int:
        """Repeats that were asked for and not granted."""
        return self._refused

    def note_request(self, service: str, now: float) -> None:
        """Books a request that came for a service."""
        self._add(self._requests, service, now)

    def take(self, service: str, now: float) -> bool:
        """Books a repeat if there is room for it; returns whether."""
        requests = self._count(self._requests, service, now)
        repeats = self._count(self._repeats, service, now)
        share = self._allowance / max(1, self._boxes())
        if repeats + 1 > requests * self._ratio + share:
            self._refused += 1
            return False
        self._add(self._repeats, service, now)
        return True

    def _add(
        self,
        table: dict[str, collections.deque[float]],
        service: str,
        now: float,
    ) -> None:
        # Counted here too, so that a service without repeats keeps no more
        # than a window.
        self._count(table, service, now)
        table[service].append(now)

    def _count(
        self,
        table: dict[str, collections.deque[float]],
        service: str,
        now: float,
    ) -> int:
        times = table.setdefault(service, collections.deque())
        while times and times[0] < now - self._window_s:
            times.popleft()
        return len(times)
