"""Whether an endpoint is in doubt: quiet for longer than usual.

Answers the load pattern of requests that may run once, sent to an endpoint that
has just fallen silent: no second attempt can follow them. Evidence that is far
from enough for an ejection is enough to prefer another endpoint for them, since
that costs nothing.

Only requests without any response count. Streams that go on tell nothing of
whether an endpoint takes up others.

Times are those of the steady clock. After a hold-up of the box all endpoints
with requests are in doubt until their responses are read.
"""

import enum


class _State(enum.Enum):
    """What is known of an endpoint.

    Attributes:
        IDLE: No request waits for it, and it left none unanswered.
        AWAITED: Requests wait for it.
        LEFT: No request waits for it, and the last one that did ended without
            a response while it was in doubt.
        UNHEALTHY: The same, and a health check failed since then.
    """

    IDLE = "idle"
    AWAITED = "awaited"
    LEFT = "left"
    UNHEALTHY = "unhealthy"


class _Event(enum.Enum):
    """What happens to an endpoint.

    Attributes:
        SENT: It gets a request.
        ANSWERED: It answers the last request that waits.
        ENDED: The last request that waits ends without a response.
        ABANDONED: The same, while the endpoint is in doubt.
        CHECK_PASSED: It answers a health check.
        CHECK_FAILED: It fails a health check.
    """

    SENT = "sent"
    ANSWERED = "answered"
    ENDED = "ended"
    ABANDONED = "abandoned"
    CHECK_PASSED = "check-passed"
    CHECK_FAILED = "check-failed"


_NEXT: dict[tuple[_State, _Event], _State] = {
    (_State.IDLE, _Event.SENT): _State.AWAITED,
    (_State.AWAITED, _Event.ANSWERED): _State.IDLE,
    (_State.AWAITED, _Event.ENDED): _State.IDLE,
    (_State.AWAITED, _Event.ABANDONED): _State.LEFT,
    (_State.LEFT, _Event.SENT): _State.AWAITED,
    (_State.LEFT, _Event.CHECK_PASSED): _State.IDLE,
    (_State.LEFT, _Event.CHECK_FAILED): _State.UNHEALTHY,
    (_State.UNHEALTHY, _Event.SENT): _State.AWAITED,
    (_State.UNHEALTHY, _Event.CHECK_PASSED): _State.IDLE,
}


_DOUBTED = frozenset({_State.LEFT, _State.UNHEALTHY})


class EndpointDoubt:
    """Whether one endpoint is quiet for longer than usual."""

    def __init__(self) -> None:
        """Initializes the doubt in an endpoint without requests."""
        self._state = _State.IDLE
        self._waiting = 0
        self._quiet_since = 0.0
        self._usual_s = 0.0
        self._check_at = 0.0

    @property
    def is_unhealthy(self) -> bool:
        """Whether it failed a health check after it left requests."""
        return self._state is _State.UNHEALTHY

    def is_doubted(self, now: float) -> bool:
        """Returns whether the endpoint is in doubt.

        Args:
            now: The current time.
        """
        if self._state is _State.AWAITED:
            return now - self._quiet_since > self._usual_s
        return self._state in _DOUBTED

    def is_check_due(self, now: float) -> bool:
        """Returns whether only a health check can end the doubt.

        Args:
            now: The current time.
        """
        return self._state in _DOUBTED and now >= self._check_at

    def note_sent(self, usual_s: float, now: float) -> None:
        """Records that a request waits for the endpoint.

        Args:
            usual_s: Seconds that such requests usually take at most; infinite
                if that is not known.
            now: The current time.
        """
        if self._state is _State.IDLE:
            self._quiet_since = now
        if not self._waiting:
            self._usual_s = 0.0
        self._usual_s = max(self._usual_s, usual_s)
        self._waiting += 1
        self._move(_Event.SENT)

    def note_answered(self, now: float) -> None:
        """Records the first bytes of a response.

        Args:
            now: The current time.
        """
        self._quiet_since = now
        self._waiting -= 1
        if not self._waiting:
            self._move(_Event.ANSWERED)

    def note_ended(self, now: float) -> None:
        """Records that a request ended without a response.

        Args:
            now: The current time.
        """
        self._waiting -= 1
        if not self._waiting:
            self._check_at = now
            doubted = self.is_doubted(now)
            self._move(_Event.ABANDONED if doubted else _Event.ENDED)

    def note_check(self, passed: bool, now: float) -> None:
        """Records the result of a health check.

        Args:
            passed: Whether the endpoint is healthy.
            now: The current time.
        """
        self._move(_Event.CHECK_PASSED if passed else _Event.CHECK_FAILED)
        # The next one follows when it has been quiet for twice as long.
        self._check_at = now + (now - self._quiet_since)

    def _move(self, event: _Event) -> None:
        self._state = _NEXT.get((self._state, event), self._state)
