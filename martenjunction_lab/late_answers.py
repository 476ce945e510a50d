"""A box before replicas whose rejections come a second time, late.

A full replica rejects without naming the request. Some answers come again, byte
for byte, in the place where the next answer on the connection is due.
"""

import asyncio
import collections
import dataclasses
import time
from typing import Any
from typing import cast

from martenjunction import errors
from martenjunction.http1 import client
from martenjunction_lab import boxes
from martenjunction_lab import crowded_replica
from martenjunction_lab import replica
from martenjunction_lab import trial_fleet

# Statuses that tell a client that its request did not run.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


@dataclasses.dataclass(frozen=True)
class Trial:
    """What is played.

    Attributes:
        share: The part of the answers that come a second time.
        garbled_s: Seconds for which answers come twice.
        pause_s: Seconds between two such times.
        slots: Requests that a replica works on at once.
        queue: Requests that may wait at a replica.
        replicas: How many replicas there are; one gives answers twice.
        clients: Clients that each send one request after the other.
        rest_s: Longest time in seconds between two requests of a client.
        path: The path of the requests; the first part decides the route.
        seconds: For how long requests are sent.
        seed: Decides the rest.
    """

    share: float = 1 / 34
    garbled_s: float = 5.0
    pause_s: float = 3.0
    slots: int = 3
    queue: int = 1
    replicas: int = 2
    clients: int = 10
    rest_s: float = 0.03
    path: str = "/unsafe/x"
    seconds: float = 70.0
    seed: int = 1


@dataclasses.dataclass
class Outcome:
    """What was seen.

    Attributes:
        statuses: Numbers of answers by status; 0 for none.
        refused: Requests whose clients were told that they did not run.
        runs: How often each request ran.
        rejections: Requests that replicas rejected.
        doubled: Answers that came a second time.
        opened: Connections that the box opened to replicas.
    """

    statuses: collections.Counter[int] = dataclasses.field(
        default_factory=collections.Counter
    )
    refused: set[str] = dataclasses.field(default_factory=set)
    runs: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    rejections: int = 0
    doubled: int = 0
    opened: int = 0

    @property
    def refused_and_ran(self) -> list[str]:
        """The requests that ran although their clients were told otherwise."""
        return sorted(self.refused & set(self.runs))

    @property
    def twice(self) -> list[str]:
        """The requests that ran more than once."""
        return sorted(name for name, count in self.runs.items() if count > 1)


class _Copy:
    """A writer that keeps what is written."""

    def __init__(self, writer: asyncio.StreamWriter) -> None:
        """Makes a writer that keeps what it passes on to another."""
        self._writer = writer
        self.data = b""

    def write(self, data: bytes) -> None:
        """Writes data."""
        self.data += data
        self._writer.write(data)


class LateReplica(crowded_replica.CrowdedReplica):
    """A replica with little room that gives some answers twice.

    Attributes:
        share: The part of the answers that come a second time.
    """

    def __init__(self, endpoint_id: str, fleet: "LateFleet") -> None:
        """Makes it; `start` brings it up."""
        super().__init__(endpoint_id, fleet.trial.slots)
        self.share = 0.0
        self._fleet = fleet
        self._again: dict[asyncio.StreamWriter, bytes] = {}

    async def _answer(
        self,
        request: replica.Received,
        behaviour: replica.Behaviour,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        writer.write(self._again.pop(writer, b""))
        answer = _Copy(writer)
        goes_on = await super()._answer(
            request, behaviour, reader, cast(asyncio.StreamWriter, answer)
        )
        if request.method == "POST" and self._fleet.draw.random() < self.share:
            self._fleet.outcome.doubled += 1
            self._again[writer] = answer.data
        return goes_on

    def _places(self) -> int:
        return self._fleet.trial.queue

    def _note_rejection(self) -> None:
        self._fleet.outcome.rejections += 1


class LateFleet(trial_fleet.TrialFleet[LateReplica]):
    """A box before replicas of a plain service."""

    def __init__(self, trial: Trial) -> None:
        """Makes a fleet; `run` plays the trial.

        Args:
            trial: What is played.
        """
        super().__init__(trial.seed)
        self.trial = trial
        self.outcome = Outcome()
        self._sent = 0

    async def run(self, config: dict[str, Any]) -> Outcome:
        """Plays the trial under a configuration; returns what was seen."""
        trial = self.trial
        made = trial_fleet.in_services(
            lambda name: LateReplica(name, self), trial.replicas, 0
        )
        try:
            await self.start(config, 1, made)
            ends = time.monotonic() + trial.seconds
            self.spawn(self._garble(self.made[0], ends))
            for _ in range(trial.clients):
                self.spawn(self._send_steadily(ends))
            await self.settle()
            self.outcome.opened = self.boxes.gateways[0].pool.total_opened
        finally:
            await self.stop()
        for one in self.made:
            self.outcome.runs.update(one.runs)
        return self.outcome

    def record(self, one: LateReplica, slots: int | None = None) -> None:
        """Writes the entry of a replica's next start."""
        super().record(one, self.trial.slots)

    async def _garble(self, one: LateReplica, ends: float) -> None:
        while time.monotonic() < ends:
            one.share = self.trial.share
            await asyncio.sleep(self.trial.garbled_s)
            one.share = 0.0
            await asyncio.sleep(self.trial.pause_s)

    async def _send_steadily(self, ends: float) -> None:
        """Sends one request after the other on a kept connection."""
        while time.monotonic() < ends:
            kept = client.ClientConnection(self.boxes.addresses[0])
            try:
                await kept.open(1.0)
                while time.monotonic() < ends and kept.is_reusable():
                    await self._send_one(kept)
                    await asyncio.sleep(
                        self.draw.uniform(0.0, self.trial.rest_s)
                    )
            except errors.TransportError:
                self.outcome.statuses[0] += 1
            finally:
                kept.abort()

    async def _send_one(self, kept: client.ClientConnection) -> None:
        self._sent += 1
        request_id = f"r{self._sent}"
        head, _ = await boxes.call_on(
            kept,
            "POST",
            self.trial.path,
            trial_fleet.plain_headers(request_id),
            b"order",
        )
        self.outcome.statuses[head.status] += 1
        if head.status in NOT_RUN_STATUSES:
            self.outcome.refused.add(request_id)
