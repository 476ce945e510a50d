"""Clients that are alive and do not read for some seconds.

Guards against an answer that is broken off because its client reads late. The
kernel counts a closed window like a silent peer, although the client's kernel
acknowledges each probe of it.
"""

import asyncio

import pytest

from martenjunction.http1 import watched_streams
from tests import gateway_requests
from tests import request_changes
from tests import whole_answers

# Seconds for which a client does not read: longer than the kernel bears a
# silent peer.
UNREAD_S = watched_streams.SILENCE_MS / 1000 + 1.5

# Sizes of an answer that the kernel holds as a whole, and of one that does not
# fit into its buffers.
SIZES = [100_000, request_changes.LARGE_BYTES]

# Events of a stream, and the text of each.
EVENTS = 90
EVENT_TEXT = "x" * 1_000

PATIENT = {"Martenjunction-Deadline-Ms": "20000"}


@pytest.mark.parametrize("size", SIZES)
async def test_client_that_reads_late_gets_its_whole_answer(size: int) -> None:
    site = request_changes.Site(timeout_ms=20_000, goal_ms=10_000)
    await site.start()
    client = whole_answers.Client(site.fleet.addresses[0])
    await client.open()
    body = b"x" * size
    await client.send("r1", "/safe/a", body, headers=PATIENT)
    await asyncio.sleep(UNREAD_S)
    answer = await client.receive()
    assert gateway_requests.runs(site.replicas) == 1
    assert (answer.status, answer.whole) == (200, True)
    assert answer.body == b"answer to " + body
    client.close()
    await site.stop()


async def test_client_that_reads_a_stream_late_gets_it_whole() -> None:
    # Events are written all the while, so that its silence is looked for.
    site = request_changes.Site(timeout_ms=20_000, goal_ms=10_000)
    await site.start()
    for stand_in in site.replicas:
        stand_in._events = EVENTS
        stand_in.event_pause_s = UNREAD_S / EVENTS
        stand_in._event_text = lambda _: EVENT_TEXT  # type: ignore
    client = whole_answers.Client(site.fleet.addresses[0])
    await client.open()
    await client.send("r1", "/chat/a", b"hello", headers=PATIENT)
    await asyncio.sleep(UNREAD_S)
    answer = await client.receive()
    assert gateway_requests.runs(site.replicas) == 1
    assert (answer.status, answer.whole) == (200, True)
    assert answer.body.count(EVENT_TEXT.encode()) == EVENTS
    client.close()
    await site.stop()
