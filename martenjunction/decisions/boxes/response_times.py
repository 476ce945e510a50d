"""The response time of one endpoint of a plain service.

Answers the load pattern of endpoints that stop for about a second and go on:
the requests that waited there meanwhile come late once, which says nothing of
those that follow. A far longer time than expected counts once a request that
was sent after it takes as long, or while the endpoint counts as slow. Until
then the endpoint is tried with one request at a time.
"""

import copy
import enum

from martenjunction.decisions import estimates

# Initial estimate in seconds, and the weight of one observation.
INITIAL_S = 0.03
WEIGHT = 0.15

# Ratio of a response time to the expected one above which it is far longer.
MAX_RATIO = 4.0


class _State(enum.Enum):
    """What the last observations say.

    Attributes:
        NORMAL: Response times are about as expected.
        DOUBTED: One was far longer; no later request has ended yet.
        SLOW: A later one was far longer as well.
    """

    NORMAL = "normal"
    DOUBTED = "doubted"
    SLOW = "slow"


class _Event(enum.Enum):
    """An observed response time.

    Attributes:
        EXPECTED: It is about as expected.
        LONG: It is far longer.
        EARLIER: It is far longer, and its request was sent before the doubt.
        UNANSWERED: The request was given up after far longer.
    """

    EXPECTED = "expected"
    LONG = "long"
    EARLIER = "earlier"
    UNANSWERED = "unanswered"


_NEXT: dict[tuple[_State, _Event], _State] = {
    (_State.NORMAL, _Event.LONG): _State.DOUBTED,
    (_State.NORMAL, _Event.EARLIER): _State.DOUBTED,
    (_State.NORMAL, _Event.UNANSWERED): _State.SLOW,
    (_State.DOUBTED, _Event.LONG): _State.SLOW,
    (_State.DOUBTED, _Event.UNANSWERED): _State.SLOW,
    (_State.DOUBTED, _Event.EXPECTED): _State.NORMAL,
    (_State.SLOW, _Event.EXPECTED): _State.NORMAL,
}


class ResponseTimes:
    """Estimates the response time of an endpoint."""

    def __init__(self) -> None:
        """Initializes the estimate of an endpoint that has not answered."""
        self._state = _State.NORMAL
        self._doubted_at = 0.0
        self._confirmed = estimates.Average(INITIAL_S, WEIGHT)
        self._all = self._confirmed

    def expected_s(self, running: int) -> float:
        """Returns the expected response time in seconds.

        Args:
            running: In-flight requests of this box at the endpoint.
        """
        return (self._all if running else self._confirmed).value

    @property
    def deviation_s(self) -> float:
        """Seconds between the estimate and its initial value, at most."""
        return max(
            abs(average.value - INITIAL_S)
            for average in (self._confirmed, self._all)
        )

    def add(self, seconds: float, sent_at: float, now: float) -> None:
        """Adds an observation.

        Args:
            seconds: The response time.
            sent_at: When the request was sent.
            now: The current time.
        """
        event = _Event.EXPECTED
        if seconds > MAX_RATIO * self._confirmed.value:
            is_later = sent_at >= self._doubted_at
            event = _Event.LONG if is_later else _Event.EARLIER
        was_doubted = self._state is _State.DOUBTED
        self._move(event)
        if self._state is not _State.DOUBTED:
            if event is _Event.EXPECTED:
                self._all = self._confirmed
            self._confirm(seconds)
            return
        if not was_doubted:
            self._doubted_at = now
            self._all = copy.copy(self._confirmed)
        self._all.add(seconds)

    def add_unanswered(self, seconds: float) -> None:
        """Adds the time after which a request was given up.

        Its endpoint has not gone on, so the time counts at once.
        """
        if seconds > MAX_RATIO * self._confirmed.value:
            self._move(_Event.UNANSWERED)
            self._confirm(seconds)
        elif self._state is not _State.DOUBTED:
            self._confirm(seconds)

    def drift(self, part: float) -> None:
        """Moves the estimate towards its initial value.

        Args:
            part: Fraction of the difference.
        """
        self._confirmed.drift(INITIAL_S, part)
        if self._all is not self._confirmed:
            self._all.drift(INITIAL_S, part)

    def _move(self, event: _Event) -> None:
        self._state = _NEXT.get((self._state, event), self._state)

    def _confirm(self, seconds: float) -> None:
        """Adds an observation, and those in doubt."""
        self._confirmed = self._all
        self._confirmed.add(seconds)
