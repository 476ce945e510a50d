"""Endpoints that come and leave while a box does not follow the store.

Guards against conclusions about streams from lists alone: a version that is
gone by the next list may have begun streams at other boxes.
"""

import asyncio
import time

import pytest

from martenjunction import gateway
from martenjunction_lab import boxes
from tests import routing_builders as builders

pytestmark = pytest.mark.simulated_time

# Seconds of an outage, in which entries of live endpoints do not lapse, and for
# which a box may take to list anew.
OUTAGE_S = 1.0
SETTLE_S = 3.0


def versions(box: gateway.Gateway) -> frozenset[str]:
    known = box.origins._conclusions._versions
    return known.versions(builders.ENGINE, time.monotonic())


async def play_outage(fleet: boxes.Boxes, *, keeps_history: bool) -> None:
    """Has a version come and leave while the store is silent to the boxes."""
    await fleet.add_replica(builders.ENGINE)
    await fleet.until_listed()
    fleet.store.faults.down = fleet.store.faults.deaf = True
    await asyncio.sleep(OUTAGE_S / 2)
    brief = await fleet.add_replica(builders.ENGINE)
    fleet.record(brief, builders.ENGINE, version="v2")
    fleet.forget(brief)
    if not keeps_history:
        fleet.store.forget_history()
    await asyncio.sleep(OUTAGE_S / 2)
    fleet.store.faults.down = fleet.store.faults.deaf = False
    await asyncio.sleep(SETTLE_S)


async def test_version_that_left_before_the_next_list_is_known(
    fleet: boxes.Boxes,
) -> None:
    await play_outage(fleet, keeps_history=True)
    assert versions(fleet.gateways[0]) == {"v1", "v2"}


async def test_changes_that_the_store_dropped_are_a_gap(
    fleet: boxes.Boxes, monkeypatch: pytest.MonkeyPatch
) -> None:
    gaps: list[float] = []
    conclusions = fleet.gateways[0].origins._conclusions
    monkeypatch.setattr(conclusions, "note_gap", gaps.append)
    await play_outage(fleet, keeps_history=False)
    assert versions(fleet.gateways[0]) == {"v1"}
    assert gaps
