"""Simulates the rate grants of a large fleet of boxes in virtual time."""

import asyncio
import dataclasses
import random
from typing import Any

from martenjunction import timers
from martenjunction.decisions.boxes import endpoint_list
from martenjunction.peers import membership
from martenjunction.routing.endpoints import endpoint_registry
from martenjunction.routing.limits import limit_sync
from martenjunction.routing.limits import rate_grants
from martenjunction.routing.log import decision_log
from tests import linked_boxes
from tests import routing_builders as builders

ENDPOINT = "e1"

# Event loop iterations in which a message travels two hops and its answer back.
ITERATIONS = 12
STEP_S = 0.02


@dataclasses.dataclass
class Members:
    """A membership in which all boxes are live."""

    own: membership.Member
    all: list[membership.Member]

    def live_members(self) -> list[membership.Member]:
        return self.all

    def known_members(self) -> list[membership.Member]:
        return self.all


class Box:
    """The rate limits and grants of one box.

    Attributes:
        name: The box's name.
        heard: Names of the boxes that nobody calls silent.
    """

    def __init__(
        self,
        fleet: "LimitedBoxes",
        node: linked_boxes.Node,
        members: list[membership.Member],
    ) -> None:
        own = next(m for m in members if m.box == node.name)
        clock = timers.Timers(lambda: fleet.now)
        log = decision_log.DecisionLog(clock.now)
        listed = endpoint_list.EndpointList()
        listed.apply_listing(
            [(builders.endpoint(ENDPOINT), builders.rev(3))],
            builders.rev(5),
            now=0.0,
        )
        self.name = node.name
        self.heard = {m.box for m in members if m is not own}
        self.registry = endpoint_registry.EndpointRegistry(
            listed, log, random.Random(1)
        )
        believed: Any = Members(own, members)
        peers: Any = node
        self.limits = limit_sync.LimitSync(
            self.registry, peers, believed, clock, log
        )
        self.grants = rate_grants.RateGrants(
            self.registry,
            self.limits,
            peers,
            believed,
            lambda: [m for m in members if m.box in self.heard],
            clock,
        )
        self.limits.start(node.emitter)
        self.grants.start()


class LimitedBoxes:
    """Boxes with the connections of a large fleet and one endpoint.

    Attributes:
        now: The virtual time in seconds.
        sends: Times at which requests were granted.
    """

    def __init__(self, seed: int = 1) -> None:
        self.now = 0.0
        self.sends: list[float] = []
        self.linked = linked_boxes.LinkedBoxes()
        members = [
            membership.Member(node.name, f"zone-{node.zone}", "", "", "")
            for node in self.linked.nodes.values()
        ]
        self.boxes = {
            name: Box(self, node, members)
            for name, node in self.linked.nodes.items()
        }
        self.rng = random.Random(seed)

    def report_limit(self, box: str, per_s: float | None) -> None:
        """Simulates an answer to a box that contains a limit."""
        self.boxes[box].limits.report_limit(ENDPOINT, per_s, self.now)

    async def run(self, seconds: float, asks_per_s: float) -> None:
        """Lets randomly chosen boxes request grants."""
        until = self.now + seconds
        names = list(self.boxes)
        pending_asks = 0.0
        while self.now < until:
            self.now += STEP_S
            pending_asks += asks_per_s * STEP_S
            requesters = []
            while pending_asks >= 1.0:
                pending_asks -= 1.0
                requesters.append(self.boxes[self.rng.choice(names)])
            asks = [
                asyncio.ensure_future(box.grants.acquire(ENDPOINT))
                for box in requesters
            ]
            await self.settle()
            for ask in asks:
                assert ask.done()
                if ask.result() is not None:
                    self.sends.append(self.now)

    async def settle(self) -> None:
        """Runs the event loop until all messages are delivered."""
        for _ in range(ITERATIONS):
            await asyncio.sleep(0)
