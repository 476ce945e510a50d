"""What clients go on to send after their refusal is dropped, within bounds."""

import asyncio

import pytest

from martenjunction.http1 import discarding
from martenjunction.http1 import read_timers
from tests import test_refused_bodies as refused

MB = 1024 * 1024

CHUNKED = "Transfer-Encoding: chunked"

# A body of 4 MB in parts, and the pause between them.
PARTS = 10
PAUSE_S = 0.15


@pytest.mark.parametrize("line", [f"Content-Length: {4 * MB}", CHUNKED])
async def test_answer_reaches_a_client_that_sends_for_long(line: str) -> None:
    # Clients that sent for over 1 s after their refusal lost it.
    listening = refused.Listening(lambda: True)
    client = await refused.connect(listening.address)
    client.send_head("/x", "", line)
    part = bytes(4 * MB // PARTS)
    if line == CHUNKED:
        part = b"%x\r\n%s\r\n" % (len(part), part)
    for _ in range(PARTS):
        await client.send_all(part)
        await asyncio.sleep(PAUSE_S)
    head, _ = await client.answer()
    await client.until_closed()
    client.close()
    assert head.startswith(b"HTTP/1.1 401 ")
    await listening.until_unconnected()


async def test_finishing_server_waits_no_longer_for_a_refused_body() -> None:
    listening = refused.Listening(lambda: True)
    client = await refused.connect(listening.address)
    client.send_head("/x", "", f"Content-Length: {MB}")
    await client.answer()
    listening.server.finish()
    sending = asyncio.create_task(client.send_slowly(bytes(1024), 0.02))
    took_s = await listening.until_unconnected()
    sending.cancel()
    client.close()
    assert took_s <= read_timers.SHUTDOWN_READ_TIMEOUT_S + refused.AT_ONCE_S


async def test_what_is_dropped_outside_a_body_is_bounded() -> None:
    listening = refused.Listening(lambda: True)
    client = await refused.connect(listening.address)
    client.send(b"POST /x HTTP/1.1\r\nX: " + bytes(64 * 1024))
    head, _ = await client.answer()
    assert head.startswith(b"HTTP/1.1 4")
    [connection] = listening.server._connections
    sending = asyncio.create_task(client.send_slowly(bytes(64 * 1024), 0.0))
    took_s = await listening.until_unconnected()
    sending.cancel()
    client.close()
    assert took_s <= discarding.MAX_DROP_S + refused.AT_ONCE_S
    assert (
        connection._input.received <= discarding.MAX_DROPPED_BYTES + 256 * 1024
    )
