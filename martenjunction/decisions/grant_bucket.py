"""Rate limiting of an endpoint that announces a limit.

One box, the endpoint's holder, grants each request that any box sends there.
Boxes may disagree for some seconds on which box is the holder.
"""

# Limits from this one up, in requests per second, are ignored: granting each
# request would cost more than such an endpoint could lose.
MOST_PER_S = 1000.0

# Fraction of a limit that a holder grants, and the fraction in its first
# seconds, while another box may still act as the holder. Two holders together
# stay within one and a half times the limit.
GRANTED_PART = 0.9
FIRST_PART = 0.6
FIRST_S = 4.0

# Minimum rate in requests per second, whatever the limit. An endpoint with a
# limit of 0 is sent no requests otherwise, and its answers would never announce
# a higher one.
LEAST_PER_S = 0.5

# Capacity of the bucket, and its capacity at the minimum rate. With a larger
# one, or with this one at the minimum rate, two holders would exceed the limit.
MOST_KEPT = 2.0
MOST_KEPT_SLOW = 1.0

# Tolerance for rounding errors in the token count.
ROUNDING = 1e-6

# Maximum delay, in seconds, after which a refused box is told to retry.
LONGEST_TURN_S = 2.0


def binding(limit_per_s: float | None) -> float | None:
    """Returns the limit if it has to be enforced, else None."""
    if limit_per_s is None or limit_per_s >= MOST_PER_S:
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
        self._began = now
        self._kept = 0.0
        self._counted_at = now
        self._last_turn = now

    def take(self, limit_per_s: float, heard_part: float, now: float) -> float:
        """Grants a request if a token is available.

        Args:
            limit_per_s: The endpoint's limit.
            heard_part: Fraction of the boxes that the holder can reach,
                including itself. Boxes across a network partition have a
                holder of their own.
            now: The current time.

        Returns:
            0 if granted, else the seconds after which to retry. Refused boxes
            get successive retry times, so that they do not all retry at once
            for the same token.
        """
        per_s = self._count(limit_per_s, heard_part, now)
        if self._kept >= 1.0 - ROUNDING:
            self._kept -= 1.0
            return 0.0
        next_s = (1.0 - self._kept) / per_s
        turn = max(now + next_s, self._last_turn + 1.0 / per_s)
        self._last_turn = min(turn, now + max(next_s, LONGEST_TURN_S))
        return self._last_turn - now

    def room(self, limit_per_s: float, now: float) -> int:
        """Returns the number of available tokens if all boxes are reachable.

        Args:
            limit_per_s: The endpoint's limit.
            now: The current time.
        """
        self._count(limit_per_s, 1.0, now)
        return int(self._kept + ROUNDING)

    def _count(
        self, limit_per_s: float, heard_part: float, now: float
    ) -> float:
        """Refills the bucket; returns the rate in requests per second."""
        part = FIRST_PART if now - self._began < FIRST_S else GRANTED_PART
        per_s = max(LEAST_PER_S, limit_per_s * part * heard_part)
        most = MOST_KEPT if per_s > LEAST_PER_S else MOST_KEPT_SLOW
        gained = max(0.0, now - self._counted_at) * per_s
        self._kept = min(most, self._kept + gained)
        self._counted_at = max(now, self._counted_at)
        return per_s

    def put_back(self) -> None:
        """Returns the token of an unused grant."""
        self._kept += 1.0
