"""What clients with open connections see of a planned stop, to its end.

Symptom: a request that was read near the end of a planned stop was passed on
and its connection closed without an answer; and a request that still ran at the
stop's limit was cut off without a word.

Sequence: the event loop is held up while the stop's last wait ends and a
request comes in. The stop found nothing under way and closed every connection;
the reader, already woken, handed the request on. At the limit the requests that
ran were cancelled and all connections closed before one of them had its turn.

Cause: the stop asked for the requests that were under way, which a request that
is being read is not yet, and closed connections without asking them.

What settled it, from a stop beside a hold-up of 250 ms:

    stop-begins          held=0
    connection-closed    why=stop answered=3 under_way=false bytes_waiting=true
    request-after-close  why=stop
    request-failed       result=client-left
"""

import asyncio
import dataclasses

import pytest

from martenjunction import gateway
from martenjunction.routing import exchange
from martenjunction_lab import boxes
from martenjunction_lab import replica
from tests import gateway_requests as requests
from tests import kept_connections
from tests import raw_peers
from tests import routing_builders as builders

COUNT = 12
LINGER_S = 1.0

# A limit of a stop, in seconds, that no test gets to.
FAR_LIMIT_S = 600.0

# Turns of the event loop, and seconds of each on a machine that holds nothing
# up, within which a stop ends by itself: half of a box's limit of 8 s.
TURNS = 40
TURN_S = 0.1


def raw_request(request_id: str, path: str) -> bytes:
    pairs = requests.request_headers(request_id)
    pairs["Martenjunction-Deadline-Ms"] = "9000"
    pairs["Host"] = "api.example"
    pairs["Content-Length"] = "5"
    lines = [f"{name}: {value}" for name, value in pairs.items()]
    head = "\r\n".join([f"POST {path} HTTP/1.1", *lines])
    return f"{head}\r\n\r\nhello".encode()


async def stops_by_itself(box: gateway.Gateway) -> bool:
    """Stops a box as planned; returns whether its connections end in time.

    Time is counted in turns of the event loop: a clock goes on while the
    machine holds the loop up, and what ends the connections does not.
    """
    box.reload(dataclasses.replace(box._settings, stop_s=FAR_LIMIT_S))
    stopping = asyncio.create_task(box.leave())
    for _ in range(TURNS):
        await asyncio.wait({stopping}, timeout=TURN_S)
    if not stopping.done():
        stopping.cancel()
        return False
    await stopping
    return True


@pytest.mark.parametrize("path", ["/safe/x", "/unsafe/x"])
async def test_request_that_meets_the_end_of_a_stop_is_answered(
    fleet: boxes.Boxes, monkeypatch: pytest.MonkeyPatch, path: str
) -> None:
    monkeypatch.setattr(gateway, "LINGER_S", LINGER_S)
    made = await requests.two_plain(fleet)
    box = fleet.gateways[0]
    kept = await kept_connections.kept(
        fleet.addresses[0], COUNT, raw_request("first", path)
    )
    stopping = asyncio.create_task(box.leave())
    await boxes.until(lambda: box.leaving)
    for connection in kept:
        connection.send(raw_request("last", path))
    raw_peers.hold_up(LINGER_S + 0.2)
    answers = [await connection.answer() for connection in kept]
    served = sum(b" 200 " in answer for answer in answers)
    assert requests.runs(made, "last") == served
    assert served == COUNT
    assert all(b"onnection: close" in answer for answer in answers)
    await stopping
    for connection in kept:
        connection.close()


async def test_request_that_outlasts_a_stop_gets_a_final_answer() -> None:
    fleet = boxes.Boxes()
    await fleet.start(builders.config_document(), boxes=0)
    await fleet.add_box("box-1", stop_s=1.5)
    made = await requests.two_plain(fleet)
    kept = await kept_connections.kept(
        fleet.addresses[0], COUNT, raw_request("first", "/unsafe/x")
    )
    for stand_in in made:
        stand_in.always(replica.Behaviour.HANG)
    arrived = requests.arrivals(made)
    for connection in kept:
        connection.send(raw_request("last", "/unsafe/x"))
    await boxes.until(lambda: requests.arrivals(made) > arrived)
    await fleet.gateways[0].leave()
    answers = [await connection.answer() for connection in kept]
    statuses = {answer[9:12] for answer in answers}
    # It may have run: nothing that promises the contrary.
    assert statuses <= {b"502", b"504"}
    for connection in kept:
        connection.close()
    await fleet.stop()


async def test_connections_that_rest_do_not_hold_up_a_stop(
    fleet: boxes.Boxes, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(gateway, "LINGER_S", 0.2)
    await requests.two_plain(fleet)
    kept = await kept_connections.kept(
        fleet.addresses[0], COUNT, raw_request("first", "/safe/x")
    )
    assert await stops_by_itself(fleet.gateways[0])
    assert all([await connection.ended() for connection in kept])
    for connection in kept:
        connection.close()


async def test_half_a_request_does_not_hold_up_a_stop(
    fleet: boxes.Boxes, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(gateway, "LINGER_S", 0.2)
    await requests.two_plain(fleet)
    whole = raw_request("half", "/safe/x")
    kept = await kept_connections.kept(
        fleet.addresses[0], 2, raw_request("first", "/safe/x")
    )
    kept[0].send(whole[:20])
    kept[1].send(whole[:-2])
    assert await stops_by_itself(fleet.gateways[0])
    for connection in kept:
        assert await connection.ended()
        connection.close()


@pytest.mark.parametrize(("goal_ms", "status"), [(200, b"200"), (3000, b"503")])
async def test_request_whose_target_outlasts_a_stop_is_refused(
    goal_ms: int, status: bytes
) -> None:
    fleet = boxes.Boxes()
    routes = [builders.route("safe", "/safe/", goal_ms=goal_ms)]
    await fleet.start(builders.config_document(routes=routes), boxes=0)
    await fleet.add_box("box-1", stop_s=2.4)
    await requests.two_plain(fleet)
    box = fleet.gateways[0]
    [connection] = await kept_connections.kept(
        fleet.addresses[0], 1, raw_request("first", "/safe/x")
    )
    stopping = asyncio.create_task(box.leave())
    await boxes.until(
        lambda: (box._left_for_s() or 0.0) > exchange.LEAST_SERVED_S
    )
    connection.send(raw_request("last", "/safe/x"))
    answer = await connection.answer()
    assert answer[9:12] == status
    assert (b"etry-after" in answer.lower()) == (status == b"503")
    await stopping
    connection.close()
    await fleet.stop()
