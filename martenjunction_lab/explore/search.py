"""Enumerates orders breadth first, then walks beyond the depth."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
import functools
import logging
import multiprocessing
import random
import time

from martenjunction_lab.explore import events
from martenjunction_lab.explore import plays

# Steps of a random walk.
SHORTEST_WALK = 4
LONGEST_WALK = 14

# Steps that are drawn for a place before a walk ends: most are not possible.
_MAX_DRAWS = 6

# Plays handed to a process at a time.
_CHUNK = 32

# Most plays that minimise a counterexample.
_MAX_TRIALS = 400

# Events that others need are drawn more often than those that end a play.
_FREQUENT = ("safe", "unsafe", "stream", "two", "answer", "hold", "wait")
_RARE = ("fin", "half-close", "reset", "leave", "stop")


def _weight(step: str) -> int:
    if step.startswith(_FREQUENT):
        return 16
    return 1 if step.startswith(_RARE) else 4


_WEIGHTS = [_weight(step) for step in events.ALL_STEPS]

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
    """

    orders: int = 0
    impossible: int = 0
    states: set[str] = dataclasses.field(default_factory=set)
    depth: int = 0
    seconds: float = 0.0
    broken: dict[str, plays.Outcome] = dataclasses.field(default_factory=dict)

    def note(self, outcome: plays.Outcome) -> bool:
        """Counts a play; returns whether its state is new."""
        if not outcome.possible:
            self.impossible += 1
            return False
        self.orders += 1
        for text in outcome.broken:
            self.broken.setdefault(kind(text), outcome)
        is_new = bool(outcome.state) and outcome.state not in self.states
        self.states.add(outcome.state)
        return is_new


def kind(text: str) -> str:
    """Returns the name of a broken invariant."""
    return text.partition(":")[0]


def explore(
    depth: int,
    walks: int,
    seed: int,
    jobs: int = 1,
    limit_s: float = float("inf"),
    stop_at_first: bool = False,
) -> Found:
    """Explores orders.

    Args:
        depth: Steps of the longest orders that are enumerated.
        walks: Number of random walks.
        seed: Decides the walks, and what a box leaves to chance.
        jobs: Number of processes.
        limit_s: Real seconds after which it ends.
        stop_at_first: Whether it ends with the first counterexample.
    """
    found = Found()
    began_at = time.perf_counter()

    def is_over() -> bool:
        found.seconds = time.perf_counter() - began_at
        return found.seconds > limit_s or (stop_at_first and bool(found.broken))

    play = functools.partial(_play, seed)
    if jobs == 1:
        _explore(found, map, play, depth, walks, seed, is_over)
    else:
        context = multiprocessing.get_context("spawn")
        with context.Pool(jobs, _be_quiet) as pool:
            ordered = functools.partial(pool.imap, chunksize=_CHUNK)
            _explore(found, ordered, play, depth, walks, seed, is_over)
    is_over()
    return found


def _explore(
    found: Found,
    ordered: _Map,
    play: Callable[[events.Order], plays.Outcome],
    depth: int,
    walks: int,
    seed: int,
    is_over: Callable[[], bool],
) -> None:
    front: list[events.Order] = [()]
    for level in range(1, depth + 1):
        orders = ((*order, step) for order in front for step in events.STEPS)
        following = []
        for outcome in ordered(play, orders):
            if found.note(outcome):
                following.append(outcome.order)
            if is_over():
                return
        front, found.depth = following, level
    numbers = (str(number) for number in range(walks))
    for outcome in ordered(
        functools.partial(_walk, seed), ((number,) for number in numbers)
    ):
        found.note(outcome)
        if is_over():
            return


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


def _play(seed: int, order: events.Order) -> plays.Outcome:
    return plays.play(order, seed)


def _walk(seed: int, number: events.Order) -> plays.Outcome:
    drawn = random.Random(f"{seed}/{number[0]}")
    length = drawn.randint(SHORTEST_WALK, LONGEST_WALK)
    steps = drawn.choices(events.ALL_STEPS, _WEIGHTS, k=length * _MAX_DRAWS)
    return plays.play(tuple(steps), seed, most=length)


def _be_quiet() -> None:
    logging.disable(logging.WARNING)
