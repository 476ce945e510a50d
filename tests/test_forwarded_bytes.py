"""Bytes between clients and endpoints that belong to one connection alone.

Guards against a response or body that reaches the wrong request, and against
more connections to an endpoint than it takes.
"""

import contextlib
import socket
import struct

import pytest

from martenjunction import errors
from martenjunction.endpoints import pool
from martenjunction.http1 import client
from martenjunction_lab import boxes
from tests import gateway_requests as requests
from tests import raw_peers
from tests import routing_builders as builders

# More than the buffers of both sockets hold.
LARGE_BODY = bytes(range(256)) * 64 * 1024

HOP_HEADERS = {
    "Connection": "keep-alive, X-Hop",
    "X-Hop": "1",
    "Keep-Alive": "timeout=5",
    "TE": "trailers",
    "Proxy-Authorization": "Basic eA==",
}

LIMIT = 3


async def test_headers_of_the_clients_connection_are_not_forwarded(
    fleet: boxes.Boxes,
) -> None:
    made = await requests.two_plain(fleet)
    head, _ = await requests.ask(fleet, "/safe/", **HOP_HEADERS)
    assert head.status == 200
    [got] = [r for stand_in in made for r in stand_in.received]
    hop = {name.lower() for name in HOP_HEADERS} - {"connection"}
    assert not hop & set(got.headers)
    assert "x-hop" not in got.headers.get("connection", "")


async def test_encoded_response_is_forwarded_as_it_came(
    fleet: boxes.Boxes, monkeypatch: pytest.MonkeyPatch
) -> None:
    # An endpoint signs the bytes that it sends, encoded or not.
    made = await requests.two_plain(fleet)
    for stand_in in made:
        monkeypatch.setattr(
            stand_in,
            "_notices",
            lambda request, status: {"Content-Encoding": "gzip"},
        )
    head, body = await requests.ask(fleet, "/safe/")
    assert head.get(b"content-encoding") == b"gzip"
    assert body == b"answer to hello"


async def test_events_are_forwarded_as_they_arrive(fleet: boxes.Boxes) -> None:
    made = await requests.engines(fleet)
    for stand_in in made:
        stand_in.silent_after = 1
    connection = client.ClientConnection(fleet.addresses[0])
    await connection.open(5.0)
    headers = requests.request_headers("r1")
    pairs = boxes.header_pairs(headers, b"hello")
    connection.send(b"POST", b"/chat/x", pairs, b"hello")
    head = await connection.read_head()
    event = await connection.read_body()
    # The endpoint is still at work on the second event.
    assert not any(stand_in.cancelled for stand_in in made)
    assert (head.status, event) == (200, b"id: 1\ndata: t1\n\n")
    connection.abort()


async def test_response_without_length_that_is_reset_is_not_complete(
    peer: raw_peers.RawPeer,
) -> None:
    connection = client.ClientConnection(peer.address)
    await connection.open(5.0)
    connection.send(b"GET", b"/x", [(b"Host", b"a")], b"")
    other_side = await peer.accept()
    assert await peer.request(other_side)
    other_side.send(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart")
    await connection.read_head()
    assert await connection.read_body() == b"part"
    # Closes with a reset.
    other_side.setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
    )
    other_side.close()
    with pytest.raises(errors.ConnectionLostError):
        await connection.read_body()
    connection.abort()


async def test_connection_with_an_unsent_body_carries_no_other_request(
    peer: raw_peers.RawPeer,
) -> None:
    # An endpoint may respond before it reads the body. What it reads later
    # must be the rest of that body, not the next request.
    connections = pool.EndpointPool(lambda _: LIMIT)
    endpoint = raw_peers.endpoint_at(peer)
    connection = await connections.acquire(endpoint, True)
    length = str(len(LARGE_BODY)).encode()
    headers = [(b"Host", b"a"), (b"Content-Length", length)]
    connection.send(b"POST", b"/x", headers, LARGE_BODY)
    other_side = await peer.accept()
    received = await peer.request(other_side)
    other_side.send(raw_peers.answer(b"early"))
    await connection.read_head()
    assert await connection.read_body() == b"early"
    assert not await connection.read_body()
    assert not connection.finish()
    connections.release(endpoint.id, connection)
    taken = await connections.acquire(endpoint, True)
    assert taken is not connection
    taken.send(b"GET", b"/next", [(b"Host", b"a")], b"")
    with contextlib.suppress(ConnectionResetError):
        while part := await peer.request(other_side):
            received += part
    _, _, body = received.partition(b"\r\n\r\n")
    assert LARGE_BODY.startswith(body)
    taken.abort()


@pytest.mark.parametrize(
    ("header", "is_reused"),
    [
        ("Keep-Alive: timeout=60", True),
        ("Keep-Alive: timeout=1", False),
        ("Connection: close", False),
    ],
)
async def test_connection_is_kept_no_longer_than_the_endpoint_allows(
    peer: raw_peers.RawPeer, header: str, is_reused: bool
) -> None:
    connections = pool.EndpointPool(lambda _: LIMIT)
    endpoint = raw_peers.endpoint_at(peer)
    connection = await connections.acquire(endpoint, True)
    connection.send(b"GET", b"/x", [(b"Host", b"a")], b"")
    other_side = await peer.accept()
    assert await peer.request(other_side)
    other_side.send(raw_peers.answer(b"", header))
    await connection.read_head()
    assert not await connection.read_body()
    connection.finish()
    connections.release(endpoint.id, connection)
    taken = await connections.acquire(endpoint, True)
    assert (taken is connection) is is_reused
    taken.abort()


async def test_endpoint_gets_no_more_connections_than_its_limit(
    peer: raw_peers.RawPeer,
) -> None:
    connections = pool.EndpointPool(lambda _: LIMIT)
    endpoint = raw_peers.endpoint_at(peer)
    taken = [await connections.acquire(endpoint, True) for _ in range(LIMIT)]
    with pytest.raises(errors.EndpointBusyError):
        await connections.acquire(endpoint, True)
    assert connections.open_connections(endpoint.id) == LIMIT
    taken[0].abort()
    connections.release(endpoint.id, taken[0])
    taken[0] = await connections.acquire(endpoint, True)
    for connection in taken:
        connection.abort()


async def test_boxes_together_keep_to_the_connections_of_an_endpoint() -> None:
    made = boxes.Boxes()
    await made.start(builders.config_document(), boxes=3)
    await made.until_listed()
    service = builders.config().services[builders.PLAIN]
    await boxes.until(
        lambda: all(
            len(box.members.live_members()) == len(made.gateways)
            for box in made.gateways
        )
    )
    shares = [
        box.connection_shares.share(service.name) for box in made.gateways
    ]
    await made.stop()
    assert 0.5 * service.max_connections < sum(shares)
    assert sum(shares) <= service.max_connections
