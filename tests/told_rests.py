"""Plays changes of the idle time beside clients that rest between requests.

`python -m tests.told_rests FIRST LAST` plays seeds by hand, with boxes that are
also suspended, reloaded, stopped and restarted, and prints a row for each.
"""

import argparse
import asyncio
from collections.abc import Sequence
import contextlib
import pathlib
import random
import signal
import tempfile

from martenjunction_lab import bench
from martenjunction_lab import boxes
from martenjunction_lab import delayed_links
from martenjunction_lab import kept_clients
from martenjunction_lab import kept_tallies
from tests import box_processes
from tests import gateway_requests as requests
from tests import routing_builders as builders

BOXES = 2
CLIENTS = 40

# Seconds that a link takes each way.
ONE_WAY_S = 0.02

# Idle times that the configuration changes between, and seconds between.
IDLE_TIMES_S = (1.0, 5.0)
CHANGE_INTERVAL_S = 1.3
CHANGES = 6

# Seconds for which a client rests, less than four fifths of the longer time.
RESTS_S = (0.9, 1.1)

# Seconds for which a box is suspended, and between two such times.
SUSPENSIONS_S = (0.02, 0.25)
SUSPENSION_INTERVALS_S = (0.05, 0.4)

# Seconds of a planned stop.
STOP_S = 5.0


def document(version: int, idle_s: float) -> dict[str, object]:
    """Returns a configuration with an idle time."""
    made = builders.config_document(version)
    made["limits"]["idle_timeout_ms"] = idle_s * 1000
    return made


class Client:
    """Rests between its requests, for no longer than it was told."""

    def __init__(self, address: str, number: int, seed: int) -> None:
        self.records: list[kept_clients.Record] = []
        self._address = address
        self._number = number
        self._rng = random.Random(f"{seed}-{number}")
        self._connection: kept_clients.KeptConnection | None = None

    async def run(self, ends: asyncio.Event) -> None:
        """Sends until the event is set."""
        while not ends.is_set():
            with contextlib.suppress(OSError):
                await self._send()
            await self._rest()
        self._drop()

    async def _send(self) -> None:
        if self._connection is None:
            self._connection = await kept_clients.KeptConnection.open(
                self._address
            )
        self._connection.send(self._next())
        record = await self._connection.receive()
        self.records.append(record)
        if record.fate is kept_clients.Fate.CLOSED:
            self._drop()

    async def _rest(self) -> None:
        rest_s = self._rng.uniform(*RESTS_S)
        await asyncio.sleep(rest_s)
        connection = self._connection
        if connection is None:
            return
        told_s = connection.told_rest_s
        if (
            connection.told_to_close
            or connection.ended
            or (told_s is not None and rest_s > told_s)
        ):
            self._drop()

    def _next(self) -> kept_clients.Ask:
        request_id = f"c{self._number}-{len(self.records)}"
        headers = requests.request_headers(
            request_id, **{"Martenjunction-Deadline-Ms": "9000"}
        )
        return kept_clients.Ask(request_id, "/unsafe/x", headers)

    def _drop(self) -> None:
        if self._connection is not None:
            self._connection.close()
        self._connection = None


class Play:
    """Boxes as processes behind delayed links, and their clients.

    Attributes:
        fleet: The endpoints and the store.
        unanswered: Lines on connections closed under their requests.
    """

    def __init__(self, seed: int, folder: pathlib.Path) -> None:
        self.fleet = boxes.Boxes()
        self._folder = folder
        self._seed = seed
        self._rng = random.Random(seed)
        self._running: list[box_processes.Box] = []
        self._links: list[delayed_links.DelayedLink] = []
        self._clients: list[Client] = []
        self.unanswered: list[dict[str, object]] = []

    @property
    def refused(self) -> int:
        """Connections, a request on each, that no box accepted."""
        return sum(link.refused for link in self._links)

    async def run(self, troubles: bool = False) -> kept_tallies.Tally:
        """Plays the changes; returns what became of all requests.

        Args:
            troubles: Whether boxes are suspended, reloaded and restarted.
        """
        await self._start()
        ends = asyncio.Event()
        traffic = [
            asyncio.create_task(client.run(ends)) for client in self._clients
        ]
        if troubles:
            traffic += [
                asyncio.create_task(self._suspend(box, ends))
                for box in self._running
            ]
        for change in range(CHANGES):
            await asyncio.sleep(CHANGE_INTERVAL_S)
            idle_s = IDLE_TIMES_S[change % len(IDLE_TIMES_S)]
            self.fleet.configure(document(8 + change, idle_s))
            if troubles:
                self._rng.choice(self._running).signal(signal.SIGHUP)
        if troubles:
            await self._restart()
        await asyncio.sleep(CHANGE_INTERVAL_S)
        ends.set()
        await asyncio.gather(*traffic)
        await self._stop()
        records = [rec for client in self._clients for rec in client.records]
        return kept_tallies.tally(records, self.fleet.replicas)

    async def _start(self) -> None:
        await self.fleet.start(document(7, IDLE_TIMES_S[-1]), boxes=0)
        for _ in range(2):
            await self.fleet.add_replica(builders.PLAIN)
        for number in range(BOXES):
            settings = box_processes.settings_of(
                self.fleet, f"box-{number}", stop_s=STOP_S
            )
            box = await box_processes.start(self._folder, settings)
            self._running.append(box)
            listen = bench.free_address()
            link = delayed_links.DelayedLink(
                listen, settings.callers, ONE_WAY_S
            )
            await link.start()
            self._links.append(link)
            self._clients += [
                Client(listen, number * CLIENTS + each, self._seed)
                for each in range(CLIENTS)
            ]
        for box in self._running:
            await box.until_ready()

    async def _suspend(
        self, box: box_processes.Box, ends: asyncio.Event
    ) -> None:
        while not ends.is_set() and box.running:
            with box.suspended():
                await asyncio.sleep(self._rng.uniform(*SUSPENSIONS_S))
            await asyncio.sleep(self._rng.uniform(*SUSPENSION_INTERVALS_S))

    async def _restart(self) -> None:
        """Stops a box as planned while its clients go on, and restarts it."""
        box = self._running[0]
        box.signal(signal.SIGTERM)
        await box.until_ended()
        again = await box_processes.start(self._folder, box.settings)
        self._running.append(again)
        await again.until_ready()

    async def _stop(self) -> None:
        for link in self._links:
            await link.stop()
        for box in self._running:
            await box.discard()
            self.unanswered += await box.unanswered()
        await self.fleet.stop()


async def _table(seeds: Sequence[int]) -> None:
    for seed in seeds:
        with tempfile.TemporaryDirectory() as folder:
            play = Play(seed, pathlib.Path(folder))
            found = await play.run(troubles=True)
        print(
            f"seed {seed}: {found}, not accepted {play.refused},"
            f" without an answer {len(play.unanswered)}",
            flush=True,
        )


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("first", type=int)
    parser.add_argument("last", type=int)
    parsed = parser.parse_args()
    asyncio.run(_table(range(parsed.first, parsed.last + 1)))
