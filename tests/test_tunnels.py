"""What holds for requests that reach their endpoint through a peer."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import dataclasses
import time

from hypothesis import given
from hypothesis import strategies as st
import pytest
from tornado import iostream

from martenjunction import errors
from martenjunction import gateway
from martenjunction.decisions.boxes import endpoint_paths
from martenjunction.http1 import client
from martenjunction.http1 import streams
from martenjunction.tunnels import framing
from martenjunction.tunnels import handshake
from martenjunction_lab import boxes
from martenjunction_lab import endpoint_links
from martenjunction_lab import replica
from martenjunction_lab import unlinked_boxes
from tests import routing_builders as builders

Mode = endpoint_links.Mode

# Seconds within which the end of a client must reach an endpoint.
FOLLOWED_S = 0.5

CUT_OFF = "box-1"


@dataclasses.dataclass
class LinkedFleet:
    """Three boxes before endpoints, with links that can be cut."""

    boxes: boxes.Boxes
    links: endpoint_links.LinkTable

    @property
    def cut_off(self) -> gateway.Gateway:
        return self.boxes.gateways[0]

    @property
    def others(self) -> list[gateway.Gateway]:
        return self.boxes.gateways[1:]

    async def add_endpoints(
        self, count: int = 2, service: str = builders.PLAIN, events: int = 5
    ) -> list[replica.Replica]:
        made = [
            await self.boxes.add_replica(service, events=events)
            for _ in range(count)
        ]
        await self.boxes.until_listed()
        for one in made:
            await self.links.add([CUT_OFF], one.address)
        return made

    def cut(self, mode: Mode) -> None:
        addresses = [one.address for one in self.boxes.replicas]
        self.links.cut([CUT_OFF], addresses, mode)

    async def send(
        self, name: str, route: str = "unsafe", deadline_ms: int = 1500
    ) -> tuple[int, bytes]:
        head, body = await boxes.call(
            self.cut_off.members.own.callers,
            "POST",
            f"/{route}/x",
            headers_of(name, deadline_ms),
            name.encode(),
        )
        return head.status, body


def headers_of(name: str, deadline_ms: int = 1500) -> dict[str, str]:
    return {
        "Martenjunction-Attempt-Id": name,
        "Martenjunction-Deadline-Ms": str(deadline_ms),
        "Authorization": f"Bearer {builders.KEY}",
        "Martenjunction-Token-Counts": "500,80",
        "Martenjunction-Prefix-Hash": f"aa:100,{name}:400",
    }


@pytest.fixture
async def linked() -> AsyncIterator[LinkedFleet]:
    made = unlinked_boxes.LinkedBoxes()
    table = endpoint_links.LinkTable()
    with table.installed():
        await made.start(builders.relaxed_config_document(), 3)
        await boxes.until(
            lambda: all(len(g.reachable.ready()) == 2 for g in made.gateways)
        )
        yield LinkedFleet(made, table)
        await made.stop()
        table.stop()


async def start_request(
    address: str, route: str, name: str
) -> client.ClientConnection:
    """Sends a request without waiting for its answer."""
    connection = client.ClientConnection(address)
    await connection.open(2.0)
    pairs = [(b"Host", builders.HOST.encode()), (b"Content-Length", b"1")]
    pairs += [
        (k.encode(), v.encode()) for k, v in headers_of(name, 20_000).items()
    ]
    connection.send(b"POST", f"/{route}/x".encode(), pairs, b"x")
    return connection


# Frames.


@given(
    parts=st.lists(st.binary(min_size=1, max_size=300), max_size=8),
    size=st.integers(1, 40),
)
def test_frames_arrive_as_sent_however_they_are_divided(
    parts: list[bytes], size: int
) -> None:
    data = b"".join(framing.encode(part) for part in parts) + framing.END
    decoder = framing.FrameDecoder()
    received = b""
    for start in range(0, len(data), size):
        assert not decoder.ended
        received += decoder.feed(data[start : start + size])
    assert received == b"".join(parts)
    assert decoder.ended


@pytest.mark.parametrize("data", [framing.END + b"x", b"\xff\xff\xff\xff"])
def test_what_is_no_sequence_of_frames_is_an_error(data: bytes) -> None:
    with pytest.raises(errors.HttpSyntaxError):
        framing.FrameDecoder().feed(data)


async def test_tunnel_that_ends_without_its_last_frame_is_broken() -> None:
    # Guards against an incomplete response without a length that is taken for
    # a complete one because the box in between was killed.
    async def serve(
        _: asyncio.StreamReader, peer: asyncio.StreamWriter
    ) -> None:
        peer.write(framing.encode(b"half"))
        peer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    stream = streams.new_stream()
    await streams.connect(stream, f"{host}:{port}", 1.0)
    source = framing.FramedSource(stream)
    assert await source.read() == b"half"
    with pytest.raises(errors.ConnectionLostError):
        await source.read()
    server.close()


# Requests for tunnels.


async def ask(
    box: gateway.Gateway, request: handshake.TunnelRequest, key: str
) -> int:
    """Asks a box for a tunnel; returns the status of its answer."""
    stream = streams.new_stream()
    with contextlib.closing(stream):
        await streams.connect(stream, box.members.own.tunnels, 1.0)
        await stream.write(handshake.encode_request(request, key))
        data = await stream.read_until(handshake.END)
    return handshake.decode_answer(data)


async def test_tunnels_lead_to_listed_endpoints_of_the_own_fleet_only(
    linked: LinkedFleet,
) -> None:
    [one, _] = await linked.add_endpoints()
    box = linked.others[0]
    [name] = [
        name
        for name, listed in box.endpoint_list.entries.items()
        if listed.endpoint.address == one.address
    ]
    good = handshake.TunnelRequest(name, one.address, CUT_OFF)
    key = box.tunnel_dialer._key
    assert await ask(box, good, key) == handshake.Status.CONNECTED
    assert await ask(box, good, "wrong") == handshake.Status.FORBIDDEN
    for changes in ({"endpoint_id": "i-9/1"}, {"address": "127.0.0.1:9"}):
        bad = dataclasses.replace(good, **changes)
        assert await ask(box, bad, key) == handshake.Status.UNKNOWN


async def test_box_without_an_own_path_opens_no_tunnel(
    linked: LinkedFleet,
) -> None:
    [one, _] = await linked.add_endpoints()
    linked.cut(Mode.REFUSE)
    box = linked.cut_off
    [name] = [
        name
        for name, listed in box.endpoint_list.entries.items()
        if listed.endpoint.address == one.address
    ]

    async def check_path() -> None:
        box.connector.check(name)

    await endpoint_links.run_as(CUT_OFF, check_path())
    await boxes.until(
        lambda: box.paths.state(name) is endpoint_paths.PathState.CUT
    )
    request = handshake.TunnelRequest(name, one.address, "box-2")
    key = box.tunnel_dialer._key
    before = linked.links.connects(CUT_OFF)
    assert await ask(box, request, key) == handshake.Status.NO_PATH
    assert box.tunnels.served == 0
    # Checks of paths go on beside the request.
    assert linked.links.connects(CUT_OFF) - before <= 1


@pytest.mark.parametrize("data", [b"GET / HTTP/1.1\r\n\r\n", b"\xff\r\n\r\n"])
async def test_malformed_request_for_a_tunnel_is_refused(
    linked: LinkedFleet, data: bytes
) -> None:
    box = linked.others[0]
    stream = streams.new_stream()
    await streams.connect(stream, box.members.own.tunnels, 1.0)
    await stream.write(data)
    answer = await stream.read_until(handshake.END)
    assert handshake.decode_answer(answer) == handshake.Status.FORBIDDEN
    with pytest.raises(iostream.StreamClosedError):
        await stream.read_bytes(1)


# Requests through tunnels.


async def test_request_that_no_peer_can_carry_is_not_run(
    linked: LinkedFleet,
) -> None:
    made = await linked.add_endpoints()
    linked.cut(Mode.REFUSE)
    for box in linked.others:
        box.tunnels.close_all()
    status, _ = await linked.send("r1")
    assert status == 503
    assert not any(one.received for one in made)


async def test_request_in_a_tunnel_that_breaks_has_an_unknown_outcome(
    linked: LinkedFleet,
) -> None:
    made = await linked.add_endpoints()
    linked.cut(Mode.REFUSE)
    for one in made:
        one.always(replica.Behaviour.HANG)
    sending = asyncio.ensure_future(linked.send("r1"))
    await boxes.until(lambda: any(one.received for one in made))
    for box in linked.others:
        box.tunnels.close_all()
    status, _ = await sending
    assert status == 502
    assert sum(len(one.received) for one in made) == 1


@pytest.mark.parametrize("route", ["safe", "unsafe"])
async def test_client_that_leaves_is_followed_through_a_tunnel(
    linked: LinkedFleet, route: str
) -> None:
    made = await linked.add_endpoints()
    linked.cut(Mode.REFUSE)
    for one in made:
        one.always(replica.Behaviour.HANG)
    connection = await start_request(
        linked.cut_off.members.own.callers, route, "r1"
    )
    await boxes.until(lambda: any(one.received for one in made))
    connection.abort()
    async with asyncio.timeout(FOLLOWED_S):
        while not any(one.cancelled for one in made):
            await asyncio.sleep(0.01)


async def test_stop_of_the_box_in_between_cuts_no_stream(
    linked: LinkedFleet,
) -> None:
    document = builders.relaxed_config_document()
    for route in document["routes"]:
        route["timeout_ms"] = 20_000
    linked.boxes.configure(document | {"version": 8})
    made = await linked.add_endpoints(2, builders.ENGINE, events=60)
    for one in made:
        one.event_pause_s = 0.1
    await boxes.until(lambda: linked.cut_off.store_cache.version == 8)
    linked.cut(Mode.REFUSE)
    connection = await start_request(
        linked.cut_off.members.own.callers, "chat", "r1"
    )
    head = await connection.read_head()
    assert head.status == 200
    [carrying] = [box for box in linked.others if box.tunnels.open]
    leaving = asyncio.ensure_future(carrying.leave())
    events = 0
    while part := await connection.read_body():
        events += part.count(b"\n\n")
    assert events == 60
    connection.abort()
    await boxes.until(lambda: not carrying.tunnels.open)
    await leaving
    assert sum(sum(one.runs.values()) for one in made) == 1


async def test_leaving_box_is_asked_for_no_tunnel(linked: LinkedFleet) -> None:
    await linked.add_endpoints()
    linked.cut(Mode.REFUSE)
    leaving = asyncio.ensure_future(linked.others[0].leave())
    await boxes.until(lambda: len(linked.cut_off.reachable.ready()) == 1)
    for number in range(6):
        assert (await linked.send(f"r{number}"))[0] == 200
    assert linked.others[0].tunnels.served == 0
    assert linked.others[1].tunnels.served > 0
    leaving.cancel()


async def test_requests_through_tunnels_draw_on_no_budget_of_retries(
    linked: LinkedFleet,
) -> None:
    made = await linked.add_endpoints()
    linked.cut(Mode.REFUSE)
    acquired = []
    for box in linked.boxes.gateways:
        box.budget.try_acquire = acquired.append  # type: ignore
    for number in range(8):
        assert (await linked.send(f"r{number}"))[0] == 200
    assert not acquired
    assert sum(sum(one.runs.values()) for one in made) == 8


@pytest.mark.parametrize("mode", [Mode.HANG, Mode.RESET])
async def test_lost_links_are_not_held_against_endpoints(
    linked: LinkedFleet, mode: Mode
) -> None:
    # Guards against boxes that tell of failures, and of crashes under
    # requests, that are failures of their own links.
    made = await linked.add_endpoints(4)
    for one in made:
        one.queue_s = 0.1
    # A box that may not know its fleet has few retries.
    await boxes.until(lambda: linked.cut_off.follower.knows_boxes)
    sending = [
        asyncio.ensure_future(linked.send(f"r{number}", "safe"))
        for number in range(6)
    ]
    await asyncio.sleep(0.05)
    linked.cut(mode)
    answers = await asyncio.gather(*sending)
    assert [status for status, _ in answers] == [200] * 6
    for record in linked.cut_off.registry.table.records.values():
        assert record.failures.value == 0.0
        assert record.outcomes.failure_part(time.monotonic()) == 0.0
    await asyncio.sleep(1.0)
    for box in linked.others:
        assert box.registry.health.ejected_count() == 0
        assert all(
            record.failure_part(time.monotonic()) == 0.0
            for record in box.registry.table.records.values()
        )
    for box in linked.boxes.gateways:
        assert not box.quarantine.dump()


@pytest.mark.simulated_time
async def test_refusals_of_all_endpoints_are_no_crashes_under_requests(
    linked: LinkedFleet,
) -> None:
    # Guards against a box that calls its lost links crashes where no peer is
    # there to contradict.
    made = await linked.add_endpoints(4)
    for one in made:
        one.queue_s = 0.1
    for box in linked.others:
        box.tunnels.close_all()
    sending = [
        asyncio.ensure_future(linked.send(f"r{number}", "safe"))
        for number in range(6)
    ]
    await asyncio.sleep(0.05)
    linked.cut(Mode.RESET)
    answers = await asyncio.gather(*sending)
    assert not any(status == 200 for status, _ in answers)
    await asyncio.sleep(0.3)
    for box in linked.boxes.gateways:
        assert not box.quarantine.dump()


async def test_large_bodies_in_tunnels_delay_no_change_of_configuration(
    linked: LinkedFleet,
) -> None:
    made = await linked.add_endpoints()
    linked.cut(Mode.REFUSE)
    body = b"x" * 60_000
    stop = asyncio.Event()

    async def send_bodies() -> None:
        while not stop.is_set():
            await boxes.call(
                linked.cut_off.members.own.callers,
                "POST",
                "/safe/x",
                headers_of("large"),
                body,
            )

    senders = [asyncio.ensure_future(send_bodies()) for _ in range(8)]
    await boxes.until(lambda: sum(len(one.received) for one in made) > 50)
    linked.boxes.configure(builders.config_document(8))
    async with asyncio.timeout(1.0):
        while linked.cut_off.store_cache.version != 8:
            await asyncio.sleep(0.01)
    stop.set()
    await asyncio.gather(*senders)
