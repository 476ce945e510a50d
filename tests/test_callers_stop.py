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


async def test_stop_waits_for_a_request_that_is_being_read(
    fleet: bench.Bench,
) -> None:
    callers = await builders.callers_of(fleet, 2)
    whole = builders.request(builders.CHAT, builders.chat(5, stream=False))
    in_head, in_body = 20, len(whole) - 10
    callers[0].send(whole[:in_head])
    callers[1].send(whole[:in_body])
    drain = asyncio.ensure_future(fleet.daemons[0].drain())
    await asyncio.wait({drain}, timeout=1.0)
    callers[0].send(whole[in_head:])
    callers[1].send(whole[in_body:])
    for caller in callers:
        status, head, _ = await caller.answer()
        assert (status, builders.field(head, "Connection")) == (200, "close")
    async with asyncio.timeout(builders.LIMIT):
        await drain


async def test_connections_are_not_kept_once_a_stop_began(
    fleet: bench.Bench,
) -> None:
    resting, holding = await builders.callers_of(fleet, 2)
    holding.send(
        builders.request(builders.CHAT, builders.chat(60, stream=False))
    )
    await builders.until_held(fleet, 1)
    drain = asyncio.ensure_future(fleet.daemons[0].drain())
    await asyncio.sleep(0)
    resting.send(builders.request(builders.MODELS))
    for caller in (resting, holding):
        status, head, _ = await caller.answer()
        assert (status, builders.field(head, "Connection")) == (200, "close")
        assert await caller.rest() == b""
    async with asyncio.timeout(builders.LIMIT):
        await drain


async def test_stop_waits_for_the_last_byte_of_an_answer(
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
    await builders.until_held(fleet, 1)
    await builders.until_held(fleet, 0)
    drain = asyncio.ensure_future(fleet.daemons[0].drain())
    await asyncio.wait({drain}, timeout=1.0)
    status, head, body = await caller.answer()
    assert status == 200
    assert len(body) == int(builders.field(head, "Content-Length"))
    async with asyncio.timeout(builders.LIMIT):
        await drain


async def test_stop_at_its_limit_answers_each_held_request() -> None:
    async with builders.running(
        builders.spec(drain_limit=builders.SHORT)
    ) as fleet:
        callers = await builders.callers_of(fleet)
        whole, streamed = callers[:6], callers[6:]
        for caller in whole:
            caller.send(
                builders.request(
                    builders.CHAT, builders.chat(builders.ENDLESS, stream=False)
                )
            )
        for caller in streamed:
            caller.send(
                builders.request(builders.CHAT, builders.chat(builders.ENDLESS))
            )
        await builders.until_held(fleet, builders.CALLERS)
        for caller in streamed:
            assert "200" in await caller.head()
        await fleet.daemons[0].drain()
        for caller in whole:
            status, head, _ = await caller.answer()
            assert status == 504
            assert builders.field(head, http_headers.OUTCOME) == "ran-partly"
        for caller in streamed:
            data = await caller.rest()
            assert b"event: error\n" in data
            assert data.endswith(b"0\r\n\r\n")


async def test_stop_at_its_limit_tells_a_late_request_that_it_was_not_run() -> (
    None
):
    async with builders.running(
        builders.spec(drain_limit=builders.SHORT)
    ) as fleet:
        caller, holding = await builders.callers_of(fleet, 2)
        whole = builders.request(builders.CHAT, builders.chat(5, stream=False))
        caller.send(whole[:-10])
        holding.send(
            builders.request(builders.CHAT, builders.chat(builders.ENDLESS))
        )
        await builders.until_held(fleet, 1)
        drain = asyncio.ensure_future(fleet.daemons[0].drain())
        await builders.until_held(fleet, 0)
        caller.send(whole[-10:])
        status, head, _ = await caller.answer()
        assert (status, builders.field(head, http_headers.OUTCOME)) == (
            503,
            "not-run",
        )
        async with asyncio.timeout(builders.LIMIT):
            await drain


@pytest.mark.parametrize("passes", range(8))
async def test_answer_that_meets_the_limit_of_a_stop_is_told_one_way(
    fleet: bench.Bench, passes: int
) -> None:
    callers = await builders.callers_of(fleet)
    for caller in callers:
        caller.send(
            builders.request(builders.CHAT, builders.chat(1, stream=False))
        )
    await builders.until_held(fleet, builders.CALLERS)
    # Engines produce the token meanwhile; its bytes are pending when the
    # limit is reached.
    time.sleep(builders.HOLD_UP)
    for _ in range(passes):
        await asyncio.sleep(0)
    fleet.daemons[0].callers.stop_all()
    for caller in callers:
        status, head, body = await caller.answer()
        outcome = builders.field(head, http_headers.OUTCOME)
        if status == 200:
            assert json.loads(body)["usage"] == {"completion_tokens": 1}
        else:
            assert status == 504
            assert outcome in ("not-run", "unknown", "ran-partly")


async def test_stop_at_once_logs_the_requests_that_it_cuts_off(
    fleet: bench.Bench, log_lines: list[dict[str, Any]]
) -> None:
    (caller,) = await builders.callers_of(fleet, 1)
    caller.send(
        builders.request(builders.CHAT, builders.chat(builders.ENDLESS))
    )
    await builders.until_held(fleet, 1)
    (held,) = fleet.daemons[0].callers.relays
    await fleet.daemons[0].stop()
    fleet.daemons.clear()
    assert builders.cut_off(log_lines) == [(held, "stop")]


async def test_answer_that_breaks_off_is_logged_with_its_id(
    fleet: bench.Bench, log_lines: list[dict[str, Any]]
) -> None:
    (service,) = fleet.outside.plains.values()
    service.faults = plain.PlainFaults(break_off=True)
    (caller,) = await builders.callers_of(fleet, 1)
    caller.send(builders.request(builders.BOOKING, b"lot"))
    await builders.until_held(fleet, 1)
    (held,) = fleet.daemons[0].callers.relays
    assert (await caller.head()).startswith("HTTP/1.1 200")
    assert not (await caller.rest()).endswith(b"0\r\n\r\n")
    assert builders.cut_off(log_lines) == [(held, "answer-broken")]
