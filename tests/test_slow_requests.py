"""Requests that take longer to arrive than they may.

Guards against connections that end without an answer under a request that was
begun: the client of one that may not be repeated could not tell whether it ran.
A 408 is the promise that it did not.
"""

import asyncio
from collections.abc import AsyncIterator

import pytest

from martenjunction.http1 import close_reports
from martenjunction.http1 import messages
from martenjunction.http1 import request_bodies
from martenjunction.http1 import server
from martenjunction_lab import bench
from tests import keep_alive_connections
from tests import recording_handlers

LIMIT_S = 0.2

Served = tuple[recording_handlers.RecordingHandler, str]

HEAD = b"POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\n"
CHUNKED = b"POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"

LIMITS = messages.ClientLimits(header_timeout_s=LIMIT_S, idle_timeout_s=60.0)


@pytest.fixture
async def served(
    monkeypatch: pytest.MonkeyPatch,
) -> AsyncIterator[Served]:
    monkeypatch.setattr(request_bodies, "BODY_TIMEOUT_S", LIMIT_S)
    handler = recording_handlers.RecordingHandler()
    listening = server.Server(
        "test", handler, lambda: LIMITS, handler.closed.append
    )
    address = bench.free_address()
    listening.listen_on(address)
    yield handler, address
    listening.close_all()


@pytest.mark.parametrize("used", [False, True])
@pytest.mark.parametrize(
    ("begun", "reason"),
    [
        (HEAD[:9], close_reports.CloseReason.SLOW_HEAD),
        (HEAD[:-2], close_reports.CloseReason.SLOW_HEAD),
        (HEAD + b"ab", close_reports.CloseReason.SLOW_BODY),
        (CHUNKED + b"4\r\nab", close_reports.CloseReason.SLOW_BODY),
    ],
    ids=["first-line", "head", "body", "chunked-body"],
)
async def test_request_that_takes_too_long_is_refused_with_408(
    served: Served,
    begun: bytes,
    reason: close_reports.CloseReason,
    used: bool,
) -> None:
    handler, address = served
    connection = keep_alive_connections.KeptConnection()
    await connection.connect(address)
    if used:
        connection.send(HEAD + b"abcd")
        assert b" 200 " in await connection.answer()
    connection.send(begun)
    refusal = await connection.answer()
    assert refusal.startswith(b"HTTP/1.1 408 ")
    assert b"onnection: close" in refusal
    assert await connection.ended()
    connection.close()
    closed = await handler.only_closed()
    assert closed.reason is reason
    assert len(handler.received) == used


async def test_request_that_trickles_in_is_refused_with_408(
    served: Served,
) -> None:
    handler, address = served
    connection = keep_alive_connections.KeptConnection()
    await connection.connect(address)

    async def trickle() -> None:
        for byte in HEAD:
            connection.send(bytes([byte]))
            await asyncio.sleep(0.02)

    sending = asyncio.create_task(trickle())
    refusal = await connection.answer()
    assert refusal.startswith(b"HTTP/1.1 408 ")
    sending.cancel()
    connection.close()
    assert not handler.received
