"""One line for each decision, bounded in rate and never blocking."""

from collections.abc import Callable
from typing import Any

import eliot

# Lines of one kind in a second; those beyond are only counted.
MAX_LINES_PER_S = 40


class DecisionLog:
    """Writes decisions to the log and counts what it leaves out."""

    def __init__(self, now: Callable[[], float]) -> None:
        """Makes a log.

        Args:
            now: Returns seconds on the steady clock.
        """
        self._now = now
        self._second: dict[str, int] = {}
        self._lines: dict[str, int] = {}
        self._left_out: dict[str, int] = {}

    @property
    def left_out(self) -> dict[str, int]:
        """Lines that were left out so far, by kind."""
        return dict(self._left_out)

    def write(self, kind: str, **fields: Any) -> None:
        """Writes a line, unless there were too many of its kind.

        Args:
            kind: What was decided.
            fields: What it was decided from, and the outcome.
        """
        now = self._now()
        second = int(now)
        if self._second.get(kind) != second:
            self._second[kind] = second
            self._lines[kind] = 0
        self._lines[kind] += 1
        if self._lines[kind] > MAX_LINES_PER_S:
            self._left_out[kind] = self._left_out.get(kind, 0) + 1
            return
        eliot.log_message(kind, at=round(now, 4), **fields)
