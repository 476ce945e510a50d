"""Connections closed or established while the event loop is blocked.

The state of the socket decides, not the events that the loop has processed.
"""

import asyncio
import errno
import socket
from typing import NoReturn

import pytest

from martenjunction import errors
from martenjunction.endpoints import pool
from martenjunction.http1 import client
from tests import raw_peers

REQUEST = (b"GET", b"/x", [(b"Host", b"a")], b"")


# Connections to endpoints.


async def idle_connection_of(
    connections: pool.EndpointPool, peer: raw_peers.RawPeer
) -> tuple[client.ClientConnection, socket.socket]:
    """Returns an idle connection of the pool and its peer socket."""
    kept = await connections.acquire(raw_peers.endpoint_at(peer), True)
    other_side = await peer.accept()
    kept.send(*REQUEST)
    assert await peer.request(other_side)
    other_side.send(raw_peers.answer(b"ok"))
    await kept.read_head()
    while await kept.read_body():
        pass
    assert kept.finish()
    connections.release("e1", kept)
    return kept, other_side


async def test_idle_connection_with_unprocessed_close_is_not_reused(
    peer: raw_peers.RawPeer,
) -> None:
    # Guards against a 502 for an unsafe request although the endpoint had
    # closed the idle connection before the request was sent: the close arrived
    # in the loop iteration in which the request acquired the connection, and
    # the pool checked the events processed so far instead of the socket.
    connections = pool.EndpointPool(lambda _: 4)
    kept, other_side = await idle_connection_of(connections, peer)
    other_side.close()
    taken = await connections.acquire(raw_peers.endpoint_at(peer), False)
    assert taken is not kept
    assert connections.open_connections("e1") == 1
    taken.send(*REQUEST)
    assert await peer.request(await peer.accept())
    taken.abort()


async def test_idle_connection_with_unsolicited_bytes_is_not_reused(
    peer: raw_peers.RawPeer,
) -> None:
    connections = pool.EndpointPool(lambda _: 4)
    kept, other_side = await idle_connection_of(connections, peer)
    other_side.send(raw_peers.answer(b"one too many"))
    taken = await connections.acquire(raw_peers.endpoint_at(peer), True)
    assert taken is not kept
    taken.abort()


async def test_quiet_idle_connection_is_reused(
    peer: raw_peers.RawPeer,
) -> None:
    connections = pool.EndpointPool(lambda _: 4)
    kept, _ = await idle_connection_of(connections, peer)
    assert await connections.acquire(raw_peers.endpoint_at(peer), False) is kept
    kept.abort()


async def test_new_connection_reset_immediately_gets_no_request(
    peer: raw_peers.RawPeer,
) -> None:
    # An endpoint resets connections beyond its limit: nothing is sent on them,
    # and the endpoint is not considered unreachable.
    connections = pool.EndpointPool(lambda _: 4)
    taking = asyncio.create_task(
        connections.acquire(raw_peers.endpoint_at(peer), False)
    )
    await asyncio.sleep(0)
    peer._listener.setblocking(True)
    other_side, _ = peer._listener.accept()
    other_side.close()
    with pytest.raises(errors.EndpointBusyError):
        await taking
    assert connections.open_connections("e1") == 0


async def test_descriptor_exhaustion_is_not_blamed_on_endpoint(
    peer: raw_peers.RawPeer, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against a client connection closed without a response, and a leaked
    # connection slot of the endpoint each time: the error of the socket call
    # propagated from acquire unconverted and bypassed its accounting.
    connections = pool.EndpointPool(lambda _: 4)
    monkeypatch.setattr(client.socket, "socket", raw_peers.raise_emfile)
    with pytest.raises(errors.EndpointBusyError):
        await connections.acquire(raw_peers.endpoint_at(peer), True)
    assert connections.open_connections("e1") == 0


async def test_connection_established_during_blocked_loop_counts(
    peer: raw_peers.RawPeer,
) -> None:
    # Guards against healthy endpoints being ejected as "not reached" after the
    # event loop was blocked: the connection is established and its timeout
    # expires in the same iteration, and the timeout cancelled the task that the
    # connection had woken.
    connection = client.ClientConnection(peer.address)
    opening = asyncio.create_task(connection.open(raw_peers.BLOCK_S / 3))
    await asyncio.sleep(0)
    raw_peers.block_event_loop()
    await opening
    assert connection.is_reusable()
    connection.abort()


async def test_connection_not_accepted_times_out() -> None:
    # A full accept queue drops the SYN packet.
    listener = socket.create_server(("127.0.0.1", 0), backlog=0)
    host, port = listener.getsockname()
    waiting = [client.ClientConnection(f"{host}:{port}") for _ in range(4)]
    opened = await asyncio.gather(
        *(connection.open(raw_peers.BLOCK_S) for connection in waiting),
        return_exceptions=True,
    )
    assert any(isinstance(result, errors.ConnectError) for result in opened)
    for connection in waiting:
        connection.abort()
    listener.close()


async def test_failed_read_raises_connection_lost(
    peer: raw_peers.RawPeer, monkeypatch: pytest.MonkeyPatch
) -> None:
    connection = client.ClientConnection(peer.address)
    await connection.open(5.0)
    connection.send(*REQUEST)

    def fail(*_: object, **__: object) -> NoReturn:
        raise OSError(errno.EHOSTUNREACH, "No route to host")

    monkeypatch.setattr(connection._stream, "read_bytes", fail)
    with pytest.raises(errors.ConnectionLostError):
        await connection.read_head()
    connection.abort()


async def test_complete_response_survives_later_connection_failure(
    peer: raw_peers.RawPeer, monkeypatch: pytest.MonkeyPatch
) -> None:
    connection = client.ClientConnection(peer.address)
    await connection.open(5.0)
    connection.send(*REQUEST)
    (await peer.accept()).send(raw_peers.answer(b"ok"))
    await connection.read_head()
    assert await connection.read_body() == b"ok"
    assert await connection.read_body() == b""

    def fail(*_: object, **__: object) -> NoReturn:
        raise OSError(errno.EHOSTUNREACH, "No route to host")

    monkeypatch.setattr(connection._stream, "read_bytes", fail)
    assert not connection.finish()
    assert connection.closed


@pytest.mark.parametrize(
    ("told", "kept_s"),
    [
        ("timeout=5", 5.0),
        ("timeout=2.5, max=9", 2.5),
        ("timeout=1.2.3", 1.2),
        ("timeout=.", None),
        ("timeout=..", None),
        ("max=9", None),
    ],
)
async def test_invalid_keep_alive_timeout_does_not_fail_response(
    peer: raw_peers.RawPeer, told: str, kept_s: float | None
) -> None:
    # Guards against a 502 for a request that the endpoint had served: such a
    # header raised an unhandled exception while the head was read.
    connection = client.ClientConnection(peer.address)
    await connection.open(5.0)
    connection.send(*REQUEST)
    other_side = await peer.accept()
    assert await peer.request(other_side)
    other_side.send(raw_peers.answer(b"ok", f"Keep-Alive: {told}"))
    assert (await connection.read_head()).status == 200
    assert connection.keep_alive_timeout() == kept_s
    connection.abort()
