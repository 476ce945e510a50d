"""Conclusions and counts that rest on what a box has not heard of."""

import asyncio

from martenjunction import revisions
from martenjunction.decisions.boxes import settled_services
from martenjunction.routing.streams import origins
from martenjunction_lab import boxes
from tests import gateway_requests
from tests import routing_builders as builders

SINGLE = settled_services.Settled(1, {"s": "v1"})
NOTHING = settled_services.Settled(1, {})


async def test_age_of_the_list_grows_while_only_the_configuration_comes(
    fleet: boxes.Boxes,
) -> None:
    await gateway_requests.engines(fleet)
    [box] = fleet.gateways
    box.follower._stop_watches()
    box.follower._start_watches = lambda: None  # type: ignore[method-assign]
    box.follower._restart_watches = lambda: None  # type: ignore[method-assign]
    await asyncio.sleep(origins.MAX_LIST_AGE_S + 1.4)
    age_s = box.origins._list_age_s()
    assert age_s is None or age_s > origins.MAX_LIST_AGE_S


class Store:
    """One object that is written under conditions."""

    def __init__(self) -> None:
        self.settled = settled_services.NOTHING
        self._revision = 0
        self._number = 0

    def step(
        self,
        box: settled_services.SettledServices,
        wanted: settled_services.Settled,
        now: float,
    ) -> None:
        """Does the call that is due for a box."""
        call = box.poll(wanted, now)
        revision = None
        if self._revision:
            revision = revisions.Revision(1, self._revision)
        if isinstance(call, settled_services.Read):
            box.read(self.settled, self._number, revision)
        elif isinstance(call, settled_services.Write):
            if call.revision != revision:
                box.conflicted()
                return
            self._revision += 1
            self.settled, self._number = call.settled, call.number
            box.written(revisions.Revision(1, self._revision))


def test_service_that_a_second_first_box_added_is_taken_out() -> None:
    store = Store()
    own, other = (settled_services.SettledServices() for _ in range(2))
    for tick in range(100):
        store.step(own, NOTHING, tick * 0.1)
        if tick >= 50:
            store.step(other, SINGLE, tick * 0.1)
    other.reset()
    assert store.settled == SINGLE
    for tick in range(100, 1000):
        store.step(own, NOTHING, tick * 0.1)
    assert not store.settled.versions


async def test_boxes_that_start_alone_keep_to_the_allowance_together() -> None:
    # The budgets count no request, so that only the allowance is left.
    allowance = 20
    started = boxes.Boxes()
    started.store.faults.old_lists_empty = True
    await started.start(
        builders.config_document(), 6, retry_allowance=float(allowance)
    )
    try:
        budgets = [box.budget for box in started.gateways]
        taken = 0
        for step in range(60):
            now = started.gateways[0].timers.now()
            taken += sum(
                budget.try_acquire("s", now)
                for budget in budgets
                for _ in range(allowance)
            )
            started.store.faults.old_lists_empty = step < 20
            await asyncio.sleep(0.1)
        assert taken <= allowance
        counts = [box.member_changes.max_count for box in started.gateways]
        assert counts == [6] * 6
    finally:
        await started.stop()
