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
    "deadline longer than the timeout": "short-longer-deadline-no-kill",
    "deadline longer than the timeout, boxes killed": "short-longer-deadline",
    "timeout shortened, boxes killed": "short-shorter-timeout",
    "route moved to another service": "short-moved-no-kill",
}


@pytest.mark.parametrize("name", CASES.values(), ids=CASES)
async def test_no_stream_is_joined_from_two_versions(
    name: str, tmp_path: pathlib.Path
) -> None:
    seen = await process_fleet.play(trials.SHORT[name], tmp_path)
    answered = sum(
        seen.after_loss(ending)
        for ending in outcome.Ending
        if ending is not outcome.Ending.FAILED
    )
    assert seen.streams >= MIN_STREAMS
    assert answered >= MIN_TAKEN_UP
    assert seen.joined == 0
    assert seen.torn == 0
