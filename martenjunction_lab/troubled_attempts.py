"""Second attempts while boxes and endpoints have other trouble, by chance.

Clients keep their connections; some leave, or send their next request early.
Endpoints pause and go on, so that boxes try others beside them, while paths are
lost, memory runs short, endpoints restart or leave, boxes stop, and the
configuration changes.
"""

import asyncio
import collections
from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib
import copy
import dataclasses
import functools
import time
from typing import Any

import eliot

from martenjunction import gateway
from martenjunction_lab import boxes
from martenjunction_lab import endpoint_links
from martenjunction_lab import trial_fleet
from martenjunction_lab import troubled_clients
from martenjunction_lab import troubled_endpoints
from martenjunction_lab import troubled_judge

BOXES = 3
PLAIN = 4
ENGINES = 4
CLIENTS = 30

# Endpoints that pause at a time, at most.
PAUSES = 4

# Bytes of memory of a box, and of it while that runs short:
# answers are given up then, and new connections still accepted.
MEMORY_BYTES = 64 * 1024 * 1024
SHORT_BYTES = 56 * 1024 * 1024

# Seconds for which an endpoint pauses.
PAUSE_S = (0.8, 1.6)

# Seconds for which trouble lasts, and between two troubles.
TROUBLE_S = (0.05, 1.0)
BETWEEN_S = (0.02, 0.5)

# Seconds that a stop of a box may take.
STOP_LIMIT_S = 9.0

# Troubles under which most requests are refused.
_REFUSING = frozenset({"config-without-key", "config-other-service"})

Context = contextlib.AbstractAsyncContextManager[None]
_TROUBLES: dict[str, Callable[["TroubledFleet"], Context]] = {}


@dataclasses.dataclass
class Found:
    """What a trial showed.

    Attributes:
        seen: What clients and endpoints saw.
        second: Second attempts that began.
        played: How often each trouble was played.
        ledger: What the boxes' ledgers and counters hold that they should not.
    """

    seen: troubled_judge.Seen
    second: int = 0
    played: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    ledger: list[str] = dataclasses.field(default_factory=list)

    @property
    def broken(self) -> list[str]:
        """The invariants that were broken, each with what was seen."""
        return [*self.ledger, *troubled_judge.broken(self.seen)]


