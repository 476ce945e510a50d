"""Closes under a request that end it without a word, or leave a socket open."""

import asyncio
import contextlib
import re
import socket
from typing import NoReturn

import pytest
from tornado import iostream

from martenjunction import closing_streams
from martenjunction import fair_streams
from martenjunction.http1 import request_ledger
from martenjunction_lab import bench
from martenjunction_lab import boxes
from martenjunction_lab import plain
from martenjunction_lab.fuzz.families import http_requests
from tests import caller_builders as builders
from tests import gateway_requests
from tests import routing_builders

pytestmark = builders.ON_EACH_LOOP
event_loop_policy = builders.event_loop_policy
fleet = builders.fleet

BODY = b"lot"
HEAD = b"GET / HTTP/1.1\r\n\r\n"


def fail() -> None:
    raise RuntimeError("in the hook")


async def test_stream_whose_hook_fails_is_closed() -> None:
    ours, theirs = socket.socketpair()
    stream = closing_streams.ClosingStream(ours)
    stream.before_close = fail
    with contextlib.suppress(RuntimeError):
        stream.close()
    theirs.settimeout(1.0)
    try:
        assert stream.closed()
        assert theirs.recv(1) == b""
    finally:
        stream.before_close = None
        stream.close()
        theirs.close()


async def test_interim_response_does_not_stand_for_a_final_one(
    fleet: bench.Bench,
) -> None:
    (service,) = fleet.outside.plains.values()
    service.faults = plain.PlainFaults(delay_s=builders.SHORT_TIMEOUT_S)
    (caller,) = await builders.connect_callers(fleet, 1)
    head = builders.request(
        builders.PLAIN_CALL, BODY, {"Expect": "100-continue"}
    ).removesuffix(BODY)
    caller.send(head)
    assert (await caller.read_head()).startswith("HTTP/1.1 100 ")
    caller.send(BODY)
    async with asyncio.timeout(builders.WAIT_TIMEOUT_S):
        while not service.running:
            await asyncio.sleep(0.01)
    caller.end_sending()
    assert (await caller.read_head()).startswith("HTTP/1.1 502 ")


@pytest.mark.parametrize("body", [None, BODY])
async def test_caller_that_ends_its_sending_side_at_once_is_told(
    fleet: bench.Bench, body: bytes | None
) -> None:
    (caller,) = await builders.connect_callers(fleet, 1)
    path = builders.MODELS if body is None else builders.PLAIN_CALL
    caller.send(builders.request(path, body))
    caller.end_sending()
    assert (await caller.read_head()).startswith("HTTP/1.1 ")


async def test_end_behind_a_request_that_is_not_read_yet_closes_nothing() -> (
    None
):
    ours, theirs = socket.socketpair()
    accepted = iostream.IOStream(ours)
    stream = fair_streams.FairStream.over(accepted, lambda: None)
    first = stream.read_until_regex(b"\r\n\r\n", max_bytes=64 * 1024)
    with theirs:
        theirs.send(HEAD)
        assert await first == HEAD
        stream.set_close_callback(lambda: None)
        theirs.send(HEAD)
        theirs.shutdown(socket.SHUT_WR)
        await asyncio.sleep(0.05)
        assert not stream.closed()
        assert await stream.read_until_regex(b"\r\n\r\n") == HEAD
        with pytest.raises(iostream.StreamClosedError):
            await stream.read_until_regex(b"\r\n\r\n")


async def test_each_request_of_a_caller_that_ends_its_sending_side_is_told(
    fleet: bench.Bench,
) -> None:
    (service,) = fleet.outside.plains.values()
    service.faults = plain.PlainFaults(delay_s=builders.SHORT_TIMEOUT_S)
    (caller,) = await builders.connect_callers(fleet, 1)
    call = builders.request(builders.PLAIN_CALL, BODY)
    caller.send(call + builders.request(builders.MODELS))
    caller.end_sending()
    received = await caller.read_remaining()
    first, second = re.findall(rb"HTTP/1\.1 (\d+) ", received)
    # The end of what a caller sends ends a request that it finds under way.
    assert first == b"200" and second in {b"200", b"502"}


async def test_unexpected_error_is_answered_before_the_close(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # The response at the close has the same status as that of the exchange.
    site = boxes.Boxes()
    await site.start(routing_builders.config_document(), boxes=0)
    await site.add_box("box-1")
    await gateway_requests.two_plain(site)

    def fail_to_note(*_: object) -> NoReturn:
        raise RuntimeError("registry failure")

    box = site.gateways[0]
    monkeypatch.setattr(box.registry.runs, "note_response", fail_to_note)
    head, _ = await gateway_requests.ask(site, "/unsafe/")
    assert head.status == 502
    ends = set(box._callers.ledger.ends)
    await site.stop()
    assert not ends & request_ledger.UNEXPECTED


@pytest.mark.parametrize(
    "received",
    [b"GET / HT", b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nab"],
)
async def test_stand_in_stream_that_ends_within_a_request_is_closed(
    received: bytes,
) -> None:
    with socket.socket() as unused:
        read = await http_requests.read_as_box([received], unused)
    assert not read.taken
