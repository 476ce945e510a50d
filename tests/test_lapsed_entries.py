"""Outages of the store in which entries of live endpoints lapse.

Each box used to take the age of its configuration for the length of the outage,
so that a box that regained the store second, and had just been told by the
first one, dropped every entry that was not back yet. It told the others, which
took all these endpoints for leaving ones, for good.
"""

import asyncio
from collections.abc import AsyncIterator

import pytest

from martenjunction import gateway
from martenjunction.decisions.boxes import entry_states
from martenjunction.decisions.boxes import store_readers
from martenjunction.decisions.boxes import unchecked_reports
from martenjunction.routing.messages import peer_messages
from martenjunction.routing.store import follower
from martenjunction_lab import bench
from martenjunction_lab import boxes
from martenjunction_lab import replica
from tests import gateway_requests as requests
from tests import lapse_table
from tests import routing_builders as builders

# Seconds after the store's return from which it counts as stable and the boxes
# are bound by what it holds.
STABLE_S = 3.0

# Seconds for which the store is away in the tests of single boxes.
OUTAGE_S = 2.6


# Guards against live endpoints that stay unavailable, or ended ones that do
# not, after their entries lapsed at random times.
@pytest.mark.parametrize("row", ["resets", "twice", "start-box", "end-reader"])
async def test_live_endpoints_are_listed_again_and_no_others(row: str) -> None:
    outcome = await lapse_table.Trial(lapse_table.ROWS[row], seed=1).run()
    assert outcome.empty_s == 0.0
    assert outcome.converged_s is not None
    assert outcome.converged_s <= STABLE_S
    assert outcome.ended_s is not None
    assert outcome.ended_s <= STABLE_S
    assert not outcome.leaving_served


class CutOffBoxes:
    """Boxes that lose the store and regain it one by one."""

    def __init__(self, fleet: boxes.Boxes) -> None:
        self.fleet = fleet

    def cut_off(self, box: gateway.Gateway) -> None:
        """Cuts a box off from the store; its calls are refused."""
        box.store.close()
        box.store._http._address = bench.free_address()
        for task in list(box.follower._watch_tasks):
            task.cancel()
        box.follower._watch_tasks = []

    def connect(self, box: gateway.Gateway) -> None:
        """Lets a box reach the store again."""
        box.store._http._address = self.fleet.store.address


@pytest.fixture
async def cut_off(
    monkeypatch: pytest.MonkeyPatch,
) -> AsyncIterator[CutOffBoxes]:
    # All boxes try again at once and go on reading, so that the test decides
    # in which order they regain the store.
    monkeypatch.setattr(follower, "MAX_BACKOFF_S", 0.05)
    monkeypatch.setattr(follower, "MAX_BACKOFF_STANDBY_S", 0.05)
    monkeypatch.setattr(store_readers, "MIN_READING_S", 10.0)
    fleet = boxes.Boxes()
    await fleet.start(builders.config_document(), boxes=3)
    for _ in range(2):
        await fleet.add_replica(builders.PLAIN)
    await fleet.until_listed()
    made = CutOffBoxes(fleet)
    yield made
    await fleet.stop()


async def lose_store(
    cut_off: CutOffBoxes,
) -> tuple[gateway.Gateway, list[gateway.Gateway]]:
    """Takes the store away; returns the first reader and the other boxes."""
    fleet = cut_off.fleet
    await boxes.until(lambda: any(b.follower.is_synced for b in fleet.gateways))
    for box in fleet.gateways:
        cut_off.cut_off(box)
    for made in fleet.replicas:
        fleet.forget(made)
    await asyncio.sleep(OUTAGE_S)
    [first] = [b for b in fleet.gateways if b.follower._first]
    return first, [b for b in fleet.gateways if b is not first]


def is_told_config(box: gateway.Gateway) -> bool:
    """Returns whether a box was told that its configuration is the newest."""
    age_s = box.freshness.age_s(box.timers.now())
    return age_s is not None and age_s < OUTAGE_S / 2


def ready_counts(cut_off: CutOffBoxes) -> list[int]:
    return [
        len(box.endpoint_list.ready(builders.PLAIN))
        for box in cut_off.fleet.gateways
    ]


def write_entries(cut_off: CutOffBoxes, made: list[replica.Replica]) -> None:
    for stand_in in made:
        cut_off.fleet.record(stand_in, builders.PLAIN)


# Guards against a second reader that gives lapsed entries no grace because the
# first one told it the configuration, and ends them on all boxes for good.
async def test_box_that_regains_the_store_second_ends_no_endpoint(
    cut_off: CutOffBoxes,
) -> None:
    first, others = await lose_store(cut_off)
    cut_off.connect(first)
    await boxes.until(lambda: all(is_told_config(box) for box in others))
    for box in others:
        cut_off.connect(box)
    await asyncio.sleep(1.0)
    assert ready_counts(cut_off) == [2, 2, 2]
    write_entries(cut_off, cut_off.fleet.replicas)
    await asyncio.sleep(STABLE_S - 1.0)
    assert ready_counts(cut_off) == [2, 2, 2]
    head, _ = await requests.ask(cut_off.fleet, "/unsafe/")
    assert head.status == 200


# Guards against entries that are kept although the store was available to
# other boxes all the time: their endpoints have ended.
async def test_box_that_was_cut_off_alone_keeps_no_ended_endpoint(
    cut_off: CutOffBoxes,
) -> None:
    fleet = cut_off.fleet
    await boxes.until(lambda: any(b.follower.is_synced for b in fleet.gateways))
    [reader] = [b for b in fleet.gateways if b.follower.is_synced]
    cut_off.cut_off(reader)
    await asyncio.sleep(OUTAGE_S)
    ended = fleet.replicas[0]
    cut_off.connect(reader)
    await boxes.until(lambda: reader.follower.is_synced)
    fleet.forget(ended)
    await asyncio.sleep(1.0)
    assert ready_counts(cut_off) == [1, 1, 1]


# Guards against a box that stays with a wrong report of its peers until the
# next outage of the store.
async def test_wrong_report_of_a_peer_heals_by_itself(
    cut_off: CutOffBoxes,
) -> None:
    fleet = cut_off.fleet
    await boxes.until(lambda: any(b.follower.is_synced for b in fleet.gateways))
    report = peer_messages.EndpointsRemoved(
        tuple(made.id for made in fleet.replicas),
        tuple(entry_states.RemovalCause.MISSING.value for _ in fleet.replicas),
        fleet.gateways[0].endpoint_list.revision,
    )
    for box in fleet.gateways:
        box.store_cache.apply_report(report)
    assert ready_counts(cut_off) == [0, 0, 0]
    await asyncio.sleep(unchecked_reports.REPORT_CHECK_S + 1.0)
    assert ready_counts(cut_off) == [2, 2, 2]
