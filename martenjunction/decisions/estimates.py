"""Online estimators of answer lengths, endpoint speeds and means."""

import dataclasses
import math

DEFAULT_TOKENS = 128.0


class _Estimate:
    """A value estimated from a stream, and the number of samples."""

    def __init__(self, start: float) -> None:
        self._value = start
        self._count = 0

    @property
    def value(self) -> float:
        """The current estimate."""
        return self._value

    @property
    def count(self) -> int:
        """The number of samples."""
        return self._count


class DecayingQuantile(_Estimate):
    """A quantile estimate over a stream that discounts old values.

    Each value moves the estimate by a step proportional to the estimate: up
    with weight q, down with weight 1 - q. For a stationary stream it converges
    to the point below which a fraction q of the values lies.
    """

    def __init__(self, quantile: float, start: float, step: float = 0.05):
        """Initializes the estimator.

        Args:
            quantile: Between 0 and 1.
            start: The estimate before any sample.
            step: Step size as a fraction of the estimate.
        """
        super().__init__(start)
        self._quantile = quantile
        self._step = step

    def add(self, value: float) -> None:
        """Adds a sample."""
        self._count += 1
        if self._count == 1:
            self._value = max(1e-6, value)
            return
        # Larger steps at first, so that a poor initial value is corrected soon.
        step = max(self._step, 1.0 / (1.0 + self._count))
        scale = max(self._value, 1e-6) * step
        if value > self._value:
            self._value += scale * self._quantile
        elif value < self._value:
            self._value -= scale * (1.0 - self._quantile)


class LengthEstimates:
    """Estimated answer length in tokens, by workspace and request kind."""

    QUANTILES = (0.5, 0.9)
    MAX_KEYS = 20_000

    def __init__(self) -> None:
        self._by_key: dict[tuple[str, str], list[DecayingQuantile]] = {}

    def __len__(self) -> int:
        return len(self._by_key)

    def add(self, workspace: str, kind: str, tokens: int) -> None:
        """Adds the length of a complete answer."""
        key = (workspace, kind)
        if key not in self._by_key:
            if len(self._by_key) >= self.MAX_KEYS:
                self._by_key.pop(next(iter(self._by_key)))
            self._by_key[key] = [
                DecayingQuantile(q, DEFAULT_TOKENS) for q in self.QUANTILES
            ]
        for estimate in self._by_key[key]:
            estimate.add(float(tokens))

    def expected(self, workspace: str, kind: str, limit: int | None) -> float:
        """Returns the expected answer length in tokens.

        Args:
            workspace: The workspace.
            kind: The request kind.
            limit: The caller's token limit, or None.
        """
        estimates = self._by_key.get((workspace, kind))
        expected = estimates[0].value if estimates else DEFAULT_TOKENS
        return min(expected, float(limit)) if limit is not None else expected


class Average(_Estimate):
    """An exponential moving average."""

    def __init__(
        self, start: float, weight: float = 0.1, start_counts: int = 0
    ) -> None:
        """Initializes the average.

        Args:
            start: The average before any sample.
            weight: The minimum weight of a new sample.
            start_counts: The number of samples that the start value counts as;
                reduces the weight of the first samples.
        """
        super().__init__(start)
        self._weight = weight
        self._start_weight = start_counts

    def add(self, value: float) -> None:
        """Adds a sample."""
        self._count += 1
        seen = self._start_weight + self._count
        weight = max(self._weight, 1.0 / (1.0 + seen))
        self._value += (value - self._value) * weight

    def drift(self, target: float, part: float) -> None:
        """Moves the average towards a target without counting a sample."""
        self._value += (target - self._value) * part


@dataclasses.dataclass(slots=True)
class Speed:
    """Speed estimates of one endpoint.

    Attributes:
        prefill_s: Seconds to process one uncached prompt token.
        base_s: Seconds to the first token that do not depend on the prompt.
        interval_s: Seconds between tokens.
    """

    prefill_s: Average = dataclasses.field(
        default_factory=lambda: Average(0.0002)
    )
    base_s: Average = dataclasses.field(default_factory=lambda: Average(0.03))
    interval_s: Average = dataclasses.field(
        default_factory=lambda: Average(0.03)
    )

    def first_token(self, uncached: float, batch: int) -> float:
        """Returns the predicted seconds to the first token.

        Args:
            uncached: Prompt tokens not in the endpoint's cache.
            batch: Requests already in flight there.
        """
        own = self.base_s.value + uncached * self.prefill_s.value
        return own + batch * self.interval_s.value * BATCH_DELAY

    def learn(self, first_token_s: float, uncached: float, batch: int) -> None:
        """Updates the estimates with one observed time to the first token.

        The observation updates the cost per prompt token if that part of the
        prediction is larger than the fixed part, else the fixed part.
        """
        waiting = batch * self.interval_s.value * BATCH_DELAY
        own = max(0.0005, first_token_s - waiting)
        fixed = self.base_s.value
        variable = uncached * self.prefill_s.value
        if variable > fixed:
            self.prefill_s.add(max(0.0, own - fixed) / uncached)
        else:
            self.base_s.add(max(0.0005, own - variable))


# Fraction of a decode step that each request in flight adds to a new request's
# time to the first token.
BATCH_DELAY = 0.05


class DecayingRate:
    """An exponentially decaying rate per second.

    The rates of several boxes can be added, unlike leaky buckets.
    """

    def __init__(self, decay_s: float) -> None:
        """Initializes a rate of 0.

        Args:
            decay_s: Time constant of the decay in seconds.
        """
        self._decay_s = decay_s
        self._sum = 0.0
        self._at = -math.inf

    def add(self, amount: float, now: float) -> None:
        """Adds an amount at the current time."""
        self._sum = self._remaining(now) + amount
        self._at = now

    def rate(self, now: float) -> float:
        """Returns the amount per second."""
        return self._remaining(now) / self._decay_s

    def _remaining(self, now: float) -> float:
        return self._sum * math.exp(min(0.0, self._at - now) / self._decay_s)
