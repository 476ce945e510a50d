"""Back-off and ramp-up after an endpoint refuses requests."""

import math

# Upper bound on a requested back-off, in seconds. Without it, an endpoint that
# mistakenly requests a very long back-off would be unused until it restarts.
MAX_BACKOFF_S = 600.0

# Jitter added to a back-off, as a fraction of it and in seconds at most. It
# spreads the boxes' first requests after the back-off.
JITTER_FRACTION = 0.1
MAX_JITTER_S = 1.0

# Length of a ramp-up step after a back-off, in seconds. A box allows one
# request in flight in the first step and doubles that in each later step, until
# the endpoint answers one.
RAMP_UP_STEP_S = 0.2
MAX_RAMP_UP_STEPS = 16

# Bounds of the exponential pause after a refusal without a back-off time, in
# seconds. An endpoint that refuses at once has the fewest requests in flight,
# so without the pause all boxes would prefer it.
INITIAL_PAUSE_S = 0.1
MAX_PAUSE_S = 1.6


class Refusals:
    """Tracks one endpoint's refusals and limits what this box sends it.

    A back-off requested by the endpoint is mandatory. A pause after a refusal
    without one only makes other endpoints preferred.
    """

    def __init__(self) -> None:
        self._backoff_until = 0.0
        self._ramping_up = False
        self._pause_until = 0.0
        self._pause_s = 0.0

    @property
    def backoff_until(self) -> float:
        """Monotonic end of the back-off; 0 if there was none."""
        return self._backoff_until

    def start_backoff(self, seconds: float, drawn: float, now: float) -> float:
        """Starts the back-off that the endpoint requested.

        A back-off already in force that ends later is kept.

        Args:
            seconds: Requested duration.
            drawn: Random number from 0 to 1 that sets this box's jitter.
            now: The current time.

        Returns:
            Seconds by which the back-off was extended; 0 if it was not.
        """
        backoff_s = min(seconds, MAX_BACKOFF_S)
        jitter_s = min(backoff_s * JITTER_FRACTION, MAX_JITTER_S)
        until = now + backoff_s + jitter_s * drawn
        extended_by_s = until - max(now, self._backoff_until)
        if extended_by_s <= 0:
            return 0.0
        self._backoff_until = until
        self._ramping_up = True
        return extended_by_s

    def begin_ramp_up(self, now: float) -> None:
        """Starts the ramp-up of an endpoint that had little work.

        It appears idle to all boxes, so as after a back-off it gets one
        request first.

        Args:
            now: The current time.
        """
        if now >= self._backoff_until:
            self._backoff_until = now
            self._ramping_up = True

    def record_refusal(self, now: float) -> None:
        """Records a refusal and starts or lengthens the pause."""
        if now < self._pause_until:
            # This request was sent before the pause began.
            return
        self._pause_s = min(
            max(INITIAL_PAUSE_S, 2 * self._pause_s), MAX_PAUSE_S
        )
        self._pause_until = now + self._pause_s

    def record_answer(self, sent_at: float) -> None:
        """Records an answer, which ends the pause and the ramp-up.

        An answer to a request sent before the back-off does not end the
        ramp-up: it does not show that the endpoint accepts new requests.

        Args:
            sent_at: When the request was sent.
        """
        self._pause_s = 0.0
        if sent_at >= self._backoff_until:
            self._ramping_up = False

    def accepts(self, running: int, now: float) -> bool:
        """Returns whether the endpoint may be sent a request.

        Args:
            running: Requests of this box in flight there.
            now: The current time.
        """
        return self.capacity(running, now) > 0

    def capacity(self, running: int, now: float) -> float:
        """Returns how many more requests may be sent; infinite for no limit.

        Args:
            running: Requests of this box in flight there.
            now: The current time.
        """
        if now < self._backoff_until:
            return 0.0
        if not self._ramping_up:
            return math.inf
        steps = int((now - self._backoff_until) / RAMP_UP_STEP_S)
        return max(0.0, 2.0 ** min(steps, MAX_RAMP_UP_STEPS) - running)

    def is_deprioritized(self, now: float) -> bool:
        """Returns whether other endpoints are currently preferred."""
        return now < self._pause_until

    def opens_in_s(self, running: int, now: float) -> float:
        """Returns the seconds until a request may be sent; 0 if it may be now.

        Args:
            running: Requests of this box in flight there.
            now: The current time.
        """
        if self.accepts(running, now):
            return 0.0
        if now < self._backoff_until:
            return self._backoff_until - now
        return RAMP_UP_STEP_S - (now - self._backoff_until) % RAMP_UP_STEP_S
