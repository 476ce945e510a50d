"""Streams are joined from two versions after what boxes knew of them is gone.

Guards against conclusions about a stream's version from what a box has not
seen: a stream lives as long as its client wants it, over several attempts.
"""

import pathlib

import pytest

from martenjunction_lab.stream_losses import outcome
from martenjunction_lab.stream_losses import process_fleet
from martenjunction_lab.stream_losses import trials

# Streams and answered take-ups after the loss from which on a run shows
# anything.
MIN_STREAMS = 60
MIN_TAKEN_UP = 20

CASES = {
    "deadline longer than the timeout": trials.Trial(
        killed=0,
        timeout_s=1.0,
        deadline_s=4.0,
        linger_s=1.0,
        seconds=5.0,
        losses=1,
        loss_each_s=2.5,
    ),
    "deadline longer than the timeout, boxes killed": trials.Trial(
        timeout_s=1.0,
        deadline_s=6.0,
        linger_s=1.0,
        per_s=40.0,
        seconds=3.5,
        losses=1,
        loss_each_s=3.0,
    ),
    "timeout shortened, boxes killed": trials.Trial(
        timeout_s=6.0,
        later_timeout_s=0.8,
        deadline_s=6.0,
        linger_s=1.0,
        per_s=40.0,
        seconds=3.5,
        losses=1,
        loss_each_s=3.0,
    ),
    "route moved to another service": trials.Trial(
        killed=0,
        versions=trials.Versions.ONE,
        is_moved=True,
        timeout_s=1.0,
        deadline_s=4.0,
        seconds=5.0,
        losses=1,
        loss_each_s=2.5,
    ),
}


@pytest.mark.parametrize("trial", CASES.values(), ids=CASES)
async def test_no_stream_is_joined_from_two_versions(
    trial: trials.Trial, tmp_path: pathlib.Path
) -> None:
    seen = await process_fleet.play(trial, tmp_path)
    answered = sum(
        seen.after_loss(ending)
        for ending in outcome.Ending
        if ending is not outcome.Ending.FAILED
    )
    assert seen.streams >= MIN_STREAMS
    assert answered >= MIN_TAKEN_UP
    assert seen.joined == 0
    assert seen.torn == 0
