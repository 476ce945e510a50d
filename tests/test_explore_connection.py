"""Short explorations: of this code, and of builds that are broken."""

import pytest

from martenjunction_lab.explore import plays


@pytest.mark.parametrize(
    "order",
    [
        # A response whose head meets a reset, and that has no body.
        "half-body~ config-small~ reset",
    ],
)
def test_order_that_once_broke_an_invariant(order: str) -> None:
    outcome = plays.play(tuple(order.split()), traced=True)
    assert outcome.possible
    assert not outcome.broken, outcome.timeline
