"""What is read in one turn of the event loop beside the HTTP/1 connections."""

import asyncio
from types import SimpleNamespace
from typing import cast

import pytest
from tornado import iostream

from martenjunction.http1 import streams
from martenjunction.tunnels import framing
from martenjunction.tunnels import server as tunnel_server
from tests import raw_peers
from tests import turn_counts

# Maximum number of parsed frames or chunks in one turn.
MAX_PARTS = 1024

# Maximum bytes that a tunnel passes on in one turn.
MAX_COPIED_BYTES = 512 * 1024


# Tunnels.


class ReadyStream:
    """A stream whose reads and writes are done at once."""

    def __init__(self, data: bytes, reads: int) -> None:
        self._data = data
        self._left = reads
        self.written = 0

    def read_bytes(self, size: int, partial: bool) -> "asyncio.Future[bytes]":
        assert partial
        future = asyncio.get_running_loop().create_future()
        if self._left:
            self._left -= 1
            future.set_result(self._data[:size])
        else:
            future.set_exception(iostream.StreamClosedError())
        return future

    def write(self, data: bytes) -> "asyncio.Future[None]":
        self.written += len(data)
        future = asyncio.get_running_loop().create_future()
        future.set_result(None)
        return future


async def test_tunnel_of_tiny_frames_takes_short_turns(
    monkeypatch: pytest.MonkeyPatch, peer: raw_peers.RawPeer
) -> None:
    counts = turn_counts.TurnCount()
    data = framing.encode(b"x") * 30_000 + framing.END
    counting = SimpleNamespace(
        size=framing._LENGTH.size,
        unpack=counts.counting(framing._LENGTH.unpack),
    )
    monkeypatch.setattr(framing, "_LENGTH", counting)
    stream = streams.new_stream()
    await streams.connect(stream, peer.address, 1.0)
    accepted = await peer.accept()
    sending = asyncio.ensure_future(
        asyncio.get_running_loop().sock_sendall(accepted, data)
    )
    source = framing.FramedSource(stream)
    received = 0
    with counts.start():
        while part := await source.read():
            received += len(part)
    await sending
    stream.close()
    assert received == 30_000
    assert counts.total == 30_001
    assert counts.longest <= MAX_PARTS


async def test_frames_that_are_not_decoded_yet_wait_to_be_read(
    peer: raw_peers.RawPeer,
) -> None:
    # Guards against a connection that is used again while bytes after the end
    # of a response wait.
    stream = streams.new_stream()
    await streams.connect(stream, peer.address, 1.0)
    accepted = await peer.accept()
    frames = framing.MAX_FRAMES_AT_ONCE + 1
    accepted.sendall(framing.encode(b"x") * frames)
    source = framing.FramedSource(stream)
    assert len(await source.read()) == framing.MAX_FRAMES_AT_ONCE
    assert source.has_pending_result
    assert source.bytes_waiting
    assert await source.read() == b"x"
    assert not source.has_pending_result
    assert not source.bytes_waiting
    stream.close()


@pytest.mark.parametrize("size", [1, streams.CHUNK_BYTES])
async def test_tunnel_passes_bytes_on_in_short_turns(size: int) -> None:
    counts = turn_counts.TurnCount()
    reads = 400
    source = ReadyStream(b"x" * size, reads)
    target = ReadyStream(b"", 0)
    source.read_bytes = counts.counting(source.read_bytes)  # type: ignore
    with counts.start():
        await tunnel_server._copy(
            cast(iostream.IOStream, source),
            cast(iostream.IOStream, target),
            False,
        )
    assert target.written == reads * size
    assert counts.longest * size <= MAX_COPIED_BYTES
    assert counts.longest <= MAX_PARTS // 8
