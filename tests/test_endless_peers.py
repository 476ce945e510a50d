"""Peers that send without end, before and after they are known.

Guards against what a box keeps for them: answers to pings that they do not
read, and long messages of callers that have not proved anything yet.
"""

import asyncio
from collections.abc import AsyncIterator
import socket

import pytest
from websockets.asyncio import client as ws_client

from martenjunction import errors
from martenjunction import timers
from martenjunction.decisions.boxes import endpoint_list
from martenjunction.decisions.boxes import endpoint_paths
from martenjunction.decisions.boxes import tunnel_choice
from martenjunction.peers import codec
from martenjunction.peers import handshake
from martenjunction.peers import hub
from martenjunction.tunnels import connection
from martenjunction.tunnels import server as tunnel_server
from martenjunction_lab import bench
from martenjunction_lab import boxes
from tests import endless_endpoints
from tests import linked_hubs

MB = 1024 * 1024

# What the kernel may hold of a connection, in bytes.
SOCKET_BYTES = 16 * MB

# Seconds within which a connection is ended: those that a box gives a caller to
# prove itself, and as much again.
ENDED_S = 2 * handshake.HANDSHAKE_TIMEOUT

PING = b"\x89\xfd" + bytes(4) + bytes(125)
FRAGMENT = b"\x00\x80" + bytes(4)

CALLS = {
    "pings": (linked_hubs.UPGRADE, PING),
    "fragments": (linked_hubs.UPGRADE + b"\x02\x80" + bytes(4), FRAGMENT),
    "frame": (
        linked_hubs.UPGRADE + b"\x82\xff" + bytes(4) + b"\xff" * 4 + bytes(4),
        bytes(1024),
    ),
    "request-line": (b"GET /", b"x"),
    "header-line": (b"GET / HTTP/1.1\r\nX: ", b"x"),
    "headers": (b"GET / HTTP/1.1\r\n", b"X: y\r\n"),
}

NOT_FOUND = b"HTTP/1.1 404 Not Found\r\n"
ANSWERS = {
    **{
        name: endless_endpoints.FORMS[name]
        for name in ("status-line", "head", "interim", "noise")
    },
    "header-line": endless_endpoints.Form(
        lambda name: b"HTTP/1.1 101 Switching Protocols\r\nX: ", b"x"
    ),
    "chunks": endless_endpoints.Form(
        lambda name: NOT_FOUND + endless_endpoints.CHUNKED + b"\r\n\r\n",
        endless_endpoints.LARGE_CHUNK,
    ),
    "until-close": endless_endpoints.Form(
        lambda name: NOT_FOUND + b"\r\n", bytes(1024)
    ),
}


@pytest.fixture
async def listening() -> AsyncIterator[tuple[hub.PeerHub, str]]:
    address = bench.free_address()
    made = linked_hubs.new_hub(address)
    await made.start()
    yield made, address
    await made.stop()


async def link(address: str) -> ws_client.ClientConnection:
    made = await ws_client.connect(
        f"ws://{address}/", compression=None, proxy=None, ping_interval=None
    )
    await handshake.perform_client_handshake(
        made, linked_hubs.member("box-2"), linked_hubs.KEY
    )
    return made


async def until_ended(caller: endless_endpoints.EndlessCaller) -> None:
    async with asyncio.timeout(ENDED_S):
        await boxes.until(caller.ended.is_set)
    caller.stop()
    assert caller.sent <= SOCKET_BYTES


@pytest.mark.parametrize("form", CALLS)
async def test_caller_that_proves_nothing_is_ended(
    listening: tuple[hub.PeerHub, str], form: str
) -> None:
    caller = endless_endpoints.EndlessCaller(listening[1], *CALLS[form])
    other = await link(listening[1])
    await boxes.until(lambda: listening[0].is_connected("box-2"))
    await until_ended(caller)
    assert listening[0].is_connected("box-2")
    other.transport.abort()


