"""Performance profiles of the engines of each service.

Engines of different services differ severalfold in their prefill rate and in
how long a stream waits for a token during prefill. Both determine which prompts
may run beside which streams, so each box estimates them from the first events
and the pauses between events that it observes.
"""

import collections
from collections.abc import Iterable
import dataclasses
import math

# Estimates without any observations: the prefill rate that the first users
# reported for their engines, and streams that exceed every pause limit during
# prefill. The latter is cautious because after a start of all boxes the caches
# of the engines are empty and most prompts have to be prefilled.
INITIAL_PREFILL_TOKENS_PER_S = 50_000.0
INITIAL_TOKEN_INTERVAL_S = math.inf

# Minimum prompt tokens for a useful observation of the prefill rate, and the
# part of a first event in seconds that does not depend on the rate (network,
# steps of one event).
MIN_PREFILL_TOKENS = 2_000
FIRST_EVENT_BASE_S = 0.015

# Number of first events that are kept, the number needed before a box's own
# estimate counts, and the quantile that is used. Load from other boxes that is
# reported late makes single observations too low but never too high.
MAX_PREFILLS = 64
MIN_PREFILLS = 3
RATE_QUANTILE = 0.9

# Pauses during prefill are grouped in blocks, and a box's own estimate counts
# only after some blocks. The estimate is a high quantile of the latest blocks'
# own high quantiles, because only busy periods show how long pauses get while
# an engine prefills chunk after chunk. A box sees about 15 such pauses a
# second.
PAUSES_PER_BLOCK = 64
MIN_BLOCKS = 3
MAX_BLOCKS = 24
PAUSE_QUANTILE = 0.97
BLOCK_QUANTILE = 0.9

# Quantile of the boxes' estimates that is used: a box that saw few prefills
# underestimates both the pause and the rate.
ESTIMATE_QUANTILE = 0.75

# Seconds after which an observed prefill no longer counts.
PREFILL_LIFETIME_S = 30.0

# Maximum factor by which the learned prefill rate changes in a second. The
# first rate that is learned replaces the initial one at once.
MAX_RATE_CHANGE_PER_S = 1.25

# Relative change of an estimate above which it is logged.
LOGGED_CHANGE = 0.1

# Seconds after which the estimate of another box expires.
PEER_ESTIMATE_LIFETIME_S = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class EngineProfile:
    """Performance profile of the engines of a service.

    Attributes:
        prefill_tokens_per_s: Prompt tokens per second that an engine prefills
            beside its streams.
        prefill_token_interval_s: Seconds that a stream waits for each token
            while its engine prefills prompts without a break.
    """

    prefill_tokens_per_s: float = INITIAL_PREFILL_TOKENS_PER_S
    prefill_token_interval_s: float = INITIAL_TOKEN_INTERVAL_S

    def prefill_s(self, tokens: float) -> float:
        """Returns the time in seconds to prefill a number of prompt tokens."""
        return tokens / self.prefill_tokens_per_s

    def is_close_to(self, other: "EngineProfile") -> bool:
        """Returns whether the difference is too small to be logged."""
        return all(
            math.isclose(mine, theirs, rel_tol=LOGGED_CHANGE)
            for mine, theirs in (
                (self.prefill_tokens_per_s, other.prefill_tokens_per_s),
                (self.prefill_token_interval_s, other.prefill_token_interval_s),
            )
        )


class _PauseEstimator:
    """Upper quantiles of the latest blocks of observed pauses."""

    def __init__(self) -> None:
        self._block: list[float] = []
        self._quantiles: collections.deque[float] = collections.deque(
            maxlen=MAX_BLOCKS
        )

    @property
    def estimate(self) -> float | None:
        """The estimated pause in seconds, or None with too few blocks."""
        if len(self._quantiles) < MIN_BLOCKS:
            return None
        return _quantile(self._quantiles, BLOCK_QUANTILE)

    def add(self, pause_s: float) -> None:
        self._block.append(pause_s)
        if len(self._block) == PAUSES_PER_BLOCK:
            self._quantiles.append(_quantile(self._block, PAUSE_QUANTILE))
            self._block = []


@dataclasses.dataclass(frozen=True, slots=True)
class ProfileEstimate:
    """Estimates of one box; None where it has too few observations."""

    prefill_tokens_per_s: float | None = None
    prefill_token_interval_s: float | None = None


