"""Boxes, endpoints, an operator and clients that record what they see."""

import asyncio
import collections
import itertools
import random
import time
from typing import Any

from martenjunction import gateway
from martenjunction.http1 import request_ledger
from martenjunction_lab import trial_fleet
from martenjunction_lab.promises import clients
from martenjunction_lab.promises import configuration
from martenjunction_lab.promises import endpoints
from martenjunction_lab.promises import events

BOXES = 6

# Endpoints by service: six plain ones, of two services, and four engines.
ENDPOINTS = {
    trial_fleet.PLAIN: 4,
    configuration.OTHER: 2,
    trial_fleet.ENGINE: 4,
}

# Requests a second of the clients' steady load.
PER_S = 40.0

# Seconds for which a plain endpoint works on a request: long enough that some
# are under way whenever a part is disturbed.
PLAIN_WORK_S = 0.1

# Seconds between two looks of the clients at the addresses of boxes.
ENTRY_INTERVAL_S = 0.5

ZONE = "zone-a"


def ranked_names() -> list[str]:
    """Returns what stands for the two busiest endpoints of each service."""
    return [f"{service}-{rank}" for service in ENDPOINTS for rank in (1, 2)]


def box_names() -> list[str]:
    """Returns the names of all boxes."""
    return [f"box-{n}" for n in range(1, BOXES + 1)]


class PairFleet(trial_fleet.TrialFleet[endpoints.RecordingReplica]):
    """What behaviours are played on.

    Attributes:
        history: What was seen.
        operator: Writes configurations.
        clients: Send requests.
    """

    def __init__(self, seed: int) -> None:
        """Makes an empty fleet; `begin` brings it up.

        Args:
            seed: Decides what is left to chance.
        """
        super().__init__(seed)
        self.history = events.History()
        self.operator = configuration.Operator(self.boxes, self.history)
        self.clients = clients.Clients(
            self.history, self.operator, random.Random(self.draw.random())
        )
        self._named: dict[str, gateway.Gateway] = {}
        self._ends: collections.Counter[str] = collections.Counter()
        self._leaving: set[str] = set()
        self._looks: asyncio.Task[None] | None = None

    @property
    def closed_under(self) -> int:
        """Requests whose connection a running box closed under them."""
        return sum(
            box._callers.ledger.ends[end]
            for box in self.boxes.gateways
            for end in request_ledger.UNEXPECTED
        )

    async def begin(self) -> None:
        """Starts everything, and waits until all is known."""
        attempts = itertools.count(1)
        numbers = itertools.count(1)
        made = {
            service: [
                endpoints.RecordingReplica(
                    f"i-{next(numbers)}",
                    service,
                    self.history,
                    attempts,
                    self.draw,
                )
                for _ in range(count)
            ]
            for service, count in ENDPOINTS.items()
        }
        await self.start(self.operator.document(), BOXES, made)
        self.operator.record()
        for made_box in self.boxes.gateways:
            self._name(made_box)
        self._look()
        loop = asyncio.get_running_loop()
        self._looks = loop.create_task(self._keep_looking())

    async def stop(self) -> None:
        """Stops everything at once."""
        if self._looks is not None:
            self._looks.cancel()
        self.clients.stop()
        await super().stop()

    # Endpoints.

    def endpoint(self, name: str) -> endpoints.RecordingReplica:
        """Returns an endpoint by its id."""
        return next(made for made in self.made if made.id == name)

    def ranked(self, name: str) -> str:
        """Returns the id of an endpoint that is among the busiest so far.

        Boxes need not send to all engines, and one without work shows little.

        Args:
            name: One of `ranked_names`.
        """
        service, _, rank = name.rpartition("-")
        arrived = self.history.of(events.Arrived)
        names = (one.endpoint.partition("/")[0] for one in arrived)
        return self.busiest(names, {service: int(rank)})[-1].id

    async def add(
        self,
        service: str,
        one: endpoints.RecordingReplica,
        slots: int | None = None,
    ) -> None:
        """Starts an endpoint, which records itself in the store."""
        await super().add(service, one, slots)
        if service != trial_fleet.ENGINE:
            one.queue_s = PLAIN_WORK_S

    def record(
        self, one: endpoints.RecordingReplica, slots: int | None = None
    ) -> None:
        """Writes the entry of an endpoint's next start."""
        super().record(one, slots or self._slots(one))

    def write_entry(
        self, one: endpoints.RecordingReplica, **changes: Any
    ) -> None:
        """Writes the entry of an endpoint's present start again.

        Args:
            one: The endpoint.
            changes: Further fields, and others in place of its own.
        """
        state = "draining" if one.name in self._leaving else "ready"
        self.boxes.record(
            one,
            self._services[one.id],
            **{
                "state": state,
                "slots": self._slots(one),
                "born": self.start_of(one),
                **changes,
            },
        )

    def announce_leaving(self, one: endpoints.RecordingReplica) -> None:
        """Has an endpoint's entry say that it leaves."""
        self._leaving.add(one.name)
        self.write_entry(one)
        self.history.add(events.Leaves(time.monotonic(), one.name))

    async def end_endpoint(self, one: endpoints.RecordingReplica) -> None:
        """Ends an endpoint without a word, if it is not ended already."""
        self._ends[one.id] += 1
        if self._ends[one.id] == 1:
            await one.stop()

    async def return_endpoint(self, one: endpoints.RecordingReplica) -> None:
        """Starts it again once all that ended it have returned it."""
        self._ends[one.id] -= 1
        if not self._ends[one.id]:
            await self.start_again(one)

    def renew_entries(self) -> None:
        """Has all live endpoints write their entries again."""
        for one in self.made:
            if not self._ends[one.id]:
                self.write_entry(one)

    # Boxes.

    def box(self, name: str) -> gateway.Gateway:
        """Returns a box by its name."""
        return self._named[name]

    async def end_box(self, name: str, planned: bool) -> None:
        """Ends a box, if it is not ended already.

        Args:
            name: The box.
            planned: Whether it is told to stop and may end its work.
        """
        self._ends[name] += 1
        if self._ends[name] > 1:
            return
        ended = self._named[name]
        if planned:
            self.history.add(events.BoxStops(time.monotonic(), name))
            await ended.leave()
            self.boxes.gateways.remove(ended)
        else:
            self.boxes.gateways.remove(ended)
            await ended.stop()

    async def return_box(self, name: str) -> None:
        """Starts it again once all that ended it have returned it."""
        self._ends[name] -= 1
        if not self._ends[name]:
            self._name(await self.boxes.add_box(name))

    def _name(self, made: gateway.Gateway) -> None:
        own = made.members.own
        self._named[own.box] = made
        self.clients.learn(own.box, own.callers)

    def _slots(self, one: endpoints.RecordingReplica) -> int:
        service = self._services[one.id]
        return trial_fleet.SLOTS.get(
            service, trial_fleet.SLOTS[trial_fleet.PLAIN]
        )

    async def _keep_looking(self) -> None:
        """Has the clients ask for addresses again and again."""
        while True:
            await asyncio.sleep(ENTRY_INTERVAL_S)
            self._look()

    def _look(self) -> None:
        asked = self.draw.choice(self.boxes.gateways)
        self.clients.known = asked.reachable.entries(ZONE)
