"""Reads of the store that decisions share, each newer than the decision."""

import asyncio
from collections.abc import AsyncIterator
import time

import pytest

from martenjunction import gateway
from martenjunction.decisions.boxes import fleet_evidence
from martenjunction.routing.store import fresh_reading
from martenjunction_lab import boxes
from tests import routing_builders as builders

pytestmark = pytest.mark.simulated_time

WAITERS = 50


@pytest.fixture
async def box(fleet: boxes.Boxes) -> AsyncIterator[gateway.Gateway]:
    await fleet.add_replica(builders.ENGINE)
    await fleet.until_listed()
    yield fleet.gateways[0]


def calls(box: gateway.Gateway) -> int:
    return box.store.calls.get("list", 0)


async def read(box: gateway.Gateway) -> fleet_evidence.FreshList:
    asked_at = time.monotonic()
    fresh = await box.fresh_reading.read()
    assert fresh is not None
    assert fresh.asked_at >= asked_at
    return fresh


async def test_many_decisions_share_a_read(box: gateway.Gateway) -> None:
    before = calls(box)
    found = await asyncio.gather(*(read(box) for _ in range(WAITERS)))
    assert len(found) == WAITERS
    assert calls(box) - before == 1


async def test_decision_does_not_use_a_read_that_began_before_it(
    fleet: boxes.Boxes, box: gateway.Gateway
) -> None:
    fleet.store.faults.delay_s = 0.1
    first = asyncio.ensure_future(read(box))
    await asyncio.sleep(0.05)
    joined = await fleet.add_replica(builders.ENGINE)
    fleet.record(joined, builders.ENGINE, version="v2")
    second = await read(box)
    assert {version for _, version in second.versions} == {"v1", "v2"}
    await first


async def test_store_that_is_silent_tells_nothing(
    fleet: boxes.Boxes, box: gateway.Gateway
) -> None:
    fleet.store.faults.silent = True
    began_at = time.monotonic()
    assert await box.fresh_reading.read() is None
    assert time.monotonic() - began_at <= fresh_reading.LIMIT_S + 0.01
    fleet.store.faults.silent = False
    await asyncio.sleep(boxes.READY_LIMIT_S)
    await read(box)


async def test_store_tells_nothing_while_entries_may_lack(
    fleet: boxes.Boxes, box: gateway.Gateway
) -> None:
    fleet.store.faults.down = True
    await asyncio.sleep(4.0)
    fleet.store.faults.down = False
    while not box.store_cache.in_grace:
        await asyncio.sleep(0.01)
    assert await box.fresh_reading.read() is None


async def test_client_that_leaves_does_not_end_the_read_of_others(
    box: gateway.Gateway,
) -> None:
    leaving = asyncio.ensure_future(box.fresh_reading.read())
    await asyncio.sleep(0)
    staying = asyncio.ensure_future(read(box))
    await asyncio.sleep(0)
    leaving.cancel()
    await staying
