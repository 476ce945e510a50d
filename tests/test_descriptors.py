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

from martenjunction.decisions.boxes import connection_share
from martenjunction_lab import boxes
from tests import box_processes
from tests import keep_alive_connections as kept
from tests import routing_builders as builders

# Seconds for which a box lacks descriptors, and the most seconds of processor
# time that it may take meanwhile.
LACK_S = 2.0
MAX_BUSY_S = 0.5

# Descriptors of a box, and connections that clients open to each server.
MAX_DESCRIPTORS = 256
CONNECTIONS = 300

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

    async def ask(self, client: kept.KeptConnection) -> bytes:
        client.send(REQUEST)
        return await client.answer()

    async def join(self) -> None:
        """Adds a box that the first one has to link to."""
        peer = await self.fleet.add_box(
            "box-2", seeds=(self.box.settings.peers,)
        )
        async with asyncio.timeout(RETURN_S):
            while "box-1" not in peer.peers.boxes():
                await asyncio.sleep(0.05)

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


# What clients do that hold many connections.
SILENT = b""
SLOW_HEAD = b"POST /safe/x HTTP/1.1\r\n"


@pytest.mark.parametrize("sent", [SILENT, SLOW_HEAD, REQUEST])
async def test_clients_leave_descriptors_to_the_others(
    started: Started, sent: bytes
) -> None:
    fleet = started.fleet
    box = await started.start(max_descriptors=MAX_DESCRIPTORS)
    started.limit_descriptors(MAX_DESCRIPTORS)
    client = await started.serves()
    servers = [box.settings.callers]
    if sent != SLOW_HEAD:
        servers.append(box.settings.ready)
    for address in servers:
        for number in range(CONNECTIONS):
            silent = await started.connect(address)
            silent.send(sent)
            if number % 20 == 0:
                # The box accepts the others while this connection rests.
                await asyncio.sleep(0.02)
                client.send(REQUEST)
                assert b" 200 " in await client.answer()
    assert started.open_descriptors() < MAX_DESCRIPTORS
    await started.join()
    fleet.configure(builders.config_document(version=8, routes=[]))
    async with asyncio.timeout(RETURN_S):
        while b" 404 " not in await started.ask(client):
            await asyncio.sleep(0.05)
    await box.until_ready()
    # Their connections rest, or send slow heads: the oldest end for new ones.
    await asyncio.sleep(
        max(connection_share.KEPT_REST_S, connection_share.MAX_HEAD_S)
    )
    assert b" 404 " in await started.ask(
        await started.connect(box.settings.callers)
    )
    lines = await started.stop()
    assert not [x for x in lines if x.get("level") == "error"]
    changes = [x for x in lines if x["message_type"] == "connection-share"]
    states = [x["state"] for x in changes if x["server"] == "callers"]
    assert states[0] == ("short" if sent == SILENT else "full")
    assert len(states) <= 4


async def test_incomplete_heads_keep_no_new_client_out(
    started: Started,
) -> None:
    document = builders.config_document(version=8)
    document["limits"]["header_timeout_ms"] = 60_000
    started.fleet.configure(document)
    box = await started.start(max_descriptors=MAX_DESCRIPTORS)
    for _ in range(CONNECTIONS):
        (await started.connect(box.settings.callers)).send(SLOW_HEAD)
    await asyncio.sleep(connection_share.MAX_HEAD_S)
    await started.serves()
    await started.stop()


def test_share_ends_rests_before_it_closes_new_connections() -> None:
    share = connection_share.ConnectionShare(128)
    assert share.excess(127, now=1.0) == 0
    assert share.admit(127, ended=0, now=1.0)
    assert share.state is connection_share.State.ROOM
    # A batch, so that the search is rare.
    assert share.excess(128, now=1.0) == 2
    assert share.admit(126, ended=2, now=1.0)
    assert share.state is connection_share.State.SHORT
    assert share.excess(128, now=2.0) == 2
    assert not share.admit(128, ended=0, now=2.0)
    assert share.state is connection_share.State.FULL
    # None rested: no search for a moment.
    assert share.excess(128, now=2.01) == 0
    assert not share.admit(128, ended=0, now=2.01)
    assert share.excess(128, now=2.1) == 2
    share.note_closed(120)
    assert share.state is connection_share.State.FULL
    share.note_closed(115)
    assert share.state is connection_share.State.ROOM
    assert (share.ended, share.refused) == (2, 2)
