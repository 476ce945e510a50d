"""A store that is restored from a copy that is some seconds old.

Writes acknowledged after the copy are lost and their revisions are reused; the
operator and the endpoints repeat their writes. These tests guard against boxes
that compare the new revisions with the higher ones they hold and drop updates
as stale, so that a draining endpoint keeps getting requests, and against a
missing entry of a box that joined after the copy.
"""

from collections.abc import AsyncIterator

import pytest

from martenjunction_lab import boxes
from martenjunction_lab import platform
from martenjunction_lab import replica
from tests import routing_builders as builders

# Number of revisions written between the copy and the outage.
BETWEEN = (5, 200)


@pytest.fixture
async def fleet() -> AsyncIterator[boxes.Boxes]:
    made = boxes.Boxes()
    await made.start(builders.config_document(), boxes=3)
    await made.add_replica(builders.PLAIN)
    await made.until_listed()
    yield made
    await made.stop()


async def restore_and_rewrite(
    fleet: boxes.Boxes, revisions: int
) -> replica.Replica:
    """Restores the store from a copy and repeats the endpoints' writes.

    Between the copy and the outage a box and an endpoint join.

    Args:
        fleet: Boxes and their store.
        revisions: Number of unrelated writes between the copy and the outage.

    Returns:
        The endpoint that joined, whose entry is written again.
    """
    copy = fleet.store.copy()
    await fleet.add_box("box-late")
    made = await fleet.add_replica(builders.PLAIN)
    for number in range(revisions):
        fleet.store.write("other-kind", "one", {"number": number})
    await fleet.until_listed()
    fleet.store.faults = platform.PlatformFaults(down=True)
    await boxes.until(
        lambda: not any(box.store_cache.store_answers for box in fleet.gateways)
    )
    fleet.store.go_back(copy)
    fleet.store.faults = platform.PlatformFaults()
    for stand_in in fleet.replicas:
        fleet.record(stand_in, builders.PLAIN)
    await boxes.until(
        lambda: any(box.store_cache.store_answers for box in fleet.gateways)
    )
    return made


@pytest.mark.parametrize("revisions", BETWEEN)
async def test_endpoint_that_drains_after_a_restore_gets_no_more_work(
    fleet: boxes.Boxes, revisions: int
) -> None:
    made = await restore_and_rewrite(fleet, revisions)
    fleet.record(made, builders.PLAIN, state="draining")
    await boxes.until(
        lambda: (
            not any(
                box.endpoint_list.is_ready(made.id) for box in fleet.gateways
            )
        )
    )


@pytest.mark.parametrize("revisions", BETWEEN)
async def test_endpoint_that_joins_after_a_restore_gets_work(
    fleet: boxes.Boxes, revisions: int
) -> None:
    await restore_and_rewrite(fleet, revisions)
    made = await fleet.add_replica(builders.PLAIN)
    await boxes.until(
        lambda: all(
            box.endpoint_list.is_ready(made.id) for box in fleet.gateways
        )
    )


@pytest.mark.parametrize("revisions", BETWEEN)
async def test_configuration_written_after_a_restore_is_in_force(
    fleet: boxes.Boxes, revisions: int
) -> None:
    await restore_and_rewrite(fleet, revisions)
    fleet.configure(builders.config_document(9))
    await boxes.until(
        lambda: all(box.store_cache.version == 9 for box in fleet.gateways)
    )


async def test_box_entry_missing_from_the_copy_is_written_again(
    fleet: boxes.Boxes,
) -> None:
    await restore_and_rewrite(fleet, BETWEEN[0])
    kind = "martenjunction-boxes"
    await boxes.until(lambda: fleet.store.find(kind, "box-late") is not None)
