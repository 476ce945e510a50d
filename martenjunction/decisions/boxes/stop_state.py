"""Whether a box is being stopped, and since when."""


class StopState:
    """The steps of a box's end."""

    def __init__(self) -> None:
        """Initializes the state of a box that runs."""
        self._leaving_since: float | None = None
        self._stopping = False

    @property
    def leaving(self) -> bool:
        """Whether a graceful shutdown has begun."""
        return self._leaving_since is not None

    @property
    def ending(self) -> bool:
        """Whether the box ends, gracefully or at once."""
        return self.leaving or self._stopping

    def leave(self, now: float) -> None:
        """Records that a graceful shutdown begins."""
        self._leaving_since = now

    def stop(self) -> None:
        """Records that the box stops at once."""
        self._stopping = True

    def leaving_for_s(self, now: float) -> float | None:
        """Returns seconds since a graceful shutdown began, or None."""
        if self._leaving_since is None:
            return None
        return now - self._leaving_since
