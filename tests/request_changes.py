"""Changes of the configuration in chosen moments of one request.

`play` makes one request to a box, has something change in one moment of it, and
returns what the client and the endpoints saw.
"""

import asyncio
from collections.abc import Callable
import copy
import dataclasses
import enum
from typing import Any

from martenjunction import gateway
from martenjunction_lab import boxes
from martenjunction_lab import replica
from martenjunction_lab.simulated import loop as simulated_loop
from tests import config_edits
from tests import gateway_requests
from tests import routing_builders as builders
from tests import whole_answers

# Largest body in bytes, and the size of one whose answer outgrows the buffers
# of both sockets.
MAX_BODY_BYTES = 8_000_000
LARGE_BYTES = 6_000_000

# Seconds within which a client must know how its request ended: more than the
# time limit of each route, and of a planned stop.
END_S = 12.0

# Seconds for which a client does not read, and for which an endpoint works.
PAUSE_S = 0.4

# Seconds for which a request waits for a place.
PLACE_S = 0.05

REQUEST_ID = "r1"

# The request that began a stream, and the last event that its client kept.
FIRST_ID = "first"
TAKEN_UP_AFTER = 2

Act = whole_answers.Act


class Moment(enum.StrEnum):
    """Moment of a request in which something changes."""

    BODY = "body"
    MEMORY = "memory"
    PERMIT = "permit"
    PLACE = "place"
    CONNECTION = "connection"
    SEND = "send"
    SENT = "sent"
    RETRY = "retry"
    TAKE_UP = "take-up"
    STREAM = "stream"
    BROKEN_STREAM = "broken-stream"
    SLOW_CLIENT = "slow-client"


ALL_KINDS = ("safe", "unsafe", "chat", "digest")

# Kinds of requests that have a moment.
KINDS: dict[Moment, tuple[str, ...]] = {
    **dict.fromkeys(Moment, ALL_KINDS),
    Moment.TAKE_UP: ("digest",),
    Moment.STREAM: ("chat", "digest"),
    Moment.BROKEN_STREAM: ("digest",),
    Moment.SLOW_CLIENT: ("safe", "unsafe"),
}
REPEATABLE = frozenset({"safe", "digest"})

# Moments in which an endpoint works on the request, or has answered it: no
# change may cost its client the answer.
RUNNING = frozenset({Moment.SENT, Moment.STREAM, Moment.SLOW_CLIENT})

# Moments before the request is checked against the configuration.
UNCHECKED = frozenset({Moment.BODY, Moment.MEMORY})


@dataclasses.dataclass(frozen=True)
class Result:
    """How a request ended.

    Attributes:
        answer: What the client received.
        runs: How often endpoints ran the request.
        changed: Whether the moment came.
    """

    answer: whole_answers.Answer
    runs: int
    changed: bool


RELOAD = "reload"
STOP = "stop"
STALL = "stall"
CHANGES = (*config_edits.EDITS, RELOAD, STOP, STALL)

# Seconds for which the event loop is held up: longer than the shortest idle
# time and time limit among the changes.
STALL_S = 0.1


class Site:
    """A box, endpoints of both services, and the changes made to them."""

    def __init__(self, **fields: Any) -> None:
        """Makes an empty site; `start` brings it up.

        Args:
            fields: Fields of all routes, in place of the usual ones.
        """
        self.fleet = boxes.Boxes()
        self._document = builders.config_document()
        for route in self._document["routes"]:
            route.update(fields)
        self._stop: asyncio.Task[None] | None = None

    @property
    def box(self) -> gateway.Gateway:
        """The box."""
        return self.fleet.gateways[0]

    @property
    def replicas(self) -> list[replica.Replica]:
        """The endpoints."""
        return self.fleet.replicas

    async def start(self) -> None:
        """Starts everything and waits until the box is ready."""
        self._document["limits"]["max_body_bytes"] = MAX_BODY_BYTES
        await self.fleet.start(self._document, memory_bytes=2**40)
        for service in (builders.PLAIN, builders.ENGINE):
            for _ in range(2):
                await self.fleet.add_replica(service)
        await self.fleet.until_listed()

    async def stop(self) -> None:
        """Stops everything."""
        if self._stop is not None:
            await self._stop
        await self.fleet.stop()

    async def change(self, name: str, kind: str) -> None:
        """Makes a change, and waits until it is in force.

        Args:
            name: The change.
            kind: Name of the route whose request is under way.
        """
        if name == RELOAD:
            changed = dataclasses.replace(
                self.box._settings, drain_s=0.1, retry_ratio=0.0
            )
            self.box.reload(changed)
        elif name == STOP:
            self._stop = asyncio.create_task(self.box.leave())
            await asyncio.sleep(0)
        elif name == STALL:
            loop = asyncio.get_running_loop()
            assert isinstance(loop, simulated_loop.SimulatedLoop)
            loop.hold_up(STALL_S)
        else:
            self._document = copy.deepcopy(self._document)
            config_edits.EDITS[name](self._document, kind)
            await self._put_in_force()

    async def _put_in_force(self) -> None:
        self._document["version"] += 1
        version = self._document["version"]
        self.fleet.configure(self._document)
        await boxes.until(lambda: self.box.store_cache.version >= version)


