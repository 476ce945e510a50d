"""Boxes whose store is restored from a copy without any failed call.

The restore may be too short for a call to fail and may repeat within seconds,
and a box may start or lose its connection to the store meanwhile. Boxes can
detect it only by the era in the store's answers or in messages of other boxes.
"""

from collections.abc import AsyncIterator
from collections.abc import Callable

import pytest

from martenjunction import gateway
from martenjunction.platform import documents
from martenjunction_lab import bench
from martenjunction_lab import boxes
from martenjunction_lab import platform_objects
from martenjunction_lab import replica
from tests import gateway_requests as requests
from tests import routing_builders as builders

# Revisions written between the copy and the restore.
REVISIONS_AFTER_COPY = (0, 1, 5, 200)


@pytest.fixture
async def fleet() -> AsyncIterator[boxes.Boxes]:
    made = boxes.Boxes()
    await made.start(builders.config_document(), boxes=3)
    await made.add_replica(builders.PLAIN)
    await made.add_replica(builders.PLAIN)
    await made.until_listed()
    await boxes.until(lambda: len(readers(made)) == 1)
    yield made
    await made.stop()


def readers(fleet: boxes.Boxes) -> list[gateway.Gateway]:
    return [box for box in fleet.gateways if box.follower.is_synced]


def restore_store(
    fleet: boxes.Boxes,
    copy: platform_objects.Copy,
    ended: replica.Replica | None = None,
) -> None:
    """Restores the store; all endpoints but `ended` write their entries."""
    fleet.store.go_back(copy)
    for stand_in in fleet.replicas:
        if stand_in is not ended:
            fleet.record(stand_in, builders.PLAIN)


async def write_revisions(fleet: boxes.Boxes, count: int) -> None:
    """Writes revisions and waits until all boxes know the last one."""
    for number in range(count):
        fleet.store.write("other-kind", "one", {"number": number})
    fleet.record(fleet.replicas[0], builders.PLAIN, slots=7)
    last = builders.rev(fleet.store.version, fleet.store.era)
    await until_all(fleet, lambda box: box.endpoint_list.revision == last)


async def until_all(
    fleet: boxes.Boxes, predicate: Callable[[gateway.Gateway], bool]
) -> None:
    await boxes.until(lambda: all(predicate(box) for box in fleet.gateways))


async def until_era_known(fleet: boxes.Boxes) -> None:
    """Waits until all boxes know the store's era."""
    era = fleet.store.era
    await until_all(fleet, lambda box: box.endpoint_list.revision.era == era)


def disconnect_store(box: gateway.Gateway) -> None:
    """Points a box at an address where no store listens."""
    box.store.close()
    box.store._http._address = bench.free_address()


async def check_updates_arrive(fleet: boxes.Boxes) -> None:
    """Waits until all boxes know a leave, a join and a new configuration."""
    gone = fleet.replicas[0]
    fleet.record(gone, builders.PLAIN, state="draining")
    made = await fleet.add_replica(builders.PLAIN)
    fleet.configure(builders.config_document(9))
    await until_all(
        fleet,
        lambda box: (
            not box.endpoint_list.is_ready(gone.id)
            and box.endpoint_list.is_ready(made.id)
            and box.store_cache.version == 9
        ),
    )


@pytest.mark.parametrize("revisions", REVISIONS_AFTER_COPY)
async def test_updates_arrive_after_a_restore_without_failed_calls(
    fleet: boxes.Boxes, revisions: int
) -> None:
    copy = fleet.store.copy()
    await write_revisions(fleet, revisions)
    restore_store(fleet, copy)
    await check_updates_arrive(fleet)


async def test_updates_arrive_after_two_restores_in_a_row(
    fleet: boxes.Boxes,
) -> None:
    copy = fleet.store.copy()
    await write_revisions(fleet, 50)
    restore_store(fleet, copy)
    await write_revisions(fleet, 20)
    restore_store(fleet, copy)
    await check_updates_arrive(fleet)
    await until_era_known(fleet)


async def test_box_without_the_store_learns_of_the_restore(
    fleet: boxes.Boxes,
) -> None:
    copy = fleet.store.copy()
    await write_revisions(fleet, 50)
    disconnect_store(fleet.gateways[0])
    restore_store(fleet, copy)
    await check_updates_arrive(fleet)
    await until_era_known(fleet)


async def test_reader_that_loses_the_store_learns_of_the_restore(
    fleet: boxes.Boxes,
) -> None:
    copy = fleet.store.copy()
    await write_revisions(fleet, 50)
    [reader] = readers(fleet)
    disconnect_store(reader)
    restore_store(fleet, copy)
    await check_updates_arrive(fleet)
    await until_era_known(fleet)


