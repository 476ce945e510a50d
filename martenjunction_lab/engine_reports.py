"""What a stand-in of a model engine says of its load, late where told so."""

import collections
import time

# Reports that are remembered, to be told late.
MAX_REPORTS = 400


class LoadReports:
    """The loads of the last while, for a report that lags."""

    def __init__(self) -> None:
        self._seen: collections.deque[tuple[float, int, int]] = (
            collections.deque(maxlen=MAX_REPORTS)
        )

    def report(
        self, load: tuple[int, int], lag_s: float, false_idle: bool
    ) -> dict[str, float]:
        """Returns the load as it is reported, lag and lies included.

        Args:
            load: Requests in the batch and in the queue now.
            lag_s: Seconds by which the report lags.
            false_idle: Whether it says that the engine is idle.
        """
        now = time.monotonic()
        running, waiting = load
        self._seen.append((now, running, waiting))
        measured = now
        if lag_s > 0:
            old = [r for r in self._seen if r[0] <= now - lag_s]
            measured, running, waiting = old[-1] if old else (now - lag_s, 0, 0)
        if false_idle:
            running = waiting = 0
        age_ms = (now - measured) * 1000
        return {"running": running, "waiting": waiting, "age_ms": age_ms}
