"""Boxes in one process that end without notice, for simulated time."""

import asyncio

from martenjunction import gateway
from martenjunction_lab import boxes
from martenjunction_lab.simulated import loop as simulated_loop
from martenjunction_lab.stream_losses import fleet
from martenjunction_lab.stream_losses import outcome
from martenjunction_lab.stream_losses import trials


class SimulatedFleet(fleet.LossFleet):
    """Boxes of one event loop."""

    def __init__(self, trial: trials.Trial) -> None:
        """Makes a fleet; `run` plays the trial."""
        super().__init__(trial)
        self._made: list[gateway.Gateway] = []

    def _addresses(self) -> list[str]:
        return [box.members.own.callers for box in self._made]

    async def _start_boxes(self) -> None:
        for number in range(self.trial.boxes):
            self._made.append(
                await self.boxes.add_box(_name(number), first_start=True)
            )
        await boxes.until(
            lambda: all(box.dump()["ready"] for box in self._made)
        )

    async def _kill(self, boxes: list[int]) -> None:
        killed = [self._made[box] for box in boxes]
        for one in killed:
            self.boxes.gateways.remove(one)
        await asyncio.gather(*(one.stop() for one in killed))

    async def _start_again(self, box: int) -> None:
        self._made[box] = await self.boxes.add_box(_name(box))


def _name(box: int) -> str:
    return f"box-{box + 1}"


async def play_here(trial: trials.Trial) -> outcome.Outcome:
    """Plays a trial on the running loop, which is one in simulated time."""
    return await SimulatedFleet(trial).run()


def play(trial: trials.Trial) -> outcome.Outcome:
    """Plays a trial in simulated time."""
    return simulated_loop.run(play_here(trial), trial.seed)
