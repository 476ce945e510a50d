"""Caller connections closed by the idle, head and body timeouts.

Guards against a request on a kept-alive connection that is admitted and sent
to an endpoint although its connection is closed without a response. This
happens if the event loop is blocked, and a single iteration then receives a
request and closes its connection on the idle timeout, while closing
connections and admitting requests share no state. With 12 kept-alive
connections and the loop blocked past the idle timeout, 12 requests were read
and none was answered.
"""

import asyncio
import time

import pytest

from martenjunction import http_headers
from martenjunction import http_server
from martenjunction import listeners
from tests import caller_builders as builders

pytestmark = builders.ON_EACH_LOOP
event_loop_policy = builders.event_loop_policy


async def test_request_before_the_idle_timeout_is_answered(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(listeners, "IDLE_CONNECTION", builders.SHORT_TIMEOUT_S)
    async with builders.running(builders.spec()) as fleet:
        callers = await builders.connect_callers(fleet)
        await asyncio.sleep(builders.SHORT_TIMEOUT_S - builders.LEAD_S)
        for caller in callers:
            caller.send(builders.request(builders.MODELS))
        time.sleep(builders.BLOCK_S)
        statuses = [(await caller.read_response())[0] for caller in callers]
    assert statuses == [200] * builders.CALLERS


async def test_idle_connection_is_closed_at_the_idle_timeout(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(listeners, "IDLE_CONNECTION", builders.SHORT_TIMEOUT_S)
    async with builders.running(builders.spec()) as fleet:
        for caller in await builders.connect_callers(fleet):
            assert await caller.read_remaining() == b""


async def test_caller_is_told_how_long_its_connection_may_rest() -> None:
    async with builders.running(builders.spec()) as fleet:
        [caller] = await builders.connect_callers(fleet, 1)
        caller.send(builders.request(builders.MODELS))
        _, head, _ = await caller.read_response()
    told = builders.header_value(head, "Keep-Alive")
    assert told == f"timeout={int(listeners.IDLE_CONNECTION) - 1}"
    assert builders.header_value(head, "Connection") == "keep-alive"


async def test_started_head_has_its_own_timeout(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(listeners, "IDLE_CONNECTION", builders.SHORT_TIMEOUT_S)
    monkeypatch.setattr(
        http_server, "HEAD_TIMEOUT", 2 * builders.SHORT_TIMEOUT_S
    )
    async with builders.running(builders.spec()) as fleet:
        late, never = await builders.connect_callers(fleet, 2)
        whole = builders.request(builders.MODELS)
        for caller in (late, never):
            caller.send(whole[:20])
        await asyncio.sleep(2 * builders.SHORT_TIMEOUT_S)
        late.send(whole[20:])
        assert (await late.read_response())[0] == 200
        status, head, _ = await never.read_response()
        assert (status, builders.header_value(head, http_headers.OUTCOME)) == (
            408,
            "not-run",
        )
        assert await never.read_remaining() == b""


async def test_body_before_the_body_timeout_is_accepted(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(listeners, "BODY_TIMEOUT", builders.SHORT_TIMEOUT_S)
    async with builders.running(builders.spec()) as fleet:
        callers = await builders.connect_callers(fleet)
        whole = builders.request(builders.CHAT, builders.chat(5, stream=False))
        for caller in callers:
            caller.send(whole[:-10])
        await asyncio.sleep(builders.SHORT_TIMEOUT_S - builders.LEAD_S)
        for caller in callers:
            caller.send(whole[-10:])
        time.sleep(builders.BLOCK_S)
        statuses = [(await caller.read_response())[0] for caller in callers]
    assert statuses == [200] * builders.CALLERS


async def test_missing_body_is_reported_as_not_run(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(listeners, "BODY_TIMEOUT", builders.SHORT_TIMEOUT_S)
    async with builders.running(builders.spec()) as fleet:
        (caller,) = await builders.connect_callers(fleet, 1)
        caller.send(builders.request(builders.CHAT, builders.chat(5))[:-10])
        status, head, _ = await caller.read_response()
        assert (status, builders.header_value(head, http_headers.OUTCOME)) == (
            408,
            "not-run",
        )
        assert builders.header_value(head, "Connection") == "close"
        assert await caller.read_remaining() == b""
