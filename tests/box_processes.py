"""Builders of boxes that run as processes of their own."""

import asyncio
from collections.abc import Iterator
import contextlib
import dataclasses
import json
import os
import pathlib
import random
import signal
import sys
from typing import Any

from martenjunction import errors
from martenjunction.platform import box_settings
from martenjunction_lab import boxes
from tests import routing_builders as builders

READY_LIMIT_S = 30.0
END_LIMIT_S = 60.0


@dataclasses.dataclass
class Box:
    """A running process and where it serves."""

    settings: box_settings.BoxSettings
    process: asyncio.subprocess.Process
    # A handle that no other process can take over once this one has ended.
    handle: int
    # Its output is read all the time: the event loop reports no end of a
    # process whose full pipe nobody reads.
    output: asyncio.Task[bytes]

    @property
    def running(self) -> bool:
        return self.process.returncode is None

    async def until_ready(self) -> None:
        async with asyncio.timeout(READY_LIMIT_S):
            while True:
                try:
                    head, _ = await boxes.call(
                        self.settings.ready, "GET", "/readyz"
                    )
                except errors.TransportError:
                    head = None
                if head is not None and head.status == 200:
                    return
                await asyncio.sleep(0.05)

    async def log(self) -> list[dict[str, object]]:
        """Returns the lines written until the process ended."""
        text = await self.output
        return [json.loads(line) for line in text.splitlines()]

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal; none to a process that has ended.

        Not by the process object: it would collect the exit code before the
        event loop does, which then reports 255.
        """
        with contextlib.suppress(ProcessLookupError):
            signal.pidfd_send_signal(self.handle, number)

    @contextlib.contextmanager
    def held_up(self) -> Iterator[None]:
        """Has the process stand still, as if it got no processor."""
        self.signal(signal.SIGSTOP)
        try:
            yield
        finally:
            self.signal(signal.SIGCONT)

    async def until_ended(self) -> int:
        """Waits for the end; returns the exit code."""
        async with asyncio.timeout(END_LIMIT_S):
            return await self.process.wait()

    async def discard(self) -> None:
        """Ends the process, whatever its state."""
        self.signal(signal.SIGKILL)
        await self.until_ended()
        os.close(self.handle)


async def start(
    folder: pathlib.Path, settings: box_settings.BoxSettings
) -> Box:
    file = folder / f"{settings.box}.toml"
    file.write_text(builders.settings_text(settings))
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "martenjunction.cmd.box",
        env={**os.environ, box_settings.SETTINGS_VARIABLE: str(file)},
        stdout=asyncio.subprocess.PIPE,
    )
    assert process.stdout is not None
    output = asyncio.create_task(process.stdout.read())
    return Box(settings, process, os.pidfd_open(process.pid), output)


def settings_of(
    fleet: boxes.Boxes, box: str, **changes: Any
) -> box_settings.BoxSettings:
    # The port for metrics is fixed: each process here has an IP of its own,
    # also beside another run of the tests.
    parts = [random.randint(1, 254) for _ in range(3)]
    changes["ip"] = ".".join(str(part) for part in (127, *parts))
    return boxes.settings(box, fleet.store.address, **changes)
