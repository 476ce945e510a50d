"""Takes or refuses requests during a daemon's graceful shutdown."""

import collections
from collections.abc import Callable

from martenjunction import timers
from martenjunction.decisions import stop_admission
from martenjunction.relay import requests

# Returns the predicted seconds that a request of a service waits for a slot.
PredictDelay = Callable[[str, int], float]


class DrainGate:
    """Admits the requests of a daemon that shuts down gracefully."""

    def __init__(
        self, clock: timers.Timers, predict_delay: PredictDelay
    ) -> None:
        """Initializes the gate of a daemon that serves.

        Args:
            clock: Provides the time.
            predict_delay: Predicts the delay of a service's tier.
        """
        self._timers = clock
        self._predict_delay = predict_delay
        self._since: float | None = None
        self._limit_s = 0.0
        self._reasons: collections.Counter[str] = collections.Counter()

    @property
    def reasons(self) -> dict[str, int]:
        """Requests taken and refused during the shutdown, by the reason."""
        return dict(self._reasons)

    def begin(self, limit_s: float) -> None:
        """Records that a graceful shutdown begins.

        Args:
            limit_s: Seconds after which it ends the remaining requests.
        """
        self._since = self._timers.now()
        self._limit_s = limit_s

    def admits(self, request: requests.RoutedRequest) -> bool:
        """Returns whether to take a new request, and counts it."""
        reason = self._judge(request)
        if reason is None:
            return True
        self._reasons[reason] += 1
        return reason in stop_admission.TAKEN

    def keeps(self, request: requests.RoutedRequest) -> bool:
        """Returns whether a request that was not sent may still be sent."""
        reason = self._judge(request)
        return reason is None or reason in stop_admission.TAKEN

    def _judge(
        self, request: requests.RoutedRequest
    ) -> stop_admission.Reason | None:
        """Returns the decision, or None if the daemon is not shutting down."""
        if self._since is None:
            return None
        now = self._timers.now()
        service_class = request.service_class
        # The expected length of a chat's response is known, so that a limit of
        # its own for streams is not needed.
        stop = stop_admission.StopTime(
            now - self._since, self._limit_s, streams_s=self._limit_s
        )
        is_chat = request.chat is not None
        need = stop_admission.Need(
            is_chat,
            service_class.first_token,
            request.arrived + service_class.time_limit - now,
            self._predict_delay(request.service.name, service_class.tier),
            request.expected_tokens * service_class.between_tokens
            if is_chat
            else 0.0,
        )
        return stop_admission.judge(stop, need)
