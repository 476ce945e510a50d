"""Second attempts beside lost paths, short memory, restarts, stops and changes.

Guards against requests that end without a response, with a refusal although
they ran, or twice, and against what a box holds although it has no request.
`python -m tests.troubled_table` plays more of it.
"""

import pytest

from martenjunction_lab import troubled_attempts
from tests import troubled_table

pytestmark = pytest.mark.simulated_time

SECONDS = 5.0


@pytest.mark.parametrize("seed", [1])
async def test_requests_keep_their_promises_beside_other_trouble(
    seed: int,
) -> None:
    fleet = troubled_attempts.TroubledFleet(seed)
    found = await fleet.play(troubled_table.config(), SECONDS)
    assert not found.broken
    assert found.second
    assert len(found.played) > 1
