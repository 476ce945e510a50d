"""Plays connections that fall silent for good beside boxes that are held up.

`python -m tests.silent_connections FIRST LAST` plays seeds by hand and prints a
row for each kind of request.
"""

import argparse
import asyncio
import collections
from collections.abc import Iterable
from collections.abc import Sequence
import contextlib
import dataclasses
import json
import pathlib
import random
import tempfile

from martenjunction.platform import box_settings
from martenjunction_lab import bench
from martenjunction_lab import boxes
from martenjunction_lab import kept_clients
from martenjunction_lab import kept_tallies
from martenjunction_lab import replica
from martenjunction_lab import silent_links
from tests import box_processes
from tests import gateway_requests as requests
from tests import routing_builders as builders

BOXES = 2
PLAY_S = 8.0

# Clients of each box on sound connections, and on ones that fall silent, and
# the longest rest between two requests of theirs.
CLIENTS = 12
FADING_CLIENTS = 4
REST_S = 0.15

# Seconds that a request leaves for its answer, and after which its end counts
# as late: a suspended box may read it late, and end it late again.
DEADLINE_S = 1.5
LATE_S = DEADLINE_S + 1.0

# Seconds after which a client gives a silent connection up.
PATIENCE_S = 2.0

# Seconds for which requests queue at a replica.
QUEUE_S = 0.02

# Seconds between two connections that fall silent.
SILENCE_INTERVALS_S = (0.1, 0.4)

# Seconds for which a box is suspended, and between two such times.
SUSPENSIONS_S = (0.06, 0.15)
SUSPENSION_INTERVALS_S = (0.1, 0.5)

# Seconds after which what boxes sent has been read.
SETTLE_S = 0.3

PATHS = ("/safe/x", "/unsafe/x", "/open/x", "/chat/x", "/digest/x")
REPEATABLE = ("/safe/", "/open/")


def ask(request_id: str, path: str) -> kept_clients.Ask:
    """Returns a request with the play's deadline."""
    headers = requests.request_headers(
        request_id, **{"Martenjunction-Deadline-Ms": str(int(DEADLINE_S * 1e3))}
    )
    return kept_clients.Ask(request_id, path, headers)


@dataclasses.dataclass(frozen=True)
class Found:
    """What a play found.

    Attributes:
        tally: What became of the requests on sound connections.
        records: These requests.
        caught: Ids of requests that, or whose answers, a silent connection to
            an endpoint did not pass on.
        doubled_unsafe: Ids that may run once and ran more often, whatever
            connection they came on.
        found_after_s: Seconds from the first request into a silent connection
            to an endpoint, until its box ended it.
        resting: Silent connections to endpoints that their boxes had not
            ended by the end of the play.
        reused: Silent connections that were given more than one request.
        ledger: Counts of the boxes' ledgers.
    """

    tally: kept_tallies.Tally
    records: list[kept_clients.Record]
    caught: set[str]
    doubled_unsafe: list[str]
    found_after_s: list[float]
    resting: int
    reused: int
    ledger: collections.Counter[str]

    @property
    def late(self) -> list[str]:
        """Requests whose end came too long after their deadline."""
        return [
            record.ask.id
            for record in self.records
            if record.ended_at - record.sent_at > LATE_S
        ]

    @property
    def unaccounted(self) -> int:
        """Requests that ended with no answer, or not at all, by the ledgers."""
        return sum(self.ledger[name] for name in _UNACCOUNTED)

    @property
    def failed_unharmed(self) -> list[str]:
        """Requests that no silent connection caught and that got no success."""
        return [
            f"{record.ask.id} {record.ask.target} {record.status}"
            for record in self.records
            if record.fate is not kept_clients.Fate.ANSWERED
            and record.ask.id not in self.caught
        ]

    @property
    def caught_repeatable(self) -> list[kept_clients.Record]:
        """Requests that were caught and may run more than once."""
        return [
            record
            for record in self.records
            if record.ask.id in self.caught
            and record.ask.target.startswith(REPEATABLE)
        ]

    @property
    def unmoved(self) -> list[str]:
        """Repeatable requests that were caught and got no success."""
        return [
            record.ask.id
            for record in self.caught_repeatable
            if record.fate is not kept_clients.Fate.ANSWERED
        ]


