"""What is learnt of the engines of one service, and how.

Engines of unlike services differ by several times in how fast they read
prompts and in how long a stream waits for a token while they do. Both decide
which prompts may run beside which streams, so they are learnt from what every
box sees anyway: first events and the pauses between events.
"""

import collections
from collections.abc import Iterable
import dataclasses
import math

# Where nothing was learnt yet: the rate that the first users told of theirs,
# and streams that do not stay in time beside prompts, since all boxes start
# while engines hold nothing and read most.
START_PREFILL_TOKENS_PER_S = 50_000.0
START_READING_TOKEN_S = math.inf

# Least prompt tokens whose reading time says something of the rate, and the
# seconds of a first event that do not depend on it (way, steps of one event).
LEAST_READ_TOKENS = 2_000
FIRST_STEPS_S = 0.015

# First events of prompts that count, how many there must be before a box's own
# word counts, and the part of them below the learnt rate: what others sent
# there, told late, makes single ones low but none high.
READS = 64
ENOUGH_READS = 3
RATE_PART = 0.9

# Pauses beside prompts are judged in blocks, of which there must be some before
# a box's own word counts. The learnt pause is one of the longest of the latest
# blocks' own, since only a busy time shows how long they get while an engine
# reads piece after piece. A box sees some 15 such pauses a second.
BLOCK_PAUSES = 64
ENOUGH_BLOCKS = 3
BLOCKS = 24
PAUSE_PART = 0.97
BLOCKS_PART = 0.9

# Part of the boxes' figures below the one that counts: a box that saw little
# reading knows of a shorter pause and of a lower rate than there is.
VOTES_PART = 0.75

# Part by which figures must change before the change is logged.
WORTH_TELLING = 0.1

# Seconds for which another box's figures count.
PEER_FIGURES_LIFETIME_S = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class EngineFigures:
    """How fast the engines of a service are.

    Attributes:
        prefill_tokens_per_s: Prompt tokens that one reads in a second beside
            its streams.
        reading_token_s: Seconds that a stream waits for each token while its
            engine reads prompts without a break.
    """

    prefill_tokens_per_s: float = START_PREFILL_TOKENS_PER_S
    reading_token_s: float = START_READING_TOKEN_S

    def reading_s(self, tokens: float) -> float:
        """Returns the seconds in which so many prompt tokens are read."""
        return tokens / self.prefill_tokens_per_s

    def is_like(self, other: "EngineFigures") -> bool:
        """Returns whether both differ by no more than is worth a log line."""
        return all(
            math.isclose(mine, theirs, rel_tol=WORTH_TELLING)
            for mine, theirs in (
                (self.prefill_tokens_per_s, other.prefill_tokens_per_s),
                (self.reading_token_s, other.reading_token_s),
            )
        )


class _Pauses:
    """The longest pauses of the latest blocks of observations."""

    def __init__(self) -> None:
        self._block: list[float] = []
        self._longest: collections.deque[float] = collections.deque(
            maxlen=BLOCKS
        )

    @property
    def longest(self) -> float | None:
        """The learnt pause, or None while there are too few blocks."""
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
    """What one box learnt; None where it saw too little."""

    prefill_tokens_per_s: float | None = None
    reading_token_s: float | None = None


class FiguresLearner:
    """Learns the figures of one service's engines, with the other boxes.

    Each box that saw enough has one vote, and all know the votes of most, so
    that boxes decide alike, and one that was just started like the others.
    """

    def __init__(self) -> None:
        self._rates: collections.deque[float] = collections.deque(maxlen=READS)
        self._pauses = _Pauses()
        self._own = LearntFigures()
        self._peers: dict[str, tuple[float, LearntFigures]] = {}
        self._figures = EngineFigures()

    @property
    def figures(self) -> EngineFigures:
        """What is to be counted with, as of the last `settle`."""
        return self._figures

    @property
    def own(self) -> LearntFigures:
        """What this box learnt by itself, as of the last `settle`."""
        return self._own

    @property
    def voters(self) -> int:
        """Boxes that learnt something, as far as is known here."""
        return (self._own != LearntFigures()) + len(self._peers)

    def prompt_read(self, tokens: int, seconds: float) -> None:
        """Notes a first event of a prompt that nothing was known to precede.

        Args:
            tokens: Prompt tokens that had to be read for sure.
            seconds: From sending to the first event.
        """
        if tokens >= LEAST_READ_TOKENS and seconds > FIRST_STEPS_S:
            self._rates.append(tokens / (seconds - FIRST_STEPS_S))

    def paused(self, token_s: float) -> None:
        """Notes the seconds a token of a stream beside a prompt took."""
        self._pauses.add(token_s)

    def take_peer(self, box: str, learnt: LearntFigures, now: float) -> None:
        """Notes what another box learnt."""
        self._peers[box] = (now, learnt)

    def settle(self, now: float) -> None:
        """Works the figures out anew from all that is known."""
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
