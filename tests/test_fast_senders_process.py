"""Other clients of a box process beside a peer that never pauses.

Guards against a reader that keeps the event loop as long as data is ready: one
connection then stops all others, and no limit ends it.

How long the others wait depends on the machine, so that they are counted and
compared with the moment before the sender begins.
"""

import pytest

from martenjunction_lab.fast_senders import forms
from martenjunction_lab.fast_senders import others
from martenjunction_lab.fast_senders import processes
from martenjunction_lab.fast_senders import trial

LEAD_S = 1.0
SECONDS = 3.0

# Part of the answers before that are left beside the sender, per second.
MIN_ANSWERED = 0.4

# Seconds in which a time limit ends a sender, beside a busy machine.
END_LIMIT_S = processes.TIMEOUT_MS / 1000 + 1.0


@pytest.mark.parametrize(
    ("name", "status"),
    [
        ("client: body in chunks of 1 byte, unknown key", 400),
        ("endpoint: chunks of 1 byte, plain", 502),
        ("endpoint: tiny events, plain", 504),
    ],
)
async def test_others_are_served_and_sender_is_ended(
    name: str, status: int
) -> None:
    outcome = await trial.play(
        trial.Trial(forms.FORMS[name], lead_s=LEAD_S, seconds=SECONDS)
    )
    seen = outcome.seen
    assert not seen.failures, str(seen.failures)
    usual = len(outcome.lead.waits) / LEAD_S
    assert len(seen.waits) / SECONDS >= MIN_ANSWERED * usual
    assert max(seen.ready_waits) < others.ANSWER_LIMIT_S
    assert status in {end.status for end in outcome.ends}, str(outcome.ends)
    assert max(end.after_s for end in outcome.ends) < END_LIMIT_S
