"""Conclusions and counts that rest on what a box has not heard of."""

import asyncio

from martenjunction import revisions
from martenjunction.decisions.boxes import retry_budget
from martenjunction.decisions.boxes import settled_services
from martenjunction.routing.streams import origins
from martenjunction_lab import boxes
from tests import gateway_requests

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


def test_boxes_that_start_alone_keep_to_the_allowance_together() -> None:
    allowance = 20
    budgets = [
        retry_budget.RetryBudget(0.2, float(allowance), 10.0, lambda: 1)
        for _ in range(6)
    ]
    taken = sum(
        budget.try_acquire("s", 0.01 * number)
        for budget in budgets
        for number in range(2 * allowance)
    )
    assert taken <= allowance
