"""Tests planned stops as seen by clients with open connections.

Guards against closing a connection without a response:

- A request is read near the end of the stop. The event loop is blocked while
  the last wait of the stop ends and the request arrives. The stop counted only
  requests in progress, not those being read, and closed all connections; the
  reader, already woken, still forwarded the request.
- A request is still running at the time limit of the stop. Requests were
  cancelled and all connections closed before their tasks could respond.

Log of such a stop, with the event loop blocked for 250 ms:

    stop-begins          held=0
    connection-closed    why=stop answered=3 under_way=false bytes_waiting=true
    request-after-close  why=stop
    request-failed       result=client-left
"""

import asyncio
import dataclasses

import pytest

from martenjunction import gateway
from martenjunction.decisions import stop_admission
from martenjunction_lab import boxes
from martenjunction_lab import replica
from tests import gateway_requests as requests
from tests import keep_alive_connections
from tests import raw_peers
from tests import routing_builders as builders

COUNT = 12
LINGER_S = 1.0

# Time limit of a stop, in seconds, that no test reaches.
FAR_LIMIT_S = 600.0

# Number of waits, and the length of each in seconds on an idle machine, within
# which a stop must end by itself: half of a box's time limit of 8 s.
MAX_WAITS = 40
WAIT_S = 0.1


async def stops_by_itself(box: gateway.Gateway) -> bool:
    """Runs a planned stop; returns whether the connections end in time.

    Time is counted in event loop waits instead of clock time, because the
    clock advances while the machine stalls the event loop.
    """
    box.reload(dataclasses.replace(box._settings, stop_s=FAR_LIMIT_S))
    stopping = asyncio.create_task(box.leave())
    for _ in range(MAX_WAITS):
        await asyncio.wait({stopping}, timeout=WAIT_S)
    if not stopping.done():
        stopping.cancel()
        return False
    await stopping
    return True


@pytest.mark.parametrize("path", ["/safe/x", "/unsafe/x"])
async def test_request_read_at_the_end_of_a_stop_is_answered(
    fleet: boxes.Boxes, monkeypatch: pytest.MonkeyPatch, path: str
) -> None:
    monkeypatch.setattr(gateway, "LINGER_S", LINGER_S)
    made = await requests.two_plain(fleet)
    box = fleet.gateways[0]
    kept = await keep_alive_connections.open_used_connections(
        fleet.addresses[0], COUNT, requests.raw_request("first", path)
    )
    stopping = asyncio.create_task(box.leave())
    await boxes.until(lambda: box.leaving)
    for connection in kept:
        connection.send(requests.raw_request("last", path))
    raw_peers.block_event_loop(LINGER_S + 0.2)
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
    kept = await keep_alive_connections.open_used_connections(
        fleet.addresses[0], COUNT, requests.raw_request("first", "/unsafe/x")
    )
    for stand_in in made:
        stand_in.always(replica.Behaviour.HANG)
    arrived = requests.arrivals(made)
    for connection in kept:
        connection.send(requests.raw_request("last", "/unsafe/x"))
    await boxes.until(lambda: requests.arrivals(made) > arrived)
    await fleet.gateways[0].leave()
    answers = [await connection.answer() for connection in kept]
    statuses = {answer[9:12] for answer in answers}
    # The request may have run, so the status must not claim otherwise.
    assert statuses <= {b"502", b"504"}
    for connection in kept:
        connection.close()
    await fleet.stop()


async def test_idle_connections_do_not_delay_a_stop(
    fleet: boxes.Boxes, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(gateway, "LINGER_S", 0.2)
    await requests.two_plain(fleet)
    kept = await keep_alive_connections.open_used_connections(
        fleet.addresses[0], COUNT, requests.raw_request("first", "/safe/x")
    )
    assert await stops_by_itself(fleet.gateways[0])
    assert all([await connection.ended() for connection in kept])
    for connection in kept:
        connection.close()


async def test_partial_request_does_not_delay_a_stop(
    fleet: boxes.Boxes, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(gateway, "LINGER_S", 0.2)
    await requests.two_plain(fleet)
    whole = requests.raw_request("half", "/safe/x")
    kept = await keep_alive_connections.open_used_connections(
        fleet.addresses[0], 2, requests.raw_request("first", "/safe/x")
    )
    kept[0].send(whole[:20])
    kept[1].send(whole[:-2])
    assert await stops_by_itself(fleet.gateways[0])
    for connection in kept:
        answer = await connection.answer()
        assert answer.startswith(b"HTTP/1.1 408 ")
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
    [connection] = await keep_alive_connections.open_used_connections(
        fleet.addresses[0], 1, requests.raw_request("first", "/safe/x")
    )
    stopping = asyncio.create_task(box.leave())
    await boxes.until(
        lambda: requests.leaving_for_s(box) > stop_admission.MIN_ADMISSION_S
    )
    connection.send(requests.raw_request("last", "/safe/x"))
    answer = await connection.answer()
    assert answer[9:12] == status
    assert (b"etry-after" in answer.lower()) == (status == b"503")
    await stopping
    connection.close()
    await fleet.stop()