async def test_long_message_of_an_unknown_caller_is_refused_by_its_head(
    listening: tuple[hub.PeerHub, str],
) -> None:
    size = handshake.MAX_HANDSHAKE_BYTES + 1
    loop = asyncio.get_running_loop()
    host, _, port = listening[1].partition(":")
    with socket.socket() as caller:
        caller.setblocking(False)
        await loop.sock_connect(caller, (host, int(port)))
        await loop.sock_sendall(caller, linked_hubs.UPGRADE)
        await loop.sock_recv(caller, 64 * 1024)
        frame = b"\x82\xff" + size.to_bytes(8, "big") + bytes(4)
        await loop.sock_sendall(caller, frame)
        async with asyncio.timeout(handshake.HANDSHAKE_TIMEOUT / 2):
            while await loop.sock_recv(caller, 64 * 1024):
                pass


async def test_peer_sends_long_messages_once_it_is_known(
    listening: tuple[hub.PeerHub, str],
) -> None:
    known = await link(listening[1])
    await boxes.until(lambda: listening[0].is_connected("box-2"))
    await known.send(bytes(codec.MAX_MESSAGE))
    # It is read as a whole, and is no batch.
    await boxes.until(lambda: listening[0].refused == 1)
    assert listening[0].traffic().bytes_in == codec.MAX_MESSAGE


async def test_peer_that_pings_and_reads_nothing_is_ended(
    listening: tuple[hub.PeerHub, str], caplog: pytest.LogCaptureFixture
) -> None:
    known = await link(listening[1])
    await boxes.until(lambda: listening[0].is_connected("box-2"))
    known.transport.pause_reading()
    async with asyncio.timeout(ENDED_S):
        while listening[0].is_connected("box-2"):
            if not known.transport.get_write_buffer_size():
                known.transport.write(PING * 512)
            await asyncio.sleep(0)
    assert "too many unread pings" in caplog.text
    known.transport.abort()


@pytest.mark.parametrize("form", ANSWERS)
async def test_endless_answer_to_a_call_is_ended(form: str) -> None:
    endpoint = endless_endpoints.EndlessEndpoint(ANSWERS[form])
    made = linked_hubs.new_hub(bench.free_address(), seeds=[endpoint.address])
    await made.start()
    made.dial()
    await boxes.until(lambda: endpoint.most_sent > 0)
    async with asyncio.timeout(ENDED_S):
        await boxes.until(lambda: endpoint.sending == 0)
    await made.stop()
    endpoint.stop()
    assert endpoint.most_sent <= SOCKET_BYTES


@pytest.mark.parametrize("form", ["status-line", "head", "interim", "noise"])
async def test_endless_answer_to_a_request_for_a_tunnel_is_an_error(
    form: str,
) -> None:
    endpoint = endless_endpoints.EndlessEndpoint(endless_endpoints.FORMS[form])
    tunnel = connection.TunnelConnection(
        tunnel_choice.TunnelPeer("box-2", "zone-a", endpoint.address, True),
        b"CONNECT i-1 HTTP/1.1\r\n\r\n",
        lambda head: None,
        lambda: None,
    )
    with pytest.raises(errors.ConnectError):
        await tunnel.open(ENDED_S)
    async with asyncio.timeout(ENDED_S):
        await boxes.until(lambda: endpoint.sending == 0)
    endpoint.stop()
    assert endpoint.most_sent <= SOCKET_BYTES


async def test_endless_request_for_a_tunnel_is_ended() -> None:
    server = tunnel_server.TunnelServer(
        linked_hubs.KEY,
        endpoint_list.EndpointList(),
        endpoint_paths.EndpointPaths(),
        lambda: True,
        256,
        64 * MB,
        timers.Timers(),
    )
    address = bench.free_address()
    server.listen_on(address)
    await until_ended(
        endless_endpoints.EndlessCaller(address, b"CONNECT ", b"x")
    )
    server.close_all()
