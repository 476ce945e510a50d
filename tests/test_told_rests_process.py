"""Requests that cross the close of a connection that was at rest.

Guards against whole requests with neither an answer nor a refusal beside a
change of the idle time. A box closed connections at rest by the idle time of
its configuration, and told its clients none. A client that goes by the time
that it knows, and whose request is on its way as the box closes, sees its
connection end without a byte. Over links of 20 ms, 7 or 8 of 720 requests did.
The log had:

    connection-closed    why=idle-timeout may_rest_s=1.0 answered=3
                         under_way=false bytes_waiting=false
"""

import asyncio
from collections.abc import AsyncIterator
import pathlib
import random

import pytest

from martenjunction_lab import bench
from martenjunction_lab import boxes
from martenjunction_lab import delayed_links
from martenjunction_lab import kept_clients
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


def document(version: int, idle_s: float) -> dict[str, object]:
    made = builders.config_document(version)
    made["limits"]["idle_timeout_ms"] = idle_s * 1000
    return made


@pytest.fixture
async def fleet() -> AsyncIterator[boxes.Boxes]:
    made = boxes.Boxes()
    await made.start(document(7, IDLE_TIMES_S[-1]), boxes=0)
    for _ in range(2):
        await made.add_replica(builders.PLAIN)
    yield made
    await made.stop()


async def start_box(
    fleet: boxes.Boxes, folder: pathlib.Path, name: str
) -> box_processes.Box:
    settings = box_processes.settings_of(fleet, name)
    return await box_processes.start(folder, settings)


class Client:
    """Rests between its requests, for no longer than it was told."""

    def __init__(self, address: str, number: int, seed: int) -> None:
        self.records: list[kept_clients.Record] = []
        self._address = address
        self._number = number
        self._rng = random.Random(f"{seed}-{number}")
        self._connection: kept_clients.KeptConnection | None = None

    async def run(self, ends: asyncio.Event) -> None:
        while not ends.is_set():
            if self._connection is None:
                self._connection = await kept_clients.KeptConnection.open(
                    self._address
                )
            self._connection.send(self._next())
            record = await self._connection.receive()
            self.records.append(record)
            if record.fate is kept_clients.Fate.CLOSED:
                self._drop()
            await self._rest()
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


@pytest.mark.parametrize("seed", [1, 2])
async def test_requests_beside_changes_of_the_idle_time_are_answered(
    fleet: boxes.Boxes, tmp_path: pathlib.Path, seed: int
) -> None:
    running = []
    links = []
    clients = []
    for number in range(BOXES):
        box = await start_box(fleet, tmp_path, f"box-{number}")
        running.append(box)
        listen = bench.free_address()
        link = delayed_links.DelayedLink(
            listen, box.settings.callers, ONE_WAY_S
        )
        await link.start()
        links.append(link)
        clients += [
            Client(listen, number * CLIENTS + each, seed)
            for each in range(CLIENTS)
        ]
    for box in running:
        await box.until_ready()
    ends = asyncio.Event()
    traffic = [asyncio.create_task(client.run(ends)) for client in clients]
    for change in range(CHANGES):
        await asyncio.sleep(CHANGE_INTERVAL_S)
        idle_s = IDLE_TIMES_S[change % len(IDLE_TIMES_S)]
        fleet.configure(document(8 + change, idle_s))
    await asyncio.sleep(CHANGE_INTERVAL_S)
    ends.set()
    await asyncio.gather(*traffic)
    for link in links:
        await link.stop()
    for box in running:
        await box.discard()
    records = [record for client in clients for record in client.records]
    found = kept_clients.tally(records, fleet.replicas)
    assert found.answered
    assert not found.untaken and not found.lost, str(found)
