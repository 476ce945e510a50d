"""How many requests fail at an endpoint, over all boxes.

Answers the load pattern of hundreds of boxes before a service whose endpoint
fails while its health check is good: each box sends it a request every few
seconds only, so that alone it learns of the failures when they are over.
"""

from collections.abc import Iterable

from martenjunction.decisions import estimates

# Time constant in seconds of the rates.
DECAY_S = 3.0

# Requests without a failure that an endpoint is credited with, so that a single
# failure does not count as if all failed.
PRIOR_REQUESTS = 3.0

# Failures per second below which an endpoint does not count as failing.
NEGLIGIBLE_PER_S = 0.02

# Rates are told as integers of this part of a request per second.
UNIT_PER_S = 0.01

# Seconds after which what another box reported expires.
PEER_LIFETIME_S = 2.0


class EndpointOutcomes:
    """Rates of requests that ended and that failed at one endpoint."""

    def __init__(self) -> None:
        self._ended = estimates.DecayingRate(DECAY_S)
        self._failed = estimates.DecayingRate(DECAY_S)
        self._peers: dict[str, tuple[float, float, float]] = {}
        self._is_failing = False

    @property
    def is_failing(self) -> bool:
        """Whether a request failed there lately, at any box."""
        return self._is_failing

    def record(self, failed: bool, now: float) -> None:
        """Records the end of a request of this box."""
        self._ended.add(1.0, now)
        if failed:
            self._failed.add(1.0, now)
            self._is_failing = True

    def own_rates(self, now: float) -> tuple[float, float]:
        """Returns this box's requests that ended and failed per second."""
        return self._ended.rate(now), self._failed.rate(now)

    def told_rates(
        self, unhealthy: bool, now: float
    ) -> tuple[float, float] | None:
        """Returns what the other boxes are told; None for nothing.

        Requests left unanswered, and a failed health check after them, are
        told as one failure, which is taken back with the doubt.

        Args:
            unhealthy: Whether the endpoint is in doubt by both.
            now: The current time.
        """
        if not unhealthy and not self.failure_part(now):
            return None
        ended, failed = self.own_rates(now)
        doubt_per_s = unhealthy / DECAY_S
        return ended + doubt_per_s, failed + doubt_per_s

    def update_peer(
        self, source: str, ended: float, failed: float, now: float
    ) -> None:
        """Replaces the rates of another box, or of all others together."""
        self._peers[source] = now, ended, failed
        if failed:
            self._is_failing = True

    def remove_peer(self, source: str) -> None:
        """Removes the rates of another box, which reports none any more."""
        self._peers.pop(source, None)

    def failure_part(self, now: float) -> float:
        """Returns the part of the requests of all boxes that fail."""
        if not self._is_failing:
            return 0.0
        ended, failed = self.own_rates(now)
        for source, (at, peer_ended, peer_failed) in list(self._peers.items()):
            if now - at > PEER_LIFETIME_S:
                del self._peers[source]
                continue
            ended += peer_ended
            failed += peer_failed
        self._is_failing = failed >= NEGLIGIBLE_PER_S
        return failed / (ended + PRIOR_REQUESTS / DECAY_S)


def to_units(rates: Iterable[float]) -> tuple[int, ...]:
    """Returns rates per second as integers, for messages."""
    return tuple(round(rate / UNIT_PER_S) for rate in rates)
