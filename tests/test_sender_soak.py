"""Box processes beside senders that never pause, with changes and signals.

Guards against a box that one party ends or holds up, and with it the requests
of all others.
"""

import pathlib

import pytest

from tests import sender_soak_table

MAX_FRACTION = 0.8


@pytest.mark.parametrize("seed", [1, 2])
async def test_senders_beside_changes_and_signals_lose_nothing(
    seed: int, tmp_path: pathlib.Path
) -> None:
    outcome = await sender_soak_table.played(seed, tmp_path)
    assert outcome.tally.answered
    assert not outcome.faults, str(outcome.tally)
    assert not outcome.ended
    assert outcome.memory <= MAX_FRACTION * sender_soak_table.MEMORY_BYTES
