"""A box and its fast senders, as processes."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import json
import os
import pathlib
import sys
from typing import Any

from martenjunction import errors
from martenjunction.platform import box_settings
from martenjunction_lab import box_processes
from martenjunction_lab import boxes
from martenjunction_lab import settings_files
from martenjunction_lab.fast_senders import forms
from martenjunction_lab.fast_senders import probed_box
from martenjunction_lab.fast_senders import sender

READY_LIMIT_S = 30.0
READY_INTERVAL_S = 0.05

# Where a box's long turns are recorded.
TURNS_FILE = "turns"

PLAIN = "plain-service"
SENDER = "sender-service"

# Time limits of the routes to sending endpoints, in milliseconds.
TIMEOUT_MS = 2000

# Limit of a box's memory, in bytes.
MEMORY_BYTES = 300 * 2**20


def config_document() -> dict[str, Any]:
    """Returns a configuration with routes to usual and sending endpoints."""
    sent = {"service": SENDER, "max_attempts": 1}
    stream = {"route_kind": "streaming", "gap_goal_ms": 250, "sticky": True}
    return {
        "version": 7,
        "routes": [
            _route("safe", "/safe/"),
            _route("sender", "/sender/", **sent),
            _route("sender-stream", "/sender-stream/", **sent, **stream),
            _route("chat", "/chat/", **sent, **stream),
        ],
        "services": [
            {"name": name, "health_path": "/healthz", "max_conns": 360}
            for name in (PLAIN, SENDER)
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4_000_000,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": "one", "api_keys": [forms.KEY], "priority": 1}],
    }


def _route(name: str, prefix: str, **changes: Any) -> dict[str, Any]:
    return {
        "name": name,
        "host": "api.example",
        "path_prefix": prefix,
        "route_kind": "safe",
        "timeout_ms": TIMEOUT_MS,
        "goal_ms": 1500,
        "priority": 1,
        "service": PLAIN,
        "max_attempts": 2,
        "public": False,
        **changes,
    }


def own_settings(
    fleet: boxes.Boxes, name: str = "box-1", memory_bytes: int = MEMORY_BYTES
) -> box_settings.BoxSettings:
    """Returns the settings of a box that is a process of its own."""
    return box_processes.settings_of(fleet, name, memory_bytes=memory_bytes)


@contextlib.asynccontextmanager
async def box(
    settings: box_settings.BoxSettings, code: pathlib.Path, folder: pathlib.Path
) -> AsyncIterator[int]:
    """Runs a box.

    Args:
        settings: Its settings.
        code: Folder with the code that it runs.
        folder: Folder for its settings and its log.

    Yields:
        Its process id.

    Raises:
        TimeoutError: If it does not get ready.
    """
    file = folder / "box.toml"
    file.write_text(settings_files.settings_text(settings))
    with (folder / "box.log").open("wb") as log:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            probed_box.__file__,
            str(folder / TURNS_FILE),
            cwd=code,
            env={**os.environ, box_settings.SETTINGS_VARIABLE: str(file)},
            stdout=log,
        )
    try:
        async with asyncio.timeout(READY_LIMIT_S):
            while not await _is_ready(settings.ready):
                await asyncio.sleep(READY_INTERVAL_S)
        yield process.pid
    finally:
        await _kill(process)


def longest_turn(
    folder: pathlib.Path, kind: str, since: float, until: float
) -> float:
    """Returns a box's longest turn, in seconds of processor time.

    Args:
        folder: The folder for its files.
        kind: A kind of turns.
        since: Steady time after which a turn ended.
        until: Steady time before which it began.
    """
    longest = 0.0
    for line in (folder / TURNS_FILE).read_text().splitlines():
        ended_at, its, spent = line.split()
        began_at = float(ended_at) - float(spent)
        if its == kind and began_at < until and float(ended_at) >= since:
            longest = max(longest, float(spent))
    return longest


async def _is_ready(address: str) -> bool:
    try:
        head, _ = await boxes.call(address, "GET", "/readyz")
    except errors.TransportError:
        return False
    return head.status == 200


class SenderProcess:
    """A process with fast senders."""

    def __init__(self, form: forms.Form, count: int, box: str) -> None:
        """Makes it; `start` brings it up.

        Args:
            form: What the senders send.
            count: How many send at once.
            box: The box's address for clients.
        """
        self.address = ""
        self._arguments = (f"{form.side}: {form.name}", str(count), box)
        self._process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Starts it; its endpoint then listens."""
        self._process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "martenjunction_lab.fast_senders.sender",
            *self._arguments,
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
        )
        assert self._process.stdout is not None
        line = await self._process.stdout.readline()
        self.address = line.decode().strip()

    def begin(self) -> None:
        """Has the senders begin."""
        assert self._process is not None
        assert self._process.stdin is not None
        self._process.stdin.write(b"\n")

    async def stop(self) -> list[sender.End]:
        """Kills it; returns how its connections ended."""
        assert self._process is not None
        assert self._process.stdout is not None
        reading = asyncio.create_task(self._process.stdout.read())
        await _kill(self._process)
        lines = (await reading).splitlines()
        return [sender.End(**json.loads(line)) for line in lines if line]


async def _kill(process: asyncio.subprocess.Process) -> None:
    with contextlib.suppress(ProcessLookupError):
        process.kill()
    await process.wait()
