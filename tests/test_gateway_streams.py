"""Tests streams through a box: forwarding, resumption and copies."""

import asyncio
import contextlib
import dataclasses

import pytest

from martenjunction import errors
from martenjunction.decisions.boxes import endpoint_loads
from martenjunction.http1 import messages
from martenjunction.routing.requests import run_copies
from martenjunction_lab import boxes
from martenjunction_lab import replica
from tests import gateway_requests as requests
from tests import routing_builders as builders

Behaviour = replica.Behaviour


async def test_complete_stream_is_forwarded_with_its_urgency(
    fleet: boxes.Boxes,
) -> None:
    made = await requests.engines(fleet)
    head, body = await requests.ask(fleet, "/chat/")
    assert (head.status, body) == (200, requests.WHOLE_STREAM)
    [got] = [r for stand_in in made for r in stand_in.received]
    assert got.headers["martenjunction-request-urgency"] == "1"


async def test_request_is_not_refused_while_lower_tiers_are_served(
    fleet: boxes.Boxes,
) -> None:
    made = await requests.engines(fleet)
    box = fleet.gateways[0]
    service = box.admitter.config.services[builders.ENGINE]  # type: ignore[union-attr]
    # Other boxes have more prompt tokens there than can be processed before the
    # latency target.
    chat = builders.demand(urgency=1).load_key
    digest = builders.demand(urgency=3).load_key

    def report_loads(*keys: endpoint_loads.LoadKey) -> None:
        rows = [
            (stand_in.id, key.urgency, key.is_long, 60, 900_000)
            for stand_in in made
            for key in keys
        ]
        box.registry.reports.update_peer_loads("box-9", rows, box.timers.now())

    for endpoint in box.endpoint_list.ready(builders.ENGINE):
        box.registry.table.record(endpoint, service)
    report_loads(chat)
    refused, _ = await requests.ask(fleet, "/chat/", "r1")
    report_loads(chat, digest)
    served, _ = await requests.ask(fleet, "/chat/", "r2")
    assert (refused.status, served.status) == (503, 200)


async def test_resumable_stream_resumes_at_another_replica(
    fleet: boxes.Boxes,
) -> None:
    made = await requests.engines(fleet)
    for stand_in in made:
        stand_in.break_after = 3
    task = asyncio.create_task(requests.ask(fleet, "/digest/"))
    await boxes.until(lambda: requests.arrivals(made) == 1)
    for stand_in in made:
        if not stand_in.received:
            stand_in.break_after = None
    head, body = await task
    assert body == requests.WHOLE_STREAM
    first = next(s for s in made if s.break_after is not None)
    seal = head.get(b"martenjunction-replica-seal")
    assert seal == f"seal-{first.id}".encode()
    second = next(s for s in made if s.break_after is None)
    assert second.received[0].headers["last-event-id"] == "3"


async def engines_that_keep_copies(
    fleet: boxes.Boxes,
) -> list[replica.Replica]:
    config = builders.config_document(9)
    config["services"][1]["engine"]["backups"] = True
    for route in config["routes"]:
        route["timeout_ms"] = 9000
    fleet.configure(config)
    made = await requests.engines(fleet)
    await boxes.until(lambda: fleet.gateways[0].store_cache.version == 9)
    return made


@dataclasses.dataclass(frozen=True)
class CopiedRun:
    """A run in progress that will break off.

    Attributes:
        first: The engine that runs it.
        second: The engine that holds the copy of its memory.
        task: Sends the request and returns the response head and body.
    """

    first: replica.Replica
    second: replica.Replica
    task: asyncio.Task[tuple[messages.ResponseHead, bytes]]


async def begin_copied_run(fleet: boxes.Boxes) -> CopiedRun:
    made = await engines_that_keep_copies(fleet)
    for stand_in in made:
        stand_in.break_after = 3
        stand_in.event_pause_s = run_copies.MIN_COPY_AGE_S / 2
    patient = {"Martenjunction-Deadline-Ms": "9000"}
    task = asyncio.create_task(requests.ask(fleet, "/chat/", **patient))
    await boxes.until(lambda: requests.arrivals(made) == 1)
    [first] = [s for s in made if s.received]
    [second] = [s for s in made if not s.received]
    return CopiedRun(first, second, task)


