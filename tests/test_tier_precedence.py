"""Tests of tier priority where all endpoints are rate-limited."""

import asyncio
import time

import pytest

from martenjunction.decisions.boxes import tier_precedence
from martenjunction_lab import boxes
from tests import gateway_requests as requests
from tests import limited_replicas
from tests import routing_builders as builders


def count_yielding(
    made: tier_precedence.TierPrecedence, tier: int, now: float
) -> int:
    """Returns how many of some requests of a tier have to yield."""
    return sum(
        made.should_yield("s", tier, now)
        for _ in range(2 * tier_precedence.EXEMPT_EVERY)
    )


def test_lower_tiers_yield_except_for_a_share() -> None:
    made = tier_precedence.TierPrecedence()
    assert count_yielding(made, 1, 0.0) == 0
    made.record_refusal("s", 1, 0.0)
    assert count_yielding(made, 0, 0.1) == 0
    assert count_yielding(made, 1, 0.1) == 0
    assert count_yielding(made, 2, 0.1) == 2 * tier_precedence.EXEMPT_EVERY - 2
    assert not made.should_yield("other", 2, 0.1)


def test_lower_tiers_stop_yielding_after_the_last_refusal() -> None:
    made = tier_precedence.TierPrecedence()
    made.record_refusal("s", 0, 0.0)
    assert count_yielding(made, 1, tier_precedence.YIELD_S) == 0


def test_services_are_bounded() -> None:
    made = tier_precedence.TierPrecedence()
    for number in range(2 * tier_precedence.MAX_SERVICES):
        made.record_refusal(f"s{number}", 0, 0.0)
    assert len(made._services) == tier_precedence.MAX_SERVICES


@pytest.mark.simulated_time
async def test_request_of_a_higher_tier_gets_the_grant(
    fleet: boxes.Boxes,
) -> None:
    # Without priority, a lower tier that asks twice as often got two thirds of
    # the grants.
    config = builders.config_document(9)
    config["routes"][0]["priority"] = 0
    fleet.configure(config)
    await limited_replicas.start(fleet, builders.PLAIN, 1, limit="5")
    await boxes.until(lambda: fleet.gateways[0].store_cache.version == 9)
    served = {"/safe/": 0, "/unsafe/": 0}
    until = time.monotonic() + 4.0
    number = 0
    while time.monotonic() < until:
        for path in ("/unsafe/", "/safe/", "/unsafe/"):
            number += 1
            head, _ = await requests.ask(fleet, path, f"r{number}")
            served[path] += head.status == 200
        await asyncio.sleep(0.05)
    assert served["/safe/"] > 2 * served["/unsafe/"] > 0


async def test_lower_tier_uses_endpoints_without_limits(
    fleet: boxes.Boxes,
) -> None:
    made = await limited_replicas.start(fleet, builders.PLAIN, 2, limit="5")
    made[1].limit = None
    limited_replicas.report_limit(fleet, made[0], 5.0)
    box = fleet.gateways[0]
    box._context.precedence.record_refusal(builders.PLAIN, -1, box.timers.now())
    for number in range(10):
        head, _ = await requests.ask(fleet, "/safe/", f"r{number}")
        assert head.status == 200
