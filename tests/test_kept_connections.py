"""Requests that race with the close of their keep-alive connection.

Guards against requests that are passed to an endpoint, cancelled within a
millisecond, and whose connections are closed without a response.

The event loop is blocked (by 250 ms at a time on the box where this was seen).
Meanwhile a request arrives and the idle timeout of its connection expires, or
its client disconnects. The next iteration reads the socket, then the timer
closes the stream. The reader, already woken, parses the request from its
buffer and passes it on; the handler sends it to an endpoint, sees the closed
connection and cancels the request. The decisions to close the connection and
to accept a request shared no state. The log then shows:

    connection-closed   why=idle-timeout rested_ms=15059.9 answered=1
                        bytes_waiting=true
    request-failed      result=client-left outcome=unknown ms=5.4
                        endpoints=[one]
"""

import asyncio
from collections.abc import AsyncIterator

import pytest

from martenjunction.decisions import rest_times
from martenjunction.http1 import close_reports
from martenjunction.http1 import messages
from martenjunction.http1 import request_bodies
from martenjunction.http1 import server
from martenjunction_lab import bench
from tests import keep_alive_connections
from tests import raw_peers
from tests import recording_handlers

COUNT = 12
IDLE_S = 1.0

# Seconds that each response takes.
DELAY_S = 0.01

Served = tuple[recording_handlers.RecordingHandler, str]

GET = b"GET /%d HTTP/1.1\r\nHost: a\r\n\r\n"
POST = b"POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\n"

LIMITS = messages.ClientLimits(header_timeout_s=IDLE_S, idle_timeout_s=IDLE_S)


@pytest.fixture
async def served() -> AsyncIterator[Served]:
    handler = recording_handlers.RecordingHandler(DELAY_S)
    listening = server.Server(
        "test", handler, lambda: LIMITS, handler.closed.append
    )
    address = bench.free_address()
    listening.listen_on(address)
    yield handler, address
    listening.close_all()


async def test_request_racing_with_idle_timeout_is_answered(
    served: Served,
) -> None:
    handler, address = served
    connections = await keep_alive_connections.open_used_connections(
        address, COUNT, GET % 0
    )
    for connection in connections:
        connection.send(GET % 1)
    raw_peers.block_event_loop(IDLE_S + 0.1)
    assert await keep_alive_connections.count_ok_responses(connections) == COUNT
    assert handler.received.count(b"/1") == COUNT


async def test_head_racing_with_its_timeout_is_answered(
    served: Served,
) -> None:
    handler, address = served
    connections = await keep_alive_connections.open_used_connections(
        address, COUNT, GET % 0
    )
    for connection in connections:
        connection.send((GET % 1)[:9])
    await asyncio.sleep(0.05)
    for connection in connections:
        connection.send((GET % 1)[9:])
    raw_peers.block_event_loop(IDLE_S + 0.1)
    assert await keep_alive_connections.count_ok_responses(connections) == COUNT


async def test_body_racing_with_its_timeout_is_answered(
    served: Served, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(request_bodies, "BODY_TIMEOUT_S", IDLE_S)
    handler, address = served
    connections = await keep_alive_connections.open_used_connections(
        address, COUNT, GET % 0
    )
    for connection in connections:
        connection.send(POST + b"ab")
    await asyncio.sleep(0.05)
    for connection in connections:
        connection.send(b"cd")
    raw_peers.block_event_loop(IDLE_S + 0.1)
    assert await keep_alive_connections.count_ok_responses(connections) == COUNT


async def test_request_of_disconnected_client_is_not_passed_on(
    served: Served,
) -> None:
    handler, address = served
    connections = await keep_alive_connections.open_used_connections(
        address, COUNT, GET % 0
    )
    for connection in connections:
        connection.send(GET % 1)
        connection.close()
    [last] = await keep_alive_connections.open_used_connections(
        address, 1, GET % 2
    )
    assert handler.received.count(b"/1") == 0
    last.close()


async def test_idle_connection_is_closed_and_reported(
    served: Served,
) -> None:
    handler, address = served
    [connection] = await keep_alive_connections.open_used_connections(
        address, 1, GET % 0
    )
    assert await connection.ended()
    closed = await handler.only_closed()
    assert closed.reason is close_reports.CloseReason.IDLE
    assert (closed.answered, closed.in_flight) == (1, False)
    assert closed.rest_time == rest_times.RestTime(told_s=1, held_s=1.5)
    assert not closed.bytes_waiting
    connection.close()


async def test_first_request_is_answered_at_a_shutdown() -> None:
    # Guards against whole requests without an answer: a client connects, the
    # server shuts down before its request is there, and closed the connection.
    handler = recording_handlers.RecordingHandler(DELAY_S)
    listening = server.Server("test", handler, lambda: LIMITS)
    address = bench.free_address()
    listening.listen_on(address)
    used, first, never = [
        keep_alive_connections.KeptConnection() for _ in range(3)
    ]
    for connection in (used, first, never):
        await connection.connect(address)
    used.send(GET % 0)
    assert b" 200 " in await used.answer()
    await asyncio.sleep(0.1)
    listening.finish()
    await asyncio.sleep(0.1)
    first.send(GET % 1)
    answer = await first.answer()
    assert b" 200 " in answer
    assert b"onnection: close" in answer
    assert await used.ended()
    assert await never.ended()
    await asyncio.wait_for(
        listening.wait_ended(), keep_alive_connections.TIMEOUT_S
    )
    for connection in (used, first, never):
        connection.close()


async def test_raised_idle_timeout_applies_to_open_connections() -> None:
    limits = [messages.ClientLimits(idle_timeout_s=IDLE_S)]
    handler = recording_handlers.RecordingHandler(DELAY_S)
    listening = server.Server("test", handler, lambda: limits[0])
    address = bench.free_address()
    listening.listen_on(address)
    connections = await keep_alive_connections.open_used_connections(
        address, COUNT, GET % 0
    )
    limits[0] = messages.ClientLimits(idle_timeout_s=10 * IDLE_S)
    await asyncio.sleep(1.5 * IDLE_S)
    for connection in connections:
        connection.send(GET % 1)
    assert await keep_alive_connections.count_ok_responses(connections) == COUNT
    listening.close_all()


async def test_partial_pipelined_request_has_header_timeout() -> None:
    limits = messages.ClientLimits(header_timeout_s=0.2, idle_timeout_s=60.0)
    handler = recording_handlers.RecordingHandler(DELAY_S)
    listening = server.Server(
        "test", handler, lambda: limits, handler.closed.append
    )
    address = bench.free_address()
    listening.listen_on(address)
    connection = keep_alive_connections.KeptConnection()
    await connection.connect(address)
    connection.send(GET % 1 + (GET % 2)[:9])
    assert b" 200 " in await connection.answer()
    assert (await connection.answer()).startswith(b"HTTP/1.1 408 ")
    assert await connection.ended()
    closed = await handler.only_closed()
    assert closed.reason is close_reports.CloseReason.SLOW_HEAD
    connection.close()
    listening.close_all()
