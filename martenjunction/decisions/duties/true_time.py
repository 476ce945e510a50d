"""The time of day in spite of steps of this box's clock.

Answers the pattern of boxes whose time of day jumps by seconds and back, while
windows of usage are of true time. The time of day at the start runs on with the
monotonic clock. Small differences are followed slowly, and a jump only once it
has lasted.
"""

# Difference in seconds above which the clock has jumped.
JUMP_S = 0.25

# Fraction of a small difference that is corrected at each update.
CORRECTION = 0.05

# Seconds after which a jump is followed.
JUMP_LASTS_S = 60.0


class TrueTime:
    """Estimates the time of day on one box."""

    def __init__(self, wall: float, now: float) -> None:
        """Initializes the clock.

        Args:
            wall: The time of day of this box in seconds since 1970.
            now: The current time on the monotonic clock.
        """
        self._offset = wall - now
        self._jumped_at: float | None = None

    def at(self, now: float) -> float:
        """Returns seconds since 1970 at a time of the monotonic clock."""
        return now + self._offset

    def update(self, wall: float, now: float) -> None:
        """Compares the estimate with the clock; called at intervals.

        Args:
            wall: The time of day of this box.
            now: The current time.
        """
        difference = wall - now - self._offset
        if abs(difference) <= JUMP_S:
            self._jumped_at = None
            self._offset += CORRECTION * difference
        elif self._jumped_at is None:
            self._jumped_at = now
        elif now - self._jumped_at >= JUMP_LASTS_S:
            self._jumped_at = None
            self._offset += difference
