"""Plays events in known situations, enumerates orders, then walks at random."""

import collections
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Sequence
import dataclasses
import functools
import logging
import multiprocessing
import os
import random
import time

from martenjunction_lab.explore import events
from martenjunction_lab.explore import plays
from martenjunction_lab.explore import situations

# Steps of a random walk.
SHORTEST_WALK = 4
LONGEST_WALK = 14

# Steps that are drawn for a place before a walk ends: most are not possible.
_MAX_DRAWS = 6

# Walks after which the steps of the next ones are weighed anew, and the most
# that the weight of a step grows by.
_ROUND = 100
_MAX_FACTOR = 8.0

# Part of the walks that begin in a known situation.
_SITUATION_FRACTION = 0.5

# Plays handed to a process at a time, and the most processes unless another
# number is asked for.
_CHUNK = 16
_MAX_JOBS = 4

# Most plays that minimise a counterexample.
_MAX_TRIALS = 400

# Events that others need are drawn more often than those that end a play.
_FREQUENT = ("safe", "unsafe", "stream", "two", "answer", "hold", "wait")
_RARE = ("fin", "half-close", "reset", "leave", "stop")


def _weight(step: str) -> float:
    if step.startswith(_FREQUENT):
        return 16
    return 1 if step.startswith(_RARE) else 4


_WEIGHTS = {step: _weight(step) for step in events.ALL_STEPS}

_Map = Callable[
    [Callable[[events.Order], plays.Outcome], Iterable[events.Order]],
    Iterator[plays.Outcome],
]


@dataclasses.dataclass
class Found:
    """What an exploration has found so far.

    Attributes:
        orders: Orders that were played to their end.
        impossible: Orders with an event that could not take place.
        states: Distinct states, by their hash.
        depth: Depth to which all orders were played.
        seconds: Real seconds.
        broken: Outcomes that broke an invariant, one of each kind.
        taken: How often each step took place.
    """

    orders: int = 0
    impossible: int = 0
    states: set[str] = dataclasses.field(default_factory=set)
    depth: int = 0
    seconds: float = 0.0
    broken: dict[str, plays.Outcome] = dataclasses.field(default_factory=dict)
    taken: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )

    def note(self, outcome: plays.Outcome) -> None:
        """Counts a play."""
        if not outcome.possible:
            self.impossible += 1
            return
        self.orders += 1
        self.taken.update(outcome.order)
        for text in outcome.broken:
            self.broken.setdefault(kind(text), outcome)
        self.states.add(outcome.state)


@dataclasses.dataclass(frozen=True)
class _Asked:
    """What is to be explored; see `explore`."""

    begun: Sequence[events.Order]
    begun_depth: int
    depth: int
    walks: int
    seed: int
    in_memory: bool


def kind(text: str) -> str:
    """Returns the name of a broken invariant."""
    return text.partition(":")[0]


def usual_jobs() -> int:
    """Returns the number of processes that use this machine's processors."""
    return min(_MAX_JOBS, len(os.sched_getaffinity(0)))


def explore(
    depth: int,
    walks: int,
    seed: int,
    jobs: int = 1,
    limit_s: float = float("inf"),
    stop_at_first: bool = False,
    begun: Sequence[events.Order] | None = None,
    begun_depth: int = 1,
    in_memory: bool = True,
) -> Found:
    """Explores orders.

    Args:
        depth: Steps of the longest orders that are enumerated.
        walks: Number of random walks.
        seed: Decides the walks, and what a box leaves to chance.
        jobs: Number of processes.
        limit_s: Real seconds after which it ends.
        stop_at_first: Whether it ends with the first counterexample.
        begun: Orders after each of which every step is played first; all
            known situations if left out, unless the depth is 0.
        begun_depth: Steps of the longest orders that are enumerated after
            those.
        in_memory: Whether sockets are in memory, unless an order breaks an
            invariant.
    """
    if begun is None:
        begun = situations.ALL if depth else ()
    found = Found()
    began_at = time.perf_counter()

    def is_over() -> bool:
        found.seconds = time.perf_counter() - began_at
        return found.seconds > limit_s or (stop_at_first and bool(found.broken))

    asked = _Asked(begun, begun_depth, depth, walks, seed, in_memory)
    if jobs == 1:
        _explore(found, map, asked, is_over)
    else:
        context = multiprocessing.get_context("spawn")
        with context.Pool(jobs, _be_quiet) as pool:
            ordered = functools.partial(pool.imap, chunksize=_CHUNK)
            _explore(found, ordered, asked, is_over)
    is_over()
    return found


