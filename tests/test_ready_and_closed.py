"""Tests aborted requests whose response is about to be read.

After a stall of the event loop, a timeout and the awaited bytes may be handled
in the same iteration. The state of the socket must decide, not older state.
"""

import asyncio
from collections.abc import Callable
import errno
import time
from typing import NoReturn

import pytest

from martenjunction import errors
from martenjunction.http1 import messages
from martenjunction.routing.requests import exchange
from martenjunction_lab import boxes
from martenjunction_lab import replica
from tests import gateway_requests as requests
from tests import raw_peers
from tests import routing_builders as builders


class FakeConnection:
    """A fake of the client connection used by an exchange."""

    def __init__(self) -> None:
        self.closed = False
        self.answering = False
        self.statuses: list[int] = []
        self.on_watch: Callable[[], None] = lambda: None

    @property
    def client_left(self) -> bool:
        return self.closed

    def on_disconnect(self, callback: Callable[[], None] | None) -> None:
        if callback is not None:
            self.on_watch()

    async def answer(self, status: int, *_: object) -> None:
        self.statuses.append(status)

    def abort(self, *_: object) -> None:
        self.closed = True


def exchange_on(
    fleet: boxes.Boxes, connection: FakeConnection, path: str = "/unsafe/"
) -> exchange.Exchange:
    pairs = [(b"Host", builders.HOST.encode())]
    pairs += [
        (name.encode(), value.encode())
        for name, value in requests.request_headers("r1").items()
    ]
    request = messages.Request(
        b"POST", path.encode(), pairs, received_at=time.monotonic()
    )
    return exchange.Exchange(
        fleet.gateways[0]._context,
        connection,  # type: ignore[arg-type]
        request,
    )


async def list_peer(
    fleet: boxes.Boxes, peer: raw_peers.RawPeer, service: str
) -> None:
    """Registers the peer as the only endpoint of a service."""
    listed = replica.Replica("i-raw")
    listed.address = peer.address
    fleet.replicas.append(listed)
    fleet.record(listed, service)
    await fleet.until_listed()


def sealed(body: bytes, *more: str) -> bytes:
    return raw_peers.answer(
        body,
        "Martenjunction-Attempt-Id: r1",
        "Martenjunction-Replica-Seal: seal",
        *more,
    )


@pytest.mark.parametrize(
    ("path", "service", "body"),
    [
        ("/unsafe/", builders.PLAIN, b"answer"),
        ("/chat/", builders.ENGINE, requests.WHOLE_STREAM),
    ],
)
async def test_response_received_before_the_deadline_is_delivered(
    fleet: boxes.Boxes,
    peer: raw_peers.RawPeer,
    path: str,
    service: str,
    body: bytes,
) -> None:
    # Guards against a 504 although the complete response reached the box in
    # time: it arrives while the event loop is blocked, the deadline passes,
    # and the timer cancelled the task that the response had woken.
    await list_peer(fleet, peer, service)
    asked = asyncio.create_task(
        requests.ask(fleet, path, **{"Martenjunction-Deadline-Ms": "300"})
    )
    run = await peer.accept()
    assert await peer.request(run)
    run.send(sealed(body))
    raw_peers.block_event_loop(0.5)
    head, got = await asked
    assert (head.status, got) == (200, body)


async def test_partial_response_at_the_deadline_is_discarded(
    fleet: boxes.Boxes, peer: raw_peers.RawPeer
) -> None:
    await list_peer(fleet, peer, builders.PLAIN)
    asked = asyncio.create_task(
        requests.ask(fleet, "/unsafe/", **{"Martenjunction-Deadline-Ms": "300"})
    )
    run = await peer.accept()
    assert await peer.request(run)
    run.send(sealed(b"answer")[:-1])
    raw_peers.block_event_loop(0.5)
    head, _ = await asked
    assert head.status == 504
    assert await peer.request(run) == b""


