"""Rate-limited, non-blocking log of decisions."""

import collections
from collections.abc import Callable
from typing import Any

import eliot

# Maximum lines of one kind per second; one line says how many are left out.
MAX_LINES_PER_S = 40


class DecisionLog:
    """Writes decisions to the log and counts dropped lines."""

    def __init__(self, now: Callable[[], float]) -> None:
        """Initializes the log.

        Args:
            now: Returns the steady-clock time in seconds.
        """
        self._now = now
        self._second = 0
        # Lines of the current second by kind, including those left out.
        self._line_counts: collections.Counter[str] = collections.Counter()
        self._dropped: collections.Counter[str] = collections.Counter()

    @property
    def dropped(self) -> dict[str, int]:
        """The number of dropped lines by kind."""
        return dict(self._dropped)

    def write(self, kind: str, **fields: Any) -> None:
        """Writes a line unless the rate limit of its kind is reached.

        Args:
            kind: The kind of decision.
            fields: The inputs and the outcome of the decision.
        """
        now = self._now()
        if int(now) != self._second:
            self._second = int(now)
            self._report_dropped(now)
        self._line_counts[kind] += 1
        if self._line_counts[kind] > MAX_LINES_PER_S:
            self._dropped[kind] += 1
            return
        eliot.log_message(kind, at=round(now, 4), **fields)

    def _report_dropped(self, now: float) -> None:
        """Says which lines of the last second were left out; forgets it."""
        for kind, count in self._line_counts.items():
            if count > MAX_LINES_PER_S:
                eliot.log_message(
                    "lines-left-out",
                    at=round(now, 4),
                    kind=kind,
                    count=count - MAX_LINES_PER_S,
                )
        self._line_counts.clear()
