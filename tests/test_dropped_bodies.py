"""What clients go on to send after their refusal is dropped, within bounds."""

import asyncio
import dataclasses

import pytest

from martenjunction.decisions.boxes import connection_share
from martenjunction.decisions.boxes import refused_bodies
from martenjunction.http1 import body_gate
from martenjunction.http1 import messages
from martenjunction.http1 import read_timers
from tests import test_refused_bodies as refused

MB = 1024 * 1024

CHUNKED = "Transfer-Encoding: chunked"

# A body of 4 MB in parts, and the pause between them.
PARTS = 10
PAUSE_S = 0.15


@dataclasses.dataclass
class SlowClient:
    """A refused client that sends on until its connection is reset."""

    client: refused.Client
    sending: asyncio.Task[None]

    def stop(self) -> None:
        self.sending.cancel()
        self.client.close()


async def send_chunks_slowly(
    address: str, size: int = 16 * 1024, pause_s: float = 0.02
) -> SlowClient:
    """Returns a client of a body in chunks that has got its refusal."""
    client = await refused.connect(address)
    client.send_head("/x", "", CHUNKED)
    chunk = b"%x\r\n%s\r\n" % (size, bytes(size))
    sending = asyncio.create_task(client.send_slowly(chunk, pause_s))
    head, _ = await client.answer()
    assert head.startswith(b"HTTP/1.1 401 ")
    return SlowClient(client, sending)


async def refuse_memory(
    request: messages.Request, size: int
) -> body_gate.Reservation:
    return body_gate.Reservation(0, False)


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
    assert took_s <= refused_bodies.MAX_DROP_S + refused.AT_ONCE_S
    assert (
        connection._input.received
        <= refused_bodies.MAX_DROPPED_BYTES + 256 * 1024
    )


async def test_sender_without_end_is_read_to_the_end_of_its_body() -> None:
    listening = refused.Listening(lambda: True)
    client = await refused.connect(listening.address)
    client.send_head("/x", "", f"Content-Length: {4 * MB}")
    await client.answer()
    [connection] = listening.server._connections
    sending = asyncio.create_task(client.send_slowly(bytes(64 * 1024), 0.0))
    took_s = await listening.until_unconnected()
    sending.cancel()
    client.close()
    reads = 4 * MB / refused_bodies.READ_BYTES
    longest_s = (
        reads * refused_bodies.READ_INTERVAL_S + refused_bodies.MAX_DROP_S
    )
    assert took_s <= longest_s + refused.AT_ONCE_S
    most = 4 * MB + refused_bodies.MAX_DROPPED_BYTES
    assert connection._input.received <= most + 128 * 1024


async def test_finishing_server_waits_no_longer_for_a_client_in_time() -> None:
    listening = refused.Listening(lambda: True)
    client = await refused.connect(listening.address)
    client.send_head("/x", "", f"Content-Length: {4 * MB}")
    await client.answer()
    sending = asyncio.create_task(client.send_slowly(bytes(16 * 1024), 0.02))
    await asyncio.sleep(refused_bodies.MAX_DROP_S + refused.AT_ONCE_S)
    assert listening.server.connections
    listening.server.finish()
    took_s = await listening.until_unconnected()
    sending.cancel()
    client.close()
    assert took_s <= read_timers.SHUTDOWN_READ_TIMEOUT_S + refused.AT_ONCE_S


async def test_client_that_is_dropped_makes_room_for_a_new_one() -> None:
    share = connection_share.ConnectionShare(1)
    listening = refused.Listening(lambda: True, share)
    client = await refused.connect(listening.address)
    client.send_head("/x", "", f"Content-Length: {4 * MB}")
    await client.answer()
    sending = asyncio.create_task(client.send_slowly(bytes(16 * 1024), 0.02))
    await asyncio.sleep(refused_bodies.MAX_DROP_S)
    second = await refused.connect(listening.address)
    second.send_head("/x", "", f"Content-Length: {4 * MB}")
    head, _ = await second.answer(refused.AT_ONCE_S)
    assert head.startswith(b"HTTP/1.1 401 ")
    sending.cancel()
    client.close()
    second.close()
    await listening.until_unconnected()