async def test_response_received_before_the_end_of_a_stop_is_delivered(
    fleet: boxes.Boxes, peer: raw_peers.RawPeer
) -> None:
    await list_peer(fleet, peer, builders.PLAIN)
    asked = asyncio.create_task(requests.ask(fleet, "/unsafe/"))
    run = await peer.accept()
    assert await peer.request(run)
    run.send(sealed(b"answer"))
    await fleet.gateways[0].stop()
    head, got = await asked
    assert (head.status, got) == (200, b"answer")


async def test_request_with_a_received_response_is_not_moved(
    fleet: boxes.Boxes, peer: raw_peers.RawPeer
) -> None:
    # Guards against running a request twice although its first response had
    # arrived: the endpoint is declared silent in the loop iteration in which
    # the response arrives, and the move closed the connection unread.
    await list_peer(fleet, peer, builders.PLAIN)
    asked = asyncio.create_task(requests.ask(fleet, "/safe/"))
    run = await peer.accept()
    assert await peer.request(run)
    run.send(sealed(b"answer"))
    [running] = fleet.gateways[0].held.exchanges
    running.move()
    head, got = await asked
    assert (head.status, got) == (200, b"answer")
    assert len(peer.accepted) == 1


async def test_endpoint_that_responds_again_keeps_its_request(
    fleet: boxes.Boxes, peer: raw_peers.RawPeer
) -> None:
    await list_peer(fleet, peer, builders.ENGINE)
    asked = asyncio.create_task(requests.ask(fleet, "/digest/"))
    run = await peer.accept()
    assert await peer.request(run)
    [running] = fleet.gateways[0].held.exchanges
    assert running.ticket is not None
    running.ticket.move_requested = True
    body = requests.WHOLE_STREAM
    whole = sealed(body)
    run.send(whole[: -len(body) + 18])
    await boxes.until(lambda: not running.ticket.waiting)
    assert not running.ticket.move_requested
    run.send(whole[-len(body) + 18 :])
    _, got = await asked
    assert got == body


async def test_request_of_a_disconnected_client_is_not_sent(
    fleet: boxes.Boxes,
) -> None:
    # Guards against sending requests that are aborted at once: the client's
    # close is read in the loop iteration that serves the request, and its
    # callback runs one iteration after the request was sent.
    made = await requests.two_plain(fleet)
    connection = FakeConnection()
    connection.closed = True
    with pytest.raises(errors.ConnectionLostError):
        await exchange_on(fleet, connection).run()
    assert requests.arrivals(made) == 0
    assert fleet.gateways[0].registry.runs.running == 0


async def test_failure_of_the_watch_leaves_no_run_behind(
    fleet: boxes.Boxes, peer: raw_peers.RawPeer
) -> None:
    await list_peer(fleet, peer, builders.PLAIN)
    connection = FakeConnection()

    def fail() -> NoReturn:
        raise OSError(errno.EHOSTUNREACH, "No route to host")

    connection.on_watch = fail
    await exchange_on(fleet, connection).run()
    assert connection.statuses == [502]
    await boxes.until(lambda: fleet.gateways[0].registry.runs.running == 0)


async def test_unexpected_error_after_a_send_is_answered_and_logged(
    fleet: boxes.Boxes,
    monkeypatch: pytest.MonkeyPatch,
    caplog: pytest.LogCaptureFixture,
) -> None:
    # Guards against closing a client connection without a response while the
    # request runs, because an unexpected error bypassed all responses.
    made = await requests.two_plain(fleet)

    def fail(*_: object) -> NoReturn:
        raise RuntimeError("registry failure")

    monkeypatch.setattr(fleet.gateways[0].registry.runs, "note_response", fail)
    head, _ = await requests.ask(fleet, "/unsafe/")
    assert head.status == 502
    assert requests.runs(made) == 1
    assert "RuntimeError" in caplog.text
    assert "registry failure" in caplog.text
