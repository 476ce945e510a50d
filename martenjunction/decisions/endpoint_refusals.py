"""When an endpoint that turned work away may be sent some again."""

import math

# Longest time of rest, in seconds, that is believed: an endpoint that asks for
# more by mistake should not be lost until it starts again.
MAX_REST_S = 600.0

# Part of a time of rest, and seconds at most, over which boxes spread their
# return: each of them sends its first request after it.
SPREAD_PART = 0.1
MOST_SPREAD_S = 1.0

# Seconds after a rest in which an endpoint gets one request at a time from a
# box; twice as many in each such time after that, until it answers one.
RETURN_STEP_S = 0.2
MOST_STEPS = 16

# Seconds for which a refusal without a time keeps an endpoint from being asked
# again, twice as long after each that follows, up to the longest. Whoever
# refuses at once has the fewest running and would be asked by all.
FIRST_PAUSE_S = 0.1
LONGEST_PAUSE_S = 1.6


class Refusals:
    """What one endpoint's refusals mean for what this box sends it.

    A time of rest that it asked for binds; a pause after a refusal without one
    is a preference for other endpoints.
    """

    def __init__(self) -> None:
        self._rest_until = 0.0
        self._returning = False
        self._pause_until = 0.0
        self._pause_s = 0.0

    @property
    def rest_until(self) -> float:
        """Steady clock until which it wants nothing; 0 if it never did."""
        return self._rest_until

    def ask_rest(self, seconds: float, drawn: float, now: float) -> float:
        """Notes that it wants nothing for some time.

        An earlier time that ends later stands.

        Args:
            seconds: For how long.
            drawn: From 0 to 1: where this box returns among all.
            now: The current time.

        Returns:
            Seconds by which its rest got longer; 0 if it did not.
        """
        believed_s = min(seconds, MAX_REST_S)
        spread_s = min(believed_s * SPREAD_PART, MOST_SPREAD_S)
        until = now + believed_s + spread_s * drawn
        longer_s = until - max(now, self._rest_until)
        if longer_s <= 0:
            return 0.0
        self._rest_until = until
        self._returning = True
        return longer_s

    def return_from(self, now: float) -> None:
        """Notes that it takes work again, of which it had little.

        As after a rest it gets one request first: it looks idle to all boxes.

        Args:
            now: The current time.
        """
        if now >= self._rest_until:
            self._rest_until = now
            self._returning = True

    def refuse(self, now: float) -> None:
        """Notes that it turned a request away."""
        if now < self._pause_until:
            # One of those that were sent before the pause began.
            return
        self._pause_s = min(
            max(FIRST_PAUSE_S, 2 * self._pause_s), LONGEST_PAUSE_S
        )
        self._pause_until = now + self._pause_s

    def answer(self, sent_at: float) -> None:
        """Notes that it answered a request.

        What it had before its rest says nothing of how it takes more.

        Args:
            sent_at: When that was sent.
        """
        self._pause_s = 0.0
        if sent_at >= self._rest_until:
            self._returning = False

    def accepts(self, running: int, now: float) -> bool:
        """Returns whether it may be sent a request at all.

        Args:
            running: Requests of this box there.
            now: The current time.
        """
        return self.room(running, now) > 0

    def room(self, running: int, now: float) -> float:
        """Returns how many more requests it may be sent; infinite for any.

        Args:
            running: Requests of this box there.
            now: The current time.
        """
        if now < self._rest_until:
            return 0.0
        if not self._returning:
            return math.inf
        steps = int((now - self._rest_until) / RETURN_STEP_S)
        return max(0.0, 2.0 ** min(steps, MOST_STEPS) - running)

    def pauses(self, now: float) -> bool:
        """Returns whether other endpoints go before it."""
        return now < self._pause_until

    def opens_in_s(self, running: int, now: float) -> float:
        """Returns the seconds until it may be sent a request; 0 for now.

        Args:
            running: Requests of this box there.
            now: The current time.
        """
        if self.accepts(running, now):
            return 0.0
        if now < self._rest_until:
            return self._rest_until - now
        return RETURN_STEP_S - (now - self._rest_until) % RETURN_STEP_S
