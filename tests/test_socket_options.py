"""When the kernel gives up on a peer that fell silent."""

import asyncio
import socket

import pytest

from martenjunction.http1 import client
from martenjunction.http1 import peer_ends
from martenjunction.http1 import server
from martenjunction.http1 import server_connection
from martenjunction.http1 import streams
from martenjunction.http1 import watched_streams
from martenjunction.platform import documents
from martenjunction_lab import boxes
from tests import raw_peers
from tests import request_changes
from tests import test_dark_clients

# Options by which the kernel gives up, of level IPPROTO_TCP.
PROBES = {
    socket.TCP_KEEPIDLE: streams.KEEPALIVE_IDLE_S,
    socket.TCP_KEEPINTVL: streams.KEEPALIVE_INTERVAL_S,
    socket.TCP_KEEPCNT: streams.KEEPALIVE_COUNT,
}

# Longest silence, in seconds, of a peer.
MAX_SILENCE_S = 4.0

# Seconds of an outage that a connection outlasts, and the option that ends it.
OUTAGE_S = 2.7
SO_DETACH_FILTER = 27

# Seconds by which the kernel's timers may be late.
MARGIN_S = 0.3

# Seconds for which a peer that is alive takes nothing.
UNREAD_S = watched_streams.SILENCE_MS / 1000 + 1.5


def user_timeout_ms(sock: socket.socket) -> int:
    return sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)


def assert_probes(sock: socket.socket) -> None:
    assert sock.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
    for option, value in PROBES.items():
        assert sock.getsockopt(socket.IPPROTO_TCP, option) == value


@pytest.mark.parametrize("state", ["idle", "sent", "under way", "unread"])
async def test_connections_to_endpoints_and_tunnels_give_up(
    peer: raw_peers.RawPeer, state: str
) -> None:
    # A peer may fall silent while nothing is sent, before it is, while its
    # answer is awaited, or after it left a body unread.
    connection = client.ClientConnection(peer.address)
    await connection.open(1.0)
    other = await peer.accept()
    assert connection._stream is not None
    sock = connection._stream.socket
    assert_probes(sock)
    assert user_timeout_ms(sock) == 0
    ended = asyncio.Event()
    assert connection._source is not None
    connection._source.on_end(ended.set)
    if state == "sent":
        test_dark_clients.fall_silent(other)
    if state != "idle":
        body = bytes(request_changes.LARGE_BYTES if state == "unread" else 5)
        headers = [(b"Host", b"a"), (b"Content-Length", b"%d" % len(body))]
        connection.send(b"POST", b"/", headers, body)
    if state in ("unread", "under way"):
        await asyncio.sleep(UNREAD_S)
        assert not ended.is_set()
    test_dark_clients.fall_silent(other)
    async with asyncio.timeout(MAX_SILENCE_S + MARGIN_S):
        await ended.wait()
    assert connection._source.peer_end is peer_ends.PeerEnd.TIMED_OUT
    connection.abort()


# Guards against silence that is counted while nothing was sent.
@pytest.mark.parametrize("rested_s", [0.0, 1.9])
async def test_connection_outlasts_an_outage(
    peer: raw_peers.RawPeer, rested_s: float
) -> None:
    connection = client.ClientConnection(peer.address)
    await connection.open(1.0)
    other = await peer.accept()
    await asyncio.sleep(rested_s)
    test_dark_clients.fall_silent(other)
    connection.send(b"GET", b"/", [(b"Host", b"a")], b"")
    await asyncio.sleep(OUTAGE_S)
    other.setsockopt(socket.SOL_SOCKET, SO_DETACH_FILTER, 0)
    await asyncio.sleep(MAX_SILENCE_S + MARGIN_S - OUTAGE_S)
    assert not connection.readable
    connection.abort()


async def test_accepted_tunnels_give_up(fleet: boxes.Boxes) -> None:
    box = fleet.gateways[0]
    stream = streams.new_stream()
    await streams.connect(stream, box.members.own.tunnels, 1.0)
    await boxes.until(lambda: bool(box.tunnels._streams))
    [accepted] = box.tunnels._streams
    assert isinstance(accepted, watched_streams.WatchedStream)
    assert_probes(accepted.socket)
    assert user_timeout_ms(accepted.socket) == 0
    stream.close()


async def test_connections_of_callers_give_up() -> None:
    # A user timeout would end connections of callers that do not read. The
    # number of probes decides instead, except while a response is sent.
    accepted: list[socket.socket] = []
    before: list[int] = []
    begun = asyncio.Event()
    goes_on = asyncio.Event()

    async def serve(
        connection: server_connection.ServerConnection, _: object
    ) -> None:
        before.append(user_timeout_ms(accepted[0]))
        await connection.begin(200, [])
        begun.set()
        await goes_on.wait()
        await connection.end()

    listening = server.Server("callers", serve)
    handle = listening.handle_stream

    def note(stream: object, address: tuple[str, int]) -> object:
        accepted.append(stream.socket)  # type: ignore[attr-defined]
        return handle(stream, address)  # type: ignore[arg-type]

    listening.handle_stream = note  # type: ignore
    listening.listen_on("127.0.0.1:0")
    [sock] = listening._sockets.values()
    reader, writer = await asyncio.open_connection(*sock.getsockname())
    writer.write(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
    await begun.wait()
    assert before == [0]
    assert user_timeout_ms(accepted[0]) == streams.UNREAD_TIMEOUT_MS
    goes_on.set()
    await reader.readuntil(b"0\r\n\r\n")
    while user_timeout_ms(accepted[0]):
        await asyncio.sleep(0.01)
    assert_probes(accepted[0])
    writer.close()
    listening.close_all()


def test_probes_end_connections_of_silent_callers_in_seconds() -> None:
    probes_s = streams.KEEPALIVE_COUNT * streams.KEEPALIVE_INTERVAL_S
    assert streams.KEEPALIVE_IDLE_S + probes_s <= MAX_SILENCE_S


def test_callers_may_read_late_within_the_time_of_their_request() -> None:
    limit_s = streams.UNREAD_TIMEOUT_MS / 1000
    assert limit_s >= documents.DEFAULT_TIMEOUT_S
