"""A fleet before endpoints that say in answers that they leave or want rest.

It counts what reaches them afterwards, and what becomes of all requests.
"""

import asyncio
import dataclasses
import enum
import time
from typing import Any

from martenjunction import errors
from martenjunction.http1 import messages
from martenjunction_lab import replica
from martenjunction_lab import telling_outcome
from martenjunction_lab import trial_fleet

# Header in which an endpoint that leaves names its start.
_START = "X-Start"

# Routes by the service that they go to.
PLAIN_ROUTES = ("safe", "unsafe")
ENGINE_ROUTES = ("digest", "chat")


class Word(enum.Enum):
    """What endpoints say."""

    LEAVING = "leaving"
    LEAVING_THEN_REFUSING = "leaving-then-refusing"
    REST = "rest"


@dataclasses.dataclass(frozen=True)
class Trial:
    """What is played.

    Attributes:
        word: What some endpoints say.
        tell_plain: How many plain endpoints say it.
        tell_engines: How many engines say it.
        from_s: Seconds after the begin from which on they say it.
        for_s: For how long they ask for rest.
        refuse_after_s: Seconds after which one that leaves refuses.
        back_at_s: When those that leave start again under their names;
            None for never.
        rest_s: Seconds of rest that are asked for.
        refusing: Part of its requests that an endpoint then turns away.
        routes: Routes of the requests.
        comes_back: Whether a client sends a refused request once more, when
            it was told to.
        repeats: Requests that may be offered again in 10 s, besides a part of
            all, over all boxes.
        boxes: How many boxes there are.
        plain: Endpoints of the plain service.
        engines: Endpoints of the engines' service.
        per_s: Requests a second.
        seconds: For how long requests are sent.
        seed: Decides the rest.
    """

    word: Word = Word.LEAVING
    tell_plain: int = 3
    tell_engines: int = 2
    from_s: float = 2.0
    for_s: float = 60.0
    refuse_after_s: float = 0.5
    back_at_s: float | None = None
    rest_s: float = 3.0
    refusing: float = 0.5
    routes: tuple[str, ...] = PLAIN_ROUTES + ENGINE_ROUTES
    comes_back: bool = False
    repeats: float = 52.0
    boxes: int = 6
    plain: int = 10
    engines: int = 5
    per_s: float = 120.0
    seconds: float = 12.0
    seed: int = 1


