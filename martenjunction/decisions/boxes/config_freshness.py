"""Limits on the age of the keys and configuration that a box uses."""

# Fraction of the deadline for applying a change during which a box keeps
# serving although it knows of a newer configuration. It normally receives that
# within 0.1 s. A box that does not is short of CPU time or bandwidth, and its
# clients are better served by another box.
MAX_LAG_FRACTION = 0.6


class ConfigFreshness:
    """Tracks when the active configuration was last known to be the newest.

    All times are on the steady clock. A confirmation counts from the time at
    which the query was sent, because the response says nothing about later
    changes.
    """

    def __init__(
        self, lifetime_s: float, margin_s: float, change_s: float
    ) -> None:
        """Initializes the state without any confirmation.

        Args:
            lifetime_s: Seconds for which a removed key may still be accepted.
            margin_s: Seconds reserved for delivery of a request to an endpoint.
            change_s: Deadline in seconds for applying a change.
        """
        self._lifetime_s = lifetime_s
        self._margin_s = margin_s
        self._max_lag_s = change_s * MAX_LAG_FRACTION
        self._confirmed_at: float | None = None
        self._newer: dict[int, float] = {}

    @property
    def confirmed_at(self) -> float | None:
        """Time at which the latest confirmation was requested, or None."""
        return self._confirmed_at

    def confirm(self, asked_at: float) -> None:
        """Records that the configuration was the newest at a given time."""
        if self._confirmed_at is None or asked_at > self._confirmed_at:
            self._confirmed_at = asked_at

    def invalidate(self) -> None:
        """Drops all confirmations because a newer version exists."""
        self._confirmed_at = None

    def age_s(self, now: float) -> float | None:
        """Returns the age in seconds of the latest confirmation, or None."""
        if self._confirmed_at is None:
            return None
        return now - self._confirmed_at

    def note_newer_version(self, version: int, now: float) -> bool:
        """Records a newer version; returns whether it was unknown before.

        Args:
            version: The version, which is not active here.
            now: The current time.
        """
        if version in self._newer:
            return False
        self._newer[version] = now
        return True

    def note_applied_version(self, version: int, now: float) -> float:
        """Records that a version is active here.

        Args:
            version: The version.
            now: The current time.

        Returns:
            Seconds for which this box has known of a version that it did not
            have.
        """
        lag_s = self.lag_s(now)
        self._newer = {v: at for v, at in self._newer.items() if v > version}
        return lag_s

    def drop_versions_above(self, above: int) -> None:
        """Drops versions that no connected box has.

        A version known only to a box that is gone must not keep this box from
        serving.

        Args:
            above: The highest version that any connected box has.
        """
        for version in [v for v in self._newer if v > above]:
            del self._newer[version]

    def lag_s(self, now: float) -> float:
        """Returns the seconds for which a known change has not been active.

        Args:
            now: The current time.
        """
        return now - min(self._newer.values(), default=now)

    def is_lagging(self, now: float) -> bool:
        """Returns whether this box is too far behind to authorize requests.

        Args:
            now: The current time.
        """
        return self.lag_s(now) > self._max_lag_s

    def allows_keys_at(self, received_at: float) -> bool:
        """Returns whether keys may be accepted for a request.

        Args:
            received_at: Time at which the request was received.
        """
        age = self.age_s(received_at)
        return age is not None and age < self._lifetime_s - self._margin_s
