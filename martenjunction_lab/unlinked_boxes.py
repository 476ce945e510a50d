"""A fleet some of whose boxes lose their links to endpoints.

Clients go on calling all boxes, as kept connections and kept entry answers make
them do; the trial counts what is served at the boxes that were cut off and at
the others.
"""

import asyncio
import collections
import dataclasses
import time
from typing import Any

from martenjunction import errors
from martenjunction import gateway
from martenjunction_lab import boxes
from martenjunction_lab import endpoint_links
from martenjunction_lab import replica
from martenjunction_lab import trial_fleet

Mode = endpoint_links.Mode

ROUTES = ("safe", "unsafe", "digest", "chat")

# Routes whose requests may not run more than once.
UNREPEATABLE = frozenset({"unsafe", "chat"})

# Seconds between two looks at the entry answers.
ENTRY_INTERVAL_S = 0.1


@dataclasses.dataclass(frozen=True)
class Trial:
    """What is played.

    Attributes:
        mode: What the links do that are cut.
        cut_boxes: How many boxes lose their links.
        cut_endpoints: How many endpoints of each service they lose; None for
            all.
        cut_s: When the links are cut.
        cut_for_s: For how long.
        up_s: Seconds for which the links heal meanwhile, again and again.
        down_s: Seconds between two such times; 0 for none.
        boxes: How many boxes there are.
        plain: Endpoints of the plain service.
        engines: Endpoints of the engines' service.
        per_s: Requests a second.
        after_s: Seconds for which requests are sent after the cut.
        seed: Decides the rest.
    """

    mode: Mode = Mode.HANG
    cut_boxes: int = 2
    cut_endpoints: int | None = None
    cut_s: float = 2.0
    cut_for_s: float = 8.0
    up_s: float = 0.7
    down_s: float = 0.0
    boxes: int = 6
    plain: int = 6
    engines: int = 5
    per_s: float = 80.0
    after_s: float = 2.0
    seed: int = 1


@dataclasses.dataclass(frozen=True)
class Try:
    """One request of a client.

    Attributes:
        box: The number of the box that it was sent to.
        at_s: Seconds after the cut at which it was sent.
        waited_s: Seconds to the end of the answer.
        status: The answer's status; 0 for none.
        text: The body of an answer that is no success.
        route: Its route.
    """

    box: int
    at_s: float
    waited_s: float
    status: int
    text: str
    route: str


@dataclasses.dataclass
class Outcome:
    """What was seen.

    Attributes:
        trial: What was played.
        tries: All requests.
        named: Seconds after the cut and number of boxes that were cut off in
            each entry answer of a box that was not.
        runs: How often each request that may not be repeated ran.
        connects: Connections begun by the boxes that were cut off, meanwhile.
    """

    trial: Trial
    tries: list[Try] = dataclasses.field(default_factory=list)
    named: list[tuple[float, int]] = dataclasses.field(default_factory=list)
    runs: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    connects: int = 0

    def select(self, cut: bool, from_s: float, to_s: float) -> list[Try]:
        """Returns the requests at one group of boxes in a time.

        Args:
            cut: Whether at the boxes that were cut off.
            from_s: Seconds after the cut.
            to_s: Seconds after the cut.
        """
        return [
            one
            for one in self.tries
            if (one.box < self.trial.cut_boxes) is cut
            and from_s <= one.at_s < to_s
        ]

    @property
    def twice(self) -> list[str]:
        """The requests that ran twice and may not."""
        return [name for name, count in self.runs.items() if count > 1]


def served(tries: list[Try]) -> float:
    """Returns the part of some requests that was served; 1 of none."""
    if not tries:
        return 1.0
    return sum(one.status == 200 for one in tries) / len(tries)


def extra_wait_s(tries: list[Try], others: list[Try]) -> float:
    """Returns by how much longer a typical wait is than that of others.

    Compares each route with itself: a stream takes longer than a plain answer,
    and the median of both together depends on how many there were of each.

    Args:
        tries: The requests.
        others: The requests to compare with.

    Returns:
        The largest difference of medians of one route, in seconds.
    """
    return max(
        typical_wait_s([one for one in tries if one.route == route])
        - typical_wait_s([one for one in others if one.route == route])
        for route in ROUTES
    )


