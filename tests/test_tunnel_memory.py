"""What waits in tunnels whose receivers do not read.

Guards against a bound for each tunnel alone, which lets hundreds of them hold
more than the memory of their box, and against tunnels that stay open behind
unread bytes of a peer that is gone.
"""

import asyncio
from collections.abc import AsyncIterator
import socket
import struct

import pytest
from tornado import iostream

from martenjunction import timers
from martenjunction.decisions.boxes import endpoint_list
from martenjunction.decisions.boxes import endpoint_paths
from martenjunction.http1 import streams
from martenjunction.tunnels import handshake
from martenjunction.tunnels import server as tunnel_server
from martenjunction_lab import bench
from tests import endless_server

KEY = "key"
MB = 1024 * 1024
MEMORY_BYTES = 8 * MB
TUNNELS = 40

# Seconds without a change after which all receivers hold their senders up, and
# seconds within which they do.
SETTLED_S = 0.5
SETTLE_LIMIT_S = 30.0

# Seconds within which the end of a peer is noticed.
NOTICED_S = 1.0


class OpenTunnels(tunnel_server.TunnelServer):
    """Opens a tunnel to any endpoint."""

    def _check(self, request: handshake.TunnelRequest) -> handshake.Status:
        return handshake.Status.CONNECTED

    def waiting_bytes(self) -> int:
        return sum(len(stream._write_buffer) for stream in self._streams)


@pytest.fixture
async def tunnels() -> AsyncIterator[tuple[OpenTunnels, str]]:
    server = OpenTunnels(
        KEY,
        endpoint_list.EndpointList(),
        endpoint_paths.EndpointPaths(),
        lambda: True,
        4100,
        MEMORY_BYTES,
        timers.Timers(),
    )
    address = bench.free_address()
    server.listen_on(address)
    yield server, address
    server.close_all()


async def open_tunnel(address: str, endpoint: str) -> iostream.IOStream:
    stream = streams.new_stream()
    stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    await streams.connect(stream, address, 2.0)
    request = handshake.TunnelRequest("i-1", endpoint, "box-2")
    await stream.write(handshake.encode_request(request, KEY))
    answer = await stream.read_until(handshake.END)
    assert handshake.decode_answer(answer) == handshake.Status.CONNECTED
    return stream


async def settled_bytes(server: OpenTunnels) -> int:
    """Returns the bytes that wait once they do not change any more."""
    loop = asyncio.get_running_loop()
    waiting, since = server.waiting_bytes(), loop.time()
    async with asyncio.timeout(SETTLE_LIMIT_S):
        while not waiting or loop.time() - since < SETTLED_S:
            await asyncio.sleep(0.02)
            if server.waiting_bytes() != waiting:
                waiting, since = server.waiting_bytes(), loop.time()
    return waiting


async def test_slow_receivers_of_many_tunnels_share_the_memory(
    tunnels: tuple[OpenTunnels, str],
) -> None:
    server, address = tunnels
    endpoint = endless_server.EndlessServer()
    await endpoint.start()
    opened = [
        await open_tunnel(address, endpoint.address) for _ in range(TUNNELS)
    ]
    for stream in opened:
        await stream.write(b"GET / HTTP/1.1\r\n\r\n")
    waiting = await settled_bytes(server)
    for stream in opened:
        stream.close()
    endpoint.stop()
    assert 0 < waiting <= MEMORY_BYTES * tunnel_server.MEMORY_FRACTION


async def test_one_tunnel_passes_on_as_much_as_its_receiver_reads(
    tunnels: tuple[OpenTunnels, str],
) -> None:
    _, address = tunnels
    endpoint = endless_server.EndlessServer()
    await endpoint.start()
    stream = await open_tunnel(address, endpoint.address)
    await stream.write(b"GET / HTTP/1.1\r\n\r\n")
    async with asyncio.timeout(10.0):
        await stream.read_bytes(16 * MB - 1)
    stream.close()
    endpoint.stop()


async def test_reset_of_a_peer_is_noticed_behind_unread_bytes(
    tunnels: tuple[OpenTunnels, str],
) -> None:
    server, address = tunnels
    with socket.create_server(("127.0.0.1", 0)) as endpoint:
        host, port = endpoint.getsockname()
        stream = await open_tunnel(address, f"{host}:{port}")
        sent = stream.write(b"x" * 12 * MB)
        sent.add_done_callback(streams.retrieve_exception)
        await settled_bytes(server)
        assert server.open == 1
        stream.socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
        stream.close()
        async with asyncio.timeout(NOTICED_S):
            while server.open:
                await asyncio.sleep(0.02)
