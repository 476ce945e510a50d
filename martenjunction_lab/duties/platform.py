"""Stand-ins of the platform's store and of the service that takes duties.

The judge holds each rule on duties as a reader of the users' pages would.
"""

import asyncio
from collections.abc import Callable
import dataclasses
import random
from typing import Any

import msgspec

from martenjunction import errors
from martenjunction import revisions
from martenjunction.platform import duty_calls
from martenjunction.platform import store

ERA = 1

# Seconds of a call on the way there and back.
HOP_S = 0.004

# Seconds after which a caller gives up on the store.
STORE_TIMEOUT_S = 1.0


@dataclasses.dataclass(slots=True)
class Faults:
    """How the platform misbehaves.

    Attributes:
        store_down: The store answers nothing.
        cloud_down: The service that takes duties answers nothing.
        turned_away: Boxes that the store does not answer.
        lost: Part of the writes that are done and not answered.
        late: Part of the writes that are done seconds later, and not answered.
        slow_s: Further seconds of each call.
        overdue: Boxes whose calls of duties arrive as they give up on them.
    """

    store_down: bool = False
    cloud_down: bool = False
    turned_away: set[str] = dataclasses.field(default_factory=set)
    lost: float = 0.0
    late: float = 0.0
    slow_s: float = 0.0
    overdue: set[str] = dataclasses.field(default_factory=set)


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """A call of a duty, as it arrived."""

    at: float
    holder: str
    fence: int
    subject: str
    content: Any


class Judge:
    """Records the calls of duties and finds broken rules."""

    def __init__(self, no_return_s: float) -> None:
        """Initializes the judge.

        Args:
            no_return_s: Seconds within which the holder may not change to
                another box and back.
        """
        self._no_return_s = no_return_s
        self.arrivals: list[Arrival] = []
        self.windows: dict[int, dict[str, int]] = {}
        self.accepted_at: dict[int, float] = {}
        self.broken: list[str] = []

    def take(self, arrival: Arrival) -> None:
        """Takes a call in, and records the rules that it breaks."""
        before = [a for a in self.arrivals if a.subject == arrival.subject]
        self.arrivals.append(arrival)
        for earlier in before:
            same_fence = earlier.fence == arrival.fence
            if same_fence and earlier.holder != arrival.holder:
                self.broken.append(f"fence {arrival.fence} of two holders")
            if earlier.fence > arrival.fence:
                self.broken.append(f"fence {arrival.fence} after a higher one")
        self._judge_return(before, arrival)
        if arrival.subject == "usage":
            window, counts = arrival.content
            known = self.windows.setdefault(window, counts)
            self.accepted_at.setdefault(window, arrival.at)
            if known != counts:
                self.broken.append(f"window {window} has two sets of counts")

    def _judge_return(self, before: list[Arrival], arrival: Arrival) -> None:
        recent = [a for a in before if arrival.at - a.at <= self._no_return_s]
        holders = [a.holder for a in recent]
        if arrival.holder in holders and holders[-1] != arrival.holder:
            self.broken.append(f"holder {arrival.holder} returned too soon")


class Store:
    """Objects under one counter of revisions, as one box reaches them."""

    def __init__(
        self, shared: "SharedStore", box: str, gate: asyncio.Event
    ) -> None:
        """Initializes the client of a box.

        Args:
            shared: The objects.
            box: The box.
            gate: Is cleared while the box is suspended.
        """
        self._shared = shared
        self._box = box
        self._gate = gate
        self.era = ERA
        self.calls = 0

    async def get(self, kind: str, name: str) -> store.StoredObject | None:
        """Returns an object, or None."""
        await self._reach()
        found = self._shared.objects.get((kind, name))
        await self._return()
        return found

    async def create(
        self, kind: str, name: str, spec: Any
    ) -> store.StoredObject:
        """Creates an object."""
        return await self._write(kind, name, spec, None)

    async def replace(
        self,
        kind: str,
        name: str,
        spec: Any,
        revision: revisions.Revision | None,
    ) -> store.StoredObject:
        """Replaces an object of a revision."""
        return await self._write(kind, name, spec, revision)

    async def _write(
        self,
        kind: str,
        name: str,
        spec: Any,
        revision: revisions.Revision | None,
    ) -> store.StoredObject:
        await self._reach()
        shared = self._shared
        data = msgspec.json.encode(spec)
        if shared.rng.random() < shared.faults.late:
            delay_s = shared.rng.uniform(1.0, 6.0)
            asyncio.get_running_loop().call_later(
                delay_s, shared.try_put, kind, name, data, revision
            )
            await asyncio.sleep(STORE_TIMEOUT_S)
            await self._gate.wait()
            raise errors.PlatformUnavailableError("late")
        written = shared.put(kind, name, data, revision)
        if shared.rng.random() < shared.faults.lost:
            await asyncio.sleep(STORE_TIMEOUT_S)
            await self._gate.wait()
            raise errors.PlatformUnavailableError("lost")
        await self._return()
        return written

    async def _reach(self) -> None:
        self.calls += 1
        await self._gate.wait()
        faults = self._shared.faults
        await asyncio.sleep(HOP_S + faults.slow_s)
        if faults.store_down or self._box in faults.turned_away:
            await asyncio.sleep(STORE_TIMEOUT_S)
            await self._gate.wait()
            raise errors.PlatformUnavailableError("down")

    async def _return(self) -> None:
        await asyncio.sleep(HOP_S)
        await self._gate.wait()


