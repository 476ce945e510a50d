"""Memory that bodies take in a box.

Guards against copies of a body: parts that were kept in the event loop's queue
while more could be read, the parts and the joined body, the body beside the
message that was sent, and a request that was held until the next one came. A
box with a limit of 150 MB was killed by 19 clients with bodies of 4 MB.
"""

import asyncio
import pathlib
import threading
import tracemalloc

from tornado import iostream

from martenjunction.http1 import client
from martenjunction.http1 import streams
from martenjunction_lab import large_bodies
from tests import large_bodies_table
from tests import raw_peers

MB = 1_000_000
BODY_BYTES = 4 * MB
CLIENTS = 16
MEMORY_BYTES = 300 * 2**20

# Resident bytes of a box for each byte of a body that it holds.
MAX_BYTES_PER_BYTE = 1.1


async def test_box_holds_a_body_once(tmp_path: pathlib.Path) -> None:
    trial = large_bodies.Trial(CLIENTS, BODY_BYTES, deadline_ms=20_000)
    async with large_bodies_table.played(trial, tmp_path, MEMORY_BYTES) as (
        outcome,
        _,
    ):
        assert set(outcome.statuses) == {200}
        assert outcome.bytes_per_byte(trial) <= MAX_BYTES_PER_BYTE


async def test_parts_that_were_read_are_not_kept(
    peer: raw_peers.RawPeer,
) -> None:
    connection = client.ClientConnection(peer.address)
    await connection.open(5.0)
    sender = await peer.accept()
    sender.setblocking(True)
    data = bytes(2 * BODY_BYTES)
    sending = threading.Thread(target=sender.sendall, args=(data,))
    source = connection._source
    assert source is not None
    sending.start()
    tracemalloc.start()
    try:
        left = len(data)
        while left:
            left -= len(await source.read())
        _, peak = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    sending.join()
    connection.abort()
    assert peak < MB


class Recorder:
    """Records what is written."""

    def __init__(self) -> None:
        self.written: list[memoryview] = []

    def write(self, data: memoryview) -> "asyncio.Future[None]":
        self.written.append(data)
        done = asyncio.get_running_loop().create_future()
        done.set_result(None)
        return done


async def test_large_body_is_written_without_a_copy() -> None:
    body = bytearray(BODY_BYTES)
    stream: iostream.IOStream = Recorder()  # type: ignore[assignment]
    await streams.write(stream, [b"head", body, b""])
    assert [view.obj for view in stream.written][1] is body  # type: ignore[attr-defined]


async def test_small_message_is_written_at_once() -> None:
    stream: iostream.IOStream = Recorder()  # type: ignore[assignment]
    await streams.write(stream, [b"head", b"body"])
    assert [bytes(v) for v in stream.written] == [b"headbody"]  # type: ignore[attr-defined]
