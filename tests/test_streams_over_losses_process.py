"""Streams are joined from two versions after what boxes knew of them is gone.

Guards against conclusions about a stream's version from what a box has not
seen: a stream lives as long as its client wants it, over several attempts.
"""

import pathlib

import pytest

from martenjunction_lab.stream_losses import outcome
from martenjunction_lab.stream_losses import process_fleet
from martenjunction_lab.stream_losses import trials

# Factors by which a trial is slowed one after the other, until a run shows
# anything: boxes of a loaded machine take long to start.
SLOWED = (1.0, 2.0, 3.0)

# Streams and answered take-ups after the loss from which on a run shows
# anything.
MIN_STREAMS = 60
MIN_TAKEN_UP = 20

CASES = {
    "deadline longer than the timeout": "short-longer-deadline-no-kill",
    "deadline longer than the timeout, boxes killed": "short-longer-deadline",
    "timeout shortened, boxes killed": "short-shorter-timeout",
    "route moved to another service": "short-moved-no-kill",
}


@pytest.mark.parametrize("name", CASES.values(), ids=CASES)
async def test_no_stream_is_joined_from_two_versions(
    name: str, tmp_path: pathlib.Path
) -> None:
    answered = 0
    for factor in SLOWED:
        seen = await process_fleet.play(
            trials.SHORT[name].slowed(factor), tmp_path
        )
        assert seen.joined == 0
        assert seen.torn == 0
        answered = sum(
            seen.after_loss(ending)
            for ending in outcome.Ending
            if ending is not outcome.Ending.FAILED
        )
        if seen.streams >= MIN_STREAMS and answered >= MIN_TAKEN_UP:
            return
    pytest.fail(f"only {seen.streams} streams, {answered} answered take-ups")
