"""A fleet before endpoints that name the requests a second that they take.

The limit holds for all boxes together; the trial counts what reaches the
endpoints, and what becomes of all requests.
"""

import asyncio
import collections
import dataclasses
import time
from typing import Any

from martenjunction import errors
from martenjunction_lab import limit_outcome
from martenjunction_lab import replica
from martenjunction_lab import trial_fleet

# Routes by the service that they go to.
PLAIN_ROUTES = ("safe", "unsafe")
ENGINE_ROUTES = ("digest", "chat")


@dataclasses.dataclass(frozen=True)
class Trial:
    """What is played.

    Attributes:
        limit: What some endpoints name; None for nothing.
        later: What they name from `later_s` on.
        later_s: Seconds after the first word; None for never.
        ends_s: Seconds after the first word at which they name nothing any
            more; None for never.
        turns_away: Whether they turn away what is over the limit.
        tell_plain: How many plain endpoints name it.
        tell_engines: How many engines name it.
        from_s: Seconds after the begin from which on they name it.
        routes: Routes of the requests.
        at_one_box: Part of the requests that come in at the first box.
        gap_s: Seconds without requests, from `gap_from_s` on.
        gap_from_s: When they begin.
        burst_per_s: Requests a second in `burst_s` after the gap.
        burst_s: For how long.
        joins_s: When one more box starts; None for never.
        cut_s: When the links of one box to the others break, for `cut_for_s`;
            None for never.
        cut_for_s: For how long.
        boxes: How many boxes there are.
        plain: Endpoints of the plain service.
        engines: Endpoints of the engines' service.
        per_s: Requests a second.
        seconds: For how long requests are sent.
        seed: Decides the rest.
    """

    limit: str | None = "2"
    later: str | None = None
    later_s: float | None = None
    ends_s: float | None = None
    turns_away: bool = False
    tell_plain: int = 3
    tell_engines: int = 2
    from_s: float = 2.0
    routes: tuple[str, ...] = PLAIN_ROUTES + ENGINE_ROUTES
    at_one_box: float = 0.0
    gap_s: float = 0.0
    gap_from_s: float = 0.0
    burst_per_s: float = 360.0
    burst_s: float = 2.0
    joins_s: float | None = None
    cut_s: float | None = None
    cut_for_s: float = 3.0
    boxes: int = 6
    plain: int = 10
    engines: int = 5
    per_s: float = 120.0
    seconds: float = 16.0
    seed: int = 1


