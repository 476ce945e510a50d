"""Plays trials with several seeds, some of them at once."""

import asyncio
from collections.abc import Iterator
from concurrent import futures
import dataclasses
import logging
import multiprocessing
import pathlib

from martenjunction_lab.stream_losses import outcome
from martenjunction_lab.stream_losses import process_fleet
from martenjunction_lab.stream_losses import simulated_fleet
from martenjunction_lab.stream_losses import trials


@dataclasses.dataclass(frozen=True)
class Series:
    """Trials that are played with each of some seeds.

    Attributes:
        names: Their names.
        seeds: The seeds.
        jobs: Trials at once.
        is_simulated: Whether boxes run in one process, in simulated time.
        logs: Folder for settings and logs of box processes; none are kept if
            None.
    """

    names: list[str]
    seeds: range
    jobs: int = 1
    is_simulated: bool = False
    logs: pathlib.Path | None = None

    def play(self) -> Iterator[tuple[str, int, outcome.Outcome]]:
        """Yields the name, the seed and what was seen, in order."""
        # A forked process would draw the loopback addresses of the others.
        context = multiprocessing.get_context("spawn")
        with futures.ProcessPoolExecutor(self.jobs, context) as pool:
            played = [
                (name, seed, pool.submit(_play, self, name, seed))
                for name in self.names
                for seed in self.seeds
            ]
            for name, seed, future in played:
                yield name, seed, future.result()


def parse_seeds(text: str) -> range:
    """Returns the seeds of "A..B", both included, or of "A".

    Raises:
        ValueError: If the text is neither.
    """
    first, _, last = text.partition("..")
    return range(int(first), int(last or first) + 1)


def _play(series: Series, name: str, seed: int) -> outcome.Outcome:
    logging.disable(logging.WARNING)
    known = {**trials.TRIALS, **trials.SHORT}
    trial = dataclasses.replace(known[name], seed=seed)
    if series.is_simulated:
        return simulated_fleet.play(trial)
    folder = None
    if series.logs is not None:
        folder = series.logs / f"{name}-{seed}"
    return asyncio.run(process_fleet.play(trial, folder))
