"""Plays behaviours on a fleet under a steady load, in simulated time."""

import asyncio
import dataclasses
import time

from martenjunction_lab.promises import behaviours
from martenjunction_lab.promises import events
from martenjunction_lab.promises import fleet
from martenjunction_lab.simulated import loop as simulated_loop


@dataclasses.dataclass(frozen=True)
class Trial:
    """What is played.

    Attributes:
        played: The behaviours.
        per_s: Requests a second.
        seconds: Seconds for which requests are sent.
        seed: Decides what is left to chance.
    """

    played: tuple[behaviours.Behaviour, ...]
    per_s: float = fleet.PER_S
    seconds: float = 10.0
    seed: int = 1


@dataclasses.dataclass(frozen=True)
class Play:
    """What was seen of a trial.

    Attributes:
        history: All events.
        simulated_s: Simulated seconds from the first request to the last end.
        closed_under: Requests whose connection a box closed under them, by the
            ledgers of the boxes that run at the end.
    """

    history: events.History
    simulated_s: float
    closed_under: int = 0

    @property
    def requests(self) -> int:
        """Requests that clients sent."""
        return len(self.history.of(events.Sent))

    @property
    def left(self) -> int:
        """Requests whose clients left."""
        return len(self.history.of(events.Left))

    @property
    def served(self) -> int:
        """Requests that ended with a whole success."""
        return sum(
            ended.status == 200 and ended.whole
            for ended in self.history.of(events.Ended)
        )


def play(trial: Trial) -> Play:
    """Plays a trial on a loop of its own."""
    return simulated_loop.run(play_here(trial), trial.seed)


async def play_here(trial: Trial) -> Play:
    """Plays a trial on the running loop, which is one in simulated time."""
    played = fleet.PairFleet(trial.seed)
    try:
        await played.begin()
        began = time.monotonic()
        for behaviour in trial.played:
            played.spawn(_play_one(played, behaviour))
        await played.send_steadily(
            trial.per_s, began + trial.seconds, played.clients.send
        )
        await played.settle()
        seconds = time.monotonic() - began
        return Play(played.history, seconds, played.closed_under)
    finally:
        await played.stop()


async def _play_one(
    played: fleet.PairFleet, behaviour: behaviours.Behaviour
) -> None:
    """Plays a behaviour; records when it began and ended."""
    await asyncio.sleep(behaviour.at_s)
    kind = behaviours.KINDS[behaviour.kind]
    if kind.part is behaviours.Part.ENDPOINT:
        name = played.ranked(behaviour.on)
        behaviour = dataclasses.replace(behaviour, on=name)
    began = time.monotonic()
    parts = behaviours.affected(played, behaviour)
    async with kind.apply(played, behaviour):
        await asyncio.sleep(behaviour.for_s)
    parts |= behaviours.affected(played, behaviour)
    behaviours.record(played, behaviour, began, parts)