class LimitedReplica(replica.Replica):
    """A replica that names a limit in its answers."""

    def __init__(self, endpoint_id: str, fleet: "LimitedFleet") -> None:
        """Makes it; `start` brings it up."""
        super().__init__(endpoint_id)
        self._fleet = fleet
        self._taken: collections.deque[float] = collections.deque()
        self.limit: str | None = None
        self.turns_away = False

    async def _answer(
        self,
        request: replica.Received,
        behaviour: replica.Behaviour,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        if request.method == "POST":
            self._fleet.arrived(self, request)
            if self.turns_away and not self._has_room():
                behaviour = replica.Behaviour.REFUSE
        return await super()._answer(request, behaviour, reader, writer)

    def _has_room(self) -> bool:
        """Returns whether it takes one more request in this second."""
        now = time.monotonic()
        while self._taken and self._taken[0] < now - 1.0:
            self._taken.popleft()
        if self.limit is not None and len(self._taken) >= float(self.limit):
            return False
        self._taken.append(now)
        return True

    def _notices(
        self, request: replica.Received, status: int
    ) -> dict[str, str]:
        return {} if self.limit is None else {"Server-Limit": self.limit}


class LimitedFleet(trial_fleet.TrialFleet[LimitedReplica]):
    """Boxes, and endpoints of which some name a limit."""

    def __init__(self, trial: Trial) -> None:
        """Makes a fleet; `run` plays the trial.

        Args:
            trial: What is played.
        """
        super().__init__(trial.seed)
        self.trial = trial
        self.outcome = limit_outcome.Outcome()
        self._numbers = 0

    async def run(self, config: dict[str, Any]) -> limit_outcome.Outcome:
        """Plays the trial under a configuration; returns what was seen."""
        trial = self.trial
        services = trial_fleet.in_services(
            lambda name: LimitedReplica(name, self), trial.plain, trial.engines
        )
        try:
            await self.start(config, trial.boxes, services)
            for work in (self._name(), self._join(), self._cut()):
                self.spawn(work)
            await self._send_all()
            await self.settle()
        finally:
            await self.stop()
        return self.outcome

    def arrived(self, made: LimitedReplica, request: replica.Received) -> None:
        """Notes that a request reached a replica."""
        self.outcome.arrivals.append(
            limit_outcome.Arrival(
                request.target.rpartition("/")[2], made.id, time.monotonic()
            )
        )

    async def _send_all(self) -> None:
        trial = self.trial
        until = time.monotonic() + trial.seconds
        if trial.gap_s:
            before = time.monotonic() + trial.gap_from_s
            await self.send_steadily(trial.per_s, before, self._send_one)
            await asyncio.sleep(trial.gap_s)
            burst = time.monotonic() + trial.burst_s
            await self.send_steadily(trial.burst_per_s, burst, self._send_one)
        await self.send_steadily(trial.per_s, until, self._send_one)

    async def _name(self) -> None:
        trial = self.trial
        await asyncio.sleep(trial.from_s)
        chosen = self.busiest(
            (a.endpoint for a in self.outcome.arrivals),
            {
                trial_fleet.PLAIN: trial.tell_plain,
                trial_fleet.ENGINE: trial.tell_engines,
            },
        )
        for made in chosen:
            made.turns_away = trial.turns_away
        self._say(chosen, trial.limit)
        changes = [(trial.later_s, trial.later), (trial.ends_s, None)]
        began = time.monotonic()
        for after_s, limit in changes:
            if after_s is not None:
                await asyncio.sleep(began + after_s - time.monotonic())
                self._say(chosen, limit)

    def _say(self, chosen: list[LimitedReplica], limit: str | None) -> None:
        for made in chosen:
            made.limit = limit
            self.outcome.named[made.id].append(
                limit_outcome.Word(
                    time.monotonic(), None if limit is None else float(limit)
                )
            )

    async def _join(self) -> None:
        if self.trial.joins_s is None:
            return
        await asyncio.sleep(self.trial.joins_s)
        await self.boxes.add_box(f"box-{self.trial.boxes + 1}")

    async def _cut(self) -> None:
        """Breaks the links of one box again and again for a time."""
        if self.trial.cut_s is None:
            return
        await asyncio.sleep(self.trial.cut_s)
        until = time.monotonic() + self.trial.cut_for_s
        box = self.boxes.gateways[0]
        while time.monotonic() < until:
            for link in box.peers._all_links():
                link.close()
            await asyncio.sleep(0.02)

    async def _send_one(self) -> None:
        self._numbers += 1
        trial = self.trial
        number = self.draw.randrange(len(self.boxes.gateways))
        if self.draw.random() < trial.at_one_box:
            number = 0
        route = self.draw.choice(trial.routes)
        request_id = f"r{self._numbers}"
        sent_at = time.monotonic()
        try:
            head, body = await trial_fleet.send(
                self.boxes.addresses[number],
                f"/{route}/{number}",
                request_id,
                f"aa:100,{request_id}:400",
                request_id.encode(),
            )
        except errors.TransportError:
            self.outcome.statuses[0] += 1
            return
        self.outcome.statuses[head.status] += 1
        if head.get(b"server-limit") is not None:
            seal = (head.get(b"martenjunction-replica-seal") or b"").decode()
            key = (str(number), seal.removeprefix("seal-"))
            self.outcome.passed_on.setdefault(key, time.monotonic())
        if head.status == 503:
            told = head.get(b"retry-after")
            self.outcome.refusals.append(
                limit_outcome.Refusal(
                    body.decode(),
                    time.monotonic() - sent_at,
                    None if told is None else float(told),
                )
            )
