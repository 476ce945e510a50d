"""A box before two endpoints that both may have one request."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import socket

from martenjunction.http1 import messages
from martenjunction.routing.requests import exchange
from martenjunction_lab import boxes
from martenjunction_lab import replica
from tests import gateway_requests as requests
from tests import raw_peers
from tests import routing_builders as builders

Response = tuple[messages.ResponseHead, bytes]

# The head of a stream that is an answer to `r1`.
STREAM_HEAD = (
    b"HTTP/1.1 200 OK\r\nMartenjunction-Attempt-Id: r1\r\n"
    b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
    b"Martenjunction-Replica-Seal: seal\r\n\r\n"
)

# Bytes of an event, of which a few fill the buffers of a connection, and time
# in seconds after which a box has passed one on.
_EVENT_BYTES = 512 * 1024
_PASSED_ON_S = 0.05
_MAX_EVENTS = 40


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
        self.first = await self.next_run()
        return asked

    async def try_second(self) -> None:
        """Lets the first run be late; returns once the second one has begun."""
        self.search_second()
        self.second = await self.next_run()

    def search_second(self) -> None:
        """Lets the first run be late; another endpoint is looked for."""
        ticket = self.exchange.ticket
        assert ticket is not None
        ticket.move_requested = ticket.keeps_running = True
        self.exchange.move()

    async def fill_client(self) -> None:
        """Has the first run answer until its client takes no more."""
        loop = asyncio.get_running_loop()
        await loop.sock_sendall(self.first, STREAM_HEAD)
        for number in range(1, _MAX_EVENTS):
            await loop.sock_sendall(self.first, _event(number, _EVENT_BYTES))
            await asyncio.sleep(_PASSED_ON_S)
            if self.exchange._connection._stream.writing():
                return
        raise AssertionError("the client takes all")

    async def second_is_sent(self, within_s: float) -> bool:
        """Returns whether the other endpoint gets the request in time."""
        [peer] = self._peers
        try:
            async with asyncio.timeout(within_s):
                return bool(await peer.request(await peer.accept()))
        except TimeoutError:
            return False

    async def next_run(self) -> socket.socket:
        """Returns the connection of the next run, which has the request."""
        taking = {
            asyncio.create_task(_take_request(peer)): peer
            for peer in self._peers
        }
        done, others = await asyncio.wait(
            taking, return_when=asyncio.FIRST_COMPLETED
        )
        for task in others:
            task.cancel()
        [taken] = done
        self._peers.remove(taking[taken])
        return taken.result()


async def _take_request(peer: raw_peers.RawPeer) -> socket.socket:
    """Returns the first connection that has a request.

    A busy box may open one more connection and close it unused.
    """
    while True:
        connection = await peer.accept()
        if await peer.request(connection):
            return connection


def _event(number: int, size: int) -> bytes:
    """Returns an event of a stream, in a chunk of its own."""
    part = b"id: %d\ndata: %b\n\n" % (number, b"x" * size)
    return b"%x\r\n%b\r\n" % (len(part), part)


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


@contextlib.asynccontextmanager
async def listed_at(
    fleet: boxes.Boxes, service: str = builders.PLAIN
) -> AsyncIterator[TwoEndpoints]:
    """Lists two endpoints whose bytes a test sends itself."""
    peers = [raw_peers.RawPeer(), raw_peers.RawPeer()]
    for number, peer in enumerate(peers):
        listed = replica.Replica(f"i-raw-{number}")
        listed.address = peer.address
        fleet.replicas.append(listed)
        fleet.record(listed, service)
    await fleet.until_listed()
    yield TwoEndpoints(fleet, list(peers))
    for peer in peers:
        peer.close()