class SharedStore:
    """The objects themselves."""

    def __init__(self, rng: random.Random) -> None:
        """Initializes an empty store.

        Args:
            rng: Decides which writes are lost or late.
        """
        self.rng = rng
        self.faults = Faults()
        self.objects: dict[tuple[str, str], store.StoredObject] = {}
        self.on_put: Callable[[], None] = lambda: None
        self._revision = 0

    def put(
        self,
        kind: str,
        name: str,
        data: bytes,
        revision: revisions.Revision | None,
    ) -> store.StoredObject:
        """Writes an object.

        Raises:
            VersionConflictError: If it is not at the revision.
        """
        known = self.objects.get((kind, name))
        current = None if known is None else known.revision
        if current != revision:
            number = 0 if current is None else current.number
            raise errors.VersionConflictError(name, number)
        self._revision += 1
        written = store.StoredObject(
            name, revisions.Revision(ERA, self._revision), data
        )
        self.objects[kind, name] = written
        self.on_put()
        return written

    def try_put(
        self,
        kind: str,
        name: str,
        data: bytes,
        revision: revisions.Revision | None,
    ) -> None:
        """Carries out a write that nobody waits for any more."""
        try:
            self.put(kind, name, data, revision)
        except errors.VersionConflictError:
            return


class Calls:
    """The calls of duties of one box."""

    def __init__(
        self,
        judge: Judge,
        shared: SharedStore,
        gate: asyncio.Event,
    ) -> None:
        """Initializes the client of a box.

        Args:
            judge: Takes the calls.
            shared: Has the faults of the platform.
            gate: Is cleared while the box is suspended.
        """
        self._judge = judge
        self._shared = shared
        self._gate = gate

    async def report_usage(
        self, caller: duty_calls.Credentials, window: int, counts: Any
    ) -> None:
        """Reports the usage of a window."""
        await self._call(caller, "usage", (window, dict(counts)))

    async def order_engines(
        self,
        caller: duty_calls.Credentials,
        service: str,
        zone: str,
        count: int,
        reclaimable: bool,
    ) -> None:
        """Orders engines."""
        subject = f"{service}/{zone}"
        await self._call(caller, subject, (reclaimable, count))

    async def _call(
        self, caller: duty_calls.Credentials, subject: str, content: Any
    ) -> None:
        await asyncio.sleep(HOP_S)
        await self._gate.wait()
        if not caller.may_send():
            raise errors.PlatformRefusedError("not sent")
        # The call is on its way: it arrives even if the box ends now.
        loop = asyncio.get_running_loop()
        delay_s = HOP_S
        if caller.box in self._shared.faults.overdue:
            delay_s = caller.timeout_s
        if self._shared.faults.cloud_down:
            await asyncio.sleep(caller.timeout_s)
            raise errors.PlatformUnavailableError("down")
        loop.call_later(
            delay_s, self._arrive, caller.box, caller.fence, subject, content
        )
        await asyncio.sleep(min(delay_s + HOP_S, caller.timeout_s))
        await self._gate.wait()
        if delay_s + HOP_S > caller.timeout_s:
            raise errors.PlatformUnavailableError("time-out")

    def _arrive(
        self, holder: str, fence: int, subject: str, content: Any
    ) -> None:
        now = asyncio.get_running_loop().time()
        self._judge.take(Arrival(now, holder, fence, subject, content))
