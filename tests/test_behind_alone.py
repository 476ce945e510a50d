"""Tests a box that knows of a newer configuration and hears no box any more.

Guards against a box that is cut off after it was told of a change, and serves
by the old configuration beyond the bound, since no box tells it of the change.
"""

import asyncio
from collections.abc import AsyncIterator
import dataclasses

import pytest

from martenjunction import gateway
from tests import cut_fleet
from tests import routing_builders as builders

pytestmark = pytest.mark.simulated_time

NEWER = 99

# Seconds after which a box that is behind serves no more, with a margin; less
# than those for which keys stay confirmed.
BEHIND_S = 2.5


@pytest.fixture
async def made() -> AsyncIterator[cut_fleet.CutFleet]:
    started = cut_fleet.CutFleet()
    await started.start(builders.config_document(), 2)
    yield started
    await started.fleet.stop()


def told_of_newer(made: cut_fleet.CutFleet) -> gateway.Gateway:
    """Returns a box that does not read, told of a newer configuration."""
    name = next(n for n in made.names() if n != made.reader())
    box = made.box(name)
    box.freshness.note_newer_version(NEWER, box.timers.now())
    return box


async def test_box_that_is_alone_remembers_that_it_is_behind(
    made: cut_fleet.CutFleet,
) -> None:
    await made.fleet.store.stop()
    box = told_of_newer(made)
    made.cut([box.members.own.box])
    # The last word of the other box, before its change came through.
    other = next(n for n in made.names() if n != box.members.own.box)
    heard = box.sync.last_heard(other)
    assert heard is not None
    box.sync._views.record_stamp(
        other, dataclasses.replace(heard.stamp, version=NEWER)
    )
    await asyncio.sleep(BEHIND_S)
    assert not box.peers.boxes()
    assert box.freshness.is_lagging(box.timers.now())


@pytest.mark.parametrize("store_answers", [True, False])
async def test_box_that_hears_others_drops_a_version_that_none_has(
    made: cut_fleet.CutFleet, store_answers: bool
) -> None:
    if not store_answers:
        await made.fleet.store.stop()
    box = told_of_newer(made)
    await asyncio.sleep(BEHIND_S)
    assert not box.freshness.is_lagging(box.timers.now())


async def test_box_that_is_alone_drops_a_version_that_the_store_lacks(
    made: cut_fleet.CutFleet,
) -> None:
    box = told_of_newer(made)
    made.cut([box.members.own.box])
    async with asyncio.timeout(10.0):
        while not box.follower.is_synced:
            await asyncio.sleep(0.1)
    await asyncio.sleep(1.0)
    assert not box.freshness.is_lagging(box.timers.now())
