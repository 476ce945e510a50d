"""Sends requests to a box with fake replicas, for end-to-end tests."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

import pytest

from martenjunction import gateway
from martenjunction import model
from martenjunction.http1 import client
from martenjunction.http1 import messages
from martenjunction_lab import boxes
from martenjunction_lab import replica
from tests import routing_builders as builders

Behaviour = replica.Behaviour

# How a replica answers a request, and how a test has one answer: by the
# replica, its own way to answer, the request and its connection.
Serve = Callable[
    [replica.Received, Behaviour, asyncio.StreamReader, asyncio.StreamWriter],
    Awaitable[bool],
]
Answer = Callable[
    [
        replica.Replica,
        Serve,
        replica.Received,
        asyncio.StreamReader,
        asyncio.StreamWriter,
    ],
    Awaitable[bool],
]

WHOLE_STREAM = b"".join(
    f"id: {number}\ndata: t{number}\n\n".encode() for number in range(1, 6)
)


def request_headers(request_id: str, **changes: str) -> dict[str, str]:
    headers = {
        "Martenjunction-Attempt-Id": request_id,
        "Martenjunction-Deadline-Ms": "1500",
        "Authorization": f"Bearer {builders.KEY}",
        "Martenjunction-Model": "m",
        "Martenjunction-Token-Counts": "500,80",
        "Martenjunction-Prefix-Hash": "aa:100,bb:400",
    }
    headers.update(changes)
    return headers


def raw_request(request_id: str, path: str, deadline_ms: int = 9000) -> bytes:
    """Returns the bytes of a request with a short body."""
    pairs = request_headers(request_id)
    pairs["Martenjunction-Deadline-Ms"] = str(deadline_ms)
    pairs["Host"] = "api.example"
    pairs["Content-Length"] = "5"
    lines = [f"{name}: {value}" for name, value in pairs.items()]
    head = "\r\n".join([f"POST {path} HTTP/1.1", *lines])
    return f"{head}\r\n\r\nhello".encode()


async def ask(
    fleet: boxes.Boxes, path: str, request_id: str = "r1", **changes: str
) -> tuple[messages.ResponseHead, bytes]:
    return await boxes.call(
        fleet.addresses[0],
        "POST",
        path,
        request_headers(request_id, **changes),
        b"hello",
    )


async def two_plain(fleet: boxes.Boxes) -> list[replica.Replica]:
    made = [await fleet.add_replica(builders.PLAIN) for _ in range(2)]
    await fleet.until_listed()
    return made


def on_first_connection(
    monkeypatch: pytest.MonkeyPatch,
    box: gateway.Gateway,
    act: Callable[[str], object],
) -> list[str]:
    """Calls a function when the first connection to an endpoint is acquired.

    Args:
        monkeypatch: Restores the connection pool.
        box: The box.
        act: Called with the id of the endpoint.

    Returns:
        The ids of the endpoints for which connections were acquired; the list
        grows with each connection.
    """
    asked: list[str] = []
    acquire = box.pool.acquire

    async def acting(
        endpoint: model.Endpoint, repeatable: bool, fresh: bool = False
    ) -> client.ClientConnection:
        connection = await acquire(endpoint, repeatable, fresh)
        asked.append(endpoint.id)
        if len(asked) == 1:
            act(endpoint.id)
        return connection

    monkeypatch.setattr(box.pool, "acquire", acting)
    return asked


async def check_change_while_connecting(
    fleet: boxes.Boxes,
    monkeypatch: pytest.MonkeyPatch,
    act: Callable[[gateway.Gateway, str], object],
) -> None:
    """Checks that an endpoint that changes during connection setup is skipped.

    The request must be served by the other endpoint.

    Args:
        fleet: A box without endpoints.
        monkeypatch: Restores the connection pool.
        act: Changes the first selected endpoint; called with the box and the
            endpoint id.
    """
    made = await two_plain(fleet)
    box = fleet.gateways[0]
    asked = on_first_connection(monkeypatch, box, lambda i: act(box, i))
    head, _ = await asyncio.wait_for(ask(fleet, "/safe/"), 10.0)
    assert head.status == 200
    [first] = [m for m in made if m.id == asked[0]]
    assert not first.received


def plan_first_response(
    made: list[replica.Replica], behaviour: Behaviour
) -> None:
    """Plans the behaviour for the next request of each replica."""
    for stand_in in made:
        stand_in.plan(behaviour)


def replace_first_reached(
    monkeypatch: pytest.MonkeyPatch, made: list[replica.Replica], answer: Answer
) -> list[replica.Replica]:
    """Replaces the answers of the replica that gets the next request.

    Which replica that is depends on draws and on response times measured
    before.

    Returns:
        The replica, once a request has reached it.
    """
    first: list[replica.Replica] = []

    def watch(stand_in: replica.Replica) -> None:
        serve = stand_in._answer

        async def answer_if_first(
            request: replica.Received,
            planned: Behaviour,
            reader: asyncio.StreamReader,
            writer: asyncio.StreamWriter,
        ) -> bool:
            if not first:
                first.append(stand_in)
            if stand_in in first:
                return await answer(stand_in, serve, request, reader, writer)
            return await serve(request, planned, reader, writer)

        monkeypatch.setattr(stand_in, "_answer", answer_if_first)

    for stand_in in made:
        watch(stand_in)
    return first


def plan_where_first_sent(
    monkeypatch: pytest.MonkeyPatch,
    made: list[replica.Replica],
    behaviour: Behaviour,
) -> None:
    """Plans the behaviour of the replica that gets the next request.

    It is kept for all later requests there.
    """

    async def behave(
        _: replica.Replica,
        serve: Serve,
        request: replica.Received,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        return await serve(request, behaviour, reader, writer)

    replace_first_reached(monkeypatch, made, behave)


def runs(made: list[replica.Replica], request_id: str = "r1") -> int:
    return sum(stand_in.runs[request_id] for stand_in in made)


def arrivals(made: list[replica.Replica]) -> int:
    return sum(len(stand_in.received) for stand_in in made)


async def engines(fleet: boxes.Boxes) -> list[replica.Replica]:
    made = [
        await fleet.add_replica(builders.ENGINE, slots=64) for _ in range(2)
    ]
    await fleet.until_listed()
    return made


def leaving_for_s(box: gateway.Gateway) -> float:
    """Returns seconds since a box's graceful shutdown began, or 0."""
    return box.stop_state.leaving_for_s(box.timers.now()) or 0.0


async def until_config_read(box: gateway.Gateway, times: int) -> None:
    """Waits until a box that reads has read the configuration some times."""
    for _ in range(times):
        read_at = box.follower.config_read_at
        await boxes.until(lambda at=read_at: box.follower.config_read_at > at)  # type: ignore[misc]
