"""Plays behaviours with several seeds, and judges what was seen."""

from collections.abc import Callable
from collections.abc import Iterator
from concurrent import futures
import dataclasses
import importlib
import logging
import multiprocessing
import os
import time
from typing import Any

from martenjunction_lab.promises import behaviours
from martenjunction_lab.promises import events
from martenjunction_lab.promises import schedule
from martenjunction_lab.promises import trial

# Module whose `broken` returns the promises that a history breaks.
JUDGE = "martenjunction_lab.promises.judge"

# Variable of the environment that decides the order of sets.
HASH_SEED = "PYTHONHASHSEED"

Judge = Callable[[events.History], list[Any]]


@dataclasses.dataclass(frozen=True)
class Outcome:
    """What was seen of a play.

    Attributes:
        seed: Its seed.
        played: Its behaviours.
        broken: The promises that it broke, as text.
        requests: Requests that clients sent.
        served: Those that ended with a whole success.
        left: Those whose clients left.
        simulated_s: Simulated seconds.
        real_s: Real seconds.
        trace: All events as text, if they are wanted.
    """

    seed: int
    played: tuple[behaviours.Behaviour, ...]
    broken: tuple[str, ...]
    requests: int
    served: int
    left: int
    simulated_s: float
    real_s: float
    trace: tuple[str, ...] = ()

    @property
    def name(self) -> str:
        """The kinds of its behaviours."""
        return " + ".join(sorted(one.kind for one in self.played))


@dataclasses.dataclass(frozen=True)
class Series:
    """Plays with each of some seeds.

    Attributes:
        seeds: The seeds.
        kinds: Kinds that are played; all if empty.
        alone: Whether each of the kinds is played alone, rather than a pair.
        jobs: Plays at once.
        judge: Module of the judge.
        traces: Whether all events are returned.
        every: Whether each pair is played once, with one seed after the
            other, rather than a drawn pair with each seed.
        among: Kinds of which each of these pairs has at least one; any if
            empty.
        first: Number of the first of these pairs that is played, from 0.
        count: How many of them are played; None for all that follow.
    """

    seeds: range
    kinds: tuple[str, ...] = ()
    alone: bool = False
    jobs: int = 1
    judge: str = JUDGE
    traces: bool = False
    every: bool = False
    among: tuple[str, ...] = ()
    first: int = 0
    count: int | None = None

    def play(self) -> Iterator[Outcome]:
        """Yields what was seen of each play, in order."""
        find_judge(self.judge)  # Fails before anything is played.
        os.environ.setdefault(HASH_SEED, "0")
        # A forked process would draw the loopback addresses of the others.
        context = multiprocessing.get_context("spawn")
        with futures.ProcessPoolExecutor(self.jobs, context) as pool:
            played = [
                pool.submit(_play, self, seed, drawn)
                for seed, drawn in self.draw()
            ]
            for future in played:
                yield future.result()

    def command(self, outcome: Outcome) -> str:
        """Returns the command that plays one of the plays again."""
        words = [
            f"PYTHONHASHSEED={os.environ.get(HASH_SEED, '0')}",
            f"martenjunction-lab pairs --trace --seeds {outcome.seed}",
        ]
        if self.alone:
            words.append(f"--alone --kinds {outcome.name}")
        elif self.every:
            named = sorted({one.kind for one in outcome.played})
            number = schedule.all_pairs(named).index((named[0], named[-1]))
            words.append(
                f"--all --kinds {','.join(named)} --from {number} --count 1"
            )
        elif self.kinds:
            words.append(f"--kinds {','.join(self.kinds)}")
        if self.judge != JUDGE:
            words.append(f"--judge {self.judge}")
        return " ".join(words)

    def draw(self) -> Iterator[tuple[int, tuple[behaviours.Behaviour, ...]]]:
        """Yields the seed and the behaviours of each play."""
        if not self.every:
            for seed in self.seeds:
                for drawn in self._drawn(seed):
                    yield seed, drawn
            return
        pairs = schedule.all_pairs(self.kinds, self.among)
        last = None if self.count is None else self.first + self.count
        for number in range(len(pairs))[self.first : last]:
            seed = self.seeds[number % len(self.seeds)]
            yield seed, schedule.draw_named_pair(seed, pairs[number])

    def _drawn(self, seed: int) -> list[tuple[behaviours.Behaviour, ...]]:
        if not self.alone:
            return [schedule.draw_pair(seed, self.kinds)]
        return [
            schedule.draw_one(seed, kind)
            for kind in self.kinds or sorted(behaviours.KINDS)
        ]


def find_judge(module: str) -> Judge:
    """Returns the judge of a module.

    Raises:
        ModuleNotFoundError: If there is no such module.
    """
    judge: Judge = importlib.import_module(module).broken
    return judge


def judged(played: trial.Trial, judge: Judge, traces: bool = False) -> Outcome:
    """Plays a trial and judges it.

    Args:
        played: The trial.
        judge: Returns the promises that were broken.
        traces: Whether to return all events.
    """
    began = time.perf_counter()
    seen = trial.play(played)
    real_s = time.perf_counter() - began
    history = seen.history
    broken = [str(one) for one in judge(history)]
    if seen.closed_under:
        broken.append(f"closed-under: {seen.closed_under} requests")
    return Outcome(
        played.seed,
        played.played,
        tuple(broken),
        seen.requests,
        seen.served,
        seen.left,
        seen.simulated_s,
        real_s,
        tuple(map(str, history.of(events.Event))) if traces else (),
    )


def _play(
    series: Series, seed: int, played: tuple[behaviours.Behaviour, ...]
) -> Outcome:
    logging.disable(logging.WARNING)
    return judged(
        trial.Trial(played, seed=seed),
        find_judge(series.judge),
        series.traces,
    )
