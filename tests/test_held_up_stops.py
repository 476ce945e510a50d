"""Planned stops whose event loop is held up as the last requests end.

Guards against requests that were passed on and whose connections are closed
without a response. The time limit of the final responses passes during a
hold-up and is then due in the same turn as the ends of the requests; all
connections are closed before the tasks of the requests could respond.
"""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable

import pytest

from martenjunction import gateway
from martenjunction.http1 import client
from martenjunction_lab import boxes
from martenjunction_lab import replica
from tests import gateway_requests
from tests import keep_alive_connections
from tests import raw_peers
from tests import routing_builders as builders

# Settings of a stop whose last requests are ended after a second.
STOP_S = 1.4

# Seconds for which the event loop is held up: as long as a box is at times
# suspended, and longer than the time limit of the final responses.
HOLD_UP_S = 0.25

# Seconds from the end of the requests to a hold-up, within the time in which
# what endpoints have sent may still be read.
LATER_S = client.READY_GRACE_S / 2

REQUEST = gateway_requests.raw_request("r1", "/unsafe/x")

HoldUp = Callable[[pytest.MonkeyPatch], None]


def hold_up_the_next_turn(monkeypatch: pytest.MonkeyPatch) -> None:
    """Holds the loop up in the system call that begins its next turn."""
    selector = asyncio.get_running_loop()._selector  # type: ignore[attr-defined]
    select = selector.select

    def select_held_up(timeout: float | None) -> object:
        monkeypatch.setattr(selector, "select", select)
        raw_peers.block_event_loop(HOLD_UP_S)
        return select(timeout)

    monkeypatch.setattr(selector, "select", select_held_up)


def hold_up_later(_: pytest.MonkeyPatch) -> None:
    """Holds the loop up while the request waits for what was sent."""
    loop = asyncio.get_running_loop()
    loop.call_later(LATER_S, raw_peers.block_event_loop, HOLD_UP_S)


@pytest.fixture
async def box(peer: raw_peers.RawPeer) -> AsyncIterator[gateway.Gateway]:
    """A box before one endpoint, whose responses the test sends."""
    fleet = boxes.Boxes()
    await fleet.start(builders.config_document(), boxes=0)
    made = await fleet.add_box("box-1", stop_s=STOP_S)
    listed = replica.Replica("i-raw")
    listed.address = peer.address
    fleet.replicas.append(listed)
    fleet.record(listed, builders.PLAIN)
    await fleet.until_listed()
    yield made
    await fleet.stop()


# What the endpoint has sent as the requests are ended, and when the loop is
# held up.
CASES: dict[str, tuple[bytes, HoldUp | None]] = {
    "nothing": (b"", None),
    "part": (raw_peers.answer(b"answer")[:-1], None),
    "nothing-held-up": (b"", hold_up_the_next_turn),
    "part-held-up": (raw_peers.answer(b"answer")[:-1], hold_up_later),
}


@pytest.mark.parametrize(("sent", "hold_up"), CASES.values(), ids=CASES.keys())
async def test_request_gets_its_final_answer_at_the_end_of_a_stop(
    box: gateway.Gateway,
    peer: raw_peers.RawPeer,
    monkeypatch: pytest.MonkeyPatch,
    sent: bytes,
    hold_up: HoldUp | None,
) -> None:
    connection = keep_alive_connections.KeptConnection()
    await connection.connect(box.members.own.callers)
    connection.send(REQUEST)
    run = await peer.accept()
    assert await peer.request(run)
    end_requests = box.held.stop

    def end_requests_held_up() -> None:
        run.send(sent)
        end_requests()
        if hold_up is not None:
            hold_up(monkeypatch)

    monkeypatch.setattr(box.held, "stop", end_requests_held_up)
    await box.leave()
    answer = await connection.answer()
    connection.close()
    # It may have run, so the status must not claim otherwise.
    assert answer[9:12] in (b"502", b"504"), answer