class _Once:
    """Makes changes when it is first called."""

    def __init__(
        self,
        site: Site,
        names: tuple[str, ...],
        later: tuple[tuple[float, str], ...],
        kind: str,
    ) -> None:
        self._site = site
        self._names = names
        self._later = later
        self._kind = kind
        self._task: asyncio.Task[None] | None = None
        self.done = False

    async def __call__(self) -> None:
        if self.done:
            return
        self.done = True
        for name in self._names:
            await self._site.change(name, self._kind)
        self._task = asyncio.create_task(self._change_later())

    async def finish(self) -> None:
        """Waits until the later changes are made."""
        if self._task is not None:
            await self._task

    async def _change_later(self) -> None:
        for pause_s, name in self._later:
            await asyncio.sleep(pause_s)
            await self._site.change(name, self._kind)


def _before(holder: Any, method: str, act: Act, call: int = 1) -> None:
    """Has a function called before the n-th call of a method."""
    original = getattr(holder, method)
    calls = 0

    async def acting(*args: Any, **kwargs: Any) -> Any:
        nonlocal calls
        calls += 1
        if calls == call:
            await act()
        return await original(*args, **kwargs)

    setattr(holder, method, acting)


def _after(holder: Any, method: str, act: Act) -> None:
    """Has a function called after a method, before its caller goes on."""
    original = getattr(holder, method)

    async def acting(*args: Any, **kwargs: Any) -> Any:
        result = await original(*args, **kwargs)
        await act()
        return result

    setattr(holder, method, acting)


async def _run(act: Act) -> None:
    await act()


def _await_place(site: Site, kind: str, act: Act) -> None:
    """Has the request find no place at first, and wait for one."""
    selector = site.box.registry.selector
    choose = selector.choose
    waits: list[asyncio.Future[None]] = []

    def choose_later(*args: Any, **kwargs: Any) -> Any:
        if waits:
            return choose(*args, **kwargs)
        waits.append(asyncio.ensure_future(_run(act)))
        return None

    selector.choose = choose_later  # type: ignore[method-assign]
    selector.is_brittle = lambda service: True  # type: ignore[method-assign]
    selector.place_opens_in_s = (  # type: ignore[method-assign]
        lambda service, now: PLACE_S
    )


def _await_retry(site: Site, kind: str, act: Act) -> None:
    # Where it may not be repeated, only a request that did not run is.
    first = replica.Behaviour.REFUSE
    if kind in REPEATABLE:
        first = replica.Behaviour.RESET
    for stand_in in site.replicas:
        stand_in.always(first)

    async def mend_and_act() -> None:
        for stand_in in site.replicas:
            stand_in.always(replica.Behaviour.SERVE)
        await act()

    _before(site.box.quarantine, "permit", mend_and_act, call=2)


def _begin_slowly(site: Site, kind: str, act: Act) -> None:
    for stand_in in site.replicas:
        stand_in.queue_s = PAUSE_S


def _stream_slowly(site: Site, kind: str, act: Act) -> None:
    for stand_in in site.replicas:
        stand_in.event_pause_s = PAUSE_S / 4


