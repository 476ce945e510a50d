"""Streams are joined from two versions at a box that is out of step.

Guards against conclusions about a stream's version from what a box heard before
it lost the others: a version that joined meanwhile has begun streams elsewhere.
"""

import pytest

from martenjunction_lab.out_of_step import fleet
from martenjunction_lab.out_of_step import trials

# Streams of the new version, and take-ups at boxes out of step, from which on a
# run shows anything.
MIN_STREAMS = 40
MIN_TAKE_UPS = 20

CASES = {
    "links and store held, 1": trials.Trial(lead_s=0.5, seed=1),
    "links and store held, 2": trials.Trial(lead_s=1.0, out_s=5.0, seed=2),
    "links held": trials.Trial(
        out=trials.Out.LINKS, lead_s=0.5, out_s=5.0, seed=8
    ),
}


@pytest.mark.parametrize("trial", CASES.values(), ids=CASES)
def test_no_stream_is_joined_at_a_box_that_is_out_of_step(
    trial: trials.Trial,
) -> None:
    seen = fleet.play(trial)
    assert seen.begun[fleet.NEW] >= MIN_STREAMS
    assert seen.at_out.asked >= MIN_TAKE_UPS
    assert seen.joined == 0
    assert seen.torn == 0
