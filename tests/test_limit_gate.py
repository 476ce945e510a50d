"""Tests that requests to endpoints with a rate limit need a grant."""

import asyncio
import contextlib
import time

import pytest

from martenjunction import errors
from martenjunction_lab import boxes
from martenjunction_lab import replica
from tests import gateway_requests as requests
from tests import limited_replicas
from tests import routing_builders as builders

Behaviour = replica.Behaviour


async def test_request_without_an_available_grant_is_refused_at_once(
    fleet: boxes.Boxes,
) -> None:
    [made] = await limited_replicas.start(fleet, builders.PLAIN, 1)
    assert (await requests.ask(fleet, "/safe/"))[0].status == 200
    head, body = await requests.ask(fleet, "/safe/", "r2")
    assert (head.status, body) == (503, b"endpoints-limited")
    assert 0.0 < float(head.get(b"retry-after") or b"0") <= 4.0
    assert len(made.received) == 1


async def test_retry_after_the_announced_delay_is_served(
    fleet: boxes.Boxes,
) -> None:
    [made] = await limited_replicas.start(fleet, builders.PLAIN, 1)
    made.limit = "20"
    await requests.ask(fleet, "/safe/")
    head, _ = await requests.ask(fleet, "/safe/", "r2")
    assert head.status == 503
    await asyncio.sleep(float(head.get(b"retry-after") or b"0"))
    head, _ = await requests.ask(fleet, "/safe/", "r3")
    assert head.status == 200


@pytest.mark.parametrize("path", ["/safe/", "/unsafe/", "/digest/", "/chat/"])
async def test_requests_go_to_endpoints_without_a_limit(
    fleet: boxes.Boxes, path: str
) -> None:
    engine = path in ("/digest/", "/chat/")
    service = builders.ENGINE if engine else builders.PLAIN
    made = await limited_replicas.start(fleet, service, 2)
    made[1].limit = None
    limited_replicas.report_limit(fleet, made[0], 0.0)
    for number in range(6):
        head, _ = await requests.ask(fleet, path, f"r{number}")
        assert head.status == 200
    assert not made[0].received


async def test_retry_needs_a_grant(fleet: boxes.Boxes) -> None:
    made = await limited_replicas.start(fleet, builders.PLAIN, 2)
    made[1].limit = None
    made[1].always(Behaviour.FAIL)
    limited_replicas.report_limit(fleet, made[0], 0.0)
    head, _ = await requests.ask(fleet, "/safe/")
    assert head.status == 500
    assert not made[0].received


async def test_health_check_needs_a_grant(fleet: boxes.Boxes) -> None:
    [made] = await limited_replicas.start(fleet, builders.PLAIN, 1)
    limited_replicas.report_limit(fleet, made, 0.0)
    box = fleet.gateways[0]
    await box.prober._probe(
        box.endpoint_list.entries[made.id].endpoint, "/healthz"
    )
    assert not made.received


async def test_prefill_demand_counts_once_per_request(
    fleet: boxes.Boxes, monkeypatch: pytest.MonkeyPatch
) -> None:
    made = await limited_replicas.start(fleet, builders.ENGINE, 3)
    for one in made:
        limited_replicas.report_limit(fleet, one, 0.0)
    asked: list[int] = []
    engines = fleet.gateways[0].registry.table.engines
    monkeypatch.setattr(
        engines,
        "note_prefill_demand",
        lambda service, tokens, *_: asked.append(tokens),
    )
    head, _ = await requests.ask(fleet, "/digest/")
    assert head.status == 503
    assert len(asked) == 1


async def test_limit_that_begins_while_a_request_waits_for_a_connection(
    fleet: boxes.Boxes, monkeypatch: pytest.MonkeyPatch
) -> None:
    await requests.check_change_while_connecting(
        fleet,
        monkeypatch,
        lambda box, name: box.limits.report_limit(name, 0.0, time.monotonic()),
    )


async def test_run_is_not_copied_to_a_rate_limited_endpoint(
    fleet: boxes.Boxes,
) -> None:
    config = builders.config_document(9)
    config["services"][1]["engine"]["backups"] = True
    fleet.configure(config)
    made = await limited_replicas.start(fleet, builders.ENGINE, 2)
    made[1].limit = None
    limited_replicas.report_limit(fleet, made[0], 20.0)
    await boxes.until(lambda: fleet.gateways[0].store_cache.version == 9)
    await requests.ask(fleet, "/chat/")
    [got] = made[1].received
    assert "martenjunction-kv-backup" not in got.headers


async def test_unused_grant_is_refunded(
    fleet: boxes.Boxes, monkeypatch: pytest.MonkeyPatch
) -> None:
    [made] = await limited_replicas.start(fleet, builders.PLAIN, 1)
    limited_replicas.report_limit(fleet, made, 20.0)
    box = fleet.gateways[0]
    returned: list[str] = []
    monkeypatch.setattr(
        box.grants, "refund", lambda grant: returned.append(grant.endpoint_id)
    )
    await requests.ask(fleet, "/safe/")
    await asyncio.sleep(0.2)
    # The endpoint begins to leave while the grant is pending.
    take = box.grants.acquire

    async def taking(endpoint_id: str) -> object:
        grant = await take(endpoint_id)
        box.endpoint_list.mark_leaving(endpoint_id)
        return grant

    monkeypatch.setattr(box.grants, "acquire", taking)
    with contextlib.suppress(errors.TransportError):
        await requests.ask(fleet, "/safe/", "r2")
    assert not made.received
    assert returned == [made.id]


@pytest.mark.parametrize(
    "behaviour",
    [Behaviour.SERVE, Behaviour.REFUSE, Behaviour.FAIL, Behaviour.BARE_503],
)
async def test_limit_is_read_from_any_response(
    fleet: boxes.Boxes, behaviour: Behaviour
) -> None:
    [made] = await limited_replicas.start(fleet, builders.PLAIN, 1)
    made.always(behaviour)
    await requests.ask(fleet, "/safe/")
    assert fleet.gateways[0].registry.table.limits.per_s(made.id) == 1.0


async def test_health_check_response_does_not_clear_a_limit(
    fleet: boxes.Boxes,
) -> None:
    [made] = await limited_replicas.start(fleet, builders.PLAIN, 1)
    box = fleet.gateways[0]
    limited_replicas.report_limit(fleet, made, 2.0)
    made.limit = None
    made.always(Behaviour.REFUSE)
    await box.prober._ask(
        box.endpoint_list.entries[made.id].endpoint, "/healthz"
    )
    assert made.received
    assert box.registry.table.limits.per_s(made.id) == 2.0


async def test_dump_shows_limits_and_their_holders(
    fleet: boxes.Boxes,
) -> None:
    [made] = await limited_replicas.start(fleet, builders.PLAIN, 1)
    await requests.ask(fleet, "/safe/")
    box = fleet.gateways[0]
    entry = box.dump()["limits"][made.id]
    assert (entry["per_s"], entry["holder"]) == (1.0, box.members.own.box)
