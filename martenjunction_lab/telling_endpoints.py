"""A fleet before endpoints that say in answers that they leave or want rest.

It counts what reaches them afterwards, and what becomes of all requests.
"""

import asyncio
import collections
import dataclasses
import enum
import random
import time
from typing import Any

from martenjunction import errors
from martenjunction.http1 import messages
from martenjunction_lab import boxes
from martenjunction_lab import replica

# Seconds that a plain request takes at its endpoint.
WORK_S = 0.03

# Seconds after the first word of an endpoint that leaves for all boxes to know.
KNOWN_WITHIN_S = 1.0

# Seconds after which a time of rest counts, and requests that it bears.
REST_GRACE_S = 0.5
MOST_IN_REST = 2

# Header in which an endpoint that leaves names its start.
_START = "X-Start"

PLAIN = "plain-service"
ENGINE = "engine-service"

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
    boxes: int = 6
    plain: int = 10
    engines: int = 5
    per_s: float = 120.0
    seconds: float = 12.0
    seed: int = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """A request that reached an endpoint.

    Attributes:
        box: The box that sent it.
        endpoint: Name and start of the endpoint.
        sent_at: When its client sent it, steady clock.
        at: When it arrived.
    """

    box: str
    endpoint: tuple[str, int]
    sent_at: float
    at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """An answer that asked for rest.

    Attributes:
        box: The box that got it.
        endpoint: Name and start of the endpoint that gave it.
        at: When, steady clock.
        rest_s: Seconds that it asked for.
    """

    box: str
    endpoint: tuple[str, int]
    at: float
    rest_s: float


@dataclasses.dataclass
class Outcome:
    """What was seen.

    Attributes:
        arrivals: Requests that reached endpoints.
        words: When a client first got an answer of each endpoint from each
            box that says that the endpoint leaves.
        refusals: Answers that asked for rest.
        returns: When endpoints came back, by name and start.
        barred: Boxes and endpoints that came back, which get no work from
            there at the end.
        statuses: What clients got; 0 for none.
        codes: What they were told with a 503.
        refused_s: Seconds until clients got a 503.
        back_in_s: What these were told as the time to come back.
    """

    arrivals: list[Arrival] = dataclasses.field(default_factory=list)
    words: dict[tuple[str, tuple[str, int]], float] = dataclasses.field(
        default_factory=dict
    )
    refusals: list[Refusal] = dataclasses.field(default_factory=list)
    returns: dict[tuple[str, int], float] = dataclasses.field(
        default_factory=dict
    )
    barred: int = 0
    statuses: collections.Counter[int] = dataclasses.field(
        default_factory=collections.Counter
    )
    codes: collections.Counter[bytes] = dataclasses.field(
        default_factory=collections.Counter
    )
    refused_s: list[float] = dataclasses.field(default_factory=list)
    back_in_s: list[float] = dataclasses.field(default_factory=list)

    @property
    def sent(self) -> int:
        """Requests that clients sent."""
        return self.statuses.total()

    @property
    def served(self) -> int:
        """Requests that were served."""
        return self.statuses[200]

    @property
    def late_from_told(self) -> int:
        """Arrivals from boxes that had passed on that an endpoint leaves.

        Counted are requests that their clients sent after that.
        """
        return sum(
            a.sent_at > self.words.get((a.box, a.endpoint), a.at)
            for a in self.arrivals
        )

    @property
    def late_from_any(self) -> int:
        """Arrivals from any box after all should know."""
        first: dict[tuple[str, int], float] = {}
        for (_, endpoint), at in self.words.items():
            first[endpoint] = min(at, first.get(endpoint, at))
        return sum(
            a.sent_at > first.get(a.endpoint, a.at) + KNOWN_WITHIN_S
            for a in self.arrivals
        )

    @property
    def in_rest(self) -> list[int]:
        """Requests in each time of rest after its first half second."""
        times = collections.defaultdict(list)
        for arrival in self.arrivals:
            times[arrival.box, arrival.endpoint].append(arrival.at)
        return [
            sum(
                r.at + REST_GRACE_S < at < r.at + r.rest_s
                for at in times[r.box, r.endpoint]
            )
            for r in self.refusals
        ]

    @property
    def broken(self) -> int:
        """Times of rest in which more came than is borne."""
        return sum(count > MOST_IN_REST for count in self.in_rest)

    def work_of_returned(self, names: list[str]) -> list[int]:
        """Returns the requests that each endpoint that came back has got.

        Args:
            names: Names of the endpoints that are looked at.
        """
        since = max(self.returns.values(), default=0.0)
        counts = collections.Counter(
            a.endpoint for a in self.arrivals if a.at > since
        )
        return [counts[e] for e in self.returns if e[0] in names]


