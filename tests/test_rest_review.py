"""Rests and refusals that meet another event, found in a review."""

import asyncio
from collections.abc import AsyncIterator
import dataclasses

import pytest

from martenjunction.http1 import messages
from martenjunction.http1 import server
from martenjunction.http1 import server_connection
from martenjunction_lab import bench
from tests import caller_builders
from tests import keep_alive_connections
from tests import raw_peers

GET = b"GET /x HTTP/1.1\r\nHost: a\r\n\r\n"

HEAD_LIMIT_S = 0.2

# More than the socket of a client that does not read has room for, and less
# than its socket and that of the server together.
LARGE_BODY = bytes(1024 * 1024)


@dataclasses.dataclass
class Served:
    """A server whose idle timeout can be changed."""

    listening: server.Server = dataclasses.field(init=False)
    address: str = ""
    idle_s: float = 15.0
    body: bytes = b"ok"

    def limits(self) -> messages.ClientLimits:
        return messages.ClientLimits(
            header_timeout_s=HEAD_LIMIT_S, idle_timeout_s=self.idle_s
        )

    async def handle(
        self,
        connection: server_connection.ServerConnection,
        request: messages.Request,
    ) -> None:
        await connection.answer(200, [], self.body)


@pytest.fixture
async def served() -> AsyncIterator[Served]:
    made = Served(bench.free_address())
    made.listening = server.Server("test", made.handle, made.limits)
    made.listening.listen_on(made.address)
    yield made
    made.listening.close_all()


async def test_request_whose_time_ends_as_a_stop_begins_is_refused(
    served: Served,
) -> None:
    """A stop that begins right after a time limit leaves its 408 in place.

    The time limit of a head cancels its reader. A stop in the same turn of the
    event loop, which a hold-up brings about, sets the timer anew and with that
    clears what the reader is to find: it ends as if its task were cancelled,
    and the connection closes without a word.
    """
    connections = []
    for _ in range(5):
        connection = keep_alive_connections.KeptConnection()
        await connection.connect(served.address)
        connection.send(GET[:9])
        connections.append(connection)
    await asyncio.sleep(HEAD_LIMIT_S / 2)
    loop = asyncio.get_running_loop()
    loop.call_later(HEAD_LIMIT_S, served.listening.finish)
    raw_peers.block_event_loop(2 * HEAD_LIMIT_S)
    answers = [await connection.answer() for connection in connections]
    for connection in connections:
        connection.close()
    refused = sum(answer.startswith(b"HTTP/1.1 408 ") for answer in answers)
    assert refused == len(connections)


async def test_rest_that_was_told_begins_once_the_response_is_read(
    served: Served,
) -> None:
    """A client that reads a response late may use the time that it was told.

    The server counts the rest from the moment at which its socket took the
    last byte; the client, from that at which it has the response. A response
    that takes over 0.5 s from one to the other, over a slow link or to a
    client that reads late, uses up the margin, and the connection closes
    within the time that was told.
    """
    served.idle_s = 1.0
    served.body = LARGE_BODY
    connection = keep_alive_connections.KeptConnection()
    await connection.connect(served.address)
    connection.send(GET)
    # The client does not read yet.
    await asyncio.sleep(1.4)
    assert b"timeout=1\r\n" in await connection.answer()
    await asyncio.sleep(0.5)
    connection.send(GET)
    assert b" 200 " in await connection.answer()
    connection.close()


@pytest.mark.parametrize("body", [None, b"{}"], ids=["get", "post"])
async def test_caller_refused_before_its_body_is_read_is_told_no_rest(
    body: bytes | None,
) -> None:
    """A response after which the connection closes tells no rest.

    A request without a known key is refused from its head alone. Its body is
    not read by then, so the connection closes after the response, which says
    that it may rest for 74 s.
    """
    request = caller_builders.request(caller_builders.MODELS, body)
    unknown = request.replace(b"Bearer ", b"Bearer un")
    async with caller_builders.running(caller_builders.spec()) as fleet:
        [caller] = await caller_builders.connect_callers(fleet, 1)
        caller.send(unknown)
        status, head, _ = await caller.read_response()
        assert status == 401
        caller.send(request)
        stays_open = await caller.read_head() != ""
        caller.disconnect()
    assert stays_open or not caller_builders.header_value(head, "Keep-Alive")
