"""When the kernel gives up on a peer that fell silent."""

import asyncio
import socket

from martenjunction.http1 import client
from martenjunction.http1 import server
from martenjunction.http1 import server_connection
from martenjunction.http1 import streams
from martenjunction.platform import documents
from tests import raw_peers

# Options by which the kernel gives up, of level IPPROTO_TCP.
PROBES = {
    socket.TCP_KEEPIDLE: streams.KEEPALIVE_IDLE_S,
    socket.TCP_KEEPINTVL: streams.KEEPALIVE_INTERVAL_S,
    socket.TCP_KEEPCNT: streams.KEEPALIVE_COUNT,
}

# Longest silence, in seconds, of a caller to which nothing is sent.
MAX_SILENCE_S = 4.0


def user_timeout_ms(sock: socket.socket) -> int:
    return sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)


def assert_probes(sock: socket.socket) -> None:
    assert sock.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
    for option, value in PROBES.items():
        assert sock.getsockopt(socket.IPPROTO_TCP, option) == value


def assert_gives_up(sock: socket.socket) -> None:
    assert_probes(sock)
    assert user_timeout_ms(sock) == streams.USER_TIMEOUT_MS


def test_user_timeout_ends_idle_connections_after_a_probe() -> None:
    # TCP_USER_TIMEOUT decides when probes give up, whatever their count: one
    # must have been sent and gone unanswered by then.
    first_probe_ms = streams.KEEPALIVE_IDLE_S * 1000
    interval_ms = streams.KEEPALIVE_INTERVAL_S * 1000
    assert first_probe_ms + interval_ms <= streams.USER_TIMEOUT_MS


async def test_connections_to_endpoints_and_tunnels_give_up(
    peer: raw_peers.RawPeer,
) -> None:
    connection = client.ClientConnection(peer.address)
    await connection.open(1.0)
    assert connection._stream is not None
    assert_gives_up(connection._stream.socket)
    stream = streams.new_stream()
    assert_gives_up(stream.socket)
    stream.close()
    connection.abort()


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
