"""A stream left a silent endpoint, and then no other one took it."""

from collections.abc import AsyncIterator

import pytest

from martenjunction_lab import boxes
from tests import routing_builders as builders
from tests import two_endpoints

STREAM = (
    b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
    b"Martenjunction-Attempt-Id: r1\r\nMartenjunction-Replica-Seal: seal\r\n"
    b"Connection: close\r\n\r\n"
)
EVENT = b"id: 1\ndata: t1\n\n"


@pytest.fixture
async def two(
    fleet: boxes.Boxes,
) -> AsyncIterator[two_endpoints.TwoEndpoints]:
    async with two_endpoints.listed_at(fleet, builders.ENGINE) as made:
        yield made


def leave(two: two_endpoints.TwoEndpoints) -> None:
    """Has the box take the first endpoint for a silent one."""
    ticket = two.exchange.ticket
    assert ticket is not None
    ticket.move_requested = True
    two.exchange.move()


async def test_stream_stays_where_no_other_endpoint_takes_it(
    fleet: boxes.Boxes,
    two: two_endpoints.TwoEndpoints,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    asked = await two.ask("/digest/")

    async def deny(_: str) -> None:
        return None

    monkeypatch.setattr(fleet.gateways[0].grants, "acquire", deny)
    leave(two)
    assert not await two.second_is_sent(0.2)
    two.first.send(STREAM + EVENT)
    two.first.close()
    head, got = await asked
    assert (head.status, got) == (200, EVENT)


async def test_stream_leaves_if_another_endpoint_takes_it(
    two: two_endpoints.TwoEndpoints,
) -> None:
    asked = await two.ask("/digest/")
    leave(two)
    second = await two.next_run()
    assert await two_endpoints.is_closed(two.first)
    second.send(STREAM + EVENT)
    second.close()
    head, got = await asked
    assert (head.status, got) == (200, EVENT)
