"""Endpoints that fall over when they turn many requests away.

Guards against boxes that each send to the endpoints that look least busy: in a
burst, more requests than fit reach one endpoint, it rejects them and falls
over, and the others get its work and follow.
"""

import asyncio
import dataclasses

import pytest

from martenjunction.decisions.boxes import place_table
from martenjunction.http1 import messages
from martenjunction.platform import notices
from martenjunction_lab import boxes
from martenjunction_lab import brittle_endpoints
from tests import routing_builders as builders

pytestmark = pytest.mark.simulated_time

MIN_SERVED = 0.99


async def run_trial(**changes: object) -> brittle_endpoints.Outcome:
    trial = dataclasses.replace(
        brittle_endpoints.Trial(seconds=9.0, for_s=7.0, per_s=40.0),
        **changes,  # type: ignore[arg-type]
    )
    fleet = brittle_endpoints.BrittleFleet(trial)
    return await fleet.run(builders.relaxed_config_document())


@pytest.mark.parametrize(
    "changes",
    [
        {"per_s": 80.0},
        {"slots": 1, "burst_s": 1.5, "burst_per_s": 120.0},
        {"waiting_later": 2, "per_s": 120.0},
    ],
)
async def test_brittle_endpoints_are_not_made_to_reject_and_all_is_served(
    changes: dict[str, object],
) -> None:
    outcome = await run_trial(**changes)
    assert outcome.falls <= outcome.borne
    assert outcome.served >= MIN_SERVED
    assert not outcome.twice


async def test_overload_of_brittle_endpoints_is_refused_by_the_boxes() -> None:
    outcome = await run_trial(slots=1, burst_s=1.5, burst_per_s=250.0)
    assert outcome.falls <= outcome.borne
    # An endpoint that falls over breaks off what it runs.
    broken = {502} if outcome.falls else set()
    assert set(outcome.statuses) <= {200, 503, 504} | broken
    assert not outcome.twice


# Places.


def test_no_more_places_are_granted_than_there_are_slots() -> None:
    table = place_table.PlaceTable(0.0)
    now = place_table.WARM_UP_S
    assert table.take("a", 2, 0, now)
    assert table.take("b", 2, 0, now)
    assert not table.take("a", 2, 0, now)
    table.release("b")
    assert table.take("a", 2, 0, now)
    assert not table.take("b", 2, 0, now)


def test_new_holder_counts_what_boxes_run_there() -> None:
    table = place_table.PlaceTable(0.0)
    assert not table.take("a", 2, 2, 0.0)
    assert table.take("a", 2, 2, place_table.WARM_UP_S)


def test_places_of_boxes_that_are_gone_are_free_again() -> None:
    table = place_table.PlaceTable(0.0)
    now = place_table.WARM_UP_S
    assert table.take("gone", 1, 0, now)
    table.retain({"a"})
    assert table.take("a", 1, 0, now)
    assert not table.take("a", 1, 0, now)
    assert table.take("a", 1, 0, now + place_table.LIFETIME_S + 0.1)


def test_part_of_a_fleet_grants_a_part_of_the_places() -> None:
    table = place_table.PlaceTable(0.0)
    table.reachable_fraction = 0.5
    now = place_table.WARM_UP_S
    assert table.take("a", 2, 0, now)
    assert not table.take("a", 2, 0, now)


def notice(*values: str) -> notices.EndpointNotice:
    pairs = [(b"Server-Brittle", value.encode()) for value in values]
    pairs.append((b"Martenjunction-Attempt-Id", b"r1"))
    return notices.notice_of(messages.ResponseHead(200, pairs), "i-1")


@pytest.mark.parametrize(
    ("values", "rejections", "cleared", "unreadable"),
    [
        (("4",), 4.0, False, ""),
        (("4", "2"), 2.0, False, ""),
        ((), None, True, ""),
        (("many",), None, False, "many"),
    ],
)
def test_brittleness_is_read_from_any_answer(
    values: tuple[str, ...],
    rejections: float | None,
    cleared: bool,
    unreadable: str,
) -> None:
    found = notice(*values)
    assert found.rejections_per_s == rejections
    assert found.is_not_brittle is cleared
    assert found.unreadable == unreadable


async def test_endpoints_of_a_service_count_as_brittle_together() -> None:
    fleet = boxes.Boxes()
    await fleet.start(builders.config_document(), 2)
    for _ in range(3):
        await fleet.add_replica(builders.PLAIN)
    await fleet.until_listed()
    first, second = fleet.gateways
    [said, *others] = [e.id for e in second.endpoint_list.ready(builders.PLAIN)]
    first.brittleness.report_limit(said, 4.0, 0.0)
    await boxes.until(
        lambda: set(second.registry.table.brittle.limited()) == {said, *others}
    )
    for endpoint_id in (said, *others):
        second.brittleness.report_limit(
            endpoint_id, None, asyncio.get_running_loop().time()
        )
    await boxes.until(lambda: not first.registry.table.brittle.limited())
    await asyncio.sleep(0.3)
    assert not second.registry.table.brittle.limited()
    await fleet.stop()
