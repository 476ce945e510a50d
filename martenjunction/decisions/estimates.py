"""Online estimates: lengths of answers, speed of endpoints, and means."""

import dataclasses

DEFAULT_TOKENS = 128.0


class _Estimate:
    """A value that is learnt from others, and how many there were."""

    def __init__(self, start: float) -> None:
        self._value = start
        self._count = 0

    @property
    def value(self) -> float:
        """The present estimate."""
        return self._value

    @property
    def count(self) -> int:
        """How many values were seen."""
        return self._count


class DecayingQuantile(_Estimate):
    """A quantile that follows a stream of values and forgets old ones.

    Each value moves the estimate by a step in proportion to its size: up with
    weight q, down with weight 1 - q. In a steady stream it settles where the
    part of values below it is q.
    """

    def __init__(self, quantile: float, start: float, step: float = 0.05):
        """Makes an estimate.

        Args:
            quantile: Between 0 and 1.
            start: The estimate before any value.
            step: How fast it moves, as a part of the estimate.
        """
        super().__init__(start)
        self._quantile = quantile
        self._step = step

    def add(self, value: float) -> None:
        """Takes one value in."""
        self._count += 1
        if self._count == 1:
            self._value = max(1e-6, value)
            return
        # Bigger steps at first, so that a poor start is soon forgotten.
        step = max(self._step, 1.0 / (1.0 + self._count))
        scale = max(self._value, 1e-6) * step
        if value > self._value:
            self._value += scale * self._quantile
        elif value < self._value:
            self._value -= scale * (1.0 - self._quantile)


class LengthEstimates:
    """How long answers get, by workspace and request kind, in tokens."""

    QUANTILES = (0.5, 0.9)
    MAX_KEYS = 20_000

    def __init__(self) -> None:
        self._by_key: dict[tuple[str, str], list[DecayingQuantile]] = {}

    def __len__(self) -> int:
        return len(self._by_key)

    def add(self, workspace: str, kind: str, tokens: int) -> None:
        """Learns from a whole answer."""
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
        """Returns the tokens to plan for.

        Args:
            workspace: The workspace.
            kind: The request kind.
            limit: The caller's own limit on tokens, or None.
        """
        estimates = self._by_key.get((workspace, kind))
        expected = estimates[0].value if estimates else DEFAULT_TOKENS
        return min(expected, float(limit)) if limit is not None else expected


class Average(_Estimate):
    """A mean that gives recent values more weight."""

    def __init__(
        self, start: float, weight: float = 0.1, start_counts: int = 0
    ) -> None:
        """Makes a mean.

        Args:
            start: The mean before any value.
            weight: The least weight of a new value.
            start_counts: For how many values the start stands; the first
                values weigh less then.
        """
        super().__init__(start)
        self._weight = weight
        self._start_counts = start_counts

    def add(self, value: float) -> None:
        """Takes one value in."""
        self._count += 1
        seen = self._start_counts + self._count
        weight = max(self._weight, 1.0 / (1.0 + seen))
        self._value += (value - self._value) * weight

    def drift(self, target: float, part: float) -> None:
        """Moves the mean towards a value without counting as one."""
        self._value += (target - self._value) * part


@dataclasses.dataclass(slots=True)
class Speed:
    """What was learnt of one endpoint's speed.

    Attributes:
        prefill_s: Seconds to process one uncached prompt token.
        base_s: Seconds to a first token that do not depend on the prompt.
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
        """Predicts seconds to the first token.

        Args:
            uncached: Prompt tokens that are not in the endpoint's cache.
            batch: Requests that run there already.
        """
        own = self.base_s.value + uncached * self.prefill_s.value
        return own + batch * self.interval_s.value * BATCH_DELAY

    def learn(self, first_token_s: float, uncached: float, batch: int) -> None:
        """Learns from one observed first token.

        The error is booked on the prompt's cost where the prompt is long, and
        on the fixed part where it is short.
        """
        waiting = batch * self.interval_s.value * BATCH_DELAY
        own = max(0.0005, first_token_s - waiting)
        fixed = self.base_s.value
        variable = uncached * self.prefill_s.value
        if variable > fixed:
            self.prefill_s.add(max(0.0, own - fixed) / uncached)
        else:
            self.base_s.add(max(0.0005, own - variable))


# How much of one decode step each running request adds to a new request's
# wait for its first token.
BATCH_DELAY = 0.05