class TellingReplica(replica.Replica):
    """A replica that says in its answers that it leaves or wants rest."""

    def __init__(self, endpoint_id: str, fleet: "TellingFleet") -> None:
        """Makes it; `start` brings it up."""
        super().__init__(endpoint_id)
        self._fleet = fleet
        self.starts = 1
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
            return {"Server-Leaving": "1", _START: str(self.starts)}
        if status != 503:
            return {}
        return {"Retry-After": self._fleet.told_rest(self, request)}


class TellingFleet:
    """Boxes, and endpoints of which some say something of themselves."""

    def __init__(self, trial: Trial) -> None:
        """Makes a fleet; `run` plays the trial.

        Args:
            trial: What is played.
        """
        self.trial = trial
        self.outcome = Outcome()
        self.draw = random.Random(trial.seed)
        self._fleet = boxes.Boxes()
        self._services: dict[str, str] = {}
        self._tasks: set[asyncio.Task[Any]] = set()
        self._numbers = 0

    def names(self, service: str) -> list[str]:
        """Returns the names of a service's endpoints."""
        return [n for n, s in self._services.items() if s == service]

    async def run(self, config: dict[str, Any]) -> Outcome:
        """Plays the trial under a configuration; returns what was seen."""
        await self._fleet.start(config, self.trial.boxes)
        try:
            await self._add_replicas()
            await boxes.until(self._all_listed)
            until = time.monotonic() + self.trial.seconds
            self._spawn(self._tell())
            await self._send_all(until)
            while self._tasks:
                await asyncio.wait(self._tasks)
            self.outcome.barred = sum(
                not box.book.accepts(endpoint, time.monotonic())
                for box in self._fleet.gateways
                for endpoint in self._ids_of_returned()
            )
        finally:
            await self._fleet.stop()
        return self.outcome

    # What the replicas say they saw and said.

    def arrived(self, made: TellingReplica, request: replica.Received) -> None:
        """Notes that a request reached a replica."""
        sent_at = float(request.body.split()[0])
        self.outcome.arrivals.append(
            Arrival(_box_of(request), _start(made), sent_at, time.monotonic())
        )

    def told_rest(self, made: TellingReplica, request: replica.Received) -> str:
        """Notes that a replica asks the box of a request for rest."""
        rest_s = self.trial.rest_s
        if request.method == "POST":
            self.outcome.refusals.append(
                Refusal(
                    _box_of(request), _start(made), time.monotonic(), rest_s
                )
            )
        return f"{rest_s:g}"

    # What is played.

    async def _add_replicas(self) -> None:
        kinds = [PLAIN] * self.trial.plain + [ENGINE] * self.trial.engines
        for number, service in enumerate(kinds, 1):
            made = TellingReplica(f"i-{number}", self)
            made.queue_s = WORK_S
            await made.start()
            self._fleet.replicas.append(made)
            self._services[made.id] = service
            self._record(made)

    def _all_listed(self) -> bool:
        return all(
            box.dump()["ready"] and box.listed.names >= set(self._services)
            for box in self._fleet.gateways
        )

    def _record(self, made: TellingReplica) -> None:
        service = self._services[made.id]
        self._fleet.record(
            made,
            service,
            slots=64 if service == ENGINE else 6,
            born=made.starts,
        )

    def _ids_of_returned(self) -> list[str]:
        return [f"{name}/{start}" for name, start in self.outcome.returns]

    def _chosen(self) -> list[TellingReplica]:
        """Returns the busiest endpoints, as many as are to say something."""
        busy = collections.Counter(a.endpoint[0] for a in self.outcome.arrivals)
        chosen: list[TellingReplica] = []
        for service, count in (
            (PLAIN, self.trial.tell_plain),
            (ENGINE, self.trial.tell_engines),
        ):
            made = [
                r
                for r in self._fleet.replicas
                if isinstance(r, TellingReplica)
                and self._services[r.id] == service
            ]
            made.sort(key=lambda r: -busy[r.id])
            chosen += made[:count]
        return chosen

    async def _tell(self) -> None:
        trial = self.trial
        await asyncio.sleep(trial.from_s)
        chosen = self._chosen()
        rests = trial.word is Word.REST
        for made in chosen:
            made.word = trial.word
            made.refuses = trial.refusing if rests else 0.0
        if trial.word is Word.LEAVING_THEN_REFUSING:
            await asyncio.sleep(trial.refuse_after_s)
            for made in chosen:
                made.refuses = 1.0
        left_s = trial.seconds - trial.from_s
        if rests and trial.for_s < left_s:
            await asyncio.sleep(trial.for_s)
            for made in chosen:
                made.word, made.refuses = None, 0.0
                ends = [r.at + r.rest_s for r in self.outcome.refusals]
                self.outcome.returns[_start(made)] = max(ends, default=0.0)
        elif trial.back_at_s is not None:
            await asyncio.sleep(trial.back_at_s - trial.from_s)
            for made in chosen:
                await self._start_again(made)

    async def _start_again(self, made: TellingReplica) -> None:
        await made.stop()
        made.word, made.refuses = None, 0.0
        made.starts += 1
        await made.start_again()
        self._record(made)
        self.outcome.returns[_start(made)] = time.monotonic()

    async def _send_all(self, until: float) -> None:
        pause_s = 1.0 / self.trial.per_s
        due = time.monotonic()
        while due < until:
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            self._spawn(self._send_one())
            due += self.draw.uniform(0.5, 1.5) * pause_s

    async def _send_one(self) -> None:
        self._numbers += 1
        number = self._numbers
        route = self.draw.choice(self.trial.routes)
        status, back_in_s = await self._send(route, f"r{number}")
        if status == 503 and self.trial.comes_back and back_in_s is not None:
            await asyncio.sleep(back_in_s)
            status, _ = await self._send(route, f"r{number}-again")
        self.outcome.statuses[status] += 1

    async def _send(
        self, route: str, request_id: str
    ) -> tuple[int, float | None]:
        """Sends a request to a drawn box.

        Returns:
            The status, and after how many seconds it should come back.
        """
        number = self.draw.randrange(len(self._fleet.gateways))
        sent_at = time.monotonic()
        try:
            head, body = await boxes.call(
                self._fleet.addresses[number],
                "POST",
                f"/{route}/{number}",
                {
                    "Martenjunction-Attempt-Id": request_id,
                    "Martenjunction-Deadline-Ms": "1500",
                    "Authorization": "Bearer key-of-one",
                    "Martenjunction-Token-Counts": "500,80",
                    "Martenjunction-Prefix-Hash": f"aa:100,{request_id}:400",
                },
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

    def _spawn(self, work: Any) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _box_of(request: replica.Received) -> str:
    """Returns the box that sent a request, from the request's path."""
    return request.target.rpartition("/")[2]


def _start(made: TellingReplica) -> tuple[str, int]:
    return made.id, made.starts
