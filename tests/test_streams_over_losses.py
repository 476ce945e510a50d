"""Streams go on at no version but their own after all boxes ended at once."""

import dataclasses

import pytest

from martenjunction_lab.stream_losses import outcome
from martenjunction_lab.stream_losses import simulated_fleet
from martenjunction_lab.stream_losses import trials

pytestmark = pytest.mark.simulated_time

# Take-ups after a loss from which on a run shows anything.
MIN_TAKEN_UP = 20

SHORT = trials.Trial(
    engines=2,
    timeout_s=1.0,
    deadline_s=5.0,
    events=30,
    linger_s=1.0,
    per_s=15.0,
    losses=1,
    loss_each_s=2.5,
    seconds=4.0,
)


@pytest.mark.parametrize(
    "changes",
    [
        {"timeout_s": 3.0, "deadline_s": 3.0, "events": 50},
        {},
        {"breaking": 1 / 3, "versions": trials.Versions.SIDE_BY_SIDE},
        {"others_away_s": 1.5},
        {"losses": 2, "loss_each_s": 1.6, "deadline_s": 6.0, "seconds": 3.0},
        {"killed": 3},
        {"is_moved": True, "versions": trials.Versions.ONE},
        {"timeout_s": 5.0, "later_timeout_s": 0.6},
    ],
    ids=[
        "deadline as long as the timeout",
        "deadline longer than the timeout",
        "versions side by side",
        "one box back earlier",
        "two losses within a stream",
        "one box lives on",
        "route moved",
        "timeout shortened",
    ],
)
async def test_stream_is_not_joined_after_all_boxes_ended(
    changes: dict[str, object],
) -> None:
    trial = dataclasses.replace(SHORT, **changes)  # type: ignore[arg-type]
    seen = await simulated_fleet.play_here(trial)
    assert sum(one.after_loss for one in seen.take_ups) >= MIN_TAKEN_UP
    assert any(one.ending is outcome.Ending.REFUSED for one in seen.take_ups)
    assert seen.joined == 0
    assert seen.torn == 0
