"""Caller connections closed by a shutdown or an incomplete response.

Guards against a request on a kept-alive connection that is admitted and sent
to an endpoint although its connection is closed without a response. This
happens if a shutdown finds no request in flight while a body is still being
read or a response still being written, and closes the connection. It also
happens if the event loop is blocked, and a single iteration then receives a
request and closes its connection at the end of a shutdown, while closing
connections and admitting requests share no state. `test_callers_times` has
measured figures.
"""

import asyncio
import json
import socket
import time
from typing import Any

import pytest

from martenjunction import http_headers
from martenjunction_lab import bench
from martenjunction_lab import engine
from martenjunction_lab import plain
from tests import caller_builders as builders

pytestmark = builders.ON_EACH_LOOP
event_loop_policy = builders.event_loop_policy
fleet = builders.fleet
log_lines = builders.log_lines


async def test_shutdown_waits_for_a_request_that_is_being_read(
    fleet: bench.Bench,
) -> None:
    callers = await builders.connect_callers(fleet, 2)
    whole = builders.request(builders.CHAT, builders.chat(5, stream=False))
    in_head, in_body = 20, len(whole) - 10
    callers[0].send(whole[:in_head])
    callers[1].send(whole[:in_body])
    drain = asyncio.ensure_future(fleet.daemons[0].drain())
    await asyncio.wait({drain}, timeout=1.0)
    callers[0].send(whole[in_head:])
    callers[1].send(whole[in_body:])
    for caller in callers:
        status, head, _ = await caller.read_response()
        assert (status, builders.header_value(head, "Connection")) == (
            200,
            "close",
        )
    async with asyncio.timeout(builders.WAIT_TIMEOUT_S):
        await drain


async def test_connections_are_not_kept_alive_during_a_shutdown(
    fleet: bench.Bench,
) -> None:
    idle, active = await builders.connect_callers(fleet, 2)
    active.send(
        builders.request(builders.CHAT, builders.chat(60, stream=False))
    )
    await builders.wait_until_in_flight(fleet, 1)
    drain = asyncio.ensure_future(fleet.daemons[0].drain())
    await asyncio.sleep(0)
    idle.send(builders.request(builders.MODELS))
    for caller in (idle, active):
        status, head, _ = await caller.read_response()
        assert (status, builders.header_value(head, "Connection")) == (
            200,
            "close",
        )
        assert await caller.read_remaining() == b""
    async with asyncio.timeout(builders.WAIT_TIMEOUT_S):
        await drain


async def test_shutdown_waits_for_the_last_byte_of_a_response(
    fleet: bench.Bench,
) -> None:
    for stand_in in fleet.outside.engines.values():
        stand_in.speed = engine.EngineSpeed(step_s=0.0, prefill_s=0.0)
    for listening in fleet.daemons[0].listening_sockets():
        listening.setsockopt(
            socket.SOL_SOCKET, socket.SO_SNDBUF, builders.SOCKET_BYTES
        )
    caller = builders.Caller(fleet.addresses[0], builders.SOCKET_BYTES)
    await caller.connect()
    caller.send(
        builders.request(builders.CHAT, builders.chat(20_000, stream=False))
    )
    await builders.wait_until_in_flight(fleet, 1)
    await builders.wait_until_in_flight(fleet, 0)
    drain = asyncio.ensure_future(fleet.daemons[0].drain())
    await asyncio.wait({drain}, timeout=1.0)
    status, head, body = await caller.read_response()
    assert status == 200
    assert len(body) == int(builders.header_value(head, "Content-Length"))
    async with asyncio.timeout(builders.WAIT_TIMEOUT_S):
        await drain


