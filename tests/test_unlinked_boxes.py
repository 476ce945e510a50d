"""Boxes that lose their links to endpoints.

Guards against serving nobody at a box whose own connections to all endpoints
hang, are reset or refused, while its peers reach every endpoint.
"""

import dataclasses

import pytest

from martenjunction_lab import unlinked_boxes
from tests import routing_builders as builders

pytestmark = pytest.mark.simulated_time

Mode = unlinked_boxes.Mode

SHORT = unlinked_boxes.Trial(cut_s=1.0, cut_for_s=6.0, after_s=2.0)

# Seconds after a cut from which on it must not be noticed, and seconds after
# its end.
SETTLED_S = 3.0
HEALED_S = 1.0

# Parts of the requests to be served at boxes without links once they have
# settled, and before.
MIN_SERVED = 0.99
MIN_SERVED_AT_FIRST = 0.9

# Seconds by which the median wait may exceed that at other boxes.
MAX_EXTRA_WAIT_S = {Mode.HANG: 0.3, Mode.RESET: 0.03, Mode.REFUSE: 0.03}


async def run_trial(**changes: object) -> unlinked_boxes.Outcome:
    trial = dataclasses.replace(SHORT, **changes)  # type: ignore[arg-type]
    fleet = unlinked_boxes.UnlinkedFleet(trial)
    return await fleet.run(builders.relaxed_config_document())


@pytest.mark.parametrize(
    "changes",
    [
        {},
        {"cut_boxes": 5},
        {"mode": Mode.RESET},
        {"mode": Mode.RESET, "cut_boxes": 5},
        {"mode": Mode.REFUSE},
        {"cut_endpoints": 2},
        {"mode": Mode.RESET, "cut_endpoints": 2},
    ],
)
async def test_boxes_without_links_to_endpoints_serve_like_the_others(
    changes: dict[str, object],
) -> None:
    outcome = await run_trial(**changes)
    trial = outcome.trial
    end_s = trial.cut_for_s
    settled = outcome.select(True, SETTLED_S, end_s)
    others = outcome.select(False, SETTLED_S, end_s)
    assert unlinked_boxes.served(settled) >= MIN_SERVED
    assert unlinked_boxes.served(others) >= MIN_SERVED
    extra_s = unlinked_boxes.extra_wait_s(settled, others)
    assert extra_s <= MAX_EXTRA_WAIT_S[trial.mode]
    at_first = outcome.select(True, 0.0, SETTLED_S)
    assert unlinked_boxes.served(at_first) >= MIN_SERVED_AT_FIRST
    after = outcome.select(True, end_s + HEALED_S, end_s + trial.after_s)
    assert unlinked_boxes.served(after) >= MIN_SERVED
    assert not outcome.twice


async def test_boxes_without_links_to_endpoints_are_not_named_to_clients() -> (
    None
):
    outcome = await run_trial()
    named = [count for at_s, count in outcome.named if SETTLED_S < at_s < 6.0]
    assert named
    assert not any(named)


async def test_links_that_come_and_go_cost_few_requests() -> None:
    outcome = await run_trial(down_s=1.3)
    settled = outcome.select(True, SETTLED_S, outcome.trial.cut_for_s)
    assert unlinked_boxes.served(settled) >= MIN_SERVED
    assert not outcome.twice
