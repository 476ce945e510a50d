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
START_PREFILL_TOKENS_PER_S = 50_000.0
START_READING_TOKEN_S = math.inf

# Minimum prompt tokens for a useful observation of the prefill rate, and the
# part of a first event in seconds that does not depend on the rate (network,
# steps of one event).
LEAST_READ_TOKENS = 2_000
FIRST_STEPS_S = 0.015

# Number of first events that are kept, the number needed before a box's own
# estimate counts, and the quantile that is used. Load from other boxes that is
# reported late makes single observations too low but never too high.
READS = 64
ENOUGH_READS = 3
RATE_PART = 0.9

# Pauses during prefill are grouped in blocks, and a box's own estimate counts
# only after some blocks. The estimate is a high quantile of the latest blocks'
# own high quantiles, because only busy periods show how long pauses get while
# an engine prefills chunk after chunk. A box sees about 15 such pauses a
# second.
BLOCK_PAUSES = 64
ENOUGH_BLOCKS = 3
BLOCKS = 24
PAUSE_PART = 0.97
BLOCKS_PART = 0.9

# Quantile of the boxes' estimates that is used: a box that saw few prefills
# underestimates both the pause and the rate.
VOTES_PART = 0.75

# Relative change of an estimate above which it is logged.
WORTH_TELLING = 0.1

# Seconds after which the estimate of another box expires.
PEER_FIGURES_LIFETIME_S = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class EngineFigures:
    """Performance profile of the engines of a service.

    Attributes:
        prefill_tokens_per_s: Prompt tokens per second that an engine prefills
            beside its streams.
        reading_token_s: Seconds that a stream waits for each token while its
            engine prefills prompts without a break.
    """

    prefill_tokens_per_s: float = START_PREFILL_TOKENS_PER_S
    reading_token_s: float = START_READING_TOKEN_S

    def reading_s(self, tokens: float) -> float:
        """Returns the time in seconds to prefill a number of prompt tokens."""
        return tokens / self.prefill_tokens_per_s

    def is_like(self, other: "EngineFigures") -> bool:
        """Returns whether the difference is too small to be logged."""
        return all(
            math.isclose(mine, theirs, rel_tol=WORTH_TELLING)
            for mine, theirs in (
                (self.prefill_tokens_per_s, other.prefill_tokens_per_s),
                (self.reading_token_s, other.reading_token_s),
            )
        )


class _Pauses:
    """Upper quantiles of the latest blocks of observed pauses."""

    def __init__(self) -> None:
        self._block: list[float] = []
        self._longest: collections.deque[float] = collections.deque(
            maxlen=BLOCKS
        )

    @property
    def longest(self) -> float | None:
        """The estimated pause in seconds, or None with too few blocks."""
        if len(self._longest) < ENOUGH_BLOCKS:
            return None
        return _quantile(self._longest, BLOCKS_PART)

    def add(self, pause_s: float) -> None:
        self._block.append(pause_s)
        if len(self._block) == BLOCK_PAUSES:
            self._longest.append(_quantile(self._block, PAUSE_PART))
            self._block = []


@dataclasses.dataclass(frozen=True, slots=True)
class LearntFigures:
    """Estimates of one box; None where it has too few observations."""

    prefill_tokens_per_s: float | None = None
    reading_token_s: float | None = None


class FiguresLearner:
    """Estimates the profile of one service's engines together with peers.

    Each box with enough observations contributes one estimate, and boxes
    exchange them, so that all boxes, including newly started ones, decide
    alike.
    """

    def __init__(self) -> None:
        self._rates: collections.deque[float] = collections.deque(maxlen=READS)
        self._pauses = _Pauses()
        self._own = LearntFigures()
        self._peers: dict[str, tuple[float, LearntFigures]] = {}
        self._figures = EngineFigures()

    @property
    def figures(self) -> EngineFigures:
        """The combined profile as of the last `settle`."""
        return self._figures

    @property
    def own(self) -> LearntFigures:
        """The estimate of this box alone as of the last `settle`."""
        return self._own

    @property
    def voters(self) -> int:
        """Number of boxes with an estimate, as far as known here."""
        return (self._own != LearntFigures()) + len(self._peers)

    def prompt_read(self, tokens: int, seconds: float) -> None:
        """Records the first event of a prompt with no known backlog before it.

        Args:
            tokens: Prompt tokens that certainly had to be prefilled.
            seconds: Time from sending the request to the first event.
        """
        if tokens >= LEAST_READ_TOKENS and seconds > FIRST_STEPS_S:
            self._rates.append(tokens / (seconds - FIRST_STEPS_S))

    def paused(self, token_s: float) -> None:
        """Records the time per token of a stream during prefill.

        Args:
            token_s: Seconds per token.
        """
        self._pauses.add(token_s)

    def take_peer(self, box: str, learnt: LearntFigures, now: float) -> None:
        """Replaces the estimate of another box."""
        self._peers[box] = (now, learnt)

    def settle(self, now: float) -> None:
        """Recomputes the profile and drops expired ones of other boxes."""
        rate = None
        if len(self._rates) >= ENOUGH_READS:
            rate = _quantile(self._rates, RATE_PART)
        self._own = LearntFigures(rate, self._pauses.longest)
        for box, (heard, _) in list(self._peers.items()):
            if now - heard > PEER_FIGURES_LIFETIME_S:
                del self._peers[box]
        votes = [self._own, *(learnt for _, learnt in self._peers.values())]
        before = self._figures
        self._figures = EngineFigures(
            _typical(
                (vote.prefill_tokens_per_s for vote in votes),
                before.prefill_tokens_per_s,
            ),
            _typical(
                (vote.reading_token_s for vote in votes), before.reading_token_s
            ),
        )


def _quantile(values: Iterable[float], part: float) -> float:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(part * len(ordered)))]


def _typical(votes: Iterable[float | None], default: float) -> float:
    known = [vote for vote in votes if vote is not None]
    return _quantile(known, VOTES_PART) if known else default