def _explore(
    found: Found, ordered: _Map, asked: _Asked, is_over: Callable[[], bool]
) -> None:
    play = functools.partial(_play, asked.seed, asked.in_memory)
    for front, depth in (
        (list(asked.begun), asked.begun_depth),
        ([()], asked.depth),
    ):
        for level in _enumerate(found, ordered, play, front, depth, is_over):
            if front == [()]:
                found.depth = level
        if is_over():
            return
    for begin in range(0, asked.walks, _ROUND):
        numbers = range(begin, min(asked.walks, begin + _ROUND))
        walk = functools.partial(
            _walk, asked.seed, asked.in_memory, _weights(found)
        )
        for outcome in ordered(walk, ((str(number),) for number in numbers)):
            found.note(outcome)
            if is_over():
                return


def _enumerate(
    found: Found,
    ordered: _Map,
    play: Callable[[events.Order], plays.Outcome],
    front: Sequence[events.Order],
    depth: int,
    is_over: Callable[[], bool],
) -> Iterator[int]:
    """Plays all orders that continue others; yields the depths it has done.

    Of those with the same state only the first is continued.
    """
    continued: set[str] = set()
    for level in range(1, depth + 1):
        orders = ((*order, step) for order in front for step in events.STEPS)
        following = []
        for outcome in ordered(play, orders):
            found.note(outcome)
            if outcome.state and outcome.state not in continued:
                continued.add(outcome.state)
                following.append(outcome.order)
            if is_over():
                return
        front = following
        yield level


def _weights(found: Found) -> list[float]:
    """Returns the weights of steps, larger for those that were seldom seen."""
    if not found.taken:
        return list(_WEIGHTS.values())
    total = sum(_WEIGHTS.values())
    per_weight = found.taken.total() / total
    return [
        weight
        * min(
            _MAX_FACTOR,
            max(1.0, weight * per_weight / (found.taken[step] + 1)),
        )
        for step, weight in _WEIGHTS.items()
    ]


def minimise(outcome: plays.Outcome, seed: int) -> plays.Outcome:
    """Returns a shorter order that breaks the same invariant.

    Args:
        outcome: The counterexample.
        seed: The seed of its play.
    """
    name = kind(outcome.broken[0])
    order = outcome.order
    trials = 0
    shorter = True
    while shorter and trials < _MAX_TRIALS:
        shorter = False
        for at in reversed(range(len(order))):
            trials += 1
            tried = order[:at] + order[at + 1 :]
            if _breaks(tried, seed, name):
                order, shorter = tried, True
                break
    return plays.play(order, seed, traced=True)


def _breaks(order: events.Order, seed: int, name: str) -> bool:
    outcome = plays.play(order, seed)
    return any(kind(text) == name for text in outcome.broken)


def _play(
    seed: int, in_memory: bool, order: events.Order, most: int | None = None
) -> plays.Outcome:
    """Plays an order; a counterexample is played over loopback."""
    outcome = plays.play(order, seed, most=most, in_memory=in_memory)
    if outcome.broken and in_memory:
        return plays.play(order, seed, most=most)
    return outcome


def _walk(
    seed: int, in_memory: bool, weights: list[float], number: events.Order
) -> plays.Outcome:
    drawn = random.Random(f"{seed}/{number[0]}")
    length = drawn.randint(SHORTEST_WALK, LONGEST_WALK)
    steps = tuple(
        drawn.choices(events.ALL_STEPS, weights, k=length * _MAX_DRAWS)
    )
    if drawn.random() < _SITUATION_FRACTION:
        begun = drawn.choice(drawn.choice(situations.GROUPS))
        steps, length = begun + steps, len(begun) + length
    return _play(seed, in_memory, steps, length)


def _be_quiet() -> None:
    logging.disable(logging.WARNING)
