"""Tests how a box forwards requests to replicas and answers clients."""

import asyncio
import contextlib

import pytest

from martenjunction_lab import boxes
from martenjunction_lab import replica
from tests import gateway_requests as requests
from tests import routing_builders as builders

Behaviour = replica.Behaviour

# Seconds within which the run of a client that left is cancelled, long before
# the time limit of its request.
CANCELLED_S = 0.5


async def test_request_reaches_a_replica_unchanged(fleet: boxes.Boxes) -> None:
    made = await requests.two_plain(fleet)
    head, body = await requests.ask(
        fleet,
        "/safe/x%20y?q=1&q=2",
        **{
            "Martenjunction-Tenant": "forged",
            "Martenjunction-Kv-Hold": "forged",
            "Kv-From": "forged",
            "X-Other": "kept",
        },
    )
    assert head.status == 200
    assert body == b"answer to hello"
    assert (head.get(b"martenjunction-replica-seal") or b"").startswith(b"seal")
    [got] = [r for stand_in in made for r in stand_in.received]
    assert (got.method, got.target, got.body) == (
        "POST",
        "/safe/x%20y?q=1&q=2",
        b"hello",
    )
    assert got.headers["martenjunction-attempt-id"] == "r1"
    assert got.headers["martenjunction-tenant"] == "one"
    assert got.headers["x-other"] == "kept"
    assert got.headers["martenjunction-expect-replica"] in ("i-1", "i-2")
    assert 0 < int(got.headers["martenjunction-deadline-ms"]) <= 1500
    for hidden in ("authorization", "martenjunction-kv-hold", "kv-from"):
        assert hidden not in got.headers


@pytest.mark.parametrize(
    ("path", "changes", "status"),
    [
        ("/none/", {}, 404),
        ("/safe/", {"Authorization": "Bearer wrong"}, 401),
        ("/safe/", {"Authorization": ""}, 401),
        ("/open/", {"Authorization": ""}, 200),
    ],
)
async def test_route_and_key_decide(
    fleet: boxes.Boxes, path: str, changes: dict[str, str], status: int
) -> None:
    await requests.two_plain(fleet)
    head, _ = await requests.ask(fleet, path, **changes)
    assert head.status == status


async def test_box_without_a_configuration_answers_503() -> None:
    made = boxes.Boxes()
    made.store.start()
    await made.add_box("box-1")
    head, _ = await requests.ask(made, "/safe/")
    ready, _ = await boxes.call(
        made.gateways[0]._settings.ready, "GET", "/readyz"
    )
    await made.stop()
    assert head.status == 503
    assert head.get(b"retry-after") is not None
    assert ready.status == 503


async def test_metrics_and_dump_are_served(fleet: boxes.Boxes) -> None:
    await requests.two_plain(fleet)
    await requests.ask(fleet, "/safe/")
    settings = fleet.gateways[0]._settings
    address = f"{settings.ip}:{settings.metrics_port}"
    _, text = await boxes.call(address, "GET", "/metrics")
    wanted = b'martenjunction_requests_total{kind="safe",result="200"} 1.0'
    assert wanted in text
    dump = await boxes.call_json(address, "/dump")
    assert dump["config"]["version"] == 7
    assert set(dump["endpoints"]) == {"i-1", "i-2"}
    assert builders.KEY not in str(dump)


# At-most-once execution and truthful statuses.


@pytest.mark.parametrize("behaviour", [Behaviour.REFUSE, Behaviour.MISDIRECTED])
async def test_refused_request_goes_to_another_replica(
    fleet: boxes.Boxes, behaviour: Behaviour
) -> None:
    made = await requests.two_plain(fleet)
    # A box that may not know its fleet has few retries.
    await boxes.until(lambda: fleet.gateways[0].follower.knows_boxes)
    made[0].always(behaviour)
    made[1].plan(behaviour)
    head, _ = await requests.ask(fleet, "/unsafe/")
    # Both replicas refuse, so the request did not run.
    assert head.status == 503
    assert head.get(b"retry-after") is not None
    assert requests.runs(made) == 0
    head, _ = await requests.ask(fleet, "/unsafe/", "r2")
    assert head.status == 200
    assert requests.runs(made, "r2") == 1


@pytest.mark.parametrize("behaviour", [Behaviour.RESET, Behaviour.HALF])
async def test_unsafe_request_that_may_have_run_is_not_sent_again(
    fleet: boxes.Boxes, behaviour: Behaviour
) -> None:
    made = await requests.two_plain(fleet)
    requests.plan_first_response(made, behaviour)
    head, _ = await requests.ask(fleet, "/unsafe/")
    assert head.status == 502
    assert requests.runs(made) == 1
    assert requests.arrivals(made) == 1


