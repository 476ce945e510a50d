"""Answers that wait for memory which others hold.

Guards against requests that keep their own answers waiting, and against an
endpoint that is ejected because the box does not read what it sent.
"""

import asyncio
from collections.abc import AsyncIterator

import pytest

from martenjunction.decisions import endpoint_states
from martenjunction_lab import boxes
from tests import endless_endpoints
from tests import gateway_requests as requests
from tests import routing_builders as builders

LIMIT_BYTES = 150 * 2**20
DEADLINE = {"Martenjunction-Deadline-Ms": "3000"}

# Bytes of the budget that are free, of a body and of an answer.
FREE_BYTES = 1_000_000
BODY_BYTES = 60_000
ANSWER_BYTES = 200_000

REQUESTS = 30

SIZED = endless_endpoints.Form(
    lambda name: endless_endpoints.sealed_head(
        name, b"Content-Length: %d" % ANSWER_BYTES
    ),
    bytes(1024),
)


@pytest.fixture
async def endpoint(
    fleet: boxes.Boxes,
) -> AsyncIterator[endless_endpoints.EndlessEndpoint]:
    made = endless_endpoints.EndlessEndpoint(SIZED)
    made.record(fleet, builders.PLAIN)
    box = fleet.gateways[0]
    await boxes.until(lambda: made.id in box.endpoint_list.entries)
    await boxes.until(lambda: bool(box.dump()["ready"]))
    yield made
    made.stop()


async def test_bodies_do_not_keep_their_own_answers_waiting(
    fleet: boxes.Boxes, endpoint: endless_endpoints.EndlessEndpoint
) -> None:
    # A body is held until its answer is delivered.
    budget = fleet.gateways[0].bodies.budget
    fleet.gateways[0].bodies.hold(budget.capacity - FREE_BYTES)
    endpoint.release.clear()

    async def status(number: int) -> int:
        head, _ = await boxes.call(
            fleet.addresses[0],
            "POST",
            "/unsafe/",
            requests.request_headers(f"r{number}", **DEADLINE),
            bytes(BODY_BYTES),
        )
        return head.status

    asking = [asyncio.create_task(status(i)) for i in range(REQUESTS)]
    await boxes.until(lambda: budget.waiting > 0)
    await boxes.until(lambda: endpoint.requests > 0)
    endpoint.release.set()
    assert 200 in await asyncio.gather(*asking)


async def test_endpoint_whose_answers_wait_is_not_ejected(
    fleet: boxes.Boxes, endpoint: endless_endpoints.EndlessEndpoint
) -> None:
    box = fleet.gateways[0]
    box.bodies.hold(LIMIT_BYTES)
    # One large answer is held however short memory is.
    other = box.answers.holder(None)
    await other.begin(ANSWER_BYTES, lambda: None)
    asking = [
        asyncio.create_task(
            requests.ask(fleet, "/unsafe/", f"r{number}", **DEADLINE)
        )
        for number in range(3)
    ]
    await boxes.until(
        lambda: box.answers.gauges()["memory_answers_waiting"] == 3
    )
    await asyncio.sleep(1.0)
    health = box.registry.table.records[endpoint.id].health
    ejected = health.state is endpoint_states.EndpointState.EJECTED
    other.close()
    box.bodies.release(LIMIT_BYTES)
    await asyncio.gather(*asking)
    assert not ejected