async def test_box_that_starts_after_the_restore_is_up_to_date(
    fleet: boxes.Boxes,
) -> None:
    copy = fleet.store.copy()
    await write_revisions(fleet, 50)
    restore_store(fleet, copy)
    await fleet.add_box("box-new")
    await check_updates_arrive(fleet)
    await until_era_known(fleet)


async def test_endpoint_that_left_gets_no_work_though_the_copy_lists_it(
    fleet: boxes.Boxes,
) -> None:
    # The restored entry says `ready` until it lapses for missed writes.
    copy = fleet.store.copy()
    gone = fleet.replicas[1]
    fleet.forget(gone)
    await until_all(fleet, lambda box: not box.endpoint_list.is_ready(gone.id))
    restore_store(fleet, copy, gone)
    await until_era_known(fleet)
    assert fleet.store.find(documents.ENDPOINT_KIND, gone.id) is not None
    assert not any(
        box.endpoint_list.is_ready(gone.id) for box in fleet.gateways
    )
    await check_updates_arrive(fleet)
    assert not any(
        box.endpoint_list.is_ready(gone.id) for box in fleet.gateways
    )


async def test_endpoints_missing_from_the_copy_stay_available(
    fleet: boxes.Boxes,
) -> None:
    copy = fleet.store.copy()
    late = await fleet.add_replica(builders.PLAIN)
    await fleet.until_listed()
    fleet.store.go_back(copy)
    await until_era_known(fleet)
    assert all(box.endpoint_list.is_ready(late.id) for box in fleet.gateways)
    fleet.record(late, builders.PLAIN)
    await until_all(
        fleet, lambda box: not box.endpoint_list.entries[late.id].lapsed
    )
    assert all(box.endpoint_list.is_ready(late.id) for box in fleet.gateways)


async def test_entries_of_all_boxes_are_written_again(
    fleet: boxes.Boxes,
) -> None:
    names = [f"box-{number}" for number in (1, 2, 3)]
    before = [fleet.store.find(documents.BOX_KIND, name) for name in names]
    assert None not in before
    copy = fleet.store.copy()
    for key in [k for k in copy.objects if k[0] == documents.BOX_KIND]:
        del copy.objects[key]
    fleet.store.go_back(copy)
    await boxes.until(
        lambda: all(fleet.store.find(documents.BOX_KIND, n) for n in names)
    )


async def test_restored_entry_of_a_box_that_is_being_stopped_is_removed(
    fleet: boxes.Boxes,
) -> None:
    copy = fleet.store.copy()
    stopping = fleet.gateways[0]
    await stopping.follower.remove_own_entry()
    assert fleet.store.find(documents.BOX_KIND, "box-1") is None
    restore_store(fleet, copy)
    assert fleet.store.find(documents.BOX_KIND, "box-1") is not None
    await boxes.until(
        lambda: fleet.store.find(documents.BOX_KIND, "box-1") is None
    )
    await check_updates_arrive(fleet)


async def test_restore_is_counted_in_dump_and_metrics(
    fleet: boxes.Boxes,
) -> None:
    restore_store(fleet, fleet.store.copy())
    await until_era_known(fleet)
    for box in fleet.gateways:
        assert box.dump()["store"]["returns"] == 1
        assert b"store_returns 1.0" in box._metrics_text()


async def test_first_read_of_the_store_is_not_counted_as_a_restore(
    fleet: boxes.Boxes,
) -> None:
    assert all(b.dump()["store"]["returns"] == 0 for b in fleet.gateways)


async def test_keys_expire_while_the_store_has_an_older_config() -> None:
    fleet = boxes.Boxes()
    await fleet.start(builders.config_document(7), key_lifetime_s=1.9)
    await fleet.add_replica(builders.PLAIN)
    await fleet.until_listed()
    copy = fleet.store.copy()
    fleet.configure(builders.config_document(8))
    [box] = fleet.gateways
    await boxes.until(lambda: box.store_cache.version == 8)
    fleet.store.go_back(copy)
    await boxes.until(
        lambda: not box.freshness.allows_keys_at(box.timers.now())
    )
    refused, _ = await requests.ask(fleet, "/safe/")
    fleet.configure(builders.config_document(9))
    await boxes.until(lambda: box.freshness.allows_keys_at(box.timers.now()))
    served, _ = await requests.ask(fleet, "/safe/")
    await fleet.stop()
    assert (refused.status, served.status) == (503, 200)
    assert refused.get(b"retry-after") is not None