def typical_wait_s(tries: list[Try]) -> float:
    """Returns the median wait for a success, in seconds; 0 of none."""
    waits = sorted(one.waited_s for one in tries if one.status == 200)
    return waits[len(waits) // 2] if waits else 0.0


class LinkedBoxes(boxes.Boxes):
    """Boxes whose connections are known as their own."""

    async def add_box(self, box: str, **changes: Any) -> gateway.Gateway:
        """Starts a box."""
        made: gateway.Gateway = await endpoint_links.run_as(
            box, super().add_box(box, **changes)
        )
        return made


class UnlinkedFleet(trial_fleet.TrialFleet[replica.Replica]):
    """Boxes of which some lose their links to endpoints."""

    def __init__(self, trial: Trial) -> None:
        """Makes a fleet; `run` plays the trial.

        Args:
            trial: What is played.
        """
        super().__init__(trial.seed)
        self.boxes = LinkedBoxes()
        self.trial = trial
        self.outcome = Outcome(trial)
        self._links = endpoint_links.LinkTable()
        self._cut_at = 0.0
        self._numbers = 0

    async def run(self, config: dict[str, Any]) -> Outcome:
        """Plays the trial under a configuration; returns what was seen."""
        trial = self.trial
        services = trial_fleet.in_services(
            replica.Replica, trial.plain, trial.engines
        )
        names = [f"box-{n}" for n in range(1, trial.boxes + 1)]
        with self._links.installed():
            try:
                await self.start(config, trial.boxes, services)
                for made in self.made:
                    await self._links.add(names, made.address)
                self._cut_at = time.monotonic() + trial.cut_s
                until = self._cut_at + trial.cut_for_s + trial.after_s
                self.spawn(self._cut(names[: trial.cut_boxes]))
                self.spawn(self._look_at_entries(until))
                await self.send_steadily(trial.per_s, until, self._send_one)
                await self.settle()
            finally:
                await self.stop()
                self._links.stop()
        for made in self.made:
            self.outcome.runs.update(
                {
                    name: count
                    for name, count in made.runs.items()
                    if name.partition("-")[0] in UNREPEATABLE
                }
            )
        return self.outcome

    async def _cut(self, names: list[str]) -> None:
        trial = self.trial
        lost = [
            made.address
            for service in (trial_fleet.PLAIN, trial_fleet.ENGINE)
            for made in self.of(service)[: trial.cut_endpoints]
        ]
        await asyncio.sleep(self._cut_at - time.monotonic())
        before = sum(self._links.connects(name) for name in names)
        end_at = self._cut_at + trial.cut_for_s
        while (left_s := end_at - time.monotonic()) > 0.0:
            self._links.cut(names, lost, trial.mode)
            await asyncio.sleep(min(left_s, trial.down_s or left_s))
            self._links.cut(names, lost, Mode.OPEN)
            if trial.down_s:
                await asyncio.sleep(trial.up_s)
        after = sum(self._links.connects(name) for name in names)
        self.outcome.connects = after - before

    async def _look_at_entries(self, until: float) -> None:
        """Asks the boxes that keep their links for addresses."""
        gateways = self.boxes.gateways
        cut_off = set(self.boxes.addresses[: self.trial.cut_boxes])
        while time.monotonic() < until:
            for made in gateways[self.trial.cut_boxes :]:
                named = cut_off & set(made.reachable.entries("zone-a"))
                after_s = time.monotonic() - self._cut_at
                self.outcome.named.append((after_s, len(named)))
            await asyncio.sleep(ENTRY_INTERVAL_S)

    async def _send_one(self) -> None:
        self._numbers += 1
        box = self.draw.randrange(self.trial.boxes)
        route = self.draw.choice(ROUTES)
        request_id = f"{route}-{self._numbers}"
        sent_at = time.monotonic()
        status, text = 0, ""
        try:
            head, body = await trial_fleet.send(
                self.boxes.addresses[box],
                f"/{route}/{box}",
                request_id,
                f"aa:100,{request_id}:400",
                request_id.encode(),
            )
            status = head.status
            if status != 200:
                text = body.decode("latin-1")
        except errors.TransportError:
            text = "no answer"
        now = time.monotonic()
        at_s = sent_at - self._cut_at
        self.outcome.tries.append(
            Try(box, at_s, now - sent_at, status, text, route)
        )
