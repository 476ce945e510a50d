"""Boxes as processes that are killed."""

import asyncio
import dataclasses
import pathlib
import signal
import tempfile

from martenjunction.platform import box_settings
from martenjunction_lab import box_processes
from martenjunction_lab.stream_losses import fleet
from martenjunction_lab.stream_losses import outcome
from martenjunction_lab.stream_losses import trials


class ProcessFleet(fleet.LossFleet):
    """Boxes that run by the command of the deploy file."""

    def __init__(self, trial: trials.Trial, folder: pathlib.Path) -> None:
        """Makes a fleet; `run` plays the trial.

        Args:
            trial: What is played.
            folder: Folder for settings and logs of the boxes.
        """
        super().__init__(trial)
        self._folder = folder
        self._settings: list[box_settings.BoxSettings] = []
        self._running: dict[int, box_processes.Box] = {}
        self._is_stopped = False

    async def stop(self) -> None:
        """Kills all boxes and stops the rest."""
        self._is_stopped = True
        await self._kill(list(self._running))
        await super().stop()

    def _addresses(self) -> list[str]:
        return [made.callers for made in self._settings]

    async def _start_boxes(self) -> None:
        self._settings = [
            box_processes.settings_of(
                self.boxes, f"box-{number + 1}", first_start=True
            )
            for number in range(self.trial.boxes)
        ]
        await asyncio.gather(
            *(self._start_again(box) for box in range(self.trial.boxes))
        )
        await asyncio.gather(
            *(one.until_ready() for one in self._running.values())
        )
        self._settings = [
            dataclasses.replace(made, first_start=False)
            for made in self._settings
        ]

    async def _kill(self, boxes: list[int]) -> None:
        killed = [self._running.pop(box) for box in boxes]
        for one in killed:
            one.signal(signal.SIGKILL)
        await asyncio.gather(*(one.discard() for one in killed))

    async def _suspend(self, box: int) -> None:
        with self._running[box].suspended():
            await asyncio.sleep(self.trial.suspended_s)

    async def _start_again(self, box: int) -> None:
        settings = self._settings[box]
        with (self._folder / f"{settings.box}.log").open("ab") as log:
            one = await box_processes.start(
                self._folder, settings, stdout=log.fileno()
            )
        self._running[box] = one
        if self._is_stopped:
            await self._kill([box])


async def play(
    trial: trials.Trial, folder: pathlib.Path | None = None
) -> outcome.Outcome:
    """Plays a trial with box processes.

    Args:
        trial: What is played.
        folder: Folder for settings and logs of the boxes; a temporary one if
            None.

    Raises:
        TimeoutError: If a box does not get ready.
    """
    if folder is not None:
        folder.mkdir(parents=True, exist_ok=True)
        return await ProcessFleet(trial, folder).run()
    with tempfile.TemporaryDirectory() as name:
        return await ProcessFleet(trial, pathlib.Path(name)).run()
