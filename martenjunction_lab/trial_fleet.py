"""Boxes before replicas of a plain service and of engines, under a load."""

import asyncio
import collections
from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Iterable
import random
import time
from typing import Any
from typing import Generic
from typing import TypeVar

from martenjunction.http1 import messages
from martenjunction_lab import boxes
from martenjunction_lab import replica

# Seconds that a plain request takes at its endpoint.
WORK_S = 0.03

PLAIN = "plain-service"
ENGINE = "engine-service"

# Places of an endpoint of each service.
SLOTS = {PLAIN: 6, ENGINE: 64}

Made = TypeVar("Made", bound=replica.Replica)


def in_services(
    make: Callable[[str], Made], plain: int, engines: int
) -> dict[str, list[Made]]:
    """Returns replicas of both services, not started yet.

    Args:
        make: Makes one of a name.
        plain: Replicas of the plain service.
        engines: Replicas of the engines' service.
    """
    made = [make(f"i-{number}") for number in range(1, plain + engines + 1)]
    return {PLAIN: made[:plain], ENGINE: made[plain:]}


class TrialFleet(Generic[Made]):
    """Boxes and replicas that a trial plays with.

    Attributes:
        draw: Decides what a trial leaves to chance.
        boxes: The boxes and the store.
        made: The replicas, which may start again under their names.
    """

    def __init__(self, seed: int) -> None:
        """Makes an empty fleet; `start` brings it up."""
        self.draw = random.Random(seed)
        self.boxes = boxes.Boxes()
        self.made: list[Made] = []
        self._services: dict[str, str] = {}
        self._starts: dict[str, int] = {}
        self._tasks: set[asyncio.Task[Any]] = set()

    async def start(
        self,
        config: dict[str, Any],
        count: int,
        made: dict[str, list[Made]],
        **changes: Any,
    ) -> None:
        """Starts the boxes and replicas, and waits until they are known.

        Args:
            config: The configuration.
            count: How many boxes there are.
            made: The replicas by service, not started yet.
            changes: Settings of the boxes in place of the usual ones.
        """
        await self.boxes.start(config, count, **changes)
        for service, replicas in made.items():
            for one in replicas:
                await self.add(service, one)
        await boxes.until(self._all_listed)

    async def add(
        self, service: str, one: Made, slots: int | None = None
    ) -> None:
        """Starts a replica, which records itself in the store.

        Args:
            service: Its service.
            one: The replica.
            slots: Requests that it works on at once; those of its service if
                left out.
        """
        one.queue_s = WORK_S
        await one.start()
        self.made.append(one)
        self.boxes.replicas.append(one)
        self._services[one.id] = service
        self.record(one, slots)

    async def stop(self) -> None:
        """Stops everything at once."""
        await self.boxes.stop()

    def names(self, service: str) -> list[str]:
        """Returns the names of a service's endpoints."""
        return [n for n, s in self._services.items() if s == service]

    def of(self, service: str) -> list[Made]:
        """Returns a service's replicas."""
        return [m for m in self.made if self._services[m.id] == service]

    def busiest(
        self, arrived_at: Iterable[str], tell: dict[str, int]
    ) -> list[Made]:
        """Returns the busiest endpoints of each service.

        Args:
            arrived_at: Names of the endpoints that got requests.
            tell: How many are wanted of each service.
        """
        busy = collections.Counter(arrived_at)
        chosen: list[Made] = []
        for service, count in tell.items():
            ranked = sorted(self.of(service), key=lambda one: -busy[one.id])
            chosen += ranked[:count]
        return chosen

    def start_of(self, one: Made) -> int:
        """Returns the number of a replica's present start, from 1 on."""
        return self._starts[one.id]

    async def start_again(self, one: Made) -> None:
        """Starts a replica again that was stopped, as another endpoint."""
        await one.start_again()
        self.record(one)

    def record(self, one: Made, slots: int | None = None) -> None:
        """Writes the entry of a replica's next start.

        Args:
            one: The replica.
            slots: Requests that it works on at once; those of its service if
                left out.
        """
        self._starts[one.id] = self._starts.get(one.id, 0) + 1
        self._write_entry(one, "ready", slots)

    def announce_leaving(self, one: Made) -> None:
        """Writes that a replica leaves."""
        self._write_entry(one, "draining", None)

    def _write_entry(self, one: Made, state: str, slots: int | None) -> None:
        service = self._services[one.id]
        self.boxes.record(
            one,
            service,
            state=state,
            slots=slots or SLOTS[service],
            born=self._starts[one.id],
            **self._entry_fields(one),
        )

    def _entry_fields(self, one: Made) -> dict[str, str]:
        """Returns what a replica's entry says in place of the usual."""
        return {}

    async def send_steadily(
        self, per_s: float, until: float, send: Any
    ) -> None:
        """Sends requests one after the other, without waiting for answers.

        Args:
            per_s: Requests a second; their distances are drawn.
            until: Steady clock of the end.
            send: Returns the coroutine that sends one.
        """
        pause_s = 1.0 / per_s
        due = time.monotonic()
        while due < until:
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            self.spawn(send())
            due += self.draw.uniform(0.5, 1.5) * pause_s

    def spawn(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Has a part of the trial run beside the others."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def settle(self) -> None:
        """Waits until all parts have ended."""
        while self._tasks:
            await asyncio.wait(self._tasks)

    def _all_listed(self) -> bool:
        return all(
            box.dump()["ready"]
            and box.endpoint_list.entry_names >= set(self._services)
            for box in self.boxes.gateways
        )


async def send(
    address: str, path: str, request_id: str, prompt: str, body: bytes
) -> tuple[messages.ResponseHead, bytes]:
    """Sends a request that its client gives 1.5 s.

    Args:
        address: The box.
        path: Decides its route.
        request_id: Its id.
        prompt: Parts of its prompt, 500 tokens in all.
        body: Its body.

    Raises:
        TransportError: If no whole answer comes.
    """
    return await boxes.call(
        address,
        "POST",
        path,
        {
            **plain_headers(request_id),
            "Martenjunction-Token-Counts": "500,80",
            "Martenjunction-Prefix-Hash": prompt,
        },
        body,
    )


def plain_headers(request_id: str, deadline_ms: int = 1500) -> dict[str, str]:
    """Returns the headers of a request to a plain service."""
    return {
        "Martenjunction-Attempt-Id": request_id,
        "Martenjunction-Deadline-Ms": str(deadline_ms),
        "Authorization": "Bearer key-of-one",
    }
