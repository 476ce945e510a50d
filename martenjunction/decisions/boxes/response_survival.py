"""How likely a sound endpoint leaves its requests unanswered for a given time.

Answers the load pattern of services whose responses take seconds: what counts
as late or silent there is learned from the service itself, as the part of its
requests that took longer (the survival function of the response time).

Requests without a response yet count as well, as they are known to take longer
than they have waited. So a service that has just become slow, or of which
little is known, has no silent endpoints. What an endpoint has left unanswered
itself does not speak for it.
"""

import bisect
import collections
from collections.abc import Iterable
import dataclasses
import math

# Number of ended requests that are remembered.
MAX_SAMPLES = 256

# An endpoint counts as silent if a sound one would be as quiet with at most
# this probability. Times are divided by the factor first, since the longest
# response so far is not the longest there is.
SILENT_PROBABILITY = 0.001
SILENT_TIME_FACTOR = 2.0

# Number of requests that are assumed to wait for ever, beside those observed.
PRIOR_SURVIVORS = 1

# Number of responses from which on times beyond the longest one are taken to be
# ever rarer, and the exponent of that. With fewer, there may be slow requests
# of which none was seen yet.
TAIL_SAMPLES = 50
TAIL_EXPONENT = 2.0

# Part of the requests of a service that may count as late. Where more than that
# get no response at all, a request is late beyond a multiple of the longest
# response time, of a number of responses at least.
LATE_FRACTION = 0.03
LATE_TIME_FACTOR = 2.0
LATE_SAMPLES = 20


@dataclasses.dataclass(frozen=True, slots=True)
class PendingRun:
    """A request without a response.

    Attributes:
        endpoint_id: The endpoint.
        sent_at: When it was sent.
    """

    endpoint_id: str
    sent_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Wait:
    """How long one request has waited in vain.

    Attributes:
        seconds: Since it was sent.
        before_s: The part of them until its endpoint last sent anything.
    """

    seconds: float
    before_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class _Sample:
    """A request that ended.

    Attributes:
        endpoint_id: The endpoint.
        seconds: How long it waited.
        answered: Whether that is the time of its response, not when it was
            given up.
    """

    endpoint_id: str
    seconds: float
    answered: bool


class ResponseSurvival:
    """The response times of one service at one box."""

    def __init__(self) -> None:
        """Initializes it without requests."""
        self._samples: collections.deque[_Sample] = collections.deque(
            maxlen=MAX_SAMPLES
        )

    def add(
        self, endpoint_id: str, sent_at: float, now: float, answered: bool
    ) -> None:
        """Adds a request that ended.

        Args:
            endpoint_id: The endpoint.
            sent_at: When it was sent.
            now: The current time.
            answered: Whether it was answered, not given up.
        """
        self._samples.append(_Sample(endpoint_id, now - sent_at, answered))

    def quiet_probability(
        self,
        waits: Iterable[Wait],
        pending: Iterable[PendingRun],
        judged: str,
        now: float,
    ) -> float:
        """Returns how likely a sound endpoint is as quiet as a given one.

        Args:
            waits: How long its requests have waited since it last sent
                anything, those that have ended without a response as well.
            pending: All requests of the service without a response.
            judged: The id of the endpoint.
            now: The current time.
        """
        usual = self._observed(pending, now, judged)
        probability = 1.0
        for wait in waits:
            longer = usual.survival(wait.seconds / SILENT_TIME_FACTOR)
            before = usual.survival(wait.before_s / SILENT_TIME_FACTOR)
            probability *= min(1.0, longer / before)
        return probability

    def late_after_s(self, pending: Iterable[PendingRun], now: float) -> float:
        """Returns the seconds after which a request counts as late.

        Args:
            pending: All requests of the service without a response.
            now: The current time.

        Returns:
            The time that `LATE_FRACTION` of the requests exceed, or that no
            response comes near to; infinite if neither is known.
        """
        answered_s = [s.seconds for s in self._samples if s.answered]
        exceeded_s = self._observed(pending, now).exceeded_by(LATE_FRACTION)
        if len(answered_s) < LATE_SAMPLES:
            return exceeded_s
        return min(exceeded_s, LATE_TIME_FACTOR * max(answered_s))

    def _observed(
        self, pending: Iterable[PendingRun], now: float, judged: str = ""
    ) -> "_Observed":
        """Returns what was observed of the service's requests.

        Args:
            pending: All requests of the service without a response.
            now: The current time.
            judged: The endpoint that is judged. Requests that it left
                unanswered are not what it is compared with.
        """
        unanswered_s = [
            sample.seconds
            for sample in self._samples
            if not sample.answered and sample.endpoint_id != judged
        ]
        unanswered_s += [
            now - run.sent_at for run in pending if run.endpoint_id != judged
        ]
        return _Observed(
            [sample.seconds for sample in self._samples if sample.answered],
            unanswered_s,
        )


class _Observed:
    """The product-limit estimate of a survival function (Kaplan-Meier, 1958).

    A request that was given up, or still waits, is known to take longer than it
    has waited. Some more that wait for ever are added, so that few observations
    prove little.
    """

    def __init__(
        self, answered_s: list[float], unanswered_s: list[float]
    ) -> None:
        """Initializes the estimate.

        Args:
            answered_s: Response times in seconds.
            unanswered_s: Seconds that each other request waited.
        """
        self._longest_s = max([*answered_s, *unanswered_s], default=0.0)
        self._has_tail = len(answered_s) >= TAIL_SAMPLES
        self._times: list[float] = []
        self._fractions: list[float] = []
        waiting = len(answered_s) + len(unanswered_s) + PRIOR_SURVIVORS
        fraction = 1.0
        for seconds, answered in sorted(
            [(s, True) for s in answered_s] + [(s, False) for s in unanswered_s]
        ):
            if answered:
                fraction *= 1.0 - 1.0 / waiting
                self._times.append(seconds)
                self._fractions.append(fraction)
            waiting -= 1

    def survival(self, seconds: float) -> float:
        """Returns the part of the requests that take longer.

        Args:
            seconds: The time.
        """
        index = bisect.bisect_right(self._times, seconds)
        fraction = self._fractions[index - 1] if index else 1.0
        if seconds > self._longest_s > 0.0 and self._has_tail:
            fraction *= (self._longest_s / seconds) ** TAIL_EXPONENT
        return fraction

    def exceeded_by(self, fraction: float) -> float:
        """Returns the response time that a part of the requests exceed.

        Args:
            fraction: The part.

        Returns:
            Seconds; infinite if that is not known.
        """
        index = bisect.bisect_left(
            self._fractions, -fraction, key=lambda each: -each
        )
        return self._times[index] if index < len(self._times) else math.inf
