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
        self._at = 0.0
        self._since: float | None = None

    def add(self, now: float, count: float = 1.0) -> None:
        """Records events."""
        if self._since is None:
            self._since = now
        self._count = self._faded(now) + count
        self._at = now

    def per_second(self, now: float) -> float:
        """Returns the events per second."""
        if self._since is None:
            return 0.0
        # Corrects for the shorter observation time before a full window.
        span = self._window * (
            1.0 - math.exp(-(now - self._since) / self._window)
        )
        return self._faded(now) / max(span, 0.1)

    def _faded(self, now: float) -> float:
        return self._count * math.exp(-max(0.0, now - self._at) / self._window)
