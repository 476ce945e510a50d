"""A box whose descriptors run out.

Guards against an event loop that tries to accept without a pause, and against
clients' connections that leave no descriptor to peers, the store and the
platform's checks.
"""

import asyncio
from collections.abc import AsyncIterator
import os
import pathlib
import resource
import signal
from typing import Any

import pytest

from martenjunction_lab import boxes
from tests import box_processes
from tests import keep_alive_connections as kept
from tests import routing_builders as builders

# Seconds for which a box lacks descriptors, and the most seconds of processor
# time that it may take meanwhile.
LACK_S = 2.0
MAX_BUSY_S = 0.5

# Seconds within which a box accepts again.
RETURN_S = 10.0

REQUEST = (
    f"POST /safe/x HTTP/1.1\r\nHost: {builders.HOST}\r\n"
    f"Authorization: Bearer {builders.KEY}\r\n"
    "Martenjunction-Attempt-Id: r1\r\nContent-Length: 5\r\n\r\nhello"
).encode()


class Started:
    """One box process, and connections to it."""

    def __init__(self, fleet: boxes.Boxes, folder: pathlib.Path) -> None:
        self.fleet = fleet
        self.box: box_processes.Box
        self.clients: list[kept.KeptConnection] = []
        self._folder = folder

    async def start(self, **changes: Any) -> box_processes.Box:
        settings = box_processes.settings_of(self.fleet, "box-1", **changes)
        self.box = await box_processes.start(self._folder, settings)
        await self.box.until_ready()
        return self.box

    async def connect(self, address: str) -> kept.KeptConnection:
        client = kept.KeptConnection()
        self.clients.append(client)
        await client.connect(address)
        return client

    async def serves(self) -> kept.KeptConnection:
        """Returns a new connection that has carried a request."""
        client = await self.connect(self.box.settings.callers)
        client.send(REQUEST)
        assert b" 200 " in await client.answer()
        return client

    def limit_descriptors(self, count: int) -> None:
        pid = self.box.process.pid
        _, most = resource.prlimit(pid, resource.RLIMIT_NOFILE)
        resource.prlimit(pid, resource.RLIMIT_NOFILE, (count, most))

    def open_descriptors(self) -> int:
        return len(os.listdir(f"/proc/{self.box.process.pid}/fd"))

    def busy_s(self) -> float:
        """Seconds of processor time that the process has taken."""
        text = pathlib.Path(f"/proc/{self.box.process.pid}/stat").read_text()
        fields = text.rpartition(")")[2].split()
        return sum(map(int, fields[11:13])) / os.sysconf("SC_CLK_TCK")

    async def stop(self) -> list[dict[str, Any]]:
        self.box.signal(signal.SIGTERM)
        assert await self.box.until_ended() == 0
        return await self.box.log()


@pytest.fixture
async def started(tmp_path: pathlib.Path) -> AsyncIterator[Started]:
    fleet = boxes.Boxes()
    await fleet.start(builders.config_document(), boxes=0)
    await fleet.add_replica(builders.PLAIN)
    made = Started(fleet, tmp_path)
    yield made
    for client in made.clients:
        client.close()
    await made.box.discard()
    await fleet.stop()


async def test_box_without_descriptors_serves_kept_connections_and_recovers(
    started: Started,
) -> None:
    box = await started.start()
    client = await started.serves()
    port = box.settings.tunnels.rpartition(":")[2]
    tunnels = f"{box.settings.ip}:{port}"
    before = started.open_descriptors()
    started.limit_descriptors(1)
    silent = [
        await started.connect(address)
        for address in (box.settings.callers, tunnels)
        for _ in range(20)
    ]
    busy_before = started.busy_s()
    async with asyncio.timeout(LACK_S + RETURN_S):
        for _ in range(20):
            await asyncio.sleep(LACK_S / 20)
            client.send(REQUEST)
            assert b" 200 " in await client.answer()
        assert started.open_descriptors() <= before
        busy_s = started.busy_s() - busy_before
        started.limit_descriptors(1024)
        await started.serves()
    for one in silent:
        one.close()
    lines = await started.stop()
    assert busy_s < MAX_BUSY_S
    errors = [x for x in lines if x.get("level") == "error"]
    assert 1 <= len(errors) <= 4
    assert all("cannot accept" in str(x["text"]) for x in errors)
    closed = [x for x in lines if x["message_type"] == "connection-closed"]
    assert {x["why"] for x in closed} <= {"stop"}
