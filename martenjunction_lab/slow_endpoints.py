"""Sound endpoints whose responses take long, in simulated time."""

import asyncio
import collections
from collections.abc import Callable
import dataclasses
import random
import time
from typing import Any

import eliot

from martenjunction import errors
from martenjunction_lab import boxes
from martenjunction_lab import replica
from martenjunction_lab import trial_fleet

# Draws the seconds that one response takes.
ServiceTime = Callable[[random.Random], float]

# Seconds that a client gives its request, beyond the longest response.
DEADLINE_SLACK_S = 3.0

# Kind of the log line on an endpoint, and the state of one that is ejected.
TRUST_LOST = ("endpoint-trust", "ejected")

# Share of the requests that may be repeated.
SAFE_SHARE = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Conditions:
    """What a trial consists of.

    Attributes:
        service_time: Draws the time of one response.
        slowest_s: Seconds that none of them exceeds.
        endpoints: Number of endpoints.
        boxes: Number of boxes.
        per_s: Requests a second.
        seconds: Seconds for which requests are sent.
        silent_from_s: Seconds after which one endpoint answers nothing any
            more; None if all stay sound.
    """

    service_time: ServiceTime
    slowest_s: float
    endpoints: int = 8
    boxes: int = 3
    per_s: float = 12.0
    seconds: float = 14.0
    silent_from_s: float | None = None


@dataclasses.dataclass(slots=True)
class Found:
    """What a trial showed.

    Attributes:
        statuses: Responses by route and status.
        times_s: Seconds of the successful responses, by route.
        ejections: Why endpoints that are sound were ejected.
        out_after_s: Seconds until the first box ejected the endpoint that
            answers nothing; None if none did.
        extra_runs: Runs beyond the first one of each request.
    """

    statuses: collections.Counter[tuple[str, int]]
    times_s: dict[str, list[float]]
    ejections: list[str] = dataclasses.field(default_factory=list)
    out_after_s: float | None = None
    extra_runs: int = 0


class SlowReplica(replica.Replica):
    """A replica whose responses take drawn times, side by side."""

    def __init__(
        self, endpoint_id: str, draw: random.Random, time_of: ServiceTime
    ) -> None:
        """Makes a replica.

        Args:
            endpoint_id: The id under which it is listed.
            draw: Draws the times.
            time_of: Draws one of them.
        """
        super().__init__(endpoint_id)
        self._draw = draw
        self._time_of = time_of
        self._answers = asyncio.Event()
        self._answers.set()

    def fall_silent(self) -> None:
        """Answers nothing any more, health checks included."""
        self._answers.clear()

    def go_on(self) -> None:
        """Answers again, what has waited as well."""
        self._answers.set()

    async def _answer(
        self,
        request: replica.Received,
        behaviour: replica.Behaviour,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        await self._answers.wait()
        if request.id:
            self.queue_s = self._time_of(self._draw)
        return await super()._answer(request, behaviour, reader, writer)


async def play(
    conditions: Conditions, config: dict[str, Any], seed: int
) -> Found:
    """Plays one trial.

    Args:
        conditions: What it consists of.
        config: The configuration, with routes `safe` and `unsafe`.
        seed: Decides what is drawn.
    """
    trial = _Trial(conditions, seed)
    return await trial.run(config)


class _Trial:
    """One trial."""

    def __init__(self, conditions: Conditions, seed: int) -> None:
        self._conditions = conditions
        self._fleet = trial_fleet.TrialFleet[SlowReplica](seed)
        self._found = Found(
            collections.Counter(), collections.defaultdict(list)
        )
        self._sent = 0
        self._silent_at: float | None = None

    async def run(self, config: dict[str, Any]) -> Found:
        """Plays it."""
        conditions, fleet = self._conditions, self._fleet
        services = trial_fleet.in_services(self._make, conditions.endpoints, 0)
        await fleet.start(config, conditions.boxes, services)
        # The first destination gets the lines that were written before it.
        eliot.add_destinations(self._note_line)
        self._found.ejections.clear()
        try:
            if conditions.silent_from_s is not None:
                fleet.spawn(self._fall_silent(conditions.silent_from_s))
            until = time.monotonic() + conditions.seconds
            await fleet.send_steadily(conditions.per_s, until, self._send)
            await fleet.settle()
        finally:
            eliot.remove_destination(self._note_line)
            await fleet.stop()
        runs: collections.Counter[str] = collections.Counter()
        for made in fleet.made:
            runs.update(request.id for request in made.received if request.id)
        self._found.extra_runs = sum(count - 1 for count in runs.values())
        return self._found

    def _make(self, endpoint_id: str) -> SlowReplica:
        return SlowReplica(
            endpoint_id, self._fleet.draw, self._conditions.service_time
        )

    async def _fall_silent(self, after_s: float) -> None:
        await asyncio.sleep(after_s)
        self._fleet.made[0].fall_silent()
        self._silent_at = time.monotonic()

    async def _send(self) -> None:
        number = self._sent
        self._sent += 1
        draw = self._fleet.draw
        route = "safe" if draw.random() < SAFE_SHARE else "unsafe"
        address = draw.choice(self._fleet.boxes.addresses)
        deadline_s = self._conditions.slowest_s + DEADLINE_SLACK_S
        headers = trial_fleet.plain_headers(
            f"r{number}", round(deadline_s * 1000)
        )
        began = time.monotonic()
        try:
            head, _ = await boxes.call(
                address, "POST", f"/{route}/x", headers, b"body"
            )
        except errors.TransportError:
            self._found.statuses[route, 0] += 1
            return
        self._found.statuses[route, head.status] += 1
        if head.status == 200:
            self._found.times_s[route].append(time.monotonic() - began)

    def _note_line(self, line: dict[str, Any]) -> None:
        """Takes a line of the boxes' logs."""
        if (line.get("message_type"), line.get("state")) != TRUST_LOST:
            return
        silent = self._fleet.made[0]
        if self._silent_at is None or not line["endpoint"].startswith(
            f"{silent.id}/"
        ):
            self._found.ejections.append(line["why"])
        elif self._found.out_after_s is None:
            self._found.out_after_s = time.monotonic() - self._silent_at
