"""Reports the usage of each window to the platform."""

from collections.abc import Callable
import random
from typing import Any

import msgspec

from martenjunction import errors
from martenjunction.decisions.duties import usage_counts
from martenjunction.duties import duty
from martenjunction.duties import record
from martenjunction.platform import box_settings
from martenjunction.platform import duty_calls
from martenjunction.routing.log import decision_log

# Seconds after the end of a window at which its counts are recorded: boxes tell
# theirs each 0.3 s over a few hops, and after a lost parent again.
GATHER_S = 1.5

# Seconds after the end of a window at which its report is given up.
GIVE_UP_S = 120.0

# Windows before the one in progress that a holder without a record reports.
FIRST_BACKLOG = 1

# Maximum number of windows that are recorded at once.
MAX_BACKLOG = 24

# Bounds in seconds of the pause before a report is repeated.
MIN_PAUSE_S = 0.3
MAX_PAUSE_S = 4.0


class UsageDuty:
    """Records the counts of a window, sends them, and settles the window."""

    def __init__(
        self,
        settings: box_settings.DutySettings,
        counts: usage_counts.UsageCounts,
        calls: duty_calls.DutyCalls,
        wall_time: Callable[[float], float],
        log: decision_log.DecisionLog,
        rng: random.Random,
    ) -> None:
        """Initializes the duty.

        Args:
            settings: Length of the windows, and when they are due.
            counts: What all boxes have counted.
            calls: Makes the reports.
            wall_time: Returns seconds since 1970 at a monotonic time.
            log: Receives a line for each window.
            rng: Random source for jitter.
        """
        self._settings = settings
        self._counts = counts
        self._calls = calls
        self._wall_time = wall_time
        self._log = log
        self._rng = rng
        self._accepted: set[int] = set()
        self._next_at: dict[int, float] = {}
        self._pause_s: dict[int, float] = {}
        self._reported = 0
        self._late = 0
        self._unknown = 0
        self._given_up = 0

    def begin(self, held: record.DutyRecord, now: float) -> None:
        """Starts with the windows that are recorded and not settled."""
        self._accepted.clear()
        self._next_at.clear()
        self._pause_s.clear()
        self._counts.settle(held.last_window)

    def prepare(self, held: record.DutyRecord, now: float) -> record.DutyRecord:
        """Records the windows that are complete."""
        complete = self._complete_window(now)
        # The record of a restored store may be older than what was reported.
        last = max(held.last_window, self._counts.settled)
        first = last + 1
        if last < 0:
            first = max(0, complete - FIRST_BACKLOG + 1)
        if complete < first:
            return held
        first = max(first, complete - MAX_BACKLOG + 1)
        added = tuple(
            record.Window(number, self._counts.totals(number))
            for number in range(first, complete + 1)
        )
        kept = [w for w in held.windows if w.number not in self._accepted]
        settled = kept[0].number - 1 if kept else added[0].number - 1
        return msgspec.structs.replace(
            held, settled=settled, windows=(*kept, *added)
        )

    def calls(self, held: record.DutyRecord, now: float) -> list[duty.Call]:
        """Returns the reports that are due."""
        # What is recorded never changes, so the boxes may forget their counts.
        self._counts.settle(held.last_window)
        return [
            self._call(window)
            for window in held.windows
            if window.number not in self._accepted
            and now >= self._next_at.get(window.number, now)
        ]

    def dump(self, now: float) -> dict[str, Any]:
        """Returns the state of the duty, for diagnostics."""
        return {
            "settled": self._counts.settled,
            "reported": self._reported,
            "late": self._late,
            "unknown_outcome": self._unknown,
            "given_up": self._given_up,
            "rows_dropped": self._counts.dropped,
        }

    def _complete_window(self, now: float) -> int:
        """Returns the last window whose counts have been gathered."""
        wall = self._wall_time(now) - GATHER_S
        return int(wall // self._settings.window_s) - 1

    def _call(self, window: record.Window) -> duty.Call:
        async def make(caller: duty_calls.Credentials) -> None:
            await self._calls.report_usage(caller, window.number, window.counts)

        def done(error: Exception | None, now: float) -> None:
            self._note(window, error, now)

        return duty.Call(make, done)

    def _note(
        self, window: record.Window, error: Exception | None, now: float
    ) -> None:
        age_s = self._wall_time(now) - self._settings.window_s * (
            window.number + 1
        )
        if isinstance(error, errors.PlatformUnavailableError):
            self._unknown += 1
        if error is None:
            self._accepted.add(window.number)
            self._reported += 1
            self._late += age_s > self._settings.usage_due_s
        elif isinstance(error, errors.DutyRejectedError) or age_s > GIVE_UP_S:
            self._accepted.add(window.number)
            self._given_up += 1
        else:
            self._postpone(window.number, now)
        self._log.write(
            "usage-reported" if error is None else "usage-not-reported",
            window=window.number,
            age_s=round(age_s, 2),
            requests=sum(window.counts.values()),
            given_up=error is not None and window.number in self._accepted,
            why="" if error is None else str(error),
        )

    def _postpone(self, number: int, now: float) -> None:
        pause_s = self._pause_s.get(number, MIN_PAUSE_S)
        self._pause_s[number] = min(2 * pause_s, MAX_PAUSE_S)
        self._next_at[number] = now + pause_s * self._rng.uniform(0.5, 1.5)


@duty.builders.register(box_settings.Duty.USAGE)
def build(parts: duty.Parts) -> UsageDuty:
    """Builds the duty."""
    return UsageDuty(
        parts.settings,
        parts.counts,
        parts.calls,
        parts.wall_time,
        parts.log,
        parts.rng,
    )
