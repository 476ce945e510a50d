"""Tests that a hold-up of this process is no failure of an endpoint.

Guards against healthy endpoints that are ejected as not reached, and against
paths that count as failed: a connection that was established meanwhile is seen
after the time limits, which are due in the same turn of the event loop.
"""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Iterator
import random
import signal
import socket
import sys
from typing import Any

import msgspec
import pytest

from martenjunction import errors
from martenjunction import timers
from martenjunction.decisions.boxes import endpoint_list
from martenjunction.decisions.boxes import endpoint_paths
from martenjunction.decisions.boxes import tunnel_choice
from martenjunction.endpoints import pool
from martenjunction.http1 import streams
from martenjunction.http1 import watched_streams
from martenjunction.routing.endpoints import endpoint_connector
from martenjunction.routing.log import decision_log
from martenjunction.tunnels import dialer
from martenjunction.tunnels import handshake
from tests import raw_peers
from tests import routing_builders as builders

State = endpoint_paths.PathState

# Longer than each time limit of a connection to an endpoint.
HOLD_UP_S = endpoint_paths.CONNECT_TIMEOUT_S + 0.2

# Interval of the calls by which a hold-up is measured.
TICK_S = 0.02

# Seconds in which the event loop sees all that happened during a hold-up.
SEEN_S = 0.1


# Connections that fill the accept queue of a listener without a backlog.
QUEUED = 2


class Connections:
    """The connections of a box to some endpoints, over peers if it has any."""

    def __init__(
        self, addresses: list[str], peers: tuple[str, ...] = ()
    ) -> None:
        self.peers = [
            tunnel_choice.TunnelPeer(f"box-{n}", "zone-a", address, True)
            for n, address in enumerate(peers, start=2)
        ]
        self.paths = endpoint_paths.EndpointPaths()
        self.endpoints = [
            msgspec.structs.replace(builders.endpoint(f"e{n}"), address=address)
            for n, address in enumerate(addresses, start=1)
        ]
        self.timers = timers.Timers()
        self.timers.subscribe("look", TICK_S, lambda: None)
        listed = endpoint_list.EndpointList()
        listed.apply_listing(
            [(endpoint, builders.rev(1)) for endpoint in self.endpoints],
            builders.rev(5),
            now=0.0,
        )
        rng = random.Random(1)
        self.choice = tunnel_choice.TunnelPeers("zone-a", rng)
        self.dialer = dialer.TunnelDialer(
            "box-1",
            "key",
            lambda: self.peers,
            lambda box: True,
            self.choice,
            self.timers,
        )
        self.connector = endpoint_connector.EndpointConnector(
            self.paths,
            listed,
            self.dialer,
            self.timers,
            decision_log.DecisionLog(lambda: 0.0),
            rng,
        )
        self.pool = pool.EndpointPool(lambda _: 8, self.connector)

    async def start(self) -> None:
        self.timers.start()
        # The timers have to know when they are due next.
        await asyncio.sleep(2 * TICK_S)

    async def stop(self) -> None:
        self.pool.close()
        await self.connector.stop()
        await self.timers.stop()


@pytest.fixture
def others() -> Iterator[raw_peers.RawPeer]:
    other = raw_peers.RawPeer()
    yield other
    other.close()


@pytest.fixture
async def connections(
    peer: raw_peers.RawPeer, others: raw_peers.RawPeer
) -> AsyncIterator[Connections]:
    made = Connections([peer.address, others.address])
    await made.start()
    yield made
    await made.stop()


@pytest.fixture
def hold_up(monkeypatch: pytest.MonkeyPatch) -> None:
    """Has a hold-up follow the first step of each connection."""
    connect = watched_streams.WatchedStream.connect

    def connect_and_block(self: Any, address: tuple[str, int]) -> Any:
        connecting = connect(self, address)
        raw_peers.block_event_loop(HOLD_UP_S)
        return connecting

    monkeypatch.setattr(
        watched_streams.WatchedStream, "connect", connect_and_block
    )


@pytest.mark.usefixtures("hold_up")
async def test_endpoint_is_reached_after_a_hold_up(
    connections: Connections,
) -> None:
    endpoint = connections.endpoints[0]
    connection = await connections.pool.acquire(endpoint, False)
    assert connection.is_quiet()
    assert connections.paths.is_trusted(endpoint.id)
    connection.abort()


@pytest.mark.usefixtures("hold_up")
async def test_connection_that_nobody_waits_for_does_not_fail_in_a_hold_up(
    connections: Connections,
) -> None:
    endpoint = connections.endpoints[0]
    opening = asyncio.create_task(connections.pool.acquire(endpoint, False))
    # Ends it in the turn in which the connection begins.
    asyncio.get_running_loop().call_soon(
        asyncio.get_running_loop().call_soon, opening.cancel
    )
    with pytest.raises(asyncio.CancelledError):
        await opening
    await asyncio.sleep(SEEN_S)
    assert connections.paths.state(endpoint.id) is State.OPEN


@pytest.mark.usefixtures("hold_up")
async def test_path_that_returns_is_not_cut_by_a_hold_up(
    connections: Connections,
) -> None:
    endpoint = connections.endpoints[0]
    now = connections.timers.now()
    connections.paths.note_peer_reached(endpoint.id, now)
    connections.paths.note_failed(endpoint.id, False, now)
    connections.paths.note_connected(endpoint.id, now)
    assert connections.paths.state(endpoint.id) is State.RETURNING
    await connections.connector._check_own(endpoint)
    assert connections.paths.state(endpoint.id) is State.RETURNING


