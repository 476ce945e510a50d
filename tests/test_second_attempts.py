"""Second attempts of repeatable requests, beside first ones that are late.

A request that was moved from an endpoint without an answer lost the answer that
was on its way, and got 502 where no endpoint was left to move to.
"""

import asyncio
from collections.abc import AsyncIterator

import pytest

from martenjunction_lab import boxes
from martenjunction_lab import replica
from tests import raw_peers
from tests import routing_builders as builders
from tests import two_endpoints


@pytest.fixture
async def two(
    fleet: boxes.Boxes,
) -> AsyncIterator[two_endpoints.TwoEndpoints]:
    async with two_endpoints.listed_at(fleet) as made:
        yield made


async def test_second_answer_is_delivered_and_ends_the_first_run(
    two: two_endpoints.TwoEndpoints,
) -> None:
    asked = await two.ask()
    await two.try_second()
    two.second.send(two_endpoints.response(b"second"))
    head, got = await asked
    assert (head.status, got) == (200, b"second")
    assert await two_endpoints.is_closed(two.first)


async def test_first_answer_is_delivered_and_ends_the_second_run(
    two: two_endpoints.TwoEndpoints,
) -> None:
    asked = await two.ask()
    await two.try_second()
    two.first.send(two_endpoints.response(b"first"))
    head, got = await asked
    assert (head.status, got) == (200, b"first")
    assert await two_endpoints.is_closed(two.second)


@pytest.mark.parametrize("first_status", ["200 OK", "404 Not Found"])
async def test_one_of_two_answers_at_a_time_is_delivered(
    two: two_endpoints.TwoEndpoints, first_status: str
) -> None:
    asked = await two.ask()
    await two.try_second()
    two.first.send(two_endpoints.response(b"first", first_status))
    two.second.send(two_endpoints.response(b"second"))
    raw_peers.block_event_loop(0.05)
    head, got = await asked
    assert got in (b"first", b"second")
    assert head.status == (200 if got == b"second" else int(first_status[:3]))


@pytest.mark.parametrize("refuses_first", [True, False])
async def test_failed_attempt_leaves_the_other_one_running(
    two: two_endpoints.TwoEndpoints, refuses_first: bool
) -> None:
    asked = await two.ask()
    await two.try_second()
    runs = [two.first, two.second] if refuses_first else [two.second, two.first]
    not_run = "Martenjunction-Not-Executed: 1"
    runs[0].send(
        two_endpoints.response(b"", "503 Service Unavailable", not_run)
    )
    await asyncio.sleep(0.1)
    runs[1].send(two_endpoints.response(b"late"))
    head, got = await asked
    assert (head.status, got) == (200, b"late")


async def test_refusal_beside_a_run_that_breaks_off_is_no_refusal(
    two: two_endpoints.TwoEndpoints,
) -> None:
    asked = await two.ask()
    await two.try_second()
    not_run = "Martenjunction-Not-Executed: 1"
    two.second.send(
        two_endpoints.response(b"", "503 Service Unavailable", not_run)
    )
    await asyncio.sleep(0.1)
    two.first.close()
    head, _ = await asked
    assert head.status == 502


async def test_last_attempt_is_not_ended(
    fleet: boxes.Boxes, peer: raw_peers.RawPeer
) -> None:
    listed = replica.Replica("i-raw")
    listed.address = peer.address
    fleet.replicas.append(listed)
    fleet.record(listed, builders.PLAIN)
    await fleet.until_listed()
    two = two_endpoints.TwoEndpoints(fleet, [peer])
    asked = await two.ask()
    ticket = two.exchange.ticket
    assert ticket is not None
    ticket.move_requested = True
    two.exchange.move()
    await asyncio.sleep(0.1)
    two.first.send(two_endpoints.response(b"late"))
    head, got = await asked
    assert (head.status, got) == (200, b"late")


async def test_unsafe_request_gets_no_second_attempt(
    two: two_endpoints.TwoEndpoints,
) -> None:
    asked = await two.ask("/unsafe/")
    ticket = two.exchange.ticket
    assert ticket is not None
    ticket.move_requested = True
    assert not two.exchange.should_move
    two.first.send(two_endpoints.response(b"once"))
    head, _ = await asked
    assert head.status == 200
