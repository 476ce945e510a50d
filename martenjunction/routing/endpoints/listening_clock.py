"""Tells time that pauses while this box is stalled."""

import math

# Maximum time between two ticks, in seconds, that counts as listening time.
# Ticks are due every 0.1 s; a longer gap means that this box was stalled.
MAX_TICK_GAP_S = 0.15


class ListeningClock:
    """A clock that pauses while this box is stalled.

    Bytes sent by endpoints during a stall are not read yet. Counted on the
    steady clock, one stall would make all endpoints look silent and slow.
    """

    def __init__(self) -> None:
        """Initializes a clock that has not ticked yet."""
        self._last_tick_at = math.inf
        self._stalled_s = 0.0

    def tick(self, now: float) -> None:
        """Records that this box listened until now."""
        self._stalled_s += self._stall_s(now)
        self._last_tick_at = now

    def time(self, now: float) -> float:
        """Returns the time on this clock."""
        return now - self._stalled_s - self._stall_s(now)

    def _stall_s(self, now: float) -> float:
        return max(0.0, now - self._last_tick_at - MAX_TICK_GAP_S)
