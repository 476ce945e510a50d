"""Memory of a box process whose endpoints answer without end.

Guards against answers that are held without a bound: twenty of them at once
brought a box to more than its limit, at which its process is killed with all
that it has under way.
"""

import pytest

from martenjunction_lab.fast_senders import forms
from martenjunction_lab.fast_senders import trial

MB = 2**20

# Largest part of the limit that a box may take.
MAX_FRACTION = 0.8

LEAD_S = 0.5
SECONDS = 3.0

# Limit of a box's memory in MB, senders and their form.
CASES = [
    (100, 20, "endpoint: chunks of 16 KB, plain"),
    (150, 20, "endpoint: chunks of 16 KB, plain"),
    (150, 20, "endpoint: one endless line, plain"),
    (300, 100, "endpoint: chunks of 16 KB, plain"),
]


@pytest.mark.parametrize(("limit_mb", "senders", "name"), CASES)
async def test_endless_answers_stay_within_the_memory(
    limit_mb: int, senders: int, name: str
) -> None:
    outcome = await trial.play(
        trial.Trial(
            forms.FORMS[name],
            senders=senders,
            lead_s=LEAD_S,
            seconds=SECONDS,
            memory_bytes=limit_mb * MB,
        )
    )
    assert not outcome.seen.failures, str(outcome.seen.failures)
    assert {end.status for end in outcome.ends} <= {502, 504}
    assert outcome.seen.memory <= MAX_FRACTION * limit_mb * MB
