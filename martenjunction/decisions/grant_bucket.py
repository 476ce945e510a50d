"""How the holder of an endpoint that names a limit grants requests to it.

One box, the endpoint's holder, grants each request that any box sends there.
Boxes may disagree on who that is for some seconds.
"""

# Limits from which on they bind nothing, in requests a second: to keep account
# of each request would cost more than such an endpoint could lose.
MOST_PER_S = 1000.0

# Part of a limit that a holder grants, and the part in its first seconds, in
# which another box may still take itself for the holder: together they stay
# within one and a half times the limit.
GRANTED_PART = 0.9
FIRST_PART = 0.6
FIRST_S = 4.0

# Requests a second that are granted whatever the limit: what takes none at all
# would never be heard to take some again.
LEAST_PER_S = 0.5

# Grants that are kept at most while nobody asks: two holders with more would
# exceed the limit, and at the least rate two with as many.
MOST_KEPT = 2.0
MOST_KEPT_SLOW = 1.0

# What may be lacking to a whole request by rounding.
ROUNDING = 1e-6

# The longest time, in seconds, after which a box is told to ask again.
LONGEST_TURN_S = 2.0


def binding(limit_per_s: float | None) -> float | None:
    """Returns a limit if it binds anything, else None."""
    if limit_per_s is None or limit_per_s >= MOST_PER_S:
        return None
    return limit_per_s


class GrantBucket:
    """A token bucket for one endpoint, at one holder."""

    def __init__(self, now: float) -> None:
        """Makes an empty bucket.

        A box that becomes the holder does not know what was granted before.

        Args:
            now: The current time.
        """
        self._began = now
        self._kept = 0.0
        self._counted_at = now
        self._last_turn = now

    def take(self, limit_per_s: float, heard_part: float, now: float) -> float:
        """Grants a request if there is room for it.

        Args:
            limit_per_s: The endpoint's limit.
            heard_part: Part of the boxes that the holder hears, itself among
                them: those beyond a cut have a holder of their own.
            now: The current time.

        Returns:
            0 if it is granted, else the seconds after which to ask again. Those
            who ask in vain are told one turn after the other, so that not all
            of them come back for one request.
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
        """Returns the requests that would be granted now, where all are heard.

        Args:
            limit_per_s: The endpoint's limit.
            now: The current time.
        """
        self._count(limit_per_s, 1.0, now)
        return int(self._kept + ROUNDING)

    def _count(
        self, limit_per_s: float, heard_part: float, now: float
    ) -> float:
        """Counts what came since; returns the requests a second."""
        part = FIRST_PART if now - self._began < FIRST_S else GRANTED_PART
        per_s = max(LEAST_PER_S, limit_per_s * part * heard_part)
        most = MOST_KEPT if per_s > LEAST_PER_S else MOST_KEPT_SLOW
        gained = max(0.0, now - self._counted_at) * per_s
        self._kept = min(most, self._kept + gained)
        self._counted_at = max(now, self._counted_at)
        return per_s

    def put_back(self) -> None:
        """Takes a grant back that was not used."""
        self._kept += 1.0
