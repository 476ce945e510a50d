"""Endpoints that are alive and read nothing of a body for some seconds.

Guards against requests that are broken off because the kernel counts a closed
window like a silent peer.
"""

import asyncio
from typing import Any

import pytest

from martenjunction_lab import boxes
from martenjunction_lab import endpoint_links
from martenjunction_lab import replica
from tests import gateway_requests
from tests import request_changes
from tests import routing_builders as builders
from tests import test_slow_clients
from tests import test_tunnels
from tests import whole_answers

linked = test_tunnels.linked


class LateReader:
    """Leaves the body of each request unread for a while."""

    def __init__(self, reader: asyncio.StreamReader) -> None:
        self._reader = reader
        self.readuntil = reader.readuntil

    async def readexactly(self, size: int) -> bytes:
        if size:
            await asyncio.sleep(test_slow_clients.UNREAD_S)
        return await self._reader.readexactly(size)


def read_late(stand_in: replica.Replica) -> None:
    read = stand_in._read
    stand_in._read = lambda reader: read(LateReader(reader))  # type: ignore


@pytest.fixture
def document() -> dict[str, Any]:
    made = builders.config_document(8)
    made["limits"]["max_body_bytes"] = request_changes.MAX_BODY_BYTES
    for route in made["routes"]:
        route.update(timeout_ms=20_000, goal_ms=10_000)
    return made


@pytest.mark.parametrize("through_tunnel", [False, True])
async def test_body_that_is_read_late_gets_its_answer(
    through_tunnel: bool,
    linked: test_tunnels.LinkedFleet,
    document: dict[str, Any],
) -> None:
    # A tunnel's box stops reading from it while its endpoint reads nothing.
    # The request is not repeatable: others leave silent endpoints.
    for stand_in in await linked.add_endpoints():
        read_late(stand_in)
    linked.boxes.configure(document)
    await boxes.until(lambda: linked.cut_off.store_cache.version == 8)
    if through_tunnel:
        linked.cut(endpoint_links.Mode.REFUSE)
    client = whole_answers.Client(linked.boxes.addresses[0])
    await client.open()
    body = b"x" * request_changes.LARGE_BYTES
    await client.send(
        "r1", "/unsafe/a", body, headers=test_slow_clients.PATIENT
    )
    answer = await client.receive()
    assert (answer.status, answer.whole) == (200, True)
    assert answer.body == b"answer to " + body
    assert gateway_requests.runs(linked.boxes.replicas) == 1
    carried = sum(box.tunnels.served for box in linked.others)
    assert bool(carried) == through_tunnel
    client.close()
