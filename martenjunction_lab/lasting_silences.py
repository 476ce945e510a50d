"""Endpoints that fall silent for good under load, in simulated time."""

import asyncio
import collections
import dataclasses
import random
import time
from typing import Any

import eliot

from martenjunction import errors
from martenjunction_lab import boxes
from martenjunction_lab import slow_endpoints
from martenjunction_lab import trial_fleet

# The routes that clients ask for, equally often.
ROUTES = ("safe", "unsafe")

# Longest pause in seconds of a client between two requests.
MAX_PAUSE_S = 0.4


@dataclasses.dataclass(frozen=True, slots=True)
class Conditions:
    """What a trial consists of.

    Attributes:
        clients: Clients, each with one request at a time.
        silent_from_s: Seconds after which one more endpoint each answers
            nothing any more, health checks included.
        pauses: Seconds at which a sound endpoint stops, and for how long.
        endpoints: Number of endpoints.
        boxes: Number of boxes.
        seconds: Seconds for which requests are sent.
        deadline_s: Seconds that a client gives a request.
        service_time: Draws the time of one response.
    """

    clients: int
    silent_from_s: tuple[float, ...] = (4.0, 8.0)
    pauses: tuple[tuple[float, float], ...] = ()
    endpoints: int = 8
    boxes: int = 3
    seconds: float = 14.0
    deadline_s: float = 6.0
    service_time: slow_endpoints.ServiceTime = lambda draw: 0.03


@dataclasses.dataclass(slots=True)
class Found:
    """What a trial showed.

    Attributes:
        statuses: Responses by route and status; 0 for none.
        times_s: Seconds of the successful responses, by route.
        ejections: Why endpoints that are sound were ejected.
        out_after_s: Seconds until each box ejected each silent endpoint.
        resumed_after_s: Seconds until each endpoint that had stopped got its
            next request after it went on.
    """

    statuses: collections.Counter[tuple[str, int]]
    times_s: dict[str, list[float]]
    ejections: list[str] = dataclasses.field(default_factory=list)
    out_after_s: list[float] = dataclasses.field(default_factory=list)
    resumed_after_s: list[float] = dataclasses.field(default_factory=list)

    def lost(self, route: str) -> int:
        """Returns how many requests of a route were not served."""
        return sum(
            count
            for (its_route, status), count in self.statuses.items()
            if its_route == route and status != 200
        )


async def play(
    conditions: Conditions, config: dict[str, Any], seed: int
) -> Found:
    """Plays one trial.

    Args:
        conditions: What it consists of.
        config: The configuration, with the routes of `ROUTES` before the
            service of plain responses.
        seed: Decides what is drawn.
    """
    trial = _Trial(conditions, seed)
    return await trial.run(config)


class _Trial:
    """One trial."""

    def __init__(self, conditions: Conditions, seed: int) -> None:
        self._conditions = conditions
        self._fleet = trial_fleet.TrialFleet[slow_endpoints.SlowReplica](seed)
        self._seed = seed
        self._found = Found(
            collections.Counter(), collections.defaultdict(list)
        )
        self._silent_at: dict[str, float] = {}
        self._numbers = 0

    async def run(self, config: dict[str, Any]) -> Found:
        """Plays it."""
        conditions, fleet = self._conditions, self._fleet
        services = trial_fleet.in_services(self._make, conditions.endpoints, 0)
        await fleet.start(config, conditions.boxes, services)
        # The first destination gets the lines that were written before it.
        eliot.add_destinations(self._note_line)
        self._found.ejections.clear()
        try:
            silent = zip(fleet.made, conditions.silent_from_s, strict=False)
            for one, after_s in silent:
                fleet.spawn(self._fall_silent(one, after_s))
            for at_s, pause_s in conditions.pauses:
                fleet.spawn(self._pause(at_s, pause_s))
            until = time.monotonic() + conditions.seconds
            for number in range(conditions.clients):
                draw = random.Random(f"{self._seed} {number}")
                fleet.spawn(self._ask_until(draw, until))
            await fleet.settle()
        finally:
            eliot.remove_destination(self._note_line)
            await fleet.stop()
        return self._found

    def _make(self, endpoint_id: str) -> slow_endpoints.SlowReplica:
        return slow_endpoints.SlowReplica(
            endpoint_id, self._fleet.draw, self._conditions.service_time
        )

    async def _fall_silent(
        self, one: slow_endpoints.SlowReplica, after_s: float
    ) -> None:
        await asyncio.sleep(after_s)
        one.fall_silent()
        self._silent_at[one.id] = time.monotonic()

    async def _pause(self, at_s: float, pause_s: float) -> None:
        """Stops a sound endpoint for a while."""
        await asyncio.sleep(at_s)
        one = self._fleet.draw.choice(
            self._fleet.made[len(self._conditions.silent_from_s) :]
        )
        one.fall_silent()
        await asyncio.sleep(pause_s)
        one.go_on()
        before, began = len(one.received), time.monotonic()
        while len(one.received) == before:
            await asyncio.sleep(0.01)
            if time.monotonic() > began + self._conditions.seconds:
                break
        self._found.resumed_after_s.append(time.monotonic() - began)

    async def _ask_until(self, draw: random.Random, until: float) -> None:
        """Has one client ask, one request after the other."""
        await asyncio.sleep(draw.uniform(0.0, MAX_PAUSE_S))
        while time.monotonic() < until:
            await self._ask(draw.choice(ROUTES), draw)
            await asyncio.sleep(draw.uniform(0.0, MAX_PAUSE_S))

    async def _ask(self, route: str, draw: random.Random) -> None:
        self._numbers += 1
        headers = trial_fleet.plain_headers(
            f"r{self._numbers}", round(self._conditions.deadline_s * 1000)
        )
        address = draw.choice(self._fleet.boxes.addresses)
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
        if (
            line.get("message_type"),
            line.get("state"),
        ) != slow_endpoints.TRUST_LOST:
            return
        silent_at = self._silent_at.get(line["endpoint"].partition("/")[0])
        if silent_at is None:
            self._found.ejections.append(line["why"])
        else:
            self._found.out_after_s.append(time.monotonic() - silent_at)