class Play:
    """Boxes as processes, between links whose connections fall silent."""

    def __init__(self, seed: int, folder: pathlib.Path) -> None:
        self._fleet = boxes.Boxes()
        self._folder = folder
        self._seed = seed
        self._rng = random.Random(seed)
        self._ends = asyncio.Event()
        self._boxes: list[box_processes.Box] = []
        self._endpoint_links: list[silent_links.SilentLink] = []
        self._client_links: list[silent_links.SilentLink] = []
        self._sound: list[kept_clients.KeptClients] = []
        self._fading: list[asyncio.Task[None]] = []
        self._fading_asks: list[kept_clients.Ask] = []

    async def run(self, held_up: bool = True, play_s: float = PLAY_S) -> Found:
        """Plays; returns what became of all requests."""
        try:
            await self._start()
            await self._play(held_up, play_s)
            return await self._found()
        finally:
            await self._stop()

    async def _start(self) -> None:
        await self._fleet.start(builders.config_document(), boxes=0)
        for service, slots in ((builders.PLAIN, 6), (builders.ENGINE, 64)):
            for _ in range(3):
                await self._add_replica(service, slots)
        for number in range(BOXES):
            settings = box_processes.settings_of(self._fleet, f"box-{number}")
            box = await box_processes.start(self._folder, settings)
            self._boxes.append(box)
            link = await self._link(settings.callers)
            self._client_links.append(link[0])
            self._add_clients(number, settings.callers, link[1])
        for box in self._boxes:
            await box.until_ready()

    async def _add_replica(self, service: str, slots: int) -> None:
        made = replica.Replica(f"i-{len(self._fleet.replicas) + 1}")
        made.queue_s = QUEUE_S
        await made.start()
        self._fleet.replicas.append(made)
        link, address = await self._link(made.address)
        self._endpoint_links.append(link)
        self._fleet.record(made, service, slots=slots, address=address)

    async def _link(self, target: str) -> tuple[silent_links.SilentLink, str]:
        address = bench.free_address()
        link = silent_links.SilentLink(address, target)
        await link.start()
        return link, address

    def _add_clients(self, number: int, direct: str, linked: str) -> None:
        seed = 1000 * self._seed + number
        rng = random.Random(seed)
        self._sound.append(
            kept_clients.KeptClients(
                direct, seed, lambda its: ask(its, rng.choice(PATHS))
            )
        )
        for each in range(FADING_CLIENTS):
            name = f"f{number}-{each}"
            self._fading.append(
                asyncio.create_task(self._run_fading(name, linked))
            )

    async def _run_fading(self, name: str, address: str) -> None:
        """Sends on connections that fall silent, and gives those up."""
        rng = random.Random(f"{self._seed}-{name}")
        connection: kept_clients.KeptConnection | None = None
        sent = 0
        while not self._ends.is_set():
            await asyncio.sleep(rng.uniform(0.0, REST_S))
            with contextlib.suppress(OSError):
                if connection is None or connection.ended:
                    connection = await kept_clients.KeptConnection.open(address)
                sent += 1
                made = ask(f"{name}-{sent}", rng.choice(PATHS))
                self._fading_asks.append(made)
                connection.send(made)
                try:
                    async with asyncio.timeout(PATIENCE_S):
                        record = await connection.receive()
                except TimeoutError:
                    connection.close()
                    connection = None
                    continue
                if record.fate in _CUT:
                    connection = None

    async def _play(self, held_up: bool, play_s: float) -> None:
        traffic = [
            asyncio.create_task(clients.run(CLIENTS, REST_S))
            for clients in self._sound
        ]
        troubles = [
            asyncio.create_task(self._silence(links))
            for links in (self._endpoint_links, self._client_links)
        ]
        if held_up:
            troubles += [
                asyncio.create_task(self._suspend(box)) for box in self._boxes
            ]
        await asyncio.sleep(play_s)
        self._ends.set()
        for clients in self._sound:
            clients.halt()
        await asyncio.gather(*traffic, *troubles, *self._fading)
        await asyncio.sleep(SETTLE_S)

    async def _silence(self, links: list[silent_links.SilentLink]) -> None:
        while not self._ends.is_set():
            await asyncio.sleep(self._rng.uniform(*SILENCE_INTERVALS_S))
            usable = [
                passage
                for link in links
                for passage in link.passages
                if passage.usable
            ]
            if usable:
                self._rng.choice(usable).silence()

    async def _suspend(self, box: box_processes.Box) -> None:
        while not self._ends.is_set():
            with box.suspended():
                await asyncio.sleep(self._rng.uniform(*SUSPENSIONS_S))
            await asyncio.sleep(self._rng.uniform(*SUSPENSION_INTERVALS_S))

    async def _found(self) -> Found:
        records = [rec for made in self._sound for rec in made.records]
        silent = [
            passage
            for link in self._endpoint_links
            for passage in link.passages
            if passage.silent_since is not None
        ]
        caught = {its for passage in silent for its in passage.caught}
        unsafe = [
            made.id
            for made in [*(rec.ask for rec in records), *self._fading_asks]
            if not made.target.startswith((*REPEATABLE, "/digest/"))
        ]
        return Found(
            kept_tallies.tally(records, self._fleet.replicas),
            records,
            caught,
            [its for its in unsafe if self._runs(its) > 1],
            [
                passage.ended_at - passage.swallowed[0][0]
                for passage in silent
                if passage.swallowed and passage.ended_at is not None
            ],
            sum(passage.ended_at is None for passage in silent),
            sum(len(passage.swallowed) > 1 for passage in silent),
            await self._ledger(),
        )

    def _runs(self, request_id: str) -> int:
        return sum(made.runs[request_id] for made in self._fleet.replicas)

    async def _ledger(self) -> collections.Counter[str]:
        counts: collections.Counter[str] = collections.Counter()
        for box in self._boxes:
            address = f"{box.settings.ip}:{box_settings.METRICS_PORT}"
            _, body = await boxes.call(address, "GET", "/metrics")
            for line in body.decode().splitlines():
                if "client_requests" in line and not line.startswith("#"):
                    name, _, value = line.rpartition(" ")
                    counts[name] += int(float(value))
        return counts

    async def _stop(self) -> None:
        self._ends.set()
        for task in self._fading:
            task.cancel()
        await asyncio.gather(*self._fading, return_exceptions=True)
        for clients in self._sound:
            clients.close()
        for link in [*self._endpoint_links, *self._client_links]:
            await link.stop()
        for box in self._boxes:
            await box.discard()
        await self._fleet.stop()