async def test_few_bodies_of_unknown_length_are_read_on_for(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(refused_bodies, "MAX_OPEN_BODIES", 1)
    listening = refused.Listening(lambda: True)
    first = await send_chunks_slowly(listening.address)
    second = await send_chunks_slowly(listening.address)
    await asyncio.sleep(refused_bodies.MAX_DROP_S + refused.AT_ONCE_S)
    assert second.sending.done()
    assert not first.sending.done()
    first.stop()
    # The place is free once the first client has left.
    await listening.until_unconnected()
    third = await send_chunks_slowly(listening.address)
    await asyncio.sleep(refused_bodies.MAX_DROP_S + refused.AT_ONCE_S)
    assert not third.sending.done()
    third.stop()
    second.stop()
    await listening.until_unconnected()


async def test_body_of_unknown_length_is_not_read_on_for_without_memory(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    listening = refused.Listening(lambda: False)
    monkeypatch.setattr(listening.gate, "reserve", refuse_memory)
    slow = await send_chunks_slowly(listening.address)
    took_s = await listening.until_unconnected()
    slow.stop()
    assert took_s <= refused_bodies.MAX_DROP_S + refused.AT_ONCE_S


async def test_body_of_unknown_length_is_read_to_the_longest_allowed() -> None:
    listening = refused.Listening(lambda: True)
    client = await send_chunks_slowly(listening.address, 64 * 1024, 0.0)
    [connection] = listening.server._connections
    took_s = await listening.until_unconnected()
    client.stop()
    reads = 4 * MB / refused_bodies.READ_BYTES
    longest_s = (
        reads * refused_bodies.READ_INTERVAL_S + refused_bodies.MAX_DROP_S
    )
    assert took_s <= longest_s + refused.AT_ONCE_S
    most = 4 * MB + refused_bodies.MAX_DROPPED_BYTES
    assert connection._input.received <= most + 128 * 1024


def test_all_refused_clients_share_what_is_read() -> None:
    body = refused_bodies.RefusedBody(4 * MB, 0.0)
    assert body.grant(4 * MB) == refused_bodies.READ_BYTES
    assert body.grant(1000) == 1000
    assert body.grant(-1) == 0


def test_body_that_takes_too_long_is_not_waited_for() -> None:
    needed = 4 * MB * refused_bodies.READ_INTERVAL_S / refused_bodies.MAX_BODY_S
    for size, phase in (
        (needed * 0.9, refused_bodies.Phase.ENDED),
        (needed * 1.1, refused_bodies.Phase.BODY),
    ):
        body = refused_bodies.RefusedBody(4 * MB, 0.0)
        for number in range(22):
            assert number > 18 or body.phase is refused_bodies.Phase.BODY
            body.note_read(int(size), 0.0)
        assert body.phase is phase
        body.note_time(refused_bodies.MAX_BODY_S)
        assert body.phase is refused_bodies.Phase.ENDED


def test_body_is_given_up_that_stays_unread() -> None:
    body = refused_bodies.RefusedBody(4 * MB, 0.0)
    body.note_read(MB, 1.0)
    body.note_time(1.9)
    assert body.phase is refused_bodies.Phase.BODY
    body.note_time(2.0)
    assert body.phase is refused_bodies.Phase.ENDED


def test_body_of_unknown_length_that_pauses_is_not_waited_for() -> None:
    body = refused_bodies.RefusedBody(4 * MB, 0.0, is_known=False)
    body.note_read(1000, 2.0)
    body.note_read(0, 2.9)
    body.note_time(2.9)
    assert body.phase is refused_bodies.Phase.OPEN
    body.note_read(0, 3.0)
    body.note_time(3.0)
    assert body.phase is refused_bodies.Phase.ENDED


def test_body_of_unknown_length_has_a_longest_time() -> None:
    body = refused_bodies.RefusedBody(4 * MB, 0.0, is_known=False)
    longest_s = refused_bodies.MAX_BODY_S
    body.note_read(1000, longest_s - 0.1)
    body.note_time(longest_s - 0.1)
    assert body.phase is refused_bodies.Phase.OPEN
    body.note_time(longest_s)
    assert body.phase is refused_bodies.Phase.ENDED


def test_body_that_is_one_too_many_is_dropped_as_outside_a_body() -> None:
    body = refused_bodies.RefusedBody(4 * MB, 0.0, is_known=False)
    body.note_excess(0.0)
    body.note_read(refused_bodies.MAX_DROPPED_BYTES, 0.5)
    assert body.grant(4 * MB) == 0
    body.note_time(refused_bodies.MAX_DROP_S)
    assert body.phase is refused_bodies.Phase.ENDED
