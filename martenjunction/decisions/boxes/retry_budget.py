"""Retry budget of each service.

Load pattern: all boxes start at once, before any knows of the others, and each
meets requests that fail. The allowance is of the whole fleet, so a box that may
not know its peers yet must not take itself for the only one.
"""

import collections
from collections.abc import Callable

# Fractions of the allowed retries that one box uses: other boxes may receive
# fewer requests than assumed, and a restarted box forgets its retries.
RATIO_FRACTION = 0.6
ALLOWANCE_FRACTION = 0.5

# Retries of a box that may not know its peers: boxes of a fleet of up to half
# as many as the allowance keep to it together.
UNKNOWN_SHARE = 2.0


class RetryBudget:
    """The retries of one box, limited by service to the box's share."""

    def __init__(
        self,
        ratio: float,
        allowance: float,
        window_s: float,
        boxes: Callable[[], int | None],
    ) -> None:
        """Initializes the budget.

        Args:
            ratio: Retries allowed per request, over all boxes.
            allowance: Retries allowed in addition, over all boxes.
            window_s: Length in seconds of the sliding window for both.
            boxes: Returns the maximum number of boxes, or None as long as this
                box may not know of all.
        """
        self._ratio = ratio * RATIO_FRACTION
        self._allowance = allowance * ALLOWANCE_FRACTION
        self._window_s = window_s
        self._boxes = boxes
        self._requests: dict[str, collections.deque[float]] = {}
        self._retries: dict[str, collections.deque[float]] = {}
        self._refused = 0

    @property
    def refused(self) -> int:
        """Number of retries that were not granted."""
        return self._refused

    def record_request(self, service: str, now: float) -> None:
        """Records a request for a service."""
        self._add(self._requests, service, now)

    def is_available(self, service: str, now: float) -> bool:
        """Returns whether the budget allows a retry."""
        requests = self._count(self._requests, service, now)
        retries = self._count(self._retries, service, now)
        return retries + 1 <= requests * self._ratio + self._share()

    def try_acquire(self, service: str, now: float) -> bool:
        """Consumes a retry if the budget allows it; returns whether it did."""
        if not self.is_available(service, now):
            self._refused += 1
            return False
        self._add(self._retries, service, now)
        return True

    def _share(self) -> float:
        """Returns the box's share of the allowance."""
        boxes = self._boxes()
        if boxes is None:
            return min(UNKNOWN_SHARE, self._allowance)
        return self._allowance / max(1, boxes)

    def _add(
        self,
        table: dict[str, collections.deque[float]],
        service: str,
        now: float,
    ) -> None:
        # Drops expired entries, so that a service without retries keeps no more
        # than one window.
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
