"""What usual requests cost at boxes of two versions of the code.

    python -m martenjunction_lab.fast_senders.usual CODE CODE [ROUNDS]

Two boxes run side by side and get batches of the same requests in turn. Prints
the processor time and the latency of a request at each, and their ratio.
"""

import asyncio
import contextlib
import dataclasses
import pathlib
import statistics
import sys
import tempfile
import time

import psutil

from martenjunction.http1 import client
from martenjunction_lab import boxes
from martenjunction_lab import trial_fleet
from martenjunction_lab.fast_senders import processes

EVENTS = 1000
ROUNDS = 20
WARM_UP_ROUNDS = 2
SETTLE_S = 1.0


@dataclasses.dataclass(frozen=True)
class Kind:
    """A kind of request.

    Attributes:
        name: Its name.
        path: Its path.
        body_bytes: Size of its body, which the answer repeats.
        batch: Requests in a batch.
    """

    name: str
    path: str
    body_bytes: int
    batch: int


KINDS = (
    Kind("body of 64 KB", "/safe/x", 64 * 1024, 100),
    Kind("body of 4 MB", "/safe/x", 3_999_000, 8),
    Kind(f"stream of {EVENTS} events", "/chat/x", 5, 4),
)


class Measured:
    """A box and what its requests cost, by kind."""

    def __init__(self, address: str, pid: int) -> None:
        """Makes it for a box that runs.

        Args:
            address: Its address for clients.
            pid: Its process.
        """
        self.cpu_s: dict[str, list[float]] = {kind.name: [] for kind in KINDS}
        self.waits: dict[str, list[float]] = {kind.name: [] for kind in KINDS}
        self._kept = client.ClientConnection(address)
        self._process = psutil.Process(pid)
        self._sent = 0

    async def open(self) -> None:
        """Connects to the box."""
        await self._kept.open(processes.READY_LIMIT_S)

    async def run_batch(self, kind: Kind) -> None:
        """Sends a batch of requests, one after the other."""
        body = bytes(kind.body_bytes)
        before = self._cpu_s()
        for _ in range(kind.batch):
            self._sent += 1
            headers = trial_fleet.plain_headers(f"u{self._sent}", 4000)
            began_at = time.monotonic()
            head, answer = await boxes.call_on(
                self._kept, "POST", kind.path, headers, body
            )
            self.waits[kind.name].append(time.monotonic() - began_at)
            assert head.status == 200, (kind, head.status, answer[:200])
        spent = self._cpu_s() - before
        self.cpu_s[kind.name].append(spent / kind.batch)

    def forget(self) -> None:
        """Drops what was measured so far."""
        for values in (*self.cpu_s.values(), *self.waits.values()):
            values.clear()

    def _cpu_s(self) -> float:
        times = self._process.cpu_times()
        spent: float = times.user + times.system
        return spent


async def measure(codes: list[pathlib.Path], rounds: int) -> list[Measured]:
    """Measures boxes that run the code of some folders."""
    fleet = boxes.Boxes()
    await fleet.start(processes.config_document(), boxes=0)
    await fleet.add_replica(processes.PLAIN, slots=32)
    stream = await fleet.add_replica(processes.SENDER, slots=32, events=EVENTS)
    stream.event_pause_s = 0.0
    async with contextlib.AsyncExitStack() as stack:
        stack.push_async_callback(fleet.stop)
        made = []
        for number, code in enumerate(codes, 1):
            name = stack.enter_context(tempfile.TemporaryDirectory())
            settings = processes.own_settings(fleet, f"box-{number}")
            pid = await stack.enter_async_context(
                processes.box(settings, code, pathlib.Path(name))
            )
            made.append(Measured(settings.callers, pid))
        await asyncio.sleep(SETTLE_S)
        for box in made:
            await box.open()
        for number in range(WARM_UP_ROUNDS + rounds):
            if number == WARM_UP_ROUNDS:
                for box in made:
                    box.forget()
            for kind in KINDS:
                # Neither box always comes first.
                for box in made if number % 2 else reversed(made):
                    await box.run_batch(kind)
        return made


def table(before: Measured, after: Measured) -> str:
    """Returns a table of both boxes and their ratios."""
    lines = [
        "| request | processor time | ratio | median latency | ratio |",
        "| --- | --- | --- | --- | --- |",
    ]
    for kind in KINDS:
        cells = []
        for values in ("cpu_s", "waits"):
            old = getattr(before, values)[kind.name]
            new = getattr(after, values)[kind.name]
            average = (
                statistics.mean if values == "cpu_s" else statistics.median
            )
            first, second = average(old), average(new)
            cells.append(f"{first * 1000:.2f}, {second * 1000:.2f} ms")
            cells.append(f"{second / first:.3f}")
        lines.append(f"| {kind.name} | {' | '.join(cells)} |")
    return "\n".join(lines)


if __name__ == "__main__":
    count = int(sys.argv[3]) if len(sys.argv) > 3 else ROUNDS
    folders = [pathlib.Path(name) for name in sys.argv[1:3]]
    print(table(*asyncio.run(measure(folders, count))))
