"""What is read in one turn of the event loop beside the HTTP/1 connections."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
from types import SimpleNamespace
from typing import cast

import pytest
from tornado import http1connection
from tornado import iostream
from tornado import web
from websockets import protocol
from websockets.asyncio import client as ws_client

from martenjunction import http_server
from martenjunction.endpoints import client
from martenjunction.endpoints import streams as endpoint_streams
from martenjunction.http1 import streams
from martenjunction.peers import codec
from martenjunction.peers import handshake
from martenjunction.peers import hub
from martenjunction.peers import links
from martenjunction.tunnels import framing
from martenjunction.tunnels import server as tunnel_server
from martenjunction_lab import bench
from martenjunction_lab import boxes
from tests import linked_hubs
from tests import raw_peers
from tests import turn_counts

# Maximum number of parsed frames or chunks in one turn.
MAX_PARTS = 1024

# Number of connections that send at the same time.
SENDERS = 20

# Timeout of a request body in seconds, and seconds until it must have ended the
# connection.
BODY_TIMEOUT_S = 0.5
ENDED_S = 5.0

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


# The HTTP server of a daemon.


@web.stream_request_body
class DroppingHandler(web.RequestHandler):
    """Answers with the size of a body that it does not keep."""

    def prepare(self) -> None:
        self._size = 0

    def data_received(self, chunk: bytes) -> None:
        self._size += len(chunk)

    def post(self) -> None:
        self.finish(str(self._size))


@contextlib.asynccontextmanager
async def served(body_timeout_s: float = 60.0) -> AsyncIterator[str]:
    """Yields the address of a server whose bodies have no maximum size."""
    server = http_server.Server(
        web.Application([("/.*", DroppingHandler)]),
        max_body_size=2**40,
        idle_connection_timeout=60.0,
        body_timeout=body_timeout_s,
    )
    server.listen(0, "127.0.0.1")
    [listening] = server._sockets.values()
    host, port = listening.getsockname()
    yield f"{host}:{port}"
    server.abort()
    await server.close_all_connections()


def request_head(framing_header: str) -> bytes:
    return (
        "POST /x HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
        f"{framing_header}\r\n\r\n"
    ).encode()


CHUNKED = request_head("Transfer-Encoding: chunked")


def chunk(size: int) -> bytes:
    return b"%x\r\n%b\r\n" % (size, b"x" * size)


async def answers_to(
    data: bytes, count: int
) -> tuple[list[bytes], turn_counts.TurnCount]:
    """Sends the same data over several connections at the same time."""
    counts = turn_counts.TurnCount()
    async with served() as address:
        senders = [turn_counts.FastSender(address, data) for _ in range(count)]
        with pytest.MonkeyPatch.context() as patch, counts.start():
            parse = counts.counting(http1connection.parse_hex_int)
            patch.setattr(http1connection, "parse_hex_int", parse)
            answers = await asyncio.gather(*(one.answer() for one in senders))
        for one in senders:
            one.close()
    return answers, counts


async def test_daemon_parses_chunks_of_all_connections_in_short_turns() -> None:
    chunks = 1200
    data = CHUNKED + chunk(16) * chunks + b"0\r\n\r\n"
    answers, counts = await answers_to(data, SENDERS)
    assert {answer.split(b"\r\n")[0] for answer in answers} == {
        b"HTTP/1.1 200 OK"
    }
    assert {answer.split(b"\r\n\r\n")[1] for answer in answers} == {
        str(16 * chunks).encode()
    }
    assert counts.total == SENDERS * (chunks + 1)
    assert counts.longest <= MAX_PARTS


async def test_daemon_refuses_a_body_whose_framing_outweighs_its_data() -> None:
    data = CHUNKED + chunk(1) * 40_000 + b"0\r\n\r\n"
    [answer], counts = await answers_to(data, 1)
    assert answer.startswith(b"HTTP/1.1 400 ")
    assert counts.total < 5_000


async def test_daemon_ends_a_body_whose_bytes_are_always_ready() -> None:
    chunks = chunk(16) * 4096
    async with served(BODY_TIMEOUT_S) as address:
        sender = turn_counts.FastSender(address, CHUNKED, chunks, 2**20)
        try:
            async with asyncio.timeout(ENDED_S):
                answer = await sender.answer()
        finally:
            sender.close()
    # The answer may be lost where unread bytes reset the connection.
    assert answer.startswith(b"HTTP/1.1 408 ") or not answer


# The client of a daemon.


async def test_tiny_chunks_of_an_endpoint_take_short_turns(
    monkeypatch: pytest.MonkeyPatch,
    peer: raw_peers.RawPeer,
    http: client.EndpointClient,
) -> None:
    counts = turn_counts.TurnCount()
    on_body = counts.counting(endpoint_streams.EndpointStream.on_body)
    monkeypatch.setattr(
        endpoint_streams.EndpointStream, "on_body", lambda *a: on_body(*a)
    )
    chunks = 50_000
    head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    stream = http.open(
        client.EndpointRequest("GET", f"http://{peer.address}/", [])
    )
    accepted = await peer.accept()
    await peer.request(accepted)
    data = head + chunk(1) * chunks + b"0\r\n\r\n"
    sending = asyncio.ensure_future(
        asyncio.get_running_loop().sock_sendall(accepted, data)
    )
    await stream.head()
    received = 0
    with counts.start():
        while part := await stream.read():
            received += len(part)
    await sending
    assert received == chunks
    assert counts.longest <= MAX_PARTS


# Connections between boxes.

# A frame of a link that acknowledges nothing and has no messages.
EMPTY_BATCH = b"\x00\x00\x00\x00" + codec.encode_batch([])


@pytest.fixture
async def listening() -> AsyncIterator[tuple[hub.PeerHub, str]]:
    address = bench.free_address()
    made = linked_hubs.new_hub(address)
    await made.start()
    yield made, address
    await made.stop()


async def test_unauthenticated_peer_takes_short_turns(
    monkeypatch: pytest.MonkeyPatch,
    listening: tuple[hub.PeerHub, str],
) -> None:
    counts = turn_counts.TurnCount()
    receive = counts.counting(protocol.Protocol.recv_frame)
    monkeypatch.setattr(protocol.Protocol, "recv_frame", lambda *a: receive(*a))
    frames = 20_000
    with counts.start():
        sender = turn_counts.FastSender(
            listening[1], linked_hubs.UPGRADE + linked_hubs.EMPTY_PING * frames
        )
        await boxes.until(lambda: counts.total >= frames)
    sender.close()
    assert counts.longest <= MAX_PARTS


async def test_link_processes_queued_frames_in_short_turns(
    monkeypatch: pytest.MonkeyPatch,
    listening: tuple[hub.PeerHub, str],
) -> None:
    counts = turn_counts.TurnCount()
    read = counts.counting(links.Link._read)
    monkeypatch.setattr(links.Link, "_read", lambda *a: read(*a))
    frames = 20_000
    async with ws_client.connect(
        f"ws://{listening[1]}/", compression=None, proxy=None
    ) as connection:
        await handshake.perform_client_handshake(
            connection, linked_hubs.member("box-2"), linked_hubs.KEY
        )
        with counts.start():
            for _ in range(frames):
                connection.protocol.send_binary(EMPTY_BATCH)
            connection.transport.write(
                b"".join(connection.protocol.data_to_send())
            )
            await boxes.until(lambda: counts.total == frames)
        assert listening[0].is_connected("box-2")
    assert counts.longest <= MAX_PARTS // 4


async def test_long_frame_of_the_handshake_is_refused_undecoded(
    monkeypatch: pytest.MonkeyPatch,
    listening: tuple[hub.PeerHub, str],
) -> None:
    counts = turn_counts.TurnCount()
    decode = counts.counting(codec.decode_batch)
    monkeypatch.setattr(codec, "decode_batch", decode)
    async with ws_client.connect(
        f"ws://{listening[1]}/", compression=None, proxy=None
    ) as connection:
        await connection.recv()
        await connection.send(b"\x80" * (handshake.MAX_HANDSHAKE_BYTES + 1))
        await boxes.until(lambda: listening[0].refused == 1)
    assert not counts.total
