"""For how long a box may trust what it knows of keys and configuration."""


class ConfigFreshness:
    """When the configuration in force was last known to be the newest.

    All times are on the steady clock. A confirmation counts from the moment
    the question was sent, since the answer says nothing of what came later.
    """

    def __init__(self, lifetime_s: float, margin_s: float) -> None:
        """Makes a state in which nothing was confirmed yet.

        Args:
            lifetime_s: Seconds for which a removed key may still be honoured.
            margin_s: Seconds that are kept back for the way to an endpoint.
        """
        self._lifetime_s = lifetime_s
        self._margin_s = margin_s
        self._confirmed_at: float | None = None

    @property
    def confirmed_at(self) -> float | None:
        """When the newest confirmation was asked for, or None."""
        return self._confirmed_at

    def confirm(self, asked_at: float) -> None:
        """Notes that the configuration was the newest at a moment."""
        if self._confirmed_at is None or asked_at > self._confirmed_at:
            self._confirmed_at = asked_at

    def forget(self) -> None:
        """Drops all confirmations: a newer version is known to exist."""
        self._confirmed_at = None

    def age_s(self, now: float) -> float | None:
        """Returns the age of the newest confirmation, or None."""
        if self._confirmed_at is None:
            return None
        return now - self._confirmed_at

    def covers(self, received_at: float) -> bool:
        """Returns whether keys may be honoured for a request.

        Args:
            received_at: When the request came.
        """
        age = self.age_s(received_at)
        return age is not None and age < self._lifetime_s - self._margin_s
