"""Box processes beside senders that come and go, with changes and signals.

A trial is drawn from a seed: senders of any form, changes of the
configuration, SIGHUP, suspended processes, a planned stop and a restart, all
overlapping, while clients with kept connections go on.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import functools
import random
import signal
from typing import Any

import psutil

from martenjunction_lab import box_processes
from martenjunction_lab import boxes
from martenjunction_lab import kept_clients
from martenjunction_lab import kept_tallies
from martenjunction_lab import replica
from martenjunction_lab.fast_senders import forms
from martenjunction_lab.fast_senders import processes

# Seconds in which troubles begin, and between two samples of the memory.
SECONDS = 6.0
SAMPLE_INTERVAL_S = 0.01

# Senders of one form at once, and the longest time for which they send.
MAX_SENDERS = 20
MAX_SENDING_S = 2.0

# How many of each kind of trouble are drawn.
SENDERS = 10
CHANGES = 6
HANG_UPS = 3
SUSPENSIONS = 4

# Seconds for which a process is suspended.
SUSPENDED_S = (0.05, 0.25)

CLIENTS_PER_BOX = 12
REST_S = 0.05
DEADLINE_MS = "4000"

# Cause in the log of a request whose time limit has passed.
_TIMED_OUT = "timed-out"


@dataclasses.dataclass
class Outcome:
    """What was seen in a trial.

    Attributes:
        tally: What became of the clients' requests.
        memory: Most resident memory of a box, in bytes.
        ended: Boxes whose process ended by itself.
        given_up: Ids of requests, all of which may be repeated, that a box had
            run again by its log.
        unanswered: Ids of requests whose connection a box closed under them.
    """

    tally: kept_tallies.Tally
    memory: int
    ended: list[str]
    given_up: frozenset[str]
    unanswered: frozenset[str]

    @property
    def faults(self) -> set[str]:
        """Ids of requests that were lost, broken off, doubled or denied.

        A request that ran twice is no fault if a box tells that it had it run
        again.
        """
        found = self.tally
        return {
            *found.lost,
            *found.broken,
            *found.false_promises,
            *(set(found.doubled) - self.given_up),
            *self.unanswered,
        }


class Box:
    """One box process, which may be started again."""

    def __init__(self, start: Callable[[], Awaitable[Any]]) -> None:
        """Initializes it; `restart` brings it up.

        Args:
            start: Starts a process, with the interface of the box processes of
                the tests.
        """
        self._start = start
        self._earlier: list[Any] = []
        self.process: Any = None
        self.is_stopping = False

    async def restart(self) -> None:
        """Starts the process and waits until it is ready."""
        if self.process is not None:
            self._earlier.append(self.process)
        self.process = await self._start()
        await self.process.until_ready()
        self.is_stopping = False

    async def stop_and_restart(self) -> None:
        """Stops it as planned, and starts it again."""
        if self.is_stopping:
            return
        self.is_stopping = True
        await self.stop()
        await self.restart()

    async def stop(self) -> None:
        """Stops it as planned."""
        self.process.signal(signal.SIGTERM)
        await self.process.until_ended()

    async def log(self) -> list[dict[str, Any]]:
        """Returns the log lines of all its processes, which have ended."""
        logs = [await made.log() for made in [*self._earlier, self.process]]
        return [line for log in logs for line in log]

    async def suspend(self, seconds: float) -> None:
        """Gives it no processor time for a while."""
        with self.process.suspended():
            await asyncio.sleep(seconds)

    def resident_bytes(self) -> int:
        """Returns its resident memory, or 0 if it does not run."""
        try:
            used: int = psutil.Process(self.process.process.pid).memory_info()[
                0
            ]
        except psutil.Error:
            return 0
        return used


def document(version: int, rng: random.Random) -> dict[str, Any]:
    """Returns a configuration whose limits, times and tenants are drawn."""
    made = processes.config_document()
    made["version"] = version
    made["limits"]["idle_timeout_ms"] = rng.choice([300, 2000, 15000])
    made["tenants"] += [
        {"name": f"t{number}", "api_keys": [f"k{number}"], "priority": 1}
        for number in range(rng.randrange(30))
    ]
    return made


class Soak:
    """A trial with running boxes."""

    def __init__(self, fleet: boxes.Boxes, made: list[Box], seed: int) -> None:
        """Initializes the trial.

        Args:
            fleet: The store and the replicas.
            made: The boxes, which are ready.
            seed: Draws what happens.
        """
        self._fleet = fleet
        self._boxes = made
        self._rng = random.Random(seed)
        self._seed = seed
        self._version = 7
        self._memory = 0

    async def play(self) -> Outcome:
        """Plays the trial and waits for all requests."""
        clients = [
            kept_clients.KeptClients(
                box.process.settings.callers, 100 * self._seed + n, _ask
            )
            for n, box in enumerate(self._boxes)
        ]
        traffic = [
            asyncio.create_task(made.run(CLIENTS_PER_BOX, REST_S))
            for made in clients
        ]
        sampling = asyncio.create_task(self._sample())
        await asyncio.gather(*self._draw())
        for made in clients:
            made.halt()
        await asyncio.gather(*traffic)
        sampling.cancel()
        records = [record for made in clients for record in made.records]
        ended = [
            box.process.settings.box
            for box in self._boxes
            if not box.process.running
        ]
        await asyncio.gather(*(box.stop() for box in self._boxes))
        return Outcome(
            kept_tallies.tally(records, self._fleet.replicas),
            self._memory,
            ended,
            await self._ids_told("id", _is_given_up),
            await self._ids_told("request", box_processes.tells_unanswered),
        )

    async def _ids_told(
        self, field: str, is_told: Callable[[dict[str, Any]], bool]
    ) -> frozenset[str]:
        """Returns the ids of requests that lines of the boxes' logs tell of."""
        logs = [await box.log() for box in self._boxes]
        return frozenset(
            str(line[field])
            for log in logs
            for line in log
            if field in line and is_told(line)
        )

    def _draw(self) -> list[Awaitable[None]]:
        rng = self._rng
        names = sorted(forms.FORMS)
        steps: list[Callable[[], Awaitable[None]]] = [
            functools.partial(self._send, rng.choice(names), number)
            for number in range(SENDERS)
        ]
        steps += [self._change] * CHANGES
        steps += [
            functools.partial(_hang_up, rng.choice(self._boxes))
            for _ in range(HANG_UPS)
        ]
        steps += [
            functools.partial(
                rng.choice(self._boxes).suspend, rng.uniform(*SUSPENDED_S)
            )
            for _ in range(SUSPENSIONS)
        ]
        steps.append(rng.choice(self._boxes).stop_and_restart)
        return [self._at(rng.uniform(0.0, SECONDS), step) for step in steps]

    async def _at(
        self, seconds: float, step: Callable[[], Awaitable[None]]
    ) -> None:
        await asyncio.sleep(seconds)
        await step()

    async def _send(self, form_name: str, number: int) -> None:
        form = forms.FORMS[form_name]
        box = self._rng.choice(self._boxes)
        count = self._rng.randint(1, MAX_SENDERS)
        playing = processes.SenderProcess(
            form, count, box.process.settings.callers
        )
        await playing.start()
        stand_in = replica.Replica(f"sender-{number}")
        stand_in.address = playing.address
        self._fleet.record(stand_in, processes.SENDER, slots=2 * count)
        await asyncio.sleep(0.2)
        playing.begin()
        await asyncio.sleep(self._rng.uniform(0.3, MAX_SENDING_S))
        await playing.stop()

    async def _change(self) -> None:
        self._version += 1
        self._fleet.configure(document(self._version, self._rng))

    async def _sample(self) -> None:
        while True:
            used = max(box.resident_bytes() for box in self._boxes)
            self._memory = max(self._memory, used)
            await asyncio.sleep(SAMPLE_INTERVAL_S)


def _is_given_up(line: dict[str, Any]) -> bool:
    """Returns whether a log line tells that the box had a request run again.

    It names only the last cause: where the request went on at another endpoint
    until its time limit, the box had given the first run up as well, since no
    endpoint of a trial breaks a run off.
    """
    moved = len(line.get("endpoints", ())) > 1
    return kept_tallies.tells_repeated(line) or (
        moved and line.get("why") == _TIMED_OUT
    )


async def _hang_up(box: Box) -> None:
    box.process.signal(signal.SIGHUP)


def _ask(request_id: str) -> kept_clients.Ask:
    return kept_clients.Ask(
        request_id,
        "/safe/x",
        {
            "Martenjunction-Attempt-Id": request_id,
            "Martenjunction-Deadline-Ms": DEADLINE_MS,
            "Authorization": f"Bearer {forms.KEY}",
            "Martenjunction-Model": "m",
            "Martenjunction-Token-Counts": "500,80",
            "Martenjunction-Prefix-Hash": "aa:100,bb:400",
        },
    )
