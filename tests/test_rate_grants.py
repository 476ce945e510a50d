"""Rate grants that one box, the holder, gives to a large fleet."""

import asyncio

import pytest

from martenjunction.decisions import grant_bucket
from martenjunction.routing.limits import rate_grants
from martenjunction.routing.messages import peer_messages
from martenjunction_lab import limit_outcome
from tests import limited_fleet
from tests import linked_boxes

ENDPOINT = limited_fleet.ENDPOINT


async def fleet_with_limit(per_s: float) -> limited_fleet.LimitedBoxes:
    fleet = limited_fleet.LimitedBoxes()
    fleet.report_limit("box-0", per_s)
    await fleet.settle()
    return fleet


def asker_and_holder(
    fleet: limited_fleet.LimitedBoxes,
) -> tuple[limited_fleet.Box, limited_fleet.Box]:
    """Returns a box that asks for grants, and the one that it asks."""
    return next(
        (box, fleet.boxes[box.grants.holder(ENDPOINT)])
        for box in fleet.boxes.values()
        if fleet.boxes[box.grants.holder(ENDPOINT)].grants.holder(ENDPOINT)
        == box.grants.holder(ENDPOINT)
        != box.name
    )


async def test_all_boxes_learn_of_a_limit_and_of_its_end() -> None:
    fleet = await fleet_with_limit(2.0)
    limits = [box.registry.table.limits for box in fleet.boxes.values()]
    assert {known.per_s(ENDPOINT) for known in limits} == {2.0}
    assert fleet.linked.sent <= fleet.linked.links
    fleet.now += 1.0
    fleet.report_limit("box-40", None)
    await fleet.settle()
    assert {known.per_s(ENDPOINT) for known in limits} == {None}


@pytest.mark.parametrize("limit", [1.0, 20.0])
async def test_a_large_fleet_keeps_to_a_limit_and_uses_half_of_it(
    limit: float,
) -> None:
    fleet = await fleet_with_limit(limit)
    before = fleet.linked.sent
    seconds = 12.0
    await fleet.run(seconds, asks_per_s=120.0)
    most = limit_outcome.most_in_window(fleet.sends)
    assert most <= limit_outcome.allowed(limit)
    assert len(fleet.sends) >= 0.5 * limit * seconds
    # Each box gets at most one denial per longest turn, and a message and its
    # answer travel at most the maximum number of hops.
    asked = linked_boxes.BOXES / grant_bucket.MAX_RETRY_DELAY_S + limit
    hops = 2 * (1 + rate_grants.MAX_HOPS)
    assert fleet.linked.sent - before <= seconds * asked * hops


async def test_boxes_that_lose_the_holder_ask_the_next() -> None:
    fleet = await fleet_with_limit(20.0)
    holders = {box.grants.holder(ENDPOINT) for box in fleet.boxes.values()}
    final = {h for h in holders if fleet.boxes[h].grants.holder(ENDPOINT) == h}
    assert len(final) == 1
    [gone] = final
    for box in fleet.boxes.values():
        box.heard.discard(gone)
    await fleet.run(4.0, asks_per_s=60.0)
    assert len(fleet.sends) >= 0.5 * 20.0 * 4.0


async def test_unused_grant_is_returned_to_the_holder() -> None:
    fleet = await fleet_with_limit(2.0)
    fleet.now += 10.0
    # One box does not know the holder and asks another one, which forwards.
    holder = fleet.boxes["box-0"].grants.holder(ENDPOINT)
    for asker in fleet.boxes.values():
        asker.heard.discard(holder)
        if asker.grants.holder(ENDPOINT) not in (holder, asker.name):
            break
        asker.heard.add(holder)
    assert asker.grants.holder(ENDPOINT) not in (holder, asker.name)
    assert await asker.grants.acquire(ENDPOINT) is None
    fleet.now += 2.0
    grant = await asker.grants.acquire(ENDPOINT)
    assert grant is not None
    asker.grants.refund(grant)
    await fleet.settle()
    assert await asker.grants.acquire(ENDPOINT) is not None


