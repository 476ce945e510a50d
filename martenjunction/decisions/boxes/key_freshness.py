"""For how long a box may trust what it knows of keys and configuration."""

# Part of the time within which a change has to be in force for which a box
# serves on although it has heard of a newer configuration. It gets that within
# 0.1 s as a rule; one that does not is short of time or of bandwidth, and its
# clients are better served by another box.
SERVED_BEHIND_PART = 0.6


class ConfigFreshness:
    """When the configuration in force was last known to be the newest.

    All times are on the steady clock. A confirmation counts from the moment
    the question was sent, since the answer says nothing of what came later.
    """

    def __init__(
        self, lifetime_s: float, margin_s: float, change_s: float
    ) -> None:
        """Makes a state in which nothing was confirmed yet.

        Args:
            lifetime_s: Seconds for which a removed key may still be honoured.
            margin_s: Seconds that are kept back for the way to an endpoint.
            change_s: Seconds within which a change has to be in force.
        """
        self._lifetime_s = lifetime_s
        self._margin_s = margin_s
        self._served_behind_s = change_s * SERVED_BEHIND_PART
        self._confirmed_at: float | None = None
        self._newer: dict[int, float] = {}

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

    def heard_of(self, version: int, now: float) -> bool:
        """Notes that a newer configuration exists; returns whether it is news.

        Args:
            version: Its version, which is not in force here.
            now: The current time.
        """
        if version in self._newer:
            return False
        self._newer[version] = now
        return True

    def caught_up(self, version: int, now: float) -> float:
        """Notes that a version is in force here.

        Args:
            version: The version.
            now: The current time.

        Returns:
            Seconds since this box first heard of something it did not have.
        """
        behind_s = self.behind_s(now)
        self._newer = {v: at for v, at in self._newer.items() if v > version}
        return behind_s

    def nobody_has(self, above: int) -> None:
        """Notes that no box that is heard has a version above one.

        What only a box knew that is gone must not keep this one from serving.

        Args:
            above: The highest version that is heard of.
        """
        for version in [v for v in self._newer if v > above]:
            del self._newer[version]

    def behind_s(self, now: float) -> float:
        """Returns for how long a known change has not been in force here.

        Args:
            now: The current time.
        """
        return now - min(self._newer.values(), default=now)

    def lags(self, now: float) -> bool:
        """Returns whether this box is too far behind to judge requests.

        Args:
            now: The current time.
        """
        return self.behind_s(now) > self._served_behind_s

    def covers(self, received_at: float) -> bool:
        """Returns whether keys may be honoured for a request.

        Args:
            received_at: When the request came.
        """
        age = self.age_s(received_at)
        return age is not None and age < self._lifetime_s - self._margin_s
