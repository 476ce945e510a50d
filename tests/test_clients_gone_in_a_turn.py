"""Clients that leave while the event loop is held up.

Guards against requests that are passed to an endpoint, given up within a
millisecond, and whose connections both end without an answer: the loop has not
seen yet that their clients left.
"""

import asyncio

import pytest

from martenjunction.routing.requests import offers
from martenjunction_lab import boxes
from tests import gateway_requests
from tests import keep_alive_connections
from tests import raw_peers

COUNT = 15

# Seconds after which all that the box sent has been read.
SETTLE_S = 0.2


def request(number: int, kind: str) -> bytes:
    headers = gateway_requests.request_headers(f"r{number}", Host="api.example")
    headers["Content-Length"] = "5"
    lines = [f"{name}: {value}" for name, value in headers.items()]
    head = "\r\n".join([f"POST /{kind}/a HTTP/1.1", *lines])
    return head.encode() + b"\r\n\r\nhello"


@pytest.mark.parametrize("kind", ["safe", "chat"])
async def test_requests_of_clients_that_left_are_not_passed_on(
    fleet: boxes.Boxes, monkeypatch: pytest.MonkeyPatch, kind: str
) -> None:
    made = await gateway_requests.two_plain(fleet)
    made += await gateway_requests.engines(fleet)
    clients = await keep_alive_connections.open_used_connections(
        fleet.addresses[0], COUNT, request(0, "safe")
    )
    before = gateway_requests.arrivals(made)
    left = False
    note_sent = offers.Offers.note_sent

    def held_up(chosen: offers.Offers, endpoint_id: str) -> None:
        nonlocal left
        note_sent(chosen, endpoint_id)
        if not left:
            left = True
            for client in clients:
                client.close()
            raw_peers.block_event_loop()

    monkeypatch.setattr(offers.Offers, "note_sent", held_up)
    for number, client in enumerate(clients, start=1):
        client.send(request(number, kind))
    await boxes.until(lambda: left and not fleet.gateways[0].held.exchanges)
    await asyncio.sleep(SETTLE_S)
    assert gateway_requests.arrivals(made) == before
