"""Answers at a box whose memory is short.

Guards against an answer that is cut off or never delivered for want of memory,
and against memory that is never given back.
"""

import asyncio
from collections.abc import AsyncIterator

import pytest

from martenjunction.routing.limits import answer_admission
from martenjunction_lab import boxes
from tests import endless_endpoints
from tests import gateway_requests as requests
from tests import routing_builders as builders

LIMIT_BYTES = 150 * 2**20

# Length of an answer that waits where there is no memory.
LENGTH = 200_000

SIZED = endless_endpoints.Form(
    lambda name: endless_endpoints.sealed_head(
        name, b"Content-Length: %d" % LENGTH
    ),
    bytes(1024),
)
DEADLINE = {"Martenjunction-Deadline-Ms": "1400"}


@pytest.fixture
async def endless() -> AsyncIterator[endless_endpoints.EndlessEndpoint]:
    made = endless_endpoints.EndlessEndpoint(SIZED)
    yield made
    made.stop()


async def until_known(
    fleet: boxes.Boxes, endpoint: endless_endpoints.EndlessEndpoint
) -> None:
    endpoint.record(fleet, builders.PLAIN)
    box = fleet.gateways[0]
    await boxes.until(lambda: endpoint.id in box.endpoint_list.entries)
    await boxes.until(lambda: bool(box.dump()["ready"]))


async def hold_another(
    fleet: boxes.Boxes,
) -> answer_admission.AnswerHolder:
    """Holds a large answer; one is held however short memory is."""
    made = fleet.gateways[0].answers.holder(None)
    await made.begin(LENGTH, lambda: None)
    return made


def gauge(fleet: boxes.Boxes, name: str) -> float:
    box = fleet.gateways[0]
    return {**box.bodies.gauges(), **box.answers.gauges()}[name]


async def test_answer_with_a_length_is_delivered_once_it_fits(
    fleet: boxes.Boxes, endless: endless_endpoints.EndlessEndpoint
) -> None:
    await until_known(fleet, endless)
    bodies = fleet.gateways[0].bodies
    bodies.hold(LIMIT_BYTES)
    other = await hold_another(fleet)
    asking = asyncio.create_task(
        requests.ask(fleet, "/unsafe/", "r1", **DEADLINE)
    )
    await boxes.until(lambda: gauge(fleet, "memory_answers_waiting") == 1)
    await asyncio.sleep(0.2)
    assert not asking.done()
    other.close()
    bodies.release(LIMIT_BYTES)
    head, body = await asking
    assert (head.status, len(body)) == (200, LENGTH)
    assert gauge(fleet, "memory_held_bytes") == 0


async def test_answer_that_never_fits_ends_with_its_deadline(
    fleet: boxes.Boxes, endless: endless_endpoints.EndlessEndpoint
) -> None:
    await until_known(fleet, endless)
    bodies = fleet.gateways[0].bodies
    bodies.hold(LIMIT_BYTES)
    other = await hold_another(fleet)
    head, _ = await requests.ask(fleet, "/unsafe/", "r1", **DEADLINE)
    other.close()
    assert head.status == 504
    assert gauge(fleet, "memory_answers_waiting") == 0
    assert gauge(fleet, "memory_held_bytes") == LIMIT_BYTES


async def test_answer_is_granted_as_its_client_leaves(
    fleet: boxes.Boxes, endless: endless_endpoints.EndlessEndpoint
) -> None:
    # A cancelled wait ends only in the next iteration of the event loop.
    await until_known(fleet, endless)
    box = fleet.gateways[0]
    box.bodies.hold(LIMIT_BYTES)
    other = await hold_another(fleet)
    asking = asyncio.create_task(
        requests.ask(fleet, "/unsafe/", "r1", **DEADLINE)
    )
    await boxes.until(lambda: gauge(fleet, "memory_answers_waiting") == 1)
    [running] = box.held.exchanges
    assert running._task is not None
    running._task.cancel()
    other.close()
    box.bodies.release(LIMIT_BYTES)
    head, _ = await asking
    assert head.status == 504
    assert gauge(fleet, "memory_held_bytes") == 0


@pytest.mark.parametrize(
    ("path", "status"), [("/unsafe/", 502), ("/safe/", 200)]
)
async def test_answer_that_is_given_up_is_told_or_tried_elsewhere(
    fleet: boxes.Boxes, path: str, status: int
) -> None:
    endpoint = endless_endpoints.EndlessEndpoint(
        endless_endpoints.FORMS["chunks"]
    )
    try:
        await until_known(fleet, endpoint)
        endpoint.release.clear()
        asking = asyncio.create_task(
            requests.ask(fleet, path, "r1", **DEADLINE)
        )
        await boxes.until(lambda: endpoint.requests == 1)
        other = await fleet.add_replica(builders.PLAIN)
        await fleet.until_listed()
        fleet.gateways[0].bodies.hold(LIMIT_BYTES)
        endpoint.release.set()
        head, _ = await asking
        assert head.status == status
        assert other.runs["r1"] == (status == 200)
        assert gauge(fleet, "memory_held_bytes") == LIMIT_BYTES
    finally:
        endpoint.stop()
