"""Checks of endpoints that fail unexpectedly.

Guards against one error that all later runs at an endpoint meet: what a check
finds is shared by the runs that break off there, also if it is an error.
"""

import asyncio
import contextlib

import pytest

from martenjunction import model
from martenjunction.routing.endpoints import endpoint_liveness
from martenjunction_lab import boxes
from tests import routing_builders as builders


@pytest.mark.parametrize(
    "error",
    [RuntimeError("injected"), asyncio.CancelledError("injected")],
    ids=["unexpected", "cancelled"],
)
async def test_failed_check_is_not_shared_for_longer_than_a_result(
    fleet: boxes.Boxes, monkeypatch: pytest.MonkeyPatch, error: BaseException
) -> None:
    made = await fleet.add_replica(builders.PLAIN)
    await fleet.until_listed()
    [box] = fleet.gateways
    endpoint = box.endpoint_list.entries[made.id].endpoint
    injected = [error]

    async def is_down(_: model.Endpoint) -> bool:
        if injected:
            raise injected.pop()
        return False

    monkeypatch.setattr(box.liveness, "_is_down", is_down)
    with contextlib.suppress(type(error)):
        await box.liveness.check(endpoint)
    await asyncio.sleep(2 * endpoint_liveness.RESULT_TTL_S)
    assert not injected
    assert not await box.liveness.check(endpoint)
