"""Quarantine of requests that crash endpoints, with one real box."""

import asyncio

import msgspec
import pytest

from martenjunction import model
from martenjunction.decisions.boxes import content_key
from martenjunction.decisions.boxes import crash_rates
from martenjunction.decisions.boxes import suspect_table
from martenjunction.routing.access import admission
from martenjunction.routing.quarantine import permits
from martenjunction_lab import boxes
from martenjunction_lab import replica
from tests import gateway_requests as requests
from tests import routing_builders as builders

Behaviour = replica.Behaviour
PATIENT = {"Martenjunction-Deadline-Ms": "9000"}


def only_suspect(fleet: boxes.Boxes) -> suspect_table.Suspect | None:
    held = [
        s for s in fleet.gateways[0].quarantine.table if s.evidence.generation
    ]
    assert len(held) <= 1
    return held[0] if held else None


def service(fleet: boxes.Boxes) -> model.Service:
    config = fleet.gateways[0].admitter.config
    assert config is not None
    return config.services[builders.PLAIN]


async def permit(
    fleet: boxes.Boxes, key: content_key.ContentKey
) -> permits.Permit:
    box = fleet.gateways[0]
    return await box.quarantine.permit(
        key, service(fleet), box.timers.now() + 2.0
    )


async def quarantine_request(
    fleet: boxes.Boxes, path: str = "/unsafe/"
) -> content_key.ContentKey:
    """Crashes endpoints during runs of a request until it is quarantined."""
    made = [await fleet.add_replica(builders.PLAIN) for _ in range(3)]
    await fleet.until_listed()
    for number in range(20):
        await requests.ask(fleet, "/safe/", f"other-{number}")
    for stand_in in made:
        stand_in.plan(Behaviour.HANG)
    for number in range(crash_rates.MIN_CRASHES):
        asking = asyncio.create_task(
            requests.ask(fleet, path, f"r{number}", **PATIENT)
        )
        await boxes.until(lambda n=number: running(made, f"r{n}"))  # type: ignore[misc]
        [at] = [s for s in made if running([s], f"r{number}")]
        await at.stop()
        head, _ = await asking
        assert head.status == 502
    suspect = only_suspect(fleet)
    assert suspect is not None
    for stand_in in made:
        await stand_in.start_again()
        fleet.record(stand_in, builders.PLAIN, born=2)
    await boxes.until(
        lambda: all(
            fleet.gateways[0].endpoint_list.is_ready(f"{stand_in.id}/2")
            for stand_in in made
        )
    )
    return suspect.key


def running(made: list[replica.Replica], request_id: str) -> bool:
    return any(
        received.id == request_id
        for stand_in in made
        for received in stand_in.received
    )


async def test_quarantined_request_is_refused_with_retry_after(
    fleet: boxes.Boxes,
) -> None:
    await quarantine_request(fleet)
    before = requests.arrivals(fleet.replicas)
    head, body = await requests.ask(fleet, "/unsafe/", "again")
    assert (head.status, body) == (
        503,
        permits.QUARANTINED_CODE.encode(),
    )
    again_s = float(head.get(b"retry-after") or 0)
    assert again_s > suspect_table.INITIAL_RELEASE_S / 2
    assert requests.arrivals(fleet.replicas) == before
    # A request of the same caller with other content is served.
    head, _ = await requests.ask(fleet, "/unsafe/other", "other")
    assert head.status == 200


async def test_operator_sees_and_lifts_a_quarantine(fleet: boxes.Boxes) -> None:
    key = await quarantine_request(fleet)
    box = fleet.gateways[0]
    address = f"127.0.0.1:{box._settings.metrics_port}"
    dump = await boxes.call_json(address, "/dump")
    [row] = dump["suspects"]
    assert (row["content"], row["quarantined"]) == (str(key), True)
    target = f"/lift?content={key}"
    head, _ = await boxes.call(address, "POST", "/lift?content=unknown")
    assert head.status == 404
    head, _ = await boxes.call(address, "GET", target)
    assert head.status == 404
    head, _ = await boxes.call(address, "POST", target)
    assert head.status == 200
    head, _ = await requests.ask(fleet, "/unsafe/", "again")
    assert head.status == 200
    assert (await boxes.call_json(address, "/dump"))["suspects"] == []