@pytest.mark.simulated_time
async def test_copied_run_resumes_at_the_endpoint_with_the_copy(
    fleet: boxes.Boxes,
) -> None:
    run = await begin_copied_run(fleet)
    first, second = run.first, run.second
    second.break_after = None
    head, body = await run.task
    assert body == requests.WHOLE_STREAM
    seal = head.get(b"martenjunction-replica-seal")
    assert seal == f"seal-{first.id}".encode()
    sent = first.received[0].headers
    assert sent["martenjunction-kv-backup"] == second.address
    got = second.received[0].headers
    assert got["kv-from"] == f"{second.address}/r1"
    assert got["last-event-id"] == "3"


async def test_run_that_falls_silent_is_not_sent_again(
    fleet: boxes.Boxes,
) -> None:
    made = await requests.engines(fleet)
    for stand_in in made:
        stand_in.silent_after = 3
    with contextlib.suppress(errors.TransportError):
        await requests.ask(fleet, "/chat/")
    assert requests.arrivals(made) == 1


@pytest.mark.parametrize("behaviour", [Behaviour.SERVE, Behaviour.RESET])
async def test_run_is_not_resumed_before_its_copy_can_exist(
    fleet: boxes.Boxes, behaviour: Behaviour
) -> None:
    made = await engines_that_keep_copies(fleet)
    requests.plan_first_response(made, behaviour)
    for stand_in in made:
        stand_in.break_after = 3
    with contextlib.suppress(errors.TransportError):
        head, _ = await requests.ask(fleet, "/chat/")
        assert head.status in (200, 502)
    assert requests.arrivals(made) == 1


async def test_run_that_failed_by_itself_is_not_resumed_from_a_copy(
    fleet: boxes.Boxes,
) -> None:
    made = await engines_that_keep_copies(fleet)
    requests.plan_first_response(made, Behaviour.FAIL)
    head, _ = await requests.ask(fleet, "/chat/")
    assert head.status == 500
    assert requests.runs(made) == 1


async def test_endpoint_without_the_copy_ends_the_stream_as_broken(
    fleet: boxes.Boxes,
) -> None:
    run = await begin_copied_run(fleet)
    run.second.plan(Behaviour.REFUSE)
    with pytest.raises(errors.TransportError):
        await run.task
    assert requests.runs([run.first, run.second]) == 1


async def test_run_is_not_resumed_at_an_endpoint_that_begins_to_leave(
    fleet: boxes.Boxes, monkeypatch: pytest.MonkeyPatch
) -> None:
    run = await begin_copied_run(fleet)
    box = fleet.gateways[0]
    requests.on_first_connection(
        monkeypatch, box, box.endpoint_list.mark_leaving
    )
    with pytest.raises(errors.TransportError):
        await run.task
    assert not run.second.received


async def test_broken_stream_that_may_not_be_resumed_never_looks_complete(
    fleet: boxes.Boxes,
) -> None:
    made = await requests.engines(fleet)
    for stand_in in made:
        stand_in.break_after = 3
    with pytest.raises(errors.TransportError):
        await requests.ask(fleet, "/chat/")
    assert requests.runs(made) == 1


async def test_stream_that_ends_with_its_connection_is_forwarded_whole(
    fleet: boxes.Boxes,
) -> None:
    for stand_in in await requests.engines(fleet):
        stand_in.framed = False
    head, body = await requests.ask(fleet, "/chat/")
    assert (head.status, body) == (200, requests.WHOLE_STREAM)


async def test_unframed_stream_that_ends_within_an_event_resumes(
    fleet: boxes.Boxes,
) -> None:
    made = await requests.engines(fleet)
    for stand_in in made:
        stand_in.framed = False
        stand_in.break_after = 3
    task = asyncio.create_task(requests.ask(fleet, "/digest/"))
    await boxes.until(lambda: requests.arrivals(made) == 1)
    [second] = [s for s in made if not s.received]
    second.break_after = None
    _, body = await task
    assert body == requests.WHOLE_STREAM
    assert second.received[0].headers["last-event-id"] == "3"


async def test_unframed_stream_that_ends_within_an_event_is_not_complete(
    fleet: boxes.Boxes,
) -> None:
    for stand_in in await requests.engines(fleet):
        stand_in.framed = False
        stand_in.break_after = 3
    with pytest.raises(errors.TransportError):
        await requests.ask(fleet, "/chat/")