async def test_bare_503_of_a_replica_is_not_forwarded(
    fleet: boxes.Boxes,
) -> None:
    made = await requests.two_plain(fleet)
    requests.plan_first_response(made, Behaviour.BARE_503)
    head, _ = await requests.ask(fleet, "/unsafe/")
    assert head.status == 502
    assert head.get(b"martenjunction-replica-seal") is None


async def test_failure_of_a_replica_is_forwarded_with_its_seal(
    fleet: boxes.Boxes,
) -> None:
    made = await requests.two_plain(fleet)
    requests.plan_first_response(made, Behaviour.FAIL)
    head, _ = await requests.ask(fleet, "/unsafe/")
    assert head.status == 500
    assert head.get(b"martenjunction-replica-seal") is not None
    assert requests.runs(made) == 1


@pytest.mark.parametrize(
    "behaviour",
    [
        Behaviour.RESET,
        Behaviour.HALF,
        Behaviour.FAIL,
        Behaviour.BARE_503,
        Behaviour.UNSEALED,
    ],
)
async def test_safe_request_is_tried_at_another_replica(
    fleet: boxes.Boxes,
    monkeypatch: pytest.MonkeyPatch,
    behaviour: Behaviour,
) -> None:
    made = await requests.two_plain(fleet)
    requests.plan_where_first_sent(monkeypatch, made, behaviour)
    for number in range(4):
        head, _ = await requests.ask(fleet, "/safe/", f"r{number}")
        assert head.status == 200
    assert [stand_in.received[0].id for stand_in in made] == ["r0", "r0"]


async def test_retries_are_limited_by_the_route(
    fleet: boxes.Boxes,
) -> None:
    made = [await fleet.add_replica(builders.PLAIN) for _ in range(4)]
    await fleet.until_listed()
    for stand_in in made:
        stand_in.always(Behaviour.FAIL)
    head, _ = await requests.ask(fleet, "/safe/")
    assert head.status == 500
    assert requests.runs(made) == 2


async def test_success_without_a_seal_is_not_forwarded(
    fleet: boxes.Boxes,
) -> None:
    made = await requests.two_plain(fleet)
    requests.plan_first_response(made, Behaviour.UNSEALED)
    head, _ = await requests.ask(fleet, "/unsafe/")
    assert head.status == 502


async def test_answer_to_another_request_is_skipped(
    fleet: boxes.Boxes,
) -> None:
    made = await requests.two_plain(fleet)
    requests.plan_first_response(made, Behaviour.FOREIGN_FIRST)
    head, body = await requests.ask(fleet, "/unsafe/")
    assert (head.status, body) == (200, b"answer to hello")


async def test_second_answer_is_discarded(fleet: boxes.Boxes) -> None:
    made = await requests.two_plain(fleet)
    requests.plan_first_response(made, Behaviour.TWICE)
    for number in range(6):
        head, body = await requests.ask(fleet, "/unsafe/", f"r{number}")
        assert (head.status, body) == (200, b"answer to hello")
        assert head.get(b"martenjunction-attempt-id") == f"r{number}".encode()


async def test_request_without_an_endpoint_is_refused_as_not_run(
    fleet: boxes.Boxes,
) -> None:
    await fleet.until_listed()
    head, body = await requests.ask(fleet, "/unsafe/")
    assert (head.status, body) == (503, b"not-run")
    assert head.get(b"retry-after") is not None


async def test_timeout_of_the_route_ends_a_request_that_was_sent(
    fleet: boxes.Boxes,
) -> None:
    made = await requests.two_plain(fleet)
    requests.plan_first_response(made, Behaviour.HANG)
    head, _ = await requests.ask(
        fleet, "/unsafe/", **{"Martenjunction-Deadline-Ms": "300"}
    )
    assert head.status == 504
    assert requests.runs(made) == 0


async def test_client_that_leaves_ends_the_run(fleet: boxes.Boxes) -> None:
    made = await requests.two_plain(fleet)
    requests.plan_first_response(made, Behaviour.HANG)
    task = asyncio.create_task(requests.ask(fleet, "/unsafe/"))
    await boxes.until(lambda: requests.arrivals(made) == 1)
    task.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await task
    async with asyncio.timeout(CANCELLED_S):
        await boxes.until(lambda: any(r.cancelled for r in made))
