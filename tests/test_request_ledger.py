"""Every request whose head was read has one end, and its client is told.

Guards against a connection that is closed under a request without a word.
"""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
import dataclasses
import socket

import pytest

from martenjunction import errors
from martenjunction import metrics
from martenjunction.http1 import close_reports
from martenjunction.http1 import messages
from martenjunction.http1 import request_ledger
from martenjunction.http1 import server
from martenjunction.http1 import server_connection
from martenjunction.routing.log import closing_log
from martenjunction_lab import bench
from tests import keep_alive_connections
from tests import recording_handlers

End = request_ledger.End
Connection = server_connection.ServerConnection

GET = b"GET /%d HTTP/1.1\r\nHost: a\r\n\r\n"
HALF_POST = b"POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nab"

# Seconds within which a connection ends.
ENDED_S = 5.0


@dataclasses.dataclass
class Served:
    """A server, and what its handler does with each request after the first."""

    address: str
    listening: server.Server
    lines: recording_handlers.Lines
    taken: asyncio.Event
    act: Callable[[Connection], None] = lambda connection: None

    @property
    def ends(self) -> dict[End, int]:
        return dict(self.listening.ledger.ends)

    async def handle(
        self, connection: Connection, request: messages.Request
    ) -> None:
        if request.path == b"/0":
            await connection.answer(200, [], b"")
            return
        left = asyncio.Event()
        connection.on_disconnect(left.set)
        self.taken.set()
        self.act(connection)
        await left.wait()
        raise errors.ClientLostError("the client left")


@pytest.fixture
async def served() -> AsyncIterator[Served]:
    lines = recording_handlers.Lines()
    made: list[Served] = []
    listening = server.Server(
        "callers",
        lambda connection, request: made[0].handle(connection, request),
        on_closed=closing_log.ClosingLog(lines, metrics.Metrics()),
    )
    address = bench.free_address()
    listening.listen_on(address)
    made.append(Served(address, listening, lines, asyncio.Event()))
    yield made[0]
    listening.close_all()


def lose_another(connection: Connection) -> None:
    raise errors.ClientLostError("of another connection")


def abort(connection: Connection) -> None:
    connection.abort(close_reports.CloseReason.FAILED)


async def kept(served: Served) -> keep_alive_connections.KeptConnection:
    [connection] = await keep_alive_connections.open_used_connections(
        served.address, 1, GET % 0
    )
    return connection


@pytest.mark.parametrize("act", [lose_another, abort])
async def test_handler_that_closes_under_its_request(
    served: Served, act: Callable[[Connection], None]
) -> None:
    served.act = act
    connection = await kept(served)
    connection.send(GET % 1)
    assert (await connection.answer()).startswith(b"HTTP/1.1 502 ")
    assert await connection.ended()
    assert served.ends == {End.ANSWERED: 1, End.GIVEN_UP: 1}
    assert served.listening.ledger.open == 0


async def test_close_of_all_connections_tells_each_client(
    served: Served,
) -> None:
    connection = await kept(served)
    connection.send(GET % 1)
    await served.taken.wait()
    served.listening.close_all()
    assert (await connection.answer()).startswith(b"HTTP/1.1 502 ")
    async with asyncio.timeout(ENDED_S):
        while served.listening.connections:
            await asyncio.sleep(0.01)
    [line] = served.lines.of("request-without-answer")
    assert (line["why"], line["end"]) == ("stop", "given-up")
    assert [name for _, name in line["events"]][-3:] == [
        "head-read",
        "taken",
        "close:stop",
    ]


async def test_client_that_ends_its_sending_side_is_told(
    served: Served,
) -> None:
    connection = await kept(served)
    connection.send(GET % 1)
    connection._socket.shutdown(socket.SHUT_WR)
    answer = await connection.answer()
    # Its request reaches the handler only if its end is seen later.
    assert answer[:13] in (b"HTTP/1.1 502 ", b"HTTP/1.1 503 ")
    assert served.ends == {End.ANSWERED: 1, End.CLIENT_GONE: 1}
    assert not served.lines.of("request-without-answer")


async def test_request_that_is_not_read_is_refused_at_the_close(
    served: Served,
) -> None:
    connection = await kept(served)
    connection.send(HALF_POST)
    while not served.listening.ledger.open:
        await asyncio.sleep(0.01)
    served.listening.close_all()
    assert (await connection.answer()).startswith(b"HTTP/1.1 503 ")
    assert served.ends == {End.ANSWERED: 1, End.UNREAD: 1}


async def test_head_that_is_not_complete_is_refused_at_the_close(
    served: Served,
) -> None:
    connection = await kept(served)
    connection.send(HALF_POST[:9])
    await asyncio.sleep(0.05)
    served.listening.close_all()
    assert (await connection.answer()).startswith(b"HTTP/1.1 503 ")
    assert served.ends == {End.ANSWERED: 1}


async def test_resting_connection_is_closed_without_a_response(
    served: Served,
) -> None:
    connection = await kept(served)
    served.listening.close_all()
    assert await connection.ended()


async def test_malformed_head_is_refused_once(served: Served) -> None:
    connection = await kept(served)
    connection.send(b"GET / HTTP/1.1\r\nno field\r\n\r\n")
    assert (await connection.answer()).startswith(b"HTTP/1.1 400 ")
    assert await connection.ended()
    assert served.ends == {End.ANSWERED: 1}


async def test_malformed_body_is_refused_once(served: Served) -> None:
    connection = await kept(served)
    connection.send(
        b"POST /x HTTP/1.1\r\nHost: a\r\n"
        b"Transfer-Encoding: chunked\r\n\r\nzz\r\n"
    )
    assert (await connection.answer()).startswith(b"HTTP/1.1 400 ")
    connection.close()
    assert served.ends == {End.ANSWERED: 1, End.REFUSED: 1}
    assert served.listening.ledger.ended_twice == 0


async def test_broken_response_gets_no_second_head(served: Served) -> None:
    head = asyncio.Event()

    async def begin(connection: Connection) -> None:
        await connection.begin(200, [(b"Transfer-Encoding", b"chunked")])
        head.set()

    tasks: list[asyncio.Task[None]] = []
    served.act = lambda connection: tasks.append(
        asyncio.ensure_future(begin(connection))
    )
    connection = await kept(served)
    connection.send(GET % 1)
    await head.wait()
    served.listening.close_all()
    assert (await connection.answer()).count(b"HTTP/1.1 ") == 1
    assert served.ends == {End.ANSWERED: 1, End.BROKEN_OFF: 1}


def test_second_end_of_a_request_is_counted() -> None:
    ledger = request_ledger.RequestLedger()
    entry = ledger.begin()
    entry.finish(End.ANSWERED)
    entry.finish(End.GIVEN_UP)
    assert (ledger.open, ledger.ended_twice) == (0, 1)
    assert ledger.ends == {End.ANSWERED: 1}
