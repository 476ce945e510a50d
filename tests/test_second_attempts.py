"""Second attempts of repeatable requests, beside first ones that are late.

A request that was moved from an endpoint without an answer lost the answer that
was on its way, and got 502 where no endpoint was left to move to.
"""

import asyncio
from collections.abc import AsyncIterator
import socket

import pytest

from martenjunction.http1 import messages
from martenjunction.routing.requests import exchange
from martenjunction_lab import boxes
from martenjunction_lab import replica
from tests import gateway_requests as requests
from tests import raw_peers
from tests import routing_builders as builders

Response = tuple[messages.ResponseHead, bytes]


class TwoEndpoints:
    """A box before two endpoints, and a request that one of them has."""

    def __init__(
        self, fleet: boxes.Boxes, peers: list[raw_peers.RawPeer]
    ) -> None:
        self._fleet = fleet
        self._peers = peers
        self.first = self.second = socket.socket()

    @property
    def exchange(self) -> exchange.Exchange:
        [running] = self._fleet.gateways[0].held.exchanges
        return running

    async def ask(self, path: str = "/safe/") -> asyncio.Task[Response]:
        """Sends a request; returns once its first endpoint has it."""
        asked = asyncio.create_task(requests.ask(self._fleet, path))
        self.first = await self._next_run()
        return asked

    async def try_second(self) -> None:
        """Lets the first run be late; returns once the second one has begun."""
        ticket = self.exchange.ticket
        assert ticket is not None
        ticket.move_requested = ticket.keeps_running = True
        self.exchange.move()
        self.second = await self._next_run()

    async def _next_run(self) -> socket.socket:
        accepting = {
            asyncio.create_task(peer.accept()): peer for peer in self._peers
        }
        done, others = await asyncio.wait(
            accepting, return_when=asyncio.FIRST_COMPLETED
        )
        for task in others:
            task.cancel()
        [accepted] = done
        run = accepted.result()
        peer = accepting[accepted]
        self._peers.remove(peer)
        assert await peer.request(run)
        return run


def response(body: bytes, status: str = "200 OK", *more: str) -> bytes:
    whole = raw_peers.answer(
        body,
        "Martenjunction-Attempt-Id: r1",
        "Martenjunction-Replica-Seal: seal",
        *more,
    )
    return whole.replace(b"200 OK", status.encode(), 1)


async def is_closed(run: socket.socket) -> bool:
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(2.0):
        try:
            return not await loop.sock_recv(run, 1)
        except ConnectionResetError:
            return True


@pytest.fixture
async def two(fleet: boxes.Boxes) -> AsyncIterator[TwoEndpoints]:
    peers = [raw_peers.RawPeer(), raw_peers.RawPeer()]
    for number, peer in enumerate(peers):
        listed = replica.Replica(f"i-raw-{number}")
        listed.address = peer.address
        fleet.replicas.append(listed)
        fleet.record(listed, builders.PLAIN)
    await fleet.until_listed()
    yield TwoEndpoints(fleet, list(peers))
    for peer in peers:
        peer.close()


async def test_second_answer_is_delivered_and_ends_the_first_run(
    two: TwoEndpoints,
) -> None:
    asked = await two.ask()
    await two.try_second()
    two.second.send(response(b"second"))
    head, got = await asked
    assert (head.status, got) == (200, b"second")
    assert await is_closed(two.first)


async def test_first_answer_is_delivered_and_ends_the_second_run(
    two: TwoEndpoints,
) -> None:
    asked = await two.ask()
    await two.try_second()
    two.first.send(response(b"first"))
    head, got = await asked
    assert (head.status, got) == (200, b"first")
    assert await is_closed(two.second)


@pytest.mark.parametrize("first_status", ["200 OK", "404 Not Found"])
async def test_one_of_two_answers_at_a_time_is_delivered(
    two: TwoEndpoints, first_status: str
) -> None:
    asked = await two.ask()
    await two.try_second()
    two.first.send(response(b"first", first_status))
    two.second.send(response(b"second"))
    raw_peers.block_event_loop(0.05)
    head, got = await asked
    assert got in (b"first", b"second")
    assert head.status == (200 if got == b"second" else int(first_status[:3]))


@pytest.mark.parametrize("refuses_first", [True, False])
async def test_failed_attempt_leaves_the_other_one_running(
    two: TwoEndpoints, refuses_first: bool
) -> None:
    asked = await two.ask()
    await two.try_second()
    runs = [two.first, two.second] if refuses_first else [two.second, two.first]
    not_run = "Martenjunction-Not-Executed: 1"
    runs[0].send(response(b"", "503 Service Unavailable", not_run))
    await asyncio.sleep(0.1)
    runs[1].send(response(b"late"))
    head, got = await asked
    assert (head.status, got) == (200, b"late")


async def test_refusal_beside_a_run_that_breaks_off_is_no_refusal(
    two: TwoEndpoints,
) -> None:
    asked = await two.ask()
    await two.try_second()
    not_run = "Martenjunction-Not-Executed: 1"
    two.second.send(response(b"", "503 Service Unavailable", not_run))
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
    two = TwoEndpoints(fleet, [peer])
    asked = await two.ask()
    ticket = two.exchange.ticket
    assert ticket is not None
    ticket.move_requested = True
    two.exchange.move()
    await asyncio.sleep(0.1)
    two.first.send(response(b"late"))
    head, got = await asked
    assert (head.status, got) == (200, b"late")


async def test_unsafe_request_gets_no_second_attempt(two: TwoEndpoints) -> None:
    asked = await two.ask("/unsafe/")
    ticket = two.exchange.ticket
    assert ticket is not None
    ticket.move_requested = True
    assert not two.exchange.should_move
    two.first.send(response(b"once"))
    head, _ = await asked
    assert head.status == 200
