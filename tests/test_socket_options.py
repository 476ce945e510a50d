"""When the kernel gives up on a peer that fell silent."""

import asyncio
import socket

from martenjunction.http1 import client
from martenjunction.http1 import server
from martenjunction.http1 import streams
from tests import raw_peers

# Options by which the kernel gives up, of level IPPROTO_TCP.
TIMES = {
    socket.TCP_USER_TIMEOUT: streams.USER_TIMEOUT_MS,
    socket.TCP_KEEPIDLE: streams.KEEPALIVE_IDLE_S,
    socket.TCP_KEEPINTVL: streams.KEEPALIVE_INTERVAL_S,
}


def assert_gives_up(sock: socket.socket) -> None:
    assert sock.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
    for option, value in TIMES.items():
        assert sock.getsockopt(socket.IPPROTO_TCP, option) == value


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
    accepted: list[socket.socket] = []
    waiting = asyncio.Event()

    async def serve(connection: object, _: object) -> None:
        waiting.set()

    listening = server.Server("callers", serve)
    handle = listening.handle_stream

    def note(stream: object, address: tuple[str, int]) -> object:
        accepted.append(stream.socket)  # type: ignore[attr-defined]
        return handle(stream, address)  # type: ignore[arg-type]

    listening.handle_stream = note  # type: ignore
    listening.listen_on("127.0.0.1:0")
    [sock] = listening._sockets.values()
    reader, writer = await asyncio.open_connection(*sock.getsockname())
    while not accepted:
        await asyncio.sleep(0.01)
    assert_gives_up(accepted[0])
    writer.close()
    listening.close_all()
