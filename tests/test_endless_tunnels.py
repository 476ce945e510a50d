"""Endpoints that answer without end, reached through a peer.

Guards against bytes that the box in between, or the one that asked, keeps for
as long as the endpoint sends them, and against others that wait for it.
"""

import asyncio
from collections.abc import AsyncIterator
import time

import pytest

from martenjunction.endpoints import attempt
from martenjunction_lab import boxes
from martenjunction_lab import endpoint_links
from tests import endless_endpoints
from tests import routing_builders as builders
from tests import test_tunnels

linked = test_tunnels.linked

MB = 1024 * 1024

# What the kernel may hold of the connections on both sides of a tunnel.
SOCKET_BYTES = 2 * 16 * MB

# Seconds within which a tunnel is closed behind its request, and within which
# the requests of others are answered.
CLOSE_S = 1.0
OTHERS_S = 1.0

DEADLINE_MS = 4000

PLAIN = (builders.PLAIN, "unsafe", builders.ENGINE, "chat")
STREAM = (builders.ENGINE, "chat", builders.PLAIN, "unsafe")

ANSWERS = [
    *((form, PLAIN) for form in endless_endpoints.FORMS.items()),
    *((form, STREAM) for form in endless_endpoints.STREAM_FORMS.items()),
]


@pytest.fixture
async def endpoint(
    linked: test_tunnels.LinkedFleet,
    endless: tuple[tuple[str, endless_endpoints.Form], tuple[str, ...]],
) -> AsyncIterator[endless_endpoints.EndlessEndpoint]:
    (_, form), (service, _, other, _) = endless
    made = endless_endpoints.EndlessEndpoint(form)
    made.record(linked.boxes, service)
    await linked.add_endpoints(1, other)
    await linked.links.add([test_tunnels.CUT_OFF], made.address)
    await boxes.until(
        lambda: all(
            made.id in box.endpoint_list.entries
            for box in linked.boxes.gateways
        )
    )
    linked.cut(endpoint_links.Mode.REFUSE)
    linked.links.cut(
        [test_tunnels.CUT_OFF], [made.address], endpoint_links.Mode.REFUSE
    )
    yield made
    made.stop()


@pytest.mark.parametrize(
    "endless", ANSWERS, ids=[f"{row[1][1]}-{row[0][0]}" for row in ANSWERS]
)
async def test_endless_answer_through_a_peer_is_ended(
    linked: test_tunnels.LinkedFleet,
    endpoint: endless_endpoints.EndlessEndpoint,
    endless: tuple[tuple[str, endless_endpoints.Form], tuple[str, ...]],
) -> None:
    _, (_, route, _, others_route) = endless
    began_at = time.monotonic()
    asking = asyncio.create_task(linked.send("r1", route, DEADLINE_MS))
    await boxes.until(lambda: endpoint.requests == 1)
    other = await linked.send("r2", others_route, int(OTHERS_S * 1000))
    status, _ = await asking
    assert other[0] == 200
    assert status == 502
    assert time.monotonic() - began_at < DEADLINE_MS / 1000 / 2
    async with asyncio.timeout(CLOSE_S):
        await boxes.until(lambda: endpoint.sending == 0)
    held = attempt.MAX_BUFFERED_BODY_BYTES + SOCKET_BYTES
    assert endpoint.most_sent <= held
    assert sum(box.tunnels.served for box in linked.others) >= 1