class ProfileEstimator:
    """Estimates the profile of one service's engines together with peers.

    Each box with enough observations contributes one estimate, and boxes
    exchange them, so that all boxes, including newly started ones, decide
    alike.
    """

    def __init__(self) -> None:
        self._new_rates: list[float] = []
        self._rates: collections.deque[tuple[float, float]] = collections.deque(
            maxlen=MAX_PREFILLS
        )
        self._pauses = _PauseEstimator()
        self._own = ProfileEstimate()
        self._peers: dict[str, tuple[float, ProfileEstimate]] = {}
        self._figures = EngineProfile()
        self._learned = ProfileEstimate()
        self._recomputed_at = 0.0

    @property
    def profile(self) -> EngineProfile:
        """The combined profile as of the last `recompute`."""
        return self._figures

    @property
    def own(self) -> ProfileEstimate:
        """The estimate of this box alone as of the last `recompute`."""
        return self._own

    @property
    def estimating_boxes(self) -> int:
        """Number of boxes with an estimate, as far as known here."""
        return (self._own != ProfileEstimate()) + len(self._peers)

    def record_prefill(self, tokens: int, seconds: float) -> None:
        """Records the first event of a prompt with no known backlog before it.

        Args:
            tokens: Prompt tokens that certainly had to be prefilled.
            seconds: Time from sending the request to the first event.
        """
        if tokens >= MIN_PREFILL_TOKENS and seconds > FIRST_EVENT_BASE_S:
            self._new_rates.append(tokens / (seconds - FIRST_EVENT_BASE_S))

    def record_pause(self, token_s: float) -> None:
        """Records the time per token of a stream during prefill.

        Args:
            token_s: Seconds per token.
        """
        self._pauses.add(token_s)

    def update_peer(
        self, box: str, estimate: ProfileEstimate, now: float
    ) -> None:
        """Replaces the estimate of another box."""
        self._peers[box] = (now, estimate)

    def recompute(self, now: float) -> None:
        """Recomputes the profile and drops expired ones of other boxes."""
        self._own = ProfileEstimate(
            self._estimate_rate(now), self._pauses.estimate
        )
        for box, (reported_at, _) in list(self._peers.items()):
            if now - reported_at > PEER_ESTIMATE_LIFETIME_S:
                del self._peers[box]
        estimates = [
            self._own,
            *(estimate for _, estimate in self._peers.values()),
        ]
        rate = _combine(e.prefill_tokens_per_s for e in estimates)
        interval_s = _combine(e.prefill_token_interval_s for e in estimates)
        elapsed_s = min(max(0.0, now - self._recomputed_at), 1.0)
        limit = MAX_RATE_CHANGE_PER_S**elapsed_s
        self._recomputed_at = now
        learned = self._learned = ProfileEstimate(
            _approach(self._learned.prefill_tokens_per_s, rate, limit),
            interval_s or self._learned.prefill_token_interval_s,
        )
        self._figures = EngineProfile(
            learned.prefill_tokens_per_s or INITIAL_PREFILL_TOKENS_PER_S,
            learned.prefill_token_interval_s or INITIAL_TOKEN_INTERVAL_S,
        )

    def _estimate_rate(self, now: float) -> float | None:
        """Returns this box's estimate of the prefill rate, or None."""
        self._rates.extend((now, rate) for rate in self._new_rates)
        self._new_rates.clear()
        while self._rates and now - self._rates[0][0] > PREFILL_LIFETIME_S:
            self._rates.popleft()
        if len(self._rates) < MIN_PREFILLS:
            return None
        return _quantile((rate for _, rate in self._rates), RATE_QUANTILE)


def _quantile(values: Iterable[float], quantile: float) -> float:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(quantile * len(ordered)))]


def _combine(estimates: Iterable[float | None]) -> float | None:
    known = [estimate for estimate in estimates if estimate is not None]
    return _quantile(known, ESTIMATE_QUANTILE) if known else None


def _approach(
    previous: float | None, value: float | None, limit: float
) -> float | None:
    """Returns a value, or the one within a factor of the previous value.

    Args:
        previous: The previous value; None if there is none.
        value: The new value; None if there is none.
        limit: The maximum factor, at least 1.
    """
    if value is None or previous is None:
        return previous if value is None else value
    return min(max(value, previous / limit), previous * limit)