def _break_streams(site: Site, kind: str, act: Act) -> None:
    for stand_in in site.replicas:
        stand_in.break_after = 2

    async def mend_and_act() -> None:
        for stand_in in site.replicas:
            stand_in.break_after = None
        await act()

    _before(site.box.quarantine, "permit", mend_and_act, call=2)


def _do_nothing(site: Site, kind: str, act: Act) -> None:
    """Prepares nothing: the client makes the change."""


# What has a function called in a moment of the next request.
PREPARATIONS: dict[Moment, Callable[[Site, str, Act], None]] = {
    Moment.BODY: _do_nothing,
    Moment.MEMORY: lambda s, k, act: _before(s.box.bodies, "reserve", act),
    Moment.PERMIT: lambda s, k, act: _before(s.box.quarantine, "permit", act),
    Moment.PLACE: _await_place,
    Moment.CONNECTION: lambda s, k, act: _after(s.box.pool, "acquire", act),
    Moment.SEND: lambda s, k, act: _after(s.box.grants, "acquire", act),
    Moment.SENT: _begin_slowly,
    Moment.RETRY: _await_retry,
    Moment.TAKE_UP: lambda s, k, act: _before(s.box.origins, "find", act),
    Moment.STREAM: _stream_slowly,
    Moment.BROKEN_STREAM: _break_streams,
    Moment.SLOW_CLIENT: _do_nothing,
}


async def play(
    moment: Moment,
    kind: str,
    changes: tuple[str, ...],
    later: tuple[tuple[float, str], ...] = (),
) -> Result:
    """Has something change in a moment of one request.

    Args:
        moment: The moment.
        kind: Name of the request's route.
        changes: What changes, in order.
        later: What changes afterwards, each after so many seconds more.

    Raises:
        TimeoutError: If the client is left waiting.
    """
    site = Site()
    await site.start()
    client = whole_answers.Client(site.fleet.addresses[0])
    try:
        await client.open()
        await client.send("r0", "/safe/first", b"first")
        first = await client.receive()
        assert (first.status, first.whole) == (200, True)
        if moment is Moment.TAKE_UP:
            await _begin_stream(client, kind)
        act = _Once(site, changes, later, kind)
        PREPARATIONS[moment](site, kind, act)
        async with asyncio.timeout(END_S):
            answer = await _ask(site, client, moment, kind, act)
            await act.finish()
        runs = gateway_requests.runs(site.replicas, REQUEST_ID)
        return Result(answer, runs, act.done)
    finally:
        client.close()
        await site.stop()


async def _begin_stream(client: whole_answers.Client, kind: str) -> None:
    """Has the box know where a stream began that is then taken up."""
    await client.send(FIRST_ID, f"/{kind}/a", body_of(Moment.TAKE_UP))
    assert (await client.receive()).whole


async def _ask(
    site: Site,
    client: whole_answers.Client,
    moment: Moment,
    kind: str,
    act: Act,
) -> whole_answers.Answer:
    """Makes the request; acts where the client or its answer tell when."""
    taken_up = {"Last-Event-Id": str(TAKEN_UP_AFTER), "Resumes": FIRST_ID}
    await client.send(
        REQUEST_ID,
        f"/{kind}/a",
        body_of(moment),
        act if moment is Moment.BODY else None,
        taken_up if moment is Moment.TAKE_UP else {},
    )
    if moment is Moment.SENT:
        await boxes.until(lambda: _is_received(site.replicas))
        await act()
    if moment is Moment.SLOW_CLIENT:
        await boxes.until(
            lambda: gateway_requests.runs(site.replicas, REQUEST_ID) == 1
        )
        await asyncio.sleep(PAUSE_S)
        assert site.box.dump()["held"] == 1
        await act()
        await asyncio.sleep(PAUSE_S)
    return await client.receive(act if moment is Moment.STREAM else None)


def _is_received(replicas: list[replica.Replica]) -> bool:
    return any(
        request.id == REQUEST_ID
        for stand_in in replicas
        for request in stand_in.received
    )


def body_of(moment: Moment) -> bytes:
    """Returns the body of the request."""
    return b"x" * (LARGE_BYTES if moment is Moment.SLOW_CLIENT else 10)
