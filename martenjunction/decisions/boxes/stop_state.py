"""Whether a box is being stopped, and since when."""

from martenjunction.decisions import stop_admission


class StopState:
    """The steps of a box's end."""

    def __init__(self) -> None:
        """Initializes the state of a box that runs."""
        self._leaving_since: float | None = None
        self._limit_s = 0.0
        self._stopping = False

    @property
    def leaving(self) -> bool:
        """Whether a graceful shutdown has begun."""
        return self._leaving_since is not None

    @property
    def ending(self) -> bool:
        """Whether the box ends, gracefully or at once."""
        return self.leaving or self._stopping

    def leave(self, now: float, limit_s: float) -> None:
        """Records that a graceful shutdown begins.

        Args:
            now: The current time.
            limit_s: Seconds after which it ends the remaining requests.
                Settings that change later do not concern it.
        """
        self._leaving_since = now
        self._limit_s = limit_s

    def stop(self) -> None:
        """Records that the box stops at once."""
        self._stopping = True

    def leaving_for_s(self, now: float) -> float | None:
        """Returns seconds since a graceful shutdown began, or None."""
        if self._leaving_since is None:
            return None
        return now - self._leaving_since

    def stop_time(self, now: float) -> stop_admission.StopTime | None:
        """Returns how far the box's end is, or None while it runs."""
        since_s = self.leaving_for_s(now)
        if self._stopping:
            return stop_admission.StopTime(since_s or 0.0, 0.0)
        if since_s is None:
            return None
        return stop_admission.StopTime(since_s, self._limit_s)
