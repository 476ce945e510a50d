"""When a watch of the store that says nothing is checked by another call.

Load pattern: the answer to a watch is lost, or its connection falls silent,
while the store answers all other calls. A watch without changes is silent as
well, so silence alone tells nothing. Calls are priced, so a watch is checked
only if nothing else has proved lately that it missed no change. A watch that is
merely answered late costs one check for each interval, and no list.
"""

# Part of the time within which a change must be acted upon after which the
# watch is checked. The rest is for the check, other boxes and requests on the
# way.
CHECK_FRACTION = 0.5

# Minimum seconds between two checks, and until the next one after a check that
# failed.
MIN_INTERVAL_S = 0.2
RETRY_S = 0.3


def interval_s(*deadlines_s: float) -> float:
    """Returns the seconds without proof after which a watch is checked.

    Args:
        deadlines_s: Seconds within which changes must be acted upon.
    """
    return max(MIN_INTERVAL_S, CHECK_FRACTION * min(deadlines_s))


class WatchChecks:
    """Schedules the checks of one watch; times are on the steady clock."""

    def __init__(self, interval: float, now: float) -> None:
        """Initializes the schedule as the watch begins.

        Args:
            interval: Seconds without proof after which the watch is checked.
            now: The current time.
        """
        self._interval_s = interval
        self._proved_at = now
        self._not_before = now

    def due_in_s(self, age_s: float | None, now: float) -> float:
        """Returns the seconds until the next check; 0 if it is due.

        Args:
            age_s: Age of what is known by other proof, or None for none.
            now: The current time.
        """
        proved_at = self._proved_at
        if age_s is not None:
            proved_at = max(proved_at, now - age_s)
        due_at = max(proved_at + self._interval_s, self._not_before)
        return max(0.0, due_at - now)

    def note_checked(self, asked_at: float) -> None:
        """Records that a check found no change that was missed.

        Args:
            asked_at: Time at which it was sent.
        """
        self._proved_at = max(self._proved_at, asked_at)

    def note_failed(self, now: float) -> None:
        """Records that a check got no answer."""
        self._not_before = now + RETRY_S
