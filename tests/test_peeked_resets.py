"""A reset that a look at the socket finds before the event loop does.

Guards against an answer without a length that is taken for complete although
its connection was reset: the kernel reports a reset once, and the read after it
finds an orderly end.
"""

import asyncio
import socket
import struct

import pytest

from martenjunction import errors
from martenjunction.http1 import client
from tests import raw_peers

# Option value with which a close resets the connection.
NO_LINGER = struct.pack("ii", 1, 0)

HEAD = b"HTTP/1.1 200 OK\r\n\r\n"


async def begun_response(
    peer: raw_peers.RawPeer,
) -> tuple[client.ClientConnection, socket.socket]:
    """Returns a connection within a response that its close will end."""
    connection = client.ClientConnection(peer.address)
    await connection.open(1.0)
    other_side = await peer.accept()
    connection.send(b"GET", b"/", [(b"Host", b"a")], b"")
    await peer.request(other_side)
    other_side.send(HEAD + b"half")
    assert (await connection.read_head()).status == 200
    assert await connection.read_body() == b"half"
    return connection, other_side


@pytest.mark.parametrize("looks", [0, 1, 2])
async def test_response_that_is_reset_is_not_complete(
    peer: raw_peers.RawPeer, looks: int
) -> None:
    connection, other_side = await begun_response(peer)
    other_side.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
    other_side.close()
    raw_peers.block_event_loop()
    for _ in range(looks):
        assert connection.readable
    with pytest.raises(errors.ConnectionLostError, match="reset"):
        await connection.read_body()
    connection.abort()


async def test_read_that_this_side_aborts_does_not_report_a_reset(
    peer: raw_peers.RawPeer,
) -> None:
    connection, _ = await begun_response(peer)
    reading = asyncio.ensure_future(connection.read_body())
    await asyncio.sleep(0.01)
    connection.abort()
    with pytest.raises(errors.ConnectionLostError, match="aborted"):
        await reading


@pytest.mark.parametrize("looks", [0, 1, 2])
async def test_response_that_ends_with_its_connection_is_complete(
    peer: raw_peers.RawPeer, looks: int
) -> None:
    connection, other_side = await begun_response(peer)
    other_side.close()
    raw_peers.block_event_loop()
    for _ in range(looks):
        assert connection.readable
    assert await connection.read_body() == b""
    connection.abort()