class TroubledFleet(trial_fleet.TrialFleet[troubled_endpoints.PausingReplica]):
    """Boxes and endpoints that have trouble, under clients that stay."""

    def __init__(self, seed: int) -> None:
        """Makes a fleet; `play` plays a trial."""
        super().__init__(seed)
        self.resident = 0
        self.boxes = _ShortBoxes(lambda: self.resident)
        self.found = Found(troubled_judge.Seen())
        self.config: dict[str, Any] = {}
        self.links = endpoint_links.LinkTable()
        self._ended: list[gateway.Gateway] = []
        self._names = (f"box-{n}" for n in range(BOXES + 1, 1000))

    async def play(self, config: dict[str, Any], seconds: float) -> Found:
        """Plays a trial under a configuration; returns what was seen."""
        self.config = config
        services = trial_fleet.in_services(
            lambda name: troubled_endpoints.PausingReplica(
                name, self.draw, self.found.seen
            ),
            PLAIN,
            ENGINES,
        )
        made = troubled_clients.Clients(self.draw, self.found.seen, self.boxes)
        with self.links.installed():
            eliot.add_destinations(self._note_line)
            try:
                await self.start(
                    config, BOXES, services, memory_bytes=MEMORY_BYTES
                )
                for one in self.made:
                    await self.link(one)
                until = time.monotonic() + seconds
                parts = [made.run(until) for _ in range(CLIENTS)]
                parts += [self._pause(until) for _ in range(PAUSES)]
                parts += [self._trouble(until), self._trouble(until)]
                await asyncio.gather(*parts)
                await self.settle()
                await self._look_at_ends()
            finally:
                eliot.remove_destination(self._note_line)
                await self.stop()
                self.links.stop()
        return self.found

    async def link(self, one: troubled_endpoints.PausingReplica) -> None:
        """Puts links of all boxes that there may be before an endpoint."""
        await self.links.add(
            [made.members.own.box for made in self.boxes.gateways], one.address
        )

    @contextlib.contextmanager
    def disturbed(self, *parts: str) -> Any:
        """Notes the time in which endpoints or boxes are disturbed."""
        began = time.monotonic()
        try:
            yield
        finally:
            self.found.seen.disturbed.append(
                (began, time.monotonic(), frozenset(parts))
            )

    def write_config(
        self, edit: Callable[[dict[str, Any]], None] = lambda config: None
    ) -> None:
        """Has the operator write the configuration, or a changed one."""
        self.config["version"] += 1
        changed = copy.deepcopy(self.config)
        edit(changed)
        self.boxes.configure(changed)

    async def stop_box(self) -> None:
        """Stops a box as planned, and starts another one in its place."""
        ended = self.draw.choice(self.boxes.gateways)
        self.boxes.gateways.remove(ended)
        self._ended.append(ended)
        added = await self.boxes.add_box(
            next(self._names), memory_bytes=MEMORY_BYTES
        )
        for one in self.made:
            await self.links.add([added.members.own.box], one.address)
        address = ended.members.own.callers
        self.found.seen.stopped[address] = time.monotonic()
        async with asyncio.timeout(STOP_LIMIT_S):
            await ended.leave()

    async def _pause(self, until: float) -> None:
        """Has endpoints pause, one after the other."""
        while time.monotonic() < until:
            one = self.draw.choice(self.made)
            one.flows.clear()
            await asyncio.sleep(self.draw.uniform(*PAUSE_S))
            one.flows.set()
            await asyncio.sleep(self.draw.uniform(*BETWEEN_S))

    async def _trouble(self, until: float) -> None:
        while time.monotonic() < until:
            name = self._draw_trouble()
            self.found.played[name] += 1
            async with _TROUBLES[name](self):
                await asyncio.sleep(self.draw.uniform(*TROUBLE_S))
            await asyncio.sleep(self.draw.uniform(*BETWEEN_S))

    def _draw_trouble(self) -> str:
        """Returns the name of a trouble; few are changes that refuse much."""
        names = list(_TROUBLES)
        weights = [0.4 if name in _REFUSING else 1.0 for name in names]
        return self.draw.choices(names, weights)[0]

    def _note_line(self, line: dict[str, Any]) -> None:
        kind = line.get("message_type")
        if kind == "second-attempt":
            self.found.second += 1
        elif kind == "request-without-answer":
            self.found.ledger.append(f"request-without-answer: {line}")

    async def _look_at_ends(self) -> None:
        """Notes what boxes hold after all requests have ended."""
        for made in (*self.boxes.gateways, *self._ended):
            try:
                await boxes.until(functools.partial(_is_idle, made))
            except TimeoutError:
                self.found.ledger.append("a request is held for good")
            # Requests that were given up end after that.
            await asyncio.sleep(0.5)
            self.found.ledger += troubled_judge.held(made, self.made)


class _ShortBoxes(boxes.Boxes):
    """Boxes whose links are their own and whose memory can run short."""

    def __init__(self, resident_bytes: Callable[[], int]) -> None:
        super().__init__()
        self._resident_bytes = resident_bytes

    async def add_box(self, box: str, **changes: Any) -> gateway.Gateway:
        """Starts a box."""
        made: gateway.Gateway = await endpoint_links.run_as(
            box, self._add(box, **changes)
        )
        return made

    async def _add(self, box: str, **changes: Any) -> gateway.Gateway:
        made = gateway.Gateway(
            boxes.settings(box, self.store.address, **changes),
            resident_bytes=self._resident_bytes,
        )
        await made.start()
        self.gateways.append(made)
        return made