class TellingReplica(replica.Replica):
    """A replica that says in its answers that it leaves or wants rest."""

    def __init__(self, endpoint_id: str, fleet: "TellingFleet") -> None:
        """Makes it; `start` brings it up."""
        super().__init__(endpoint_id)
        self._fleet = fleet
        self.word: Word | None = None
        self.refuses = 0.0

    async def _answer(
        self,
        request: replica.Received,
        behaviour: replica.Behaviour,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        if request.method == "POST":
            self._fleet.arrived(self, request)
            if self._fleet.draw.random() < self.refuses:
                behaviour = replica.Behaviour.REFUSE
        return await super()._answer(request, behaviour, reader, writer)

    def _notices(
        self, request: replica.Received, status: int
    ) -> dict[str, str]:
        if self.word is None:
            return {}
        if self.word is not Word.REST:
            start = self._fleet.start_of(self)
            return {"Server-Leaving": "1", _START: str(start)}
        if status != 503:
            return {}
        return {"Retry-After": self._fleet.told_rest(self, request)}


class TellingFleet(trial_fleet.TrialFleet[TellingReplica]):
    """Boxes, and endpoints of which some say something of themselves."""

    def __init__(self, trial: Trial) -> None:
        """Makes a fleet; `run` plays the trial.

        Args:
            trial: What is played.
        """
        super().__init__(trial.seed)
        self.trial = trial
        self.outcome = telling_outcome.Outcome()
        self._numbers = 0

    async def run(self, config: dict[str, Any]) -> telling_outcome.Outcome:
        """Plays the trial under a configuration; returns what was seen."""
        trial = self.trial
        services = trial_fleet.in_services(
            lambda name: TellingReplica(name, self), trial.plain, trial.engines
        )
        try:
            await self.start(
                config,
                trial.boxes,
                services,
                retry_allowance=trial.repeats,
            )
            until = time.monotonic() + trial.seconds
            self.spawn(self._tell())
            await self.send_steadily(trial.per_s, until, self._send_one)
            await self.settle()
            self.outcome.barred = sum(
                not box.registry.health.accepts(
                    f"{name}/{start}", time.monotonic()
                )
                for box in self.boxes.gateways
                for name, start in self.outcome.returns
            )
        finally:
            await self.stop()
        return self.outcome

    # What the replicas say they saw and said.

    def arrived(self, made: TellingReplica, request: replica.Received) -> None:
        """Notes that a request reached a replica."""
        sent_at = float(request.body.split()[0])
        self.outcome.arrivals.append(
            telling_outcome.Arrival(
                _box_of(request), self._key(made), sent_at, time.monotonic()
            )
        )

    def told_rest(self, made: TellingReplica, request: replica.Received) -> str:
        """Notes that a replica asks the box of a request for rest."""
        rest_s = self.trial.rest_s
        if request.method == "POST":
            self.outcome.refusals.append(
                telling_outcome.Refusal(
                    _box_of(request), self._key(made), time.monotonic(), rest_s
                )
            )
        return f"{rest_s:g}"

    def _key(self, made: TellingReplica) -> tuple[str, int]:
        return made.id, self.start_of(made)

    # What is played.

    async def _tell(self) -> None:
        trial = self.trial
        await asyncio.sleep(trial.from_s)
        chosen = self.busiest(
            (a.endpoint[0] for a in self.outcome.arrivals),
            {
                trial_fleet.PLAIN: trial.tell_plain,
                trial_fleet.ENGINE: trial.tell_engines,
            },
        )
        for made in chosen:
            made.word = trial.word
        if trial.word is Word.REST:
            await self._rest(chosen)
            return
        if trial.word is Word.LEAVING_THEN_REFUSING:
            await asyncio.sleep(trial.refuse_after_s)
            for made in chosen:
                made.refuses = 1.0
        if trial.back_at_s is not None:
            await asyncio.sleep(trial.back_at_s - trial.from_s)
            for made in chosen:
                await made.stop()
                made.word, made.refuses = None, 0.0
                await self.start_again(made)
                self.outcome.returns[self._key(made)] = time.monotonic()

    async def _rest(self, chosen: list[TellingReplica]) -> None:
        trial = self.trial
        for made in chosen:
            made.refuses = trial.refusing
        if trial.for_s >= trial.seconds - trial.from_s:
            return
        await asyncio.sleep(trial.for_s)
        ends = [r.at + r.rest_s for r in self.outcome.refusals]
        for made in chosen:
            made.word, made.refuses = None, 0.0
            self.outcome.returns[self._key(made)] = max(ends, default=0.0)

    async def _send_one(self) -> None:
        self._numbers += 1
        request_id = f"r{self._numbers}"
        route = self.draw.choice(self.trial.routes)
        status, back_in_s = await self._send(route, request_id)
        if status == 503 and self.trial.comes_back and back_in_s is not None:
            await asyncio.sleep(back_in_s)
            status, _ = await self._send(route, f"{request_id}-again")
        self.outcome.statuses[status] += 1

    async def _send(
        self, route: str, request_id: str
    ) -> tuple[int, float | None]:
        """Sends a request to a drawn box.

        Returns:
            The status, and after how many seconds it should come back.
        """
        number = self.draw.randrange(len(self.boxes.gateways))
        sent_at = time.monotonic()
        try:
            head, body = await trial_fleet.send(
                self.boxes.addresses[number],
                f"/{route}/{number}",
                request_id,
                f"aa:100,{request_id}:400",
                f"{sent_at} {request_id}".encode(),
            )
        except errors.TransportError:
            return 0, None
        if head.get(b"server-leaving") is not None:
            self._note_leaving(str(number), head)
        told = head.get(b"retry-after")
        back_in_s = None if told is None else float(told)
        if head.status == 503:
            self.outcome.codes[body] += 1
            self.outcome.refused_s.append(time.monotonic() - sent_at)
            self.outcome.back_in_s.append(back_in_s or 0.0)
        return head.status, back_in_s

    def _note_leaving(self, box: str, head: messages.ResponseHead) -> None:
        seal = (head.get(b"martenjunction-replica-seal") or b"").decode()
        start = int(head.get(_START.lower().encode()) or b"0")
        key = (box, (seal.removeprefix("seal-"), start))
        self.outcome.words.setdefault(key, time.monotonic())


def _box_of(request: replica.Received) -> str:
    """Returns the box that sent a request, from the request's path."""
    return request.target.rpartition("/")[2]
