"""Tests a box's view of leaving replicas, the store, keys and peers."""

import asyncio

import pytest

from martenjunction import errors
from martenjunction.decisions import stop_admission
from martenjunction_lab import boxes
from martenjunction_lab import platform
from martenjunction_lab import replica
from tests import gateway_requests as requests
from tests import routing_builders as builders

Behaviour = replica.Behaviour

# Seconds for which requests wait at a replica, beside others that are sent.
QUEUE_S = 0.05


async def test_draining_replica_gets_no_new_work(fleet: boxes.Boxes) -> None:
    made = await requests.two_plain(fleet)
    fleet.record(made[0], builders.PLAIN, state="draining")
    await boxes.until(
        lambda: not fleet.gateways[0].endpoint_list.is_ready("i-1")
    )
    for number in range(6):
        await requests.ask(fleet, "/safe/", f"r{number}")
    assert not made[0].received


async def test_replica_that_left_while_the_watch_missed_events_is_detected(
    fleet: boxes.Boxes,
) -> None:
    made = await requests.two_plain(fleet)
    fleet.store.faults = platform.PlatformFaults(deaf=True)
    fleet.forget(made[0])
    fleet.store.forget_history()
    await boxes.until(
        lambda: not fleet.gateways[0].endpoint_list.is_ready("i-1")
    )


async def test_box_keeps_serving_while_the_store_is_down(
    fleet: boxes.Boxes,
) -> None:
    await requests.two_plain(fleet)
    fleet.store.faults = platform.PlatformFaults(down=True)
    await boxes.until(lambda: not fleet.gateways[0].store_cache.store_answers)
    head, _ = await requests.ask(fleet, "/safe/")
    assert head.status == 200


async def test_keys_are_refused_once_they_cannot_be_verified() -> None:
    made = boxes.Boxes()
    made.store.start()
    made.configure(builders.config_document())
    await made.add_box("box-1", key_lifetime_s=1.9)
    await made.add_replica(builders.PLAIN)
    await made.until_listed()
    made.store.faults = platform.PlatformFaults(down=True)
    box = made.gateways[0]
    await boxes.until(
        lambda: not box.freshness.allows_keys_at(box.timers.now())
    )
    keyed, _ = await requests.ask(made, "/safe/")
    public, _ = await requests.ask(made, "/open/", Authorization="")
    ready, _ = await boxes.call(box._settings.ready, "GET", "/readyz")
    await made.stop()
    assert keyed.status == 503
    assert keyed.get(b"retry-after") is not None
    assert public.status == 200
    assert ready.status == 503


async def test_revoked_key_is_refused(fleet: boxes.Boxes) -> None:
    made = await requests.two_plain(fleet)
    fleet.configure(builders.config_document(9, tenants=[]))
    await boxes.until(lambda: fleet.gateways[0].store_cache.version == 9)
    head, _ = await requests.ask(fleet, "/safe/")
    assert head.status == 401
    assert requests.arrivals(made) == 0


async def test_change_missed_by_the_watch_is_detected_by_listing(
    fleet: boxes.Boxes,
) -> None:
    box = fleet.gateways[0]
    await boxes.until(lambda: box.store_cache.version == 7)
    await boxes.until(lambda: fleet.store.calls["watch"] >= 2)

    async def never() -> bool:
        await asyncio.sleep(3600)
        return False

    box.follower._confirm_config = never  # type: ignore[method-assign]
    fleet.store.faults = platform.PlatformFaults(deaf=True)
    fleet.configure(builders.config_document(9))
    fleet.store.forget_history()
    await boxes.until(lambda: box.store_cache.version == 9)


async def test_older_configuration_is_never_activated(
    fleet: boxes.Boxes,
) -> None:
    box = fleet.gateways[0]
    fleet.configure(builders.config_document(9))
    await boxes.until(lambda: box.store_cache.version == 9)
    fleet.configure(builders.config_document(8, routes=[]))
    await requests.until_config_read(box, 2)
    assert box.store_cache.version == 9


