"""The other clients of a box, and what is seen of the box meanwhile."""

import asyncio
import collections
import contextlib
import dataclasses
import random
import re
import time

import psutil

from martenjunction import errors
from martenjunction.http1 import client
from martenjunction.platform import box_settings
from martenjunction_lab import boxes
from martenjunction_lab import trial_fleet

# Longest time between an answer and the next request of a client, in seconds.
REST_S = 0.2

# Seconds after which a request counts as failed.
ANSWER_LIMIT_S = 5.0

# Seconds between samples.
READY_INTERVAL_S = 0.05
MEMORY_INTERVAL_S = 0.01
OWN_INTERVAL_S = 0.005

_LOOP_DELAY = re.compile(rb"^\w*loop_delay_s ([\d.e+-]+)$", re.MULTILINE)


@dataclasses.dataclass
class Seen:
    """What was seen during a run.

    Attributes:
        waits: Seconds to each answer of the others.
        failures: Failed requests of the others by status; 0 for no answer.
        ready_waits: Seconds to each answer of `/readyz`.
        memory: Most resident memory of the box, in bytes.
        own_delay_s: Longest delay of the event loop of the clients, in seconds,
            by which all that they see may be late.
    """

    waits: list[float] = dataclasses.field(default_factory=list)
    failures: collections.Counter[int] = dataclasses.field(
        default_factory=collections.Counter
    )
    ready_waits: list[float] = dataclasses.field(default_factory=list)
    memory: int = 0
    own_delay_s: float = 0.0


class Others:
    """Clients that each send one request after the other."""

    def __init__(
        self, settings: box_settings.BoxSettings, pid: int, clients: int
    ) -> None:
        """Makes the clients of a box.

        Args:
            settings: The settings of the box.
            pid: Its process.
            clients: How many.
        """
        self._settings = settings
        self._process = psutil.Process(pid)
        self._clients = clients
        self._seen = Seen()

    async def run(self, seconds: float) -> Seen:
        """Has them send for a while; returns what was seen."""
        self._seen = Seen()
        until = time.monotonic() + seconds
        samplers = [
            asyncio.create_task(self._sample_ready()),
            asyncio.create_task(self._sample_memory()),
            asyncio.create_task(self._sample_own_delay()),
        ]
        numbers = range(self._clients)
        await asyncio.gather(*(self._send_all(n, until) for n in numbers))
        await self._note_ready()
        for sampler in samplers:
            sampler.cancel()
        return self._seen

    async def loop_delay(self) -> float | None:
        """Returns the box's recent event loop delay, in seconds.

        The answer is a long turn itself. It is None if the box does not answer.
        """
        address = f"{self._settings.ip}:{box_settings.METRICS_PORT}"
        try:
            async with asyncio.timeout(ANSWER_LIMIT_S):
                _, text = await boxes.call(address, "GET", "/metrics")
        except (errors.TransportError, TimeoutError):
            return None
        found = _LOOP_DELAY.search(text)
        assert found is not None
        return float(found.group(1))

    async def _send_all(self, number: int, until: float) -> None:
        draw = random.Random(number)
        sent = 0
        while time.monotonic() < until:
            kept = client.ClientConnection(self._settings.callers)
            try:
                await kept.open(ANSWER_LIMIT_S)
                while time.monotonic() < until and kept.is_reusable():
                    await asyncio.sleep(draw.uniform(0.0, REST_S))
                    sent += 1
                    await self._send(kept, f"o{number}-{sent}")
            except (
                errors.TransportError,
                errors.HttpSyntaxError,
                TimeoutError,
            ):
                self._seen.failures[0] += 1
            finally:
                kept.abort()

    async def _send(self, kept: client.ClientConnection, its: str) -> None:
        headers = trial_fleet.plain_headers(its, deadline_ms=4000)
        began_at = time.monotonic()
        async with asyncio.timeout(ANSWER_LIMIT_S):
            head, _ = await boxes.call_on(
                kept, "POST", "/safe/x", headers, b"hello"
            )
        if head.status == 200:
            self._seen.waits.append(time.monotonic() - began_at)
        else:
            self._seen.failures[head.status] += 1

    async def _sample_ready(self) -> None:
        while True:
            await self._note_ready()
            await asyncio.sleep(READY_INTERVAL_S)

    async def _note_ready(self) -> None:
        began_at = time.monotonic()
        with contextlib.suppress(errors.TransportError, TimeoutError):
            async with asyncio.timeout(ANSWER_LIMIT_S):
                await boxes.call(self._settings.ready, "GET", "/readyz")
        self._seen.ready_waits.append(time.monotonic() - began_at)

    async def _sample_memory(self) -> None:
        while True:
            used: int = self._process.memory_info().rss
            self._seen.memory = max(self._seen.memory, used)
            await asyncio.sleep(MEMORY_INTERVAL_S)

    async def _sample_own_delay(self) -> None:
        while True:
            began_at = time.monotonic()
            await asyncio.sleep(OWN_INTERVAL_S)
            late_s = time.monotonic() - began_at - OWN_INTERVAL_S
            self._seen.own_delay_s = max(self._seen.own_delay_s, late_s)
