"""Clients that send large bodies to one box, and the memory that it takes."""

import asyncio
import collections
import contextlib
import dataclasses
import time

import h11
import psutil

from martenjunction import errors
from martenjunction.http1 import client
from martenjunction_lab import boxes
from martenjunction_lab import trial_fleet

# Seconds between samples of a process's memory.
SAMPLE_INTERVAL_S = 0.005

# Parts in which a slow client sends a body, and the pause between them.
SLOW_PARTS = 10
SLOW_PAUSE_S = 0.05

# Seconds for which a client rests after a refusal.
REST_S = 0.25


@dataclasses.dataclass(frozen=True)
class Trial:
    """What is played.

    Attributes:
        clients: Clients that each send one request after the other.
        body_bytes: Size of each body.
        slow_each: Every how many clients one sends slowly; 0 for none.
        seconds: For how long requests are sent.
        path: The path of the requests.
        deadline_ms: What each client gives a request, in milliseconds.
    """

    clients: int
    body_bytes: int
    slow_each: int = 0
    seconds: float = 4.0
    path: str = "/unsafe/x"
    deadline_ms: int = 4000


@dataclasses.dataclass
class Outcome:
    """What was seen.

    Attributes:
        base_bytes: Resident memory of the box before.
        peak_bytes: Its most resident memory.
        statuses: Numbers of answers by status; 0 for a connection that ended
            without one.
        unconnected: Connections that were not opened in time.
        refused: Ids of the requests that got 503.
        waits: Seconds to each answer.
    """

    base_bytes: int = 0
    peak_bytes: int = 0
    statuses: collections.Counter[int] = dataclasses.field(
        default_factory=collections.Counter
    )
    unconnected: int = 0
    refused: set[str] = dataclasses.field(default_factory=set)
    waits: list[float] = dataclasses.field(default_factory=list)

    def bytes_per_byte(self, trial: Trial) -> float:
        """Returns the memory taken for each byte of all clients' bodies."""
        sent = trial.clients * trial.body_bytes
        return (self.peak_bytes - self.base_bytes) / sent


class LargeBodies:
    """Plays a trial at a box that runs as a process of its own."""

    def __init__(self, trial: Trial, address: str, pid: int) -> None:
        """Makes the clients; `run` plays the trial.

        Args:
            trial: What is played.
            address: The box's address for clients.
            pid: Its process.
        """
        self._trial = trial
        self._address = address
        self._process = psutil.Process(pid)
        self._body = bytes(trial.body_bytes)
        self._outcome = Outcome()

    async def run(self) -> Outcome:
        """Plays the trial; returns what was seen."""
        self._outcome.base_bytes = self._resident_bytes()
        watching = asyncio.create_task(self._watch())
        ends = time.monotonic() + self._trial.seconds
        numbers = range(self._trial.clients)
        await asyncio.gather(*(self._send(n, ends) for n in numbers))
        watching.cancel()
        return self._outcome

    async def _watch(self) -> None:
        while True:
            used = self._resident_bytes()
            self._outcome.peak_bytes = max(self._outcome.peak_bytes, used)
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    def _resident_bytes(self) -> int:
        resident: int = self._process.memory_info().rss
        return resident

    async def _send(self, number: int, ends: float) -> None:
        """Sends one request after the other, on kept connections."""
        slow_each = self._trial.slow_each
        is_slow = slow_each > 0 and number % slow_each == 0
        sent = 0
        while time.monotonic() < ends:
            kept = client.ClientConnection(self._address)
            try:
                await kept.open(2.0)
                while time.monotonic() < ends and kept.is_reusable():
                    sent += 1
                    await self._send_one(kept, f"r{number}-{sent}", is_slow)
            except errors.ConnectError:
                self._outcome.unconnected += 1
            except errors.TransportError:
                self._outcome.statuses[0] += 1
            finally:
                kept.abort()

    async def _send_one(
        self, kept: client.ClientConnection, request_id: str, is_slow: bool
    ) -> None:
        headers = trial_fleet.plain_headers(request_id, self._trial.deadline_ms)
        began = time.monotonic()
        if is_slow:
            status = await self._send_slowly(headers)
        else:
            head, _ = await boxes.call_on(
                kept, "POST", self._trial.path, headers, self._body
            )
            status = head.status
        self._outcome.statuses[status] += 1
        self._outcome.waits.append(time.monotonic() - began)
        if status == 503:
            self._outcome.refused.add(request_id)
            await asyncio.sleep(REST_S)

    async def _send_slowly(self, headers: dict[str, str]) -> int:
        """Sends a body in parts on a new connection; returns the status."""
        host, _, port = self._address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        speaker = h11.Connection(h11.CLIENT)
        target = self._trial.path.encode()
        with contextlib.closing(writer):
            try:
                request = h11.Request(
                    method=b"POST",
                    target=target,
                    headers=boxes.header_pairs(headers, self._body),
                )
                writer.write(speaker.send(request) or b"")
                step = max(1, len(self._body) // SLOW_PARTS)
                for start in range(0, len(self._body), step):
                    writer.write(self._body[start : start + step])
                    await writer.drain()
                    await asyncio.sleep(SLOW_PAUSE_S)
                first = await reader.readline()
            except OSError:
                return 0
        return int(first.split()[1]) if first else 0
