"""Second attempts under way while something else goes wrong.

What was offered to a stream as its client left was never given back: the
connection stayed open, and counted, for good. So did a connection that was
established as the response of another attempt arrived.
"""

import asyncio
import collections
import socket
from typing import Any

import pytest

from martenjunction import gateway
from martenjunction_lab import boxes
from martenjunction_lab import replica
from tests import caller_builders
from tests import gateway_requests as requests
from tests import raw_peers
from tests import routing_builders as builders
from tests import troubled_request
from tests import two_endpoints

log_lines = caller_builders.log_lines


async def test_offer_is_given_back_as_the_client_of_a_stream_leaves(
    fleet: boxes.Boxes,
) -> None:
    async with two_endpoints.listed_at(fleet, builders.ENGINE) as two:
        box = fleet.gateways[0]
        client = await _send_request(fleet.addresses[0], "/digest/")
        two.first = await two.next_run()
        await two.fill_client()
        ticket = two.exchange.ticket
        assert ticket is not None
        ticket.move_requested = True
        two.exchange.move()
        # The run is given up, and does not end: it writes to its client.
        await boxes.until(lambda: ticket.given_up)
        assert _open_connections(box) == 2
        client.close()
        await boxes.until(lambda: not box.held.exchanges)
        box.pool.close()
        assert _open_connections(box) == 0


async def _send_request(address: str, path: str) -> socket.socket:
    """Sends a request whose client reads nothing."""
    loop = asyncio.get_running_loop()
    client = socket.socket()
    client.setblocking(False)
    host, _, port = address.rpartition(":")
    await loop.sock_connect(client, (host, int(port)))
    await loop.sock_sendall(client, requests.raw_request("r1", path))
    return client


def _open_connections(box: gateway.Gateway) -> int:
    """Returns the connections of a box to endpoints that its pool counts."""
    ids = box.endpoint_list.entries
    return sum(box.pool.open_connections(its_id) for its_id in ids)


@pytest.mark.parametrize("turns", range(1, 16))
async def test_connection_is_closed_if_nobody_waits_for_it_any_more(
    fleet: boxes.Boxes, peer: raw_peers.RawPeer, turns: int
) -> None:
    listed = replica.Replica("i-raw")
    listed.address = peer.address
    fleet.replicas.append(listed)
    fleet.record(listed, builders.PLAIN)
    await fleet.until_listed()
    box = fleet.gateways[0]
    [entry] = box.endpoint_list.entries.values()
    acquiring = asyncio.create_task(box.pool.acquire(entry.endpoint, True))
    for _ in range(turns):
        await asyncio.sleep(0)
    acquiring.cancel()
    await asyncio.wait([acquiring])
    if not acquiring.cancelled():
        acquiring.result().abort()
    async with asyncio.timeout(2.0):
        connection = await peer.accept()
        assert not await peer.request(connection)


_REFUSAL = two_endpoints.response(
    b"", "503 Service Unavailable", "Martenjunction-Not-Executed: 1"
)


@pytest.mark.parametrize(
    ("first", "second", "ends"),
    [
        (b"", two_endpoints.response(b"x"), ["superseded", "answered"]),
        (_REFUSAL, two_endpoints.response(b"x"), ["refused", "answered"]),
        (None, two_endpoints.response(b"x"), ["broken", "answered"]),
        (None, None, ["broken", "broken"]),
        (b"", b"", ["cancelled", "cancelled"]),
    ],
)
async def test_last_line_of_a_request_tells_how_each_run_ended(
    fleet: boxes.Boxes,
    log_lines: list[dict[str, Any]],
    first: bytes | None,
    second: bytes | None,
    ends: list[str],
) -> None:
    async with two_endpoints.listed_at(fleet) as two:
        asked = await two.ask()
        await two.try_second()
        for run, answer in ((two.first, first), (two.second, second)):
            if answer is None:
                run.close()
            elif answer:
                run.send(answer)
            await asyncio.sleep(0.1)
        await asked
    [line] = [one for one in log_lines if "runs" in one]
    assert sorted(run["ended"] for run in line["runs"]) == sorted(ends)
    assert len({run["endpoint"] for run in line["runs"]}) == 2
    counted = {
        dict(labels)["how"]: count
        for name, labels, count in fleet.gateways[0].metrics.counters()
        if name == "run_ends"
    }
    assert counted == collections.Counter(ends)


@pytest.mark.simulated_time
@pytest.mark.parametrize(
    ("path", "selecting", "event", "answers"), list(troubled_request.cases())
)
async def test_request_has_one_true_response_whatever_happens(
    monkeypatch: pytest.MonkeyPatch,
    path: str,
    selecting: bool,
    event: str,
    answers: bool,
) -> None:
    async with troubled_request.asked_at_two(path) as asked:
        await asked.begin(monkeypatch, selecting)
        await troubled_request.EVENTS[event](asked)
        await asked.end(answers)
