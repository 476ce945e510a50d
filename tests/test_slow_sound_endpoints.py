"""Sound endpoints whose responses take seconds keep their requests.

Requests that may be repeated got 502 at a third of their time, a dozen in one
turn, and their endpoints were ejected as silent: 0.4 s without a byte counted
as silence, whatever the service, and the last attempt was ended with nothing to
follow it.
"""

import random

import pytest

from martenjunction_lab import slow_endpoints
from tests import routing_builders as builders

pytestmark = pytest.mark.simulated_time

SEED = 811

# Part of the requests that may run a second time.
MAX_EXTRA_PART = 0.05


def uniform(slowest_s: float) -> slow_endpoints.ServiceTime:
    return lambda draw: draw.uniform(0.02, slowest_s)


def bimodal(slow_s: float) -> slow_endpoints.ServiceTime:
    return lambda draw: slow_s if draw.random() < 0.1 else 0.03


def lognormal(slowest_s: float) -> slow_endpoints.ServiceTime:
    def draw_time(draw: random.Random) -> float:
        return min(slowest_s, 0.25 * draw.lognormvariate(0.0, 1.0))

    return draw_time


def stepped(slowest_s: float) -> slow_endpoints.ServiceTime:
    return lambda draw: draw.choice((0.02, 0.1, 0.5, 1.0, 2.0, slowest_s))


CASES = {
    "uniform to 1.0 s": (uniform(1.0), 1.0),
    "uniform to 2.5 s": (uniform(2.5), 2.5),
    "uniform to 4 s": (uniform(4.0), 4.0),
    "uniform to 10 s": (uniform(10.0), 10.0),
    "one in ten 4 s": (bimodal(4.0), 4.0),
    "lognormal to 10 s": (lognormal(10.0), 10.0),
}


@pytest.mark.parametrize("case", CASES)
async def test_slow_sound_endpoints_keep_their_requests(case: str) -> None:
    service_time, slowest_s = CASES[case]
    conditions = slow_endpoints.Conditions(service_time, slowest_s)
    config = builders.relaxed_config_document()
    for made in config["routes"]:
        made["timeout_ms"] = 30_000
    found = await slow_endpoints.play(conditions, config, SEED)
    sent = sum(found.statuses.values())
    assert set(found.statuses) == {("safe", 200), ("unsafe", 200)}, found
    assert not found.ejections
    assert found.extra_runs <= MAX_EXTRA_PART * sent


@pytest.mark.parametrize("seed", [830, 833, 834, 836])
async def test_rare_slow_responses_side_by_side_are_no_silence(
    seed: int,
) -> None:
    # One in six takes 10 s, and few of them were seen: by chance, five or six
    # were all that an endpoint had.
    conditions = slow_endpoints.Conditions(stepped(10.0), 10.0, per_s=30.0)
    config = builders.relaxed_config_document()
    for made in config["routes"]:
        made["timeout_ms"] = 30_000
    found = await slow_endpoints.play(conditions, config, seed)
    assert set(found.statuses) == {("safe", 200), ("unsafe", 200)}, found
    assert not found.ejections