async def test_quarantined_request_is_tried_on_a_new_build(
    fleet: boxes.Boxes,
) -> None:
    await quarantine_request(fleet)
    mended = await fleet.add_replica(builders.PLAIN)
    fleet.record(mended, builders.PLAIN, version="v2")
    box = fleet.gateways[0]
    await boxes.until(
        lambda: any(
            listed.endpoint.version == "v2"
            for listed in box.endpoint_list.entries.values()
        )
    )
    head, _ = await requests.ask(fleet, "/unsafe/", "again")
    assert head.status == 200
    assert running([mended], "again")
    # The answer clears the request.
    assert only_suspect(fleet) is None


async def test_quarantine_reaches_other_and_new_boxes(
    fleet: boxes.Boxes,
) -> None:
    await fleet.add_box("box-2")
    key = await quarantine_request(fleet)
    await fleet.add_box("box-3")

    def known(box: int) -> bool:
        suspect = fleet.gateways[box].quarantine.table.find(key)
        return suspect is not None and suspect.evidence.quarantined

    await boxes.until(lambda: known(1) and known(2))


async def test_run_that_breaks_off_at_a_live_endpoint_is_no_crash(
    fleet: boxes.Boxes,
) -> None:
    made = await requests.two_plain(fleet)
    requests.plan_first_response(made, Behaviour.RESET)
    head, _ = await requests.ask(fleet, "/unsafe/")
    assert head.status == 502
    assert only_suspect(fleet) is None


async def test_end_of_a_draining_endpoint_is_no_crash(
    fleet: boxes.Boxes,
) -> None:
    [made] = [await fleet.add_replica(builders.PLAIN)]
    await fleet.until_listed()
    made.plan(Behaviour.HANG)
    asking = asyncio.create_task(requests.ask(fleet, "/unsafe/", **PATIENT))
    await boxes.until(lambda: bool(made.received))
    fleet.record(made, builders.PLAIN, state="draining")
    box = fleet.gateways[0]
    await boxes.until(lambda: not box.endpoint_list.is_ready(made.id))
    await made.stop()
    await asking
    assert only_suspect(fleet) is None


async def test_crash_detected_by_the_restart_counts(
    fleet: boxes.Boxes,
) -> None:
    # The port answers again before it is checked, so that only the rewritten
    # entry proves the restart.
    [made] = [await fleet.add_replica(builders.PLAIN)]
    fleet.record(made, builders.PLAIN, born=1)
    box = fleet.gateways[0]
    await boxes.until(lambda: box.endpoint_list.is_ready(f"{made.id}/1"))
    made.plan(Behaviour.RESET)
    await requests.ask(fleet, "/unsafe/")
    assert only_suspect(fleet) is None
    fleet.record(made, builders.PLAIN, born=2)
    await boxes.until(lambda: only_suspect(fleet) is not None)


async def test_request_waits_until_a_trial_ends(
    fleet: boxes.Boxes,
) -> None:
    await requests.two_plain(fleet)
    key = content_key.ContentKey(b"c" * 8, b"q" * 16)
    at = builders.endpoint()
    (await permit(fleet, key)).record_crash(at)
    first = await permit(fleet, key)
    assert first.isolated
    second = asyncio.create_task(permit(fleet, key))
    await asyncio.sleep(0.05)
    assert not second.done()
    first.record_answer()
    assert not (await second).isolated


async def test_permit_is_invalid_after_a_crash(
    fleet: boxes.Boxes,
) -> None:
    await requests.two_plain(fleet)
    key = content_key.ContentKey(b"c" * 8, b"q" * 16)
    one, two = await permit(fleet, key), await permit(fleet, key)
    assert two.is_valid()
    one.record_crash(builders.endpoint())
    assert not two.is_valid()


async def test_no_permit_is_issued_in_quarantine(fleet: boxes.Boxes) -> None:
    await requests.two_plain(fleet)
    key = content_key.ContentKey(b"c" * 8, b"q" * 16)
    for number in range(10):
        try:
            made = await permit(fleet, key)
        except admission.RefusalError as refusal:
            assert refusal.status == 503
            assert number >= crash_rates.MIN_CRASHES
            return
        at = msgspec.structs.replace(
            builders.endpoint(f"e{number}"), version="v1"
        )
        made.record_crash(at)
    pytest.fail("it was never refused")
