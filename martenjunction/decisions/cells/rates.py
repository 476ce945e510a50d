"""Event rates measured with an exponentially decaying count."""

import math


class Rate:
    """Events per second over roughly the last `window` seconds."""

    def __init__(self, window: float = 5.0) -> None:
        """Initializes a rate of zero.

        Args:
            window: Time constant of the decay in seconds.
        """
        self._window = window
        self._count = 0.0
        self._updated_at = 0.0
        self._started_at: float | None = None

    def add(self, now: float, count: float = 1.0) -> None:
        """Records events."""
        if self._started_at is None:
            self._started_at = now
        self._count = self._decayed_count(now) + count
        self._updated_at = now

    def per_second(self, now: float) -> float:
        """Returns the events per second."""
        if self._started_at is None:
            return 0.0
        # Corrects for the shorter observation time before a full window.
        observed_s = self._window * (
            1.0 - math.exp(-(now - self._started_at) / self._window)
        )
        return self._decayed_count(now) / max(observed_s, 0.1)

    def _decayed_count(self, now: float) -> float:
        return self._count * math.exp(
            -max(0.0, now - self._updated_at) / self._window
        )
