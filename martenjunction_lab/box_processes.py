"""Helpers that run boxes as separate processes."""

import asyncio
from collections.abc import Iterator
from collections.abc import Sequence
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
from martenjunction_lab import settings_files

READY_LIMIT_S = 30.0
END_LIMIT_S = 60.0

# Kind of the line on a request that the box ended without a response of its
# handler.
_UNANSWERED = "request-without-answer"


@dataclasses.dataclass
class Box:
    """A box process and its settings.

    Attributes:
        settings: Its settings.
        process: Its process.
        pidfd: A pidfd, which unlike a pid is not reused after the process has
            exited.
        output: Reads the output continuously: the event loop does not report
            the exit of a process while its pipe is full and unread.
    """

    settings: box_settings.BoxSettings
    process: asyncio.subprocess.Process
    pidfd: int
    output: asyncio.Task[bytes]

    @property
    def running(self) -> bool:
        """Whether the process has not exited."""
        return self.process.returncode is None

    async def until_ready(self) -> None:
        """Waits for the box to report that it is ready.

        Raises:
            TimeoutError: If it does not in time.
        """
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
        """Returns all log lines, once the process has exited."""
        text = await self.output
        return [json.loads(line) for line in text.splitlines()]

    async def unanswered(self) -> list[dict[str, object]]:
        """Returns the lines on connections closed under their requests.

        Waits until the process has exited.
        """
        return [line for line in await self.log() if tells_unanswered(line)]

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal unless the process has exited.

        Does not use the process object, which would collect the exit code
        before the event loop does; the event loop would then report 255.
        """
        with contextlib.suppress(ProcessLookupError):
            signal.pidfd_send_signal(self.pidfd, number)

    @contextlib.contextmanager
    def suspended(self) -> Iterator[None]:
        """Suspends the process, as if it got no processor time."""
        self.signal(signal.SIGSTOP)
        try:
            yield
        finally:
            self.signal(signal.SIGCONT)

    async def until_ended(self) -> int:
        """Waits for the process to exit; returns the exit code."""
        async with asyncio.timeout(END_LIMIT_S):
            return await self.process.wait()

    async def discard(self) -> None:
        """Kills the process in any state."""
        self.signal(signal.SIGKILL)
        await self.until_ended()
        os.close(self.pidfd)


def tells_unanswered(line: dict[str, Any]) -> bool:
    """Returns whether a line tells of a connection closed under a request."""
    return bool(line["message_type"] == _UNANSWERED)


async def start(
    folder: pathlib.Path,
    settings: box_settings.BoxSettings,
    program: Sequence[str] = ("-m", "martenjunction.cmd.box"),
    stdout: int = asyncio.subprocess.PIPE,
) -> Box:
    """Starts a box.

    Args:
        folder: Folder for its settings file.
        settings: Its settings.
        program: Arguments of the interpreter.
        stdout: Where its log goes.
    """
    file = folder / f"{settings.box}.toml"
    file.write_text(settings_files.settings_text(settings))
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        *program,
        env={**os.environ, box_settings.SETTINGS_VARIABLE: str(file)},
        stdout=stdout,
    )
    output = asyncio.create_task(_read(process.stdout))
    return Box(settings, process, os.pidfd_open(process.pid), output)


async def _read(output: asyncio.StreamReader | None) -> bytes:
    return b"" if output is None else await output.read()


def settings_of(
    fleet: boxes.Boxes, box: str, **changes: Any
) -> box_settings.BoxSettings:
    """Returns the settings of a box of a fleet that is a process of its own.

    The metrics port is fixed, so each process gets its own random loopback
    address. This also avoids conflicts with a concurrent test run.
    """
    parts = [random.randint(1, 254) for _ in range(3)]
    changes["ip"] = ".".join(str(part) for part in (127, *parts))
    return boxes.settings(box, fleet.store.address, **changes)
