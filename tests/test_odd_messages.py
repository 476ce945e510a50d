"""Messages of peers whose values are of the right type and absurd."""

import asyncio
from collections.abc import AsyncIterator

import pytest

from martenjunction import gateway
from martenjunction.routing.messages import peer_messages
from martenjunction_lab import boxes
from tests import routing_builders as builders

HUGE = 10**400


@pytest.fixture
async def pair() -> AsyncIterator[boxes.Boxes]:
    made = boxes.Boxes()
    await made.start(builders.config_document(), boxes=2)
    yield made
    await made.stop()


async def until_linked(first: gateway.Gateway, box: str) -> None:
    async with asyncio.timeout(10.0):
        while not first.peers.is_connected(box):
            await asyncio.sleep(0.02)


@pytest.mark.parametrize("sender", [0, 1])
async def test_message_that_cannot_be_handled_is_a_refusal(
    pair: boxes.Boxes, sender: int
) -> None:
    first, second = pair.gateways[sender], pair.gateways[1 - sender]
    box = second.members.own.box
    await until_linked(first, box)
    before = second.peers.refused
    message = peer_messages.EndpointLimits(("e-1",), (1.0,), (HUGE,), 0)
    assert first.peers.send(box, message)
    async with asyncio.timeout(10.0):
        while second.peers.refused == before:
            await asyncio.sleep(0.02)
    await until_linked(first, box)
    await until_linked(second, first.members.own.box)