async def test_unresponsive_holder_is_not_asked_again_at_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(rate_grants, "ANSWER_LIMIT_S", 0.01)
    fleet = await fleet_with_limit(2.0)
    asker, holder = next(
        (box, box.grants.holder(ENDPOINT))
        for name, box in fleet.boxes.items()
        if box.grants.holder(ENDPOINT) != name
    )
    node = fleet.linked.nodes[holder]
    node.subscribe(peer_messages.AskGrant, lambda box, message: None)
    assert await asker.grants.acquire(ENDPOINT) is None
    # The box does not ask it again immediately.
    before = fleet.linked.sent
    assert await asker.grants.acquire(ENDPOINT) is None
    assert fleet.linked.sent == before


async def test_late_grant_is_returned_to_the_holder(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # This happens if the holder or the asking box is suspended meanwhile.
    monkeypatch.setattr(rate_grants, "ANSWER_LIMIT_S", 0.01)
    fleet = await fleet_with_limit(2.0)
    asker, holder = asker_and_holder(fleet)
    await holder.grants.acquire(ENDPOINT)
    fleet.now += 10.0
    questions: list[tuple[str, peer_messages.AskGrant]] = []
    fleet.linked.nodes[holder.name].subscribe(
        peer_messages.AskGrant, lambda *question: questions.append(question)
    )
    assert await asker.grants.acquire(ENDPOINT) is None
    holder.grants._on_ask(*questions[0])
    assert holder.grants.granted == 1
    await fleet.settle()
    # The bucket is back at its maximum of two grants.
    assert await holder.grants.acquire(ENDPOINT) is not None
    assert await holder.grants.acquire(ENDPOINT) is not None
    assert await holder.grants.acquire(ENDPOINT) is None


async def test_box_with_a_stale_limit_learns_of_its_end_from_the_holder() -> (
    None
):
    fleet = await fleet_with_limit(2.0)
    fleet.now += 1.0
    for name, box in fleet.boxes.items():
        if name != "box-3":
            box.registry.table.limits.apply_peer_report(
                ENDPOINT, None, fleet.now
            )
    asker = fleet.boxes["box-3"]
    assert await asker.grants.acquire(ENDPOINT) is not None
    assert asker.registry.table.limits.per_s(ENDPOINT) is None


@pytest.mark.parametrize("turns", range(1, 12))
async def test_grant_that_arrives_as_nobody_waits_is_returned(
    turns: int,
) -> None:
    fleet = await fleet_with_limit(2.0)
    asker, holder = asker_and_holder(fleet)
    await holder.grants.acquire(ENDPOINT)
    fleet.now += 10.0
    asking = asyncio.create_task(asker.grants.acquire(ENDPOINT))
    for _ in range(turns):
        await asyncio.sleep(0)
    if asking.cancel():
        await asyncio.wait([asking])
        await fleet.settle()
        # The bucket is back at its maximum of two grants.
        assert await holder.grants.acquire(ENDPOINT) is not None
        assert await holder.grants.acquire(ENDPOINT) is not None


async def test_place_that_is_free_as_its_request_ends_is_returned() -> None:
    fleet = await fleet_with_limit(2.0)
    _, holder = asker_and_holder(fleet)
    fleet.report_limit(holder.name, None)
    brittle = holder.registry.table.brittle
    brittle.apply_response(ENDPOINT, 1.0, fleet.now, fleet.now)
    taken = []
    while True:
        waiting = asyncio.create_task(holder.grants.acquire(ENDPOINT))
        await asyncio.sleep(0)
        if not waiting.done():
            break
        taken.append(waiting.result())
    assert taken
    holder.grants.release(taken[0], False)
    waiting.cancel()
    await asyncio.wait([waiting])
    assert waiting.cancelled()
    again = asyncio.create_task(holder.grants.acquire(ENDPOINT))
    await asyncio.sleep(0)
    assert again.done()
    assert again.result() is not None
