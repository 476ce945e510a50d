"""The memory of a client's connection is free once it is closed.

Guards against connections in reference cycles: refused clients that began anew
left some 300 closed ones, 3 MiB, until a collection, which a box of 100 MiB had
none of in seven seconds.
"""

import asyncio
from collections.abc import Iterator
import gc
import weakref

import pytest

from martenjunction.http1 import streams
from tests import raw_peers
from tests import test_dropped_bodies as dropped
from tests import test_refused_bodies as refused

CHUNK = b"4000\r\n" + bytes(0x4000) + b"\r\n"


@pytest.fixture
def no_collections() -> Iterator[None]:
    gc.collect()
    gc.disable()
    yield
    gc.enable()


@pytest.mark.usefixtures("no_collections")
@pytest.mark.parametrize("is_refused", [False, True])
async def test_closed_connection_waits_for_no_collection(
    is_refused: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    listening = refused.Listening(lambda: is_refused)
    if is_refused:
        monkeypatch.setattr(listening.gate, "reserve", dropped.refuse_memory)
    client = await refused.connect(listening.address)
    client.send_head("/x", "", dropped.CHUNKED)
    client.send(8 * CHUNK + b"0\r\n\r\n")
    head, _ = await client.answer()
    assert head.startswith(b"HTTP/1.1 401 ") is is_refused
    listening.handler.connections.clear()
    [kept] = map(weakref.ref, listening.server._connections)
    stream = weakref.ref(kept()._stream)  # type: ignore[union-attr]
    client.close()
    await listening.until_unconnected()
    await asyncio.sleep(0.05)
    assert kept() is None
    assert stream() is None


@pytest.mark.usefixtures("no_collections")
async def test_read_of_a_closed_stream_keeps_nothing(
    peer: raw_peers.RawPeer,
) -> None:
    stream = streams.new_stream()
    await streams.connect(stream, peer.address, 1.0)
    source = streams.ByteSource(stream)
    kept = weakref.ref(source), weakref.ref(stream)
    stream.close()
    assert await source.read() == b""
    del source, stream
    await asyncio.sleep(0)
    assert [ref() for ref in kept] == [None, None]