async def test_drain_limit_answers_each_request_in_flight() -> None:
    async with builders.running(
        builders.spec(drain_limit=builders.SHORT_TIMEOUT_S)
    ) as fleet:
        callers = await builders.connect_callers(fleet)
        whole, streamed = callers[:6], callers[6:]
        for caller in whole:
            caller.send(
                builders.request(
                    builders.CHAT,
                    builders.chat(builders.UNENDING_TOKENS, stream=False),
                )
            )
        for caller in streamed:
            caller.send(
                builders.request(
                    builders.CHAT, builders.chat(builders.UNENDING_TOKENS)
                )
            )
        await builders.wait_until_in_flight(fleet, builders.CALLERS)
        for caller in streamed:
            assert "200" in await caller.read_head()
        await fleet.daemons[0].drain()
        for caller in whole:
            status, head, _ = await caller.read_response()
            assert status == 504
            assert (
                builders.header_value(head, http_headers.OUTCOME)
                == "ran-partly"
            )
        for caller in streamed:
            data = await caller.read_remaining()
            assert b"event: error\n" in data
            assert data.endswith(b"0\r\n\r\n")


async def test_drain_limit_rejects_a_late_request_as_not_run() -> None:
    async with builders.running(
        builders.spec(drain_limit=builders.SHORT_TIMEOUT_S)
    ) as fleet:
        caller, active = await builders.connect_callers(fleet, 2)
        whole = builders.request(builders.CHAT, builders.chat(5, stream=False))
        caller.send(whole[:-10])
        active.send(
            builders.request(
                builders.CHAT, builders.chat(builders.UNENDING_TOKENS)
            )
        )
        await builders.wait_until_in_flight(fleet, 1)
        drain = asyncio.ensure_future(fleet.daemons[0].drain())
        await builders.wait_until_in_flight(fleet, 0)
        caller.send(whole[-10:])
        status, head, _ = await caller.read_response()
        assert (status, builders.header_value(head, http_headers.OUTCOME)) == (
            503,
            "not-run",
        )
        async with asyncio.timeout(builders.WAIT_TIMEOUT_S):
            await drain


@pytest.mark.parametrize("passes", range(8))
async def test_response_racing_with_the_drain_limit_is_consistent(
    fleet: bench.Bench, passes: int
) -> None:
    callers = await builders.connect_callers(fleet)
    for caller in callers:
        caller.send(
            builders.request(builders.CHAT, builders.chat(1, stream=False))
        )
    await builders.wait_until_in_flight(fleet, builders.CALLERS)
    # Engines produce the token meanwhile; its bytes are pending when the
    # limit is reached.
    time.sleep(builders.BLOCK_S)
    for _ in range(passes):
        await asyncio.sleep(0)
    fleet.daemons[0].callers.stop_all()
    for caller in callers:
        status, head, body = await caller.read_response()
        outcome = builders.header_value(head, http_headers.OUTCOME)
        if status == 200:
            assert json.loads(body)["usage"] == {"completion_tokens": 1}
        else:
            assert status == 504
            assert outcome in ("not-run", "unknown", "ran-partly")


async def test_immediate_stop_logs_the_requests_that_it_aborts(
    fleet: bench.Bench, log_lines: list[dict[str, Any]]
) -> None:
    (caller,) = await builders.connect_callers(fleet, 1)
    caller.send(
        builders.request(builders.CHAT, builders.chat(builders.UNENDING_TOKENS))
    )
    await builders.wait_until_in_flight(fleet, 1)
    (held,) = fleet.daemons[0].callers.relays
    await fleet.daemons[0].stop()
    fleet.daemons.clear()
    assert builders.closed_connections(log_lines) == [(held, "stop")]


async def test_incomplete_response_is_logged_with_its_request_id(
    fleet: bench.Bench, log_lines: list[dict[str, Any]]
) -> None:
    (service,) = fleet.outside.plains.values()
    service.faults = plain.PlainFaults(break_off=True)
    (caller,) = await builders.connect_callers(fleet, 1)
    caller.send(builders.request(builders.PLAIN_CALL, b"lot"))
    await builders.wait_until_in_flight(fleet, 1)
    (held,) = fleet.daemons[0].callers.relays
    assert (await caller.read_head()).startswith("HTTP/1.1 200")
    assert not (await caller.read_remaining()).endswith(b"0\r\n\r\n")
    assert builders.closed_connections(log_lines) == [(held, "answer-broken")]