@pytest.mark.simulated_time
async def test_ejected_endpoint_without_repeatable_requests_is_reinstated(
    fleet: boxes.Boxes,
) -> None:
    made = await requests.two_plain(fleet)
    box = fleet.gateways[0]
    await made[0].stop()
    # Requests that wait at the other replica are spread over both.
    made[1].queue_s = QUEUE_S
    answers = await asyncio.gather(
        *(requests.ask(fleet, "/unsafe/", f"r{number}") for number in range(12))
    )
    assert {head.status for head, _ in answers} == {200}
    ejected = box.registry.table.records[made[0].id].health
    assert ejected.state == "ejected"
    await made[0].start_again()
    await boxes.until(lambda: ejected.state == "routing")


async def test_streams_are_refused_late_in_a_planned_stop(
    fleet: boxes.Boxes,
) -> None:
    made = await requests.engines(fleet)
    box = fleet.gateways[0]
    stopping = asyncio.create_task(box.leave())
    await boxes.until(
        lambda: requests.leaving_for_s(box) > stop_admission.STREAM_ADMISSION_S
    )
    head, _ = await requests.ask(fleet, "/chat/")
    assert head.status == 503
    assert head.get(b"retry-after") is not None
    assert not requests.arrivals(made)
    await stopping


# Several boxes.


async def test_ready_boxes_are_listed_to_clients() -> None:
    made = boxes.Boxes()
    await made.start(builders.config_document(), boxes=3)
    await made.until_listed()
    entry = made.gateways[0]._settings.entry

    async def addresses() -> set[str]:
        answer = await boxes.call_json(entry, "/resolve?zone=zone-a")
        assert 0 < answer["ttl_s"] <= 5
        return set(answer["addresses"])

    async with asyncio.timeout(20.0):
        while await addresses() != set(made.addresses):
            await asyncio.sleep(0.05)
        leaving = made.gateways[1]
        stopping = asyncio.create_task(leaving.leave())
        while leaving.members.own.callers in await addresses():
            await asyncio.sleep(0.05)
    # The box still serves clients that cached an older response.
    head, _ = await boxes.call(leaving.members.own.callers, "GET", "/none/", {})
    ready, _ = await boxes.call(leaving._settings.ready, "GET", "/readyz")
    assert head.status == 404
    assert head.closes
    assert ready.status == 503
    await stopping
    await made.stop()


async def test_box_partitioned_from_the_store_learns_from_its_peers() -> None:
    made = boxes.Boxes()
    await made.start(builders.config_document(), boxes=2)
    await made.add_replica(builders.PLAIN)
    await made.until_listed()
    # Partitions the box that reads from the store for both boxes, so that the
    # other one has to take over reading.
    await boxes.until(
        lambda: sum(box.follower.is_synced for box in made.gateways) == 1
    )
    [cut] = [box for box in made.gateways if box.follower.is_synced]

    async def fail(*_: object) -> object:
        raise errors.PlatformUnavailableError("cut off")

    for name in ("get", "list", "watch"):
        setattr(cut.store, name, fail)
    await boxes.until(lambda: not cut.store_cache.store_answers)
    made.configure(builders.config_document(9))
    await boxes.until(lambda: cut.store_cache.version == 9)
    made.record(made.replicas[0], builders.PLAIN, state="draining")
    await boxes.until(lambda: not cut.endpoint_list.is_ready("i-1"))
    lifetime = cut._settings.key_lifetime_s
    started = cut.timers.now()
    await boxes.until(lambda: cut.timers.now() - started > lifetime)
    assert cut.freshness.allows_keys_at(cut.timers.now())
    await made.stop()


async def test_planned_stop_completes_running_requests(
    fleet: boxes.Boxes,
) -> None:
    made = await requests.engines(fleet)
    for stand_in in made:
        stand_in.event_pause_s = 0.3
    patient = {"Martenjunction-Deadline-Ms": "9000"}
    task = asyncio.create_task(requests.ask(fleet, "/chat/", **patient))
    await boxes.until(lambda: requests.arrivals(made) == 1)
    await fleet.gateways[0].leave()
    head, body = await task
    assert (head.status, body) == (200, requests.WHOLE_STREAM)
