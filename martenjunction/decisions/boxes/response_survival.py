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
import heapq
import math
import operator

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

# Part of the requests of a service that take longer than usual, at most. Times
# are multiplied by `SILENT_TIME_FACTOR` as well.
UNUSUAL_FRACTION = 0.1

# Part of the requests of a service that may count as late. Where more than that
# get no response at all, a request is late beyond a multiple of the longest
# response time, of a number of responses at least.
LATE_FRACTION = 0.03
LATE_TIME_FACTOR = 2.0
LATE_SAMPLES = 50


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

    @property
    def known(self) -> int:
        """Number of requests that are remembered."""
        return len(self._samples)

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

    def usual_s(self) -> float:
        """Returns the seconds within which responses usually come.

        Those without a response do not count: no verdict depends on it.

        Returns:
            A time that few requests exceed; infinite if too few were answered.
        """
        answered_s = sorted(s.seconds for s in self._samples if s.answered)
        assumed = PRIOR_SURVIVORS + len(answered_s)
        index = math.ceil((1.0 - UNUSUAL_FRACTION) * assumed) - 1
        if index >= len(answered_s):
            return math.inf
        return SILENT_TIME_FACTOR * answered_s[index]

    def observe(
        self, pending: Iterable[PendingRun], now: float
    ) -> "ObservedTimes":
        """Returns what is known of the service's response times.

        Args:
            pending: All requests of the service without a response.
            now: The current time.
        """
        return ObservedTimes(
            [sample.seconds for sample in self._samples if sample.answered],
            [
                *(
                    (sample.endpoint_id, sample.seconds)
                    for sample in self._samples
                    if not sample.answered
                ),
                *((run.endpoint_id, now - run.sent_at) for run in pending),
            ],
        )


class ObservedTimes:
    """The response times of one service at one moment.

    Sorted once for all endpoints that are judged.
    """

    def __init__(
        self, answered_s: list[float], unanswered: list[tuple[str, float]]
    ) -> None:
        """Initializes the times.

        Args:
            answered_s: Response times in seconds.
            unanswered: The endpoint of each other request, and the seconds that
                it waited.
        """
        self._answered_s = sorted(answered_s)
        unanswered_s = sorted(seconds for _, seconds in unanswered)
        waiting = PRIOR_SURVIVORS + len(answered_s) + len(unanswered_s)
        # How many requests waited until each response time.
        self._waiting = [
            waiting - number - bisect.bisect_right(unanswered_s, seconds)
            for number, seconds in enumerate(self._answered_s)
        ]
        self._by_endpoint: dict[str, list[float]] = {}
        for endpoint_id, seconds in unanswered:
            self._by_endpoint.setdefault(endpoint_id, []).append(seconds)
        longest = {its_id: max(s) for its_id, s in self._by_endpoint.items()}
        # Those of two endpoints: the other one's counts if one is left out.
        self._longest = heapq.nlargest(
            2, longest.items(), key=operator.itemgetter(1)
        )

    def quiet_probability(self, waits: Iterable[Wait], judged: str) -> float:
        """Returns how likely a sound endpoint is as quiet as a given one.

        Args:
            waits: How long its requests have waited since it last sent
                anything, those that have ended without a response as well.
            judged: The id of the endpoint. Requests that it left unanswered are
                not what it is compared with.
        """
        usual = self._without(judged)
        probability = 1.0
        for wait in waits:
            longer = usual.survival(wait.seconds / SILENT_TIME_FACTOR)
            before = usual.survival(wait.before_s / SILENT_TIME_FACTOR)
            probability *= min(1.0, longer / before)
        return probability

    def late_after_s(self) -> float:
        """Returns the seconds after which a request counts as late.

        Returns:
            The time that `LATE_FRACTION` of the requests exceed, or that no
            response comes near to; infinite if neither is known.
        """
        exceeded_s = self._without("").exceeded_by(LATE_FRACTION)
        if len(self._answered_s) < LATE_SAMPLES:
            return exceeded_s
        return min(exceeded_s, LATE_TIME_FACTOR * self._answered_s[-1])

    def _without(self, endpoint_id: str) -> "_Survival":
        """Returns the estimate without what an endpoint left unanswered."""
        left_s = sorted(self._by_endpoint.get(endpoint_id, ()))
        others_s = [s for its_id, s in self._longest if its_id != endpoint_id]
        return _Survival(
            self._answered_s,
            self._waiting,
            left_s,
            max([*self._answered_s[-1:], *others_s], default=0.0),
        )


class _Survival:
    """The product-limit estimate of a survival function (Kaplan-Meier, 1958).

    A request that was given up, or still waits, is known to take longer than it
    has waited. Some more that wait for ever are added, so that few observations
    prove little.
    """

    def __init__(
        self,
        answered_s: list[float],
        waiting: list[int],
        left_out_s: list[float],
        longest_s: float,
    ) -> None:
        """Initializes the estimate.

        Args:
            answered_s: Response times in seconds, in order.
            waiting: How many requests waited until each of them.
            left_out_s: Seconds that those of them waited that do not count, in
                order.
            longest_s: The longest time that counts.
        """
        self._longest_s = longest_s
        self._has_tail = len(answered_s) >= TAIL_SAMPLES
        self._times = answered_s
        self._fractions: list[float] = []
        fraction = 1.0
        out = len(left_out_s)
        for seconds, count in zip(answered_s, waiting, strict=True):
            while out and left_out_s[-out] <= seconds:
                out -= 1
            fraction *= 1.0 - 1.0 / (count - out)
            self._fractions.append(fraction)

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
