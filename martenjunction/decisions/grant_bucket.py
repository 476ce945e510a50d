"""Rate limiting of an endpoint that announces a limit.

One box, the endpoint's holder, grants each request that any box sends there.
Boxes may disagree for some seconds on which box is the holder.
"""

# Limits from this one up, in requests per second, are ignored: granting each
# request would cost more than such an endpoint could lose.
MAX_LIMIT_PER_S = 1000.0

# Fraction of a limit that a holder grants, and the fraction in its first
# seconds, while another box may still act as the holder. Two holders together
# stay within one and a half times the limit.
GRANTED_FRACTION = 0.9
WARM_UP_FRACTION = 0.6
WARM_UP_S = 4.0

# Minimum rate in requests per second, whatever the limit. An endpoint with a
# limit of 0 is sent no requests otherwise, and its answers would never announce
# a higher one.
MIN_RATE_PER_S = 0.5

# Capacity of the bucket, and its capacity at the minimum rate. With a larger
# one, or with this one at the minimum rate, two holders would exceed the limit.
MAX_TOKENS = 2.0
MAX_TOKENS_AT_MIN_RATE = 1.0

# Tolerance for rounding errors in the token count.
EPSILON = 1e-6

# Maximum retry delay, in seconds, returned to a refused box.
MAX_RETRY_DELAY_S = 2.0


def effective_limit(limit_per_s: float | None) -> float | None:
    """Returns the limit if it has to be enforced, else None."""
    if limit_per_s is None or limit_per_s >= MAX_LIMIT_PER_S:
        return None
    return limit_per_s


class GrantBucket:
    """A token bucket for one endpoint, at one holder."""

    def __init__(self, now: float) -> None:
        """Initializes an empty bucket.

        It starts empty because a new holder does not know what the previous
        one granted.

        Args:
            now: The current time.
        """
        self._started_at = now
        self._tokens = 0.0
        self._refilled_at = now
        self._last_retry_at = now

    def take(
        self, limit_per_s: float, reachable_fraction: float, now: float
    ) -> float:
        """Grants a request if a token is available.

        Args:
            limit_per_s: The endpoint's limit.
            reachable_fraction: Fraction of the boxes that the holder can reach,
                including itself. Boxes across a network partition have a
                holder of their own.
            now: The current time.

        Returns:
            0 if granted, else the seconds after which to retry. Refused boxes
            get successive retry times, so that they do not all retry at once
            for the same token.
        """
        per_s = self._refill(limit_per_s, reachable_fraction, now)
        if self._tokens >= 1.0 - EPSILON:
            self._tokens -= 1.0
            return 0.0
        refill_s = (1.0 - self._tokens) / per_s
        retry_at = max(now + refill_s, self._last_retry_at + 1.0 / per_s)
        self._last_retry_at = min(
            retry_at, now + max(refill_s, MAX_RETRY_DELAY_S)
        )
        return self._last_retry_at - now

    def capacity(self, limit_per_s: float, now: float) -> int:
        """Returns the number of available tokens if all boxes are reachable.

        Args:
            limit_per_s: The endpoint's limit.
            now: The current time.
        """
        self._refill(limit_per_s, 1.0, now)
        return int(self._tokens + EPSILON)

    def _refill(
        self, limit_per_s: float, reachable_fraction: float, now: float
    ) -> float:
        """Refills the bucket; returns the rate in requests per second."""
        fraction = (
            WARM_UP_FRACTION
            if now - self._started_at < WARM_UP_S
            else GRANTED_FRACTION
        )
        per_s = max(MIN_RATE_PER_S, limit_per_s * fraction * reachable_fraction)
        max_tokens = (
            MAX_TOKENS if per_s > MIN_RATE_PER_S else MAX_TOKENS_AT_MIN_RATE
        )
        added = max(0.0, now - self._refilled_at) * per_s
        self._tokens = min(max_tokens, self._tokens + added)
        self._refilled_at = max(now, self._refilled_at)
        return per_s

    def refund(self) -> None:
        """Returns the token of an unused grant."""
        self._tokens += 1.0