@pytest.mark.usefixtures("hold_up")
async def test_hold_up_is_no_sign_of_a_box_that_is_cut_off(
    connections: Connections,
) -> None:
    # The other endpoint is reached, so that a refusal is the endpoint's own.
    assert await connections.connector.confirm_failure("e1")


@pytest.mark.usefixtures("hold_up")
async def test_peer_opens_a_tunnel_after_a_hold_up(
    peer: raw_peers.RawPeer, others: raw_peers.RawPeer
) -> None:
    made = Connections([peer.address], (others.address,))
    await made.start()
    endpoint = made.endpoints[0]
    now = made.timers.now()
    made.paths.note_peer_reached(endpoint.id, now)
    made.paths.note_failed(endpoint.id, False, now)
    opening = asyncio.create_task(made.pool.acquire(endpoint, False))
    other_side = await others.accept()
    assert await others.request(other_side)
    other_side.send(handshake.encode_answer(handshake.Status.CONNECTED))
    connection = await opening
    assert not connection.is_direct
    connection.abort()
    await made.stop()


class FullListener:
    """A listener whose full accept queue drops the SYN packets of others."""

    def __init__(self) -> None:
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=0)
        self._listener.setblocking(False)
        own = self._listener.getsockname()
        self.address = f"{own[0]}:{own[1]}"
        self._queued = [socket.socket() for _ in range(QUEUED)]
        for one in self._queued:
            one.setblocking(False)
            one.connect_ex(own)

    async def accept(self) -> None:
        """Accepts what is queued and one connection of another process."""
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(10.0):
            for _ in range(QUEUED + 1):
                accepted, _ = await loop.sock_accept(self._listener)
                self._queued.append(accepted)

    def close(self) -> None:
        for one in self._queued:
            one.close()
        self._listener.close()


async def test_endpoint_that_accepts_nothing_is_not_reached(
    others: raw_peers.RawPeer,
) -> None:
    listener = FullListener()
    made = Connections([listener.address, others.address])
    await made.start()
    began_at = made.timers.stall_adjusted_now()
    with pytest.raises(errors.EndpointNotReachedError):
        await made.pool.acquire(made.endpoints[0], False)
    spent_s = made.timers.stall_adjusted_now() - began_at
    assert spent_s < endpoint_paths.CONNECT_TIMEOUT_S + SEEN_S
    await made.stop()
    listener.close()


# Connects with a time limit and tells whether it was reached.
CONNECTING = """
import asyncio, sys
from martenjunction import errors
from martenjunction.http1 import client

async def main():
    connection = client.ClientConnection(sys.argv[1])
    opening = asyncio.create_task(connection.open(float(sys.argv[2])))
    await asyncio.sleep(0.1)
    print("connecting", flush=True)
    try:
        await opening
    except errors.ConnectError as error:
        print(repr(error.__cause__))
    else:
        print("connected")

asyncio.run(main())
"""

# Time limit of that connection, in seconds, and seconds for which its process
# is suspended: the kernel sends a SYN packet again after a second.
SUSPENDED_LIMIT_S = 1.6
SUSPENDED_S = 2.5


async def test_connection_established_in_a_suspended_process_counts() -> None:
    # A wait for events that was interrupted returns none after its time limit.
    listener = FullListener()
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-c",
        CONNECTING,
        listener.address,
        str(SUSPENDED_LIMIT_S),
        stdout=asyncio.subprocess.PIPE,
    )
    assert process.stdout is not None
    assert await process.stdout.readline() == b"connecting\n"
    process.send_signal(signal.SIGSTOP)
    await asyncio.gather(listener.accept(), asyncio.sleep(SUSPENDED_S))
    process.send_signal(signal.SIGCONT)
    assert await process.stdout.read() == b"connected\n"
    await process.wait()
    listener.close()


async def test_second_of_two_tunnels_that_open_together_is_closed(
    peer: raw_peers.RawPeer, others: raw_peers.RawPeer
) -> None:
    made = Connections([], (peer.address, others.address))
    await made.start()
    opening = asyncio.create_task(
        made.dialer.open(builders.endpoint(), lambda head: None, 1.0)
    )
    sides = [await one.accept() for one in (peer, others)]
    for one, side in zip((peer, others), sides, strict=True):
        assert await one.request(side)
    for side in sides:
        side.send(handshake.encode_answer(handshake.Status.CONNECTED))
    raw_peers.block_event_loop(0.01)
    (await opening).abort()
    for one, side in zip((peer, others), sides, strict=True):
        assert not await one.request(side)
    await made.stop()


async def test_tunnel_that_has_no_socket_is_not_counted(
    monkeypatch: pytest.MonkeyPatch, peer: raw_peers.RawPeer
) -> None:
    def fail() -> None:
        raise errors.NoSocketError("too many open files")

    monkeypatch.setattr(streams, "new_stream", fail)
    made = Connections([], (peer.address,))
    counted: list[int] = []
    monkeypatch.setattr(
        made.choice, "add", lambda box, change: counted.append(change)
    )
    with pytest.raises(errors.ConnectError):
        await made.dialer.open(builders.endpoint(), lambda head: None, 1.0)
    assert counted == [1, -1]
