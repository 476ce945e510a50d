"""End-to-end tests of orders of engines."""

import asyncio

from martenjunction.platform import box_settings
from martenjunction_lab import boxes
from tests import duty_builders
from tests import routing_builders as builders


async def test_engines_are_ordered_by_one_box() -> None:
    made = await duty_builders.start(box_settings.Duty.SCALING, scaled=True)
    for _ in range(3):
        await made.add_replica(builders.ENGINE, slots=64)
    await made.until_listed()
    duties = made.store.duties
    await boxes.until(lambda: len(duties.accepted) >= 3)
    orders = {
        (c.body["zone"], c.body.get("spot", False)) for c in (duties.accepted)
    }
    assert orders == {("zone-a", True), ("zone-b", True), ("zone-c", True)}
    assert {c.body["service"] for c in duties.accepted} == {builders.ENGINE}
    assert len({c.holder for c in duties.accepted}) == 1
    [dump] = [
        box.dump()["duties"]
        for box in made.gateways
        if box.dump()["duties"]["performed"][0]["orders_sent"]
    ]
    assert dump["performed"][0]["recent"]
    await made.stop()


async def test_service_without_scaling_is_not_ordered_for() -> None:
    made = await duty_builders.start(box_settings.Duty.SCALING, number=1)
    await made.add_replica(builders.ENGINE, slots=64)
    await made.until_listed()
    await boxes.until(
        lambda: made.gateways[0].dump()["duties"]["phase"] == "holding"
    )
    await asyncio.sleep(1.0)
    assert made.store.duties.accepted == []
    await made.stop()
