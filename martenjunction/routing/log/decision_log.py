"""Rate-limited, non-blocking log of decisions."""

from collections.abc import Callable
from typing import Any

import eliot

# Maximum lines of one kind per second; further lines are only counted.
MAX_LINES_PER_S = 40


class DecisionLog:
    """Writes decisions to the log and counts dropped lines."""

    def __init__(self, now: Callable[[], float]) -> None:
        """Initializes the log.

        Args:
            now: Returns the steady-clock time in seconds.
        """
        self._now = now
        self._current_second: dict[str, int] = {}
        self._line_counts: dict[str, int] = {}
        self._dropped: dict[str, int] = {}

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
        second = int(now)
        if self._current_second.get(kind) != second:
            self._current_second[kind] = second
            self._line_counts[kind] = 0
        self._line_counts[kind] += 1
        if self._line_counts[kind] > MAX_LINES_PER_S:
            self._dropped[kind] = self._dropped.get(kind, 0) + 1
            return
        eliot.log_message(kind, at=round(now, 4), **fields)
