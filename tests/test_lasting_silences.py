"""Few requests are lost at endpoints that fall silent for good."""

import pytest

from martenjunction_lab import lasting_silences
from tests import routing_builders as builders

pytestmark = pytest.mark.simulated_time


@pytest.mark.parametrize("seed", [313, 314])
async def test_boxes_send_silent_endpoints_one_request_that_runs_once(
    seed: int,
) -> None:
    # A box learns of a silence by its first request there.
    conditions = lasting_silences.Conditions(clients=12)
    config = builders.relaxed_config_document()
    for made in config["routes"]:
        made["timeout_ms"] = 30_000
    found = await lasting_silences.play(conditions, config, seed)
    assert not found.ejections
    assert not found.lost("safe")
    assert found.lost("unsafe") <= conditions.boxes * len(
        conditions.silent_from_s
    )
