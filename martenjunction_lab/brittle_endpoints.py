"""A fleet before endpoints that fall over when they turn many requests away.

All of a service's endpoints say so in their answers, let fewer requests wait
from some seconds later on, and count what they turn away for want of room.
"""

import asyncio
import collections
import dataclasses
import time
from typing import Any

from martenjunction import errors
from martenjunction_lab import crowded_replica
from martenjunction_lab import replica
from martenjunction_lab import trial_fleet

ROUTES = ("safe", "unsafe")


@dataclasses.dataclass(frozen=True)
class Trial:
    """What is played.

    Attributes:
        most: Requests a second that an endpoint may turn away.
        slots: Requests that an endpoint works on at once.
        waiting: Requests that may wait at an endpoint at first.
        waiting_later: Requests that may wait from `later_s` on.
        from_s: Seconds after the begin from which on the endpoints say it.
        later_s: Seconds after that at which they let fewer wait.
        for_s: Seconds for which they say it.
        down_s: Seconds for which an endpoint that fell over is away.
        burst_s: Seconds after `later_s` for which `burst_per_s` are sent.
        burst_per_s: Requests a second in that time.
        boxes: How many boxes there are.
        endpoints: How many endpoints there are.
        per_s: Requests a second.
        seconds: For how long requests are sent.
        seed: Decides the rest.
    """

    most: int = 4
    slots: int = 2
    waiting: int = 10
    waiting_later: int = 0
    from_s: float = 1.0
    later_s: float = 3.0
    for_s: float = 9.0
    down_s: float = 3.0
    burst_s: float = 0.0
    burst_per_s: float = 400.0
    boxes: int = 6
    endpoints: int = 6
    per_s: float = 80.0
    seconds: float = 12.0
    seed: int = 1


@dataclasses.dataclass
class Outcome:
    """What was seen.

    Attributes:
        trial: What was played.
        statuses: Numbers of answers by status; 0 for none.
        texts: Numbers of refusals by their body.
        waits: Seconds to each success.
        turned_away: Requests that endpoints turned away.
        falls: Endpoints that fell over.
        runs: How often each request that may not be repeated ran.
    """

    trial: Trial
    statuses: collections.Counter[int] = dataclasses.field(
        default_factory=collections.Counter
    )
    texts: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    waits: list[float] = dataclasses.field(default_factory=list)
    turned_away: int = 0
    falls: int = 0
    runs: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )

    @property
    def served(self) -> float:
        """The part of all requests that was served."""
        return self.statuses[200] / max(1, self.statuses.total())

    @property
    def borne(self) -> float:
        """The falls that are borne."""
        return 2 + self.trial.endpoints / 10

    @property
    def twice(self) -> list[str]:
        """The requests that ran twice and may not."""
        return [
            name
            for name, count in self.runs.items()
            if count > 1 and name.startswith("unsafe")
        ]


class BrittleReplica(crowded_replica.CrowdedReplica):
    """A replica with little room."""

    def __init__(self, endpoint_id: str, fleet: "BrittleFleet") -> None:
        """Makes it; `start` brings it up."""
        super().__init__(endpoint_id, fleet.trial.slots)
        self._fleet = fleet
        self._turned_away: collections.deque[float] = collections.deque()

    def _places(self) -> int:
        return self._fleet.waiting

    def _note_rejection(self) -> None:
        now = time.monotonic()
        self._fleet.outcome.turned_away += 1
        self._turned_away.append(now)
        while self._turned_away[0] < now - 1.0:
            self._turned_away.popleft()
        is_brittle = self._fleet.is_brittle
        if is_brittle and len(self._turned_away) > self._fleet.trial.most:
            self._turned_away.clear()
            self._fleet.fall(self)

    def _notices(
        self, request: replica.Received, status: int
    ) -> dict[str, str]:
        if not self._fleet.is_brittle:
            return {}
        return {"Server-Brittle": str(self._fleet.trial.most)}


class BrittleFleet(trial_fleet.TrialFleet[BrittleReplica]):
    """Boxes before brittle endpoints of a plain service."""

    def __init__(self, trial: Trial) -> None:
        """Makes a fleet; `run` plays the trial.

        Args:
            trial: What is played.
        """
        super().__init__(trial.seed)
        self.trial = trial
        self.outcome = Outcome(trial)
        self.is_brittle = False
        self.waiting = trial.waiting
        self._down: set[str] = set()
        self._numbers = 0

    async def run(self, config: dict[str, Any]) -> Outcome:
        """Plays the trial under a configuration; returns what was seen."""
        trial = self.trial
        services = trial_fleet.in_services(
            lambda name: BrittleReplica(name, self), trial.endpoints, 0
        )
        try:
            await self.start(config, trial.boxes, services)
            self.spawn(self._say())
            quiet = trial.from_s + trial.later_s
            began = time.monotonic()
            await self.send_steadily(trial.per_s, began + quiet, self._send_one)
            await self.send_steadily(
                trial.burst_per_s,
                time.monotonic() + trial.burst_s,
                self._send_one,
            )
            await self.send_steadily(
                trial.per_s, began + trial.seconds, self._send_one
            )
            await self.settle()
        finally:
            await self.stop()
        for made in self.made:
            self.outcome.runs.update(made.runs)
        return self.outcome

    def record(self, one: BrittleReplica, slots: int | None = None) -> None:
        """Writes the entry of a replica's next start."""
        super().record(one, self.trial.slots)

    def fall(self, made: BrittleReplica) -> None:
        """Ends a replica; it comes back as another endpoint."""
        if made.id in self._down:
            return
        self._down.add(made.id)
        self.outcome.falls += 1
        self.spawn(self._fall(made))

    async def _fall(self, made: BrittleReplica) -> None:
        await made.stop()
        await asyncio.sleep(self.trial.down_s)
        self._down.discard(made.id)
        await self.start_again(made)

    async def _say(self) -> None:
        trial = self.trial
        await asyncio.sleep(trial.from_s)
        self.is_brittle = True
        await asyncio.sleep(trial.later_s)
        self.waiting = trial.waiting_later
        await asyncio.sleep(trial.for_s - trial.later_s)
        self.is_brittle = False
        self.waiting = trial.waiting

    async def _send_one(self) -> None:
        self._numbers += 1
        box = self.draw.randrange(self.trial.boxes)
        route = self.draw.choice(ROUTES)
        request_id = f"{route}-{self._numbers}"
        sent_at = time.monotonic()
        try:
            head, body = await trial_fleet.send(
                self.boxes.addresses[box],
                f"/{route}/{box}",
                request_id,
                f"aa:100,{request_id}:400",
                request_id.encode(),
            )
        except errors.TransportError:
            self.outcome.statuses[0] += 1
            return
        self.outcome.statuses[head.status] += 1
        if head.status == 200:
            self.outcome.waits.append(time.monotonic() - sent_at)
        else:
            self.outcome.texts[body.decode("latin-1")] += 1
