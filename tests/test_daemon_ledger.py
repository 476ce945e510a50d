"""Each request whose head a daemon read has one end, and is counted by it."""

import asyncio
from collections.abc import Callable
import json
import re
from typing import Any

import pytest

from martenjunction import errors
from martenjunction import http_headers
from martenjunction.endpoints import streams
from martenjunction.http1 import request_ledger
from martenjunction.relay import sinks
from martenjunction_lab import bench
from martenjunction_lab import plain
from tests import caller_builders as builders

pytestmark = builders.ON_EACH_LOOP
event_loop_policy = builders.event_loop_policy
fleet = builders.fleet
log_lines = builders.log_lines

End = request_ledger.End

BODY = b"lot"
HALF_CALL = builders.request(builders.PLAIN_CALL, BODY)[: -len(BODY)]
CHUNKED_CALL = builders.request(
    builders.PLAIN_CALL, headers={"Transfer-Encoding": "chunked"}
).replace(b"GET", b"POST")
STREAM = builders.request(
    builders.CHAT, builders.chat(builders.UNENDING_TOKENS)
)


def ends(fleet: bench.Bench) -> dict[str, int]:
    """Returns counts of requests by their ends, without the first request."""
    found = re.findall(
        r"^martenjunction_client_requests_(\w+) (\d+)\.0$",
        fleet.daemons[0].metrics_text().decode(),
        re.MULTILINE,
    )
    counts = {name.replace("_", "-"): int(count) for name, count in found}
    counts[End.ANSWERED] -= 1
    return {name: count for name, count in counts.items() if count}


def unanswered(lines: list[dict[str, Any]]) -> list[dict[str, Any]]:
    return [
        line
        for line in lines
        if line.get("message_type") == "request-without-answer"
    ]


async def connect(fleet: bench.Bench) -> builders.Caller:
    [caller] = await builders.connect_callers(fleet, 1)
    return caller


async def assert_end(fleet: bench.Bench, end: End) -> None:
    async with asyncio.timeout(builders.WAIT_TIMEOUT_S):
        while (found := ends(fleet)) in ({}, {"open": 1}):
            await asyncio.sleep(0.01)
    assert found == {end: 1}


@pytest.mark.parametrize(
    ("sent", "status", "end"),
    [
        (builders.request(builders.CHAT, builders.chat(2)), 200, End.ANSWERED),
        (builders.request(builders.PLAIN_CALL, BODY), 200, End.ANSWERED),
        (builders.request(builders.CHAT, b"{}"), 400, End.ANSWERED),
        (HALF_CALL.replace(b"Bearer", b"Wrong"), 401, End.REFUSED),
        (CHUNKED_CALL + b"zz\r\n", 400, End.REFUSED),
    ],
)
async def test_response_ends_its_request(
    fleet: bench.Bench, sent: bytes, status: int, end: End
) -> None:
    caller = await connect(fleet)
    caller.send(sent)
    assert (await caller.read_head()).startswith(f"HTTP/1.1 {status} ")
    await assert_end(fleet, end)


async def test_slow_body_is_refused(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("martenjunction.listeners.BODY_TIMEOUT", 0.2)
    async with builders.running(builders.spec()) as fleet:
        caller = await connect(fleet)
        caller.send(HALF_CALL)
        assert (await caller.read_head()).startswith("HTTP/1.1 408 ")
        await assert_end(fleet, End.REFUSED)


@pytest.mark.parametrize(
    "leave", [builders.Caller.disconnect, builders.Caller.end_sending]
)
async def test_caller_that_leaves_ends_its_request(
    fleet: bench.Bench, leave: Callable[[builders.Caller], None]
) -> None:
    caller = await connect(fleet)
    caller.send(STREAM)
    await caller.read_head()
    leave(caller)
    await assert_end(fleet, End.CLIENT_GONE)


async def test_response_that_breaks_off_ends_its_request(
    fleet: bench.Bench, log_lines: list[dict[str, Any]]
) -> None:
    (service,) = fleet.outside.plains.values()
    service.faults = plain.PlainFaults(break_off=True)
    caller = await connect(fleet)
    caller.send(builders.request(builders.PLAIN_CALL, BODY))
    await caller.read_remaining()
    await assert_end(fleet, End.BROKEN_OFF)
    assert not unanswered(log_lines)


async def test_request_that_is_not_read_ends_at_a_stop(
    fleet: bench.Bench, log_lines: list[dict[str, Any]]
) -> None:
    caller = await connect(fleet)
    caller.send(HALF_CALL)
    await asyncio.sleep(0.05)
    fleet.daemons[0]._listeners._servers[0].abort()
    assert (await caller.read_head()).startswith("HTTP/1.1 503 ")
    await assert_end(fleet, End.UNREAD)
    assert not unanswered(log_lines)


async def test_close_under_a_request_is_logged_as_one_without_answer(
    fleet: bench.Bench, log_lines: list[dict[str, Any]]
) -> None:
    (service,) = fleet.outside.plains.values()
    service.faults = plain.PlainFaults(delay_s=1.0)
    caller = await connect(fleet)
    caller.send(builders.request(builders.PLAIN_CALL, BODY))
    await builders.wait_until_in_flight(fleet, 1)
    fleet.daemons[0]._listeners._servers[0].abort()
    assert (await caller.read_head()).startswith("HTTP/1.1 502 ")
    await assert_end(fleet, End.GIVEN_UP)
    [line] = unanswered(log_lines)
    assert (line["why"], line["end"]) == ("stop", "given-up")
    assert line["request_id"]
    names = [name for _, name in line["events"]]
    assert names[-3:] == ["head-read", "taken", "close:stop"]


async def test_response_that_breaks_off_after_its_head_gets_an_error_response(
    fleet: bench.Bench,
    log_lines: list[dict[str, Any]],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def break_off(
        stream: streams.EndpointStream,
        sink: sinks.Sink,
        head: streams.ResponseHead,
    ) -> None:
        await sink.start(head)
        raise errors.EndpointBrokenError("no body")

    monkeypatch.setattr("martenjunction.relay.runs._forward_body", break_off)
    caller = await connect(fleet)
    caller.send(builders.request(builders.PLAIN_CALL, BODY))
    status, head, body = await caller.read_response()
    assert (status, builders.header_value(head, http_headers.OUTCOME)) == (
        502,
        "ran-partly",
    )
    assert json.loads(body)["error"]["code"] == "endpoint-failed"
    await assert_end(fleet, End.ANSWERED)
    assert not unanswered(log_lines)
