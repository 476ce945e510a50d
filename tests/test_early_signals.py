"""Signals that reach a program while it still imports its modules.

Guards against programs that end at such a signal, because its handler is not
installed yet: the default action of SIGHUP and SIGTERM ends a process at once.
"""

import asyncio
from collections.abc import AsyncIterator
import dataclasses
import os
import pathlib
import random
import signal
import subprocess
import sys

import pytest

from martenjunction.platform import box_settings
from martenjunction_lab import bench
from martenjunction_lab import boxes
from martenjunction_lab import cluster
from tests import box_processes
from tests import routing_builders as builders

# Runs a module as `python -m` does, once the interpreter itself has started.
LAUNCHER = """
import runpy
import sys
import martenjunction.cmd
print("interpreter started", flush=True)
sys.argv[0:1] = []
runpy.run_module(sys.argv[0], run_name="__main__", alter_sys=True)
"""

# Holds a signal in a process of one thread: in others, threads of an event loop
# that an earlier test used would take it.
HOLDING = """
import os
import signal
from martenjunction.cmd import early_signals
received = []
signal.signal(signal.SIGHUP, lambda number, _: received.append(number))
early_signals.hold()
os.kill(os.getpid(), signal.SIGHUP)
assert not received, received
early_signals.release()
assert received == [signal.SIGHUP], received
"""

# Seconds for which a signal may be sent after the interpreter has started.
LATEST_S = 0.5

# Seconds to wait for the signals to be held.
HOLD_LIMIT_S = 0.05

# Seconds within which a program that was stopped exits.
END_LIMIT_S = 30.0

# Seconds after which a process is taken to have survived a signal.
SURVIVAL_S = 3.0

SEEDS = (1, 2, 3)

ENTRY_TTL_S = 0.2
FLEET_FILE = pathlib.Path(__file__).parent.parent / "examples/cellarline.ini"


class Program:
    """A program that was just started."""

    def __init__(self, process: asyncio.subprocess.Process) -> None:
        self._process = process

    @classmethod
    async def start(cls, *arguments: str, **environment: str) -> "Program":
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-c",
            LAUNCHER,
            *arguments,
            env={**os.environ, **environment},
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.DEVNULL,
        )
        assert process.stdout is not None
        await process.stdout.readline()
        return cls(process)

    async def send(self, number: signal.Signals, seed: int) -> None:
        """Sends a signal within `LATEST_S` of the program's first line."""
        deadline = asyncio.get_running_loop().time() + HOLD_LIMIT_S
        while asyncio.get_running_loop().time() < deadline:
            if self._holds(number):
                break
            await asyncio.sleep(0.001)
        await asyncio.sleep(random.Random(seed).uniform(0.0, LATEST_S))
        self._process.send_signal(number)

    async def exit_code(self, limit_s: float) -> int | None:
        """Returns the exit code, or None if it still runs."""
        assert self._process.stdout is not None
        drained = asyncio.ensure_future(self._process.stdout.read())
        try:
            async with asyncio.timeout(limit_s):
                return await self._process.wait()
        except TimeoutError:
            return None
        finally:
            drained.cancel()

    async def discard(self) -> None:
        if self._process.returncode is None:
            self._process.kill()
        await self._process.wait()

    def _holds(self, number: signal.Signals) -> bool:
        status = pathlib.Path(f"/proc/{self._process.pid}/status").read_text()
        [blocked] = [
            line.split()[1]
            for line in status.splitlines()
            if line.startswith("SigBlk:")
        ]
        return bool(int(blocked, 16) >> (number - 1) & 1)


@pytest.fixture
async def fleet() -> AsyncIterator[boxes.Boxes]:
    box_fleet = boxes.Boxes()
    await box_fleet.start(builders.config_document(), boxes=0)
    yield box_fleet
    await box_fleet.stop()


async def start_box(fleet: boxes.Boxes, folder: pathlib.Path) -> Program:
    settings = box_processes.settings_of(fleet, "box-1")
    file = folder / "box.toml"
    file.write_text(builders.settings_text(settings))
    return await Program.start(
        "martenjunction.cmd.box", **{box_settings.SETTINGS_VARIABLE: str(file)}
    )


async def start_daemon(_: boxes.Boxes, folder: pathlib.Path) -> Program:
    file = folder / "daemon.ini"
    settings = dataclasses.replace(
        bench.make_settings("box-1", "zone-a", "", ENTRY_TTL_S),
        platform="",
        fleet=str(FLEET_FILE),
    )
    cluster.write_settings(settings, file, folder / "daemon.log")
    return await Program.start(
        "martenjunction", "daemon", "--config", str(file)
    )


@pytest.mark.parametrize(
    ("start", "number"),
    [
        (start_box, signal.SIGTERM),
        (start_daemon, signal.SIGTERM),
        (start_daemon, signal.SIGHUP),
    ],
)
@pytest.mark.parametrize("seed", SEEDS)
async def test_signal_to_stop_before_its_handler_stops_gracefully(
    start: object,
    number: signal.Signals,
    seed: int,
    fleet: boxes.Boxes,
    tmp_path: pathlib.Path,
) -> None:
    program = await start(fleet, tmp_path)  # type: ignore[operator]
    try:
        await program.send(number, seed)
        assert await program.exit_code(END_LIMIT_S) == 0
    finally:
        await program.discard()


@pytest.mark.parametrize("seed", SEEDS)
async def test_signal_to_reload_before_its_handler_ends_no_box(
    seed: int, fleet: boxes.Boxes, tmp_path: pathlib.Path
) -> None:
    program = await start_box(fleet, tmp_path)
    try:
        await program.send(signal.SIGHUP, seed)
        assert await program.exit_code(SURVIVAL_S) is None
    finally:
        await program.discard()


def test_held_signals_are_delivered_on_release() -> None:
    done = subprocess.run(
        [sys.executable, "-c", HOLDING],
        check=False,
        timeout=END_LIMIT_S,
        capture_output=True,
        text=True,
    )
    assert (done.returncode, done.stderr) == (0, "")