def _is_idle(made: gateway.Gateway) -> bool:
    return not len(made.held)


def _trouble(
    name: str,
) -> Callable[[Callable[[TroubledFleet], AsyncIterator[None]]], Any]:
    """Registers a function that makes trouble, and ends it after `yield`."""

    def register(
        make: Callable[[TroubledFleet], AsyncIterator[None]],
    ) -> Callable[[TroubledFleet], AsyncIterator[None]]:
        _TROUBLES[name] = contextlib.asynccontextmanager(make)
        return make

    return register


def _lose_paths(mode: endpoint_links.Mode) -> None:
    @_trouble(f"path-{mode.value}")
    async def lose(fleet: TroubledFleet) -> AsyncIterator[None]:
        box = fleet.draw.choice(fleet.boxes.gateways).members.own.box
        count = fleet.draw.randint(1, len(fleet.made))
        lost = fleet.draw.sample(fleet.made, count)
        targets = [one.address for one in lost]
        with fleet.disturbed(*(one.id for one in lost)):
            fleet.links.cut([box], targets, mode)
            yield
            fleet.links.cut([box], targets, endpoint_links.Mode.OPEN)


for _mode in (
    endpoint_links.Mode.HANG,
    endpoint_links.Mode.RESET,
    endpoint_links.Mode.REFUSE,
):
    _lose_paths(_mode)


@_trouble("memory-short")
async def _run_short(fleet: TroubledFleet) -> AsyncIterator[None]:
    with fleet.disturbed(*(one.id for one in fleet.made)):
        fleet.resident = SHORT_BYTES
        yield
        fleet.resident = 0


@_trouble("endpoint-restarts")
async def _restart(fleet: TroubledFleet) -> AsyncIterator[None]:
    chosen = fleet.draw.sample(fleet.made, fleet.draw.randint(1, 2))
    chosen = [one for one in chosen if one.listens]
    with fleet.disturbed(*(one.id for one in chosen)):
        for one in chosen:
            one.listens = False
            await one.stop()
        yield
        for one in chosen:
            await fleet.start_again(one)
            one.listens = True


@_trouble("endpoint-leaves")
async def _leave(fleet: TroubledFleet) -> AsyncIterator[None]:
    one = fleet.draw.choice(fleet.made)
    fleet.announce_leaving(one)
    yield
    fleet.record(one)


@_trouble("endpoint-resets")
async def _reset(fleet: TroubledFleet) -> AsyncIterator[None]:
    one = fleet.draw.choice(fleet.made)
    with fleet.disturbed(one.id):
        one.reset()
        yield


@_trouble("box-stops")
async def _stop_box(fleet: TroubledFleet) -> AsyncIterator[None]:
    fleet.spawn(fleet.stop_box())
    yield


def _change(name: str, edit: Callable[[dict[str, Any]], None]) -> None:
    @_trouble(f"config-{name}")
    async def change(fleet: TroubledFleet) -> AsyncIterator[None]:
        fleet.write_config(edit)
        yield
        fleet.write_config()


def _without_route(config: dict[str, Any]) -> None:
    config["routes"] = config["routes"][1:]


def _other_service(config: dict[str, Any]) -> None:
    plain = config["services"][0]
    config["services"] = [
        {**plain, "name": "other-service"},
        *config["services"][1:],
    ]
    for route in config["routes"]:
        if route["service"] == plain["name"]:
            route["service"] = "other-service"


def _without_key(config: dict[str, Any]) -> None:
    config["tenants"] = config["tenants"][1:]


def _short_time(config: dict[str, Any]) -> None:
    for route in config["routes"]:
        route["timeout_ms"] = 400


def _short_idle(config: dict[str, Any]) -> None:
    config["limits"]["idle_timeout_ms"] = 1000


for _edit in (
    _without_route,
    _other_service,
    _without_key,
    _short_time,
    _short_idle,
):
    _change(_edit.__name__.strip("_").replace("_", "-"), _edit)
