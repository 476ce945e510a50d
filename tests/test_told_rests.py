"""What clients are told of idle times, and that it is kept to."""

import asyncio
from collections.abc import AsyncIterator
import dataclasses

import hypothesis
from hypothesis import strategies
import pytest

from martenjunction.decisions import rest_times
from martenjunction.decisions.boxes import connection_share
from martenjunction.http1 import messages
from martenjunction.http1 import server
from martenjunction.http1 import server_connection
from martenjunction_lab import bench
from tests import keep_alive_connections

GET = b"GET /x HTTP/1.1\r\nHost: a\r\n\r\n"
OLD = b"GET /x HTTP/1.0\r\nConnection: keep-alive\r\n\r\n"
LAST = b"GET /x HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"

# Seconds that the handler takes for a response after its head.
WORK_S = 0.3


@dataclasses.dataclass
class Served:
    """A server whose idle timeout can be changed."""

    address: str = ""
    idle_s: float = 15.0
    closing: bool = False

    def limits(self) -> messages.ClientLimits:
        return messages.ClientLimits(idle_timeout_s=self.idle_s)

    async def handle(
        self,
        connection: server_connection.ServerConnection,
        request: messages.Request,
    ) -> None:
        if request.method == b"POST":
            await connection.begin(200, [(b"Content-Length", b"2")])
            await connection.write(b"o")
            await asyncio.sleep(WORK_S)
            await connection.write(b"k")
            await connection.end()
        else:
            await connection.answer(200, [], b"ok", self.closing)


@pytest.fixture
async def served() -> AsyncIterator[Served]:
    made = Served(bench.free_address())
    listening = server.Server(
        "test",
        made.handle,
        made.limits,
        share=connection_share.ConnectionShare(4),
    )
    listening.listen_on(made.address)
    yield made
    listening.close_all()


async def first_answer(served: Served, request: bytes = GET) -> bytes:
    connection = keep_alive_connections.KeptConnection()
    await connection.connect(served.address)
    connection.send(request)
    answer = await connection.answer()
    connection.close()
    return answer


@pytest.mark.parametrize(
    ("idle_s", "told_s"), [(15.0, 14), (15.5, 15), (2.0, 1), (1.0, 1)]
)
async def test_client_is_told_how_long_its_connection_may_rest(
    served: Served, idle_s: float, told_s: int
) -> None:
    served.idle_s = idle_s
    answer = await first_answer(served)
    assert b"\r\nKeep-Alive: timeout=%d\r\n" % told_s in answer
    assert b"\r\nConnection: keep-alive\r\n" in answer


@pytest.mark.parametrize(
    ("idle_s", "request_", "closing"),
    [
        (0.9, GET, False),
        (15.0, OLD, False),
        (15.0, LAST, False),
        (15.0, GET, True),
    ],
    ids=["sub-second", "http-1.0", "client-closes", "server-closes"],
)
async def test_no_rest_is_told_that_is_not_kept(
    served: Served, idle_s: float, request_: bytes, closing: bool
) -> None:
    served.idle_s = idle_s
    served.closing = closing
    answer = await first_answer(served, request_)
    assert b" 200 " in answer
    assert b"Keep-Alive" not in answer


async def test_idle_time_that_is_shortened_within_a_response_is_kept_to(
    served: Served,
) -> None:
    served.idle_s = 2.5
    connection = keep_alive_connections.KeptConnection()
    await connection.connect(served.address)
    connection.send(GET.replace(b"GET", b"POST"))
    await asyncio.sleep(WORK_S / 2)
    served.idle_s = 0.2
    assert b"timeout=2" in await connection.answer()
    await asyncio.sleep(1.0)
    connection.send(GET)
    assert b" 200 " in await connection.answer()
    # The shorter time holds from this response on.
    assert await connection.ended()
    connection.close()


async def test_idle_time_is_held_for_longer_than_told(served: Served) -> None:
    served.idle_s = 1.0
    connection = keep_alive_connections.KeptConnection()
    await connection.connect(served.address)
    connection.send(GET)
    assert b"timeout=1" in await connection.answer()
    await asyncio.sleep(1.0 + rest_times.SERVER_MARGIN_S / 2)
    connection.send(GET)
    assert b" 200 " in await connection.answer()
    connection.close()


async def test_shorter_rests_are_told_while_descriptors_are_short(
    served: Served,
) -> None:
    rested = []
    for _ in range(4):
        connection = keep_alive_connections.KeptConnection()
        await connection.connect(served.address)
        connection.send(GET)
        assert b"timeout=14" in await connection.answer()
        rested.append(connection)
    await asyncio.sleep(connection_share.KEPT_REST_S + 0.1)
    assert b"timeout=1\r\n" in await first_answer(served)
    for connection in rested:
        connection.close()


@hypothesis.given(
    strategies.floats(allow_nan=True, allow_infinity=True),
)
def test_told_rest_is_shorter_than_the_held_one(idle_s: float) -> None:
    rest = rest_times.told(idle_s)
    if rest.told_s is None:
        assert not idle_s >= 1.0
        return
    assert 1 <= rest.told_s <= max(1.0, idle_s - rest_times.SERVER_MARGIN_S)
    assert rest.held_s >= rest.told_s + rest_times.SERVER_MARGIN_S
    assert rest.held_s >= idle_s