_UNACCOUNTED = tuple(
    f"martenjunction_client_requests_{name}"
    for name in ("open", "ended_twice", "given_up", "unanswered")
)

_CUT = (kept_clients.Fate.CLOSED, kept_clients.Fate.BROKEN)


def _row(records: Iterable[kept_clients.Record], prefix: str) -> str:
    ends: collections.Counter[str] = collections.Counter()
    longest_s = 0.0
    for record in records:
        if record.ask.target.startswith(prefix):
            status = "" if record.status is None else f" {record.status}"
            ends[f"{record.fate}{status}"] += 1
            longest_s = max(longest_s, record.ended_at - record.sent_at)
    return f"{dict(ends)} longest {longest_s:.2f} s"


async def _table(seeds: Sequence[int], held_up: bool) -> None:
    for seed in seeds:
        with tempfile.TemporaryDirectory() as folder:
            found = await Play(seed, pathlib.Path(folder)).run(held_up)
        times = sorted(found.found_after_s)
        print(
            json.dumps(
                {
                    "seed": seed,
                    "held_up": held_up,
                    "tally": str(found.tally),
                    "unharmed_failed": found.failed_unharmed,
                    "unmoved": found.unmoved,
                    "late": found.late,
                    "doubled_unsafe": found.doubled_unsafe,
                    "found_after_s": [round(each, 2) for each in times],
                    "resting": found.resting,
                    "reused": found.reused,
                    "ledger": found.ledger,
                    **{
                        f"{name} {prefix}": _row(
                            [
                                rec
                                for rec in found.records
                                if (rec.ask.id in found.caught) is caught
                            ],
                            prefix,
                        )
                        for name, caught in (("caught", True), ("other", False))
                        for prefix in PATHS
                    },
                }
            ),
            flush=True,
        )


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("first", type=int)
    parser.add_argument("last", type=int)
    parser.add_argument("--held-up", action="store_true")
    parsed = parser.parse_args()
    asyncio.run(_table(range(parsed.first, parsed.last + 1), parsed.held_up))
