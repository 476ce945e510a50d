"""Streams that are taken up after all boxes were lost at once.

Guards against boxes that forget with their last one at which software version
streams began, and against records in the store that stop or mislead them.
"""

import asyncio
from collections.abc import AsyncIterator
import time
from typing import Any

import pytest

from martenjunction.decisions.boxes import settled_services
from martenjunction.platform import stream_documents
from martenjunction.routing.streams import archive
from martenjunction_lab import boxes
from martenjunction_lab import platform
from tests import gateway_requests as requests
from tests import routing_builders as builders

pytestmark = pytest.mark.simulated_time

KIND = stream_documents.STREAM_KIND
BOXES = 6
STREAMS = 40
TIMEOUT_S = 60.0


async def start(fleet: boxes.Boxes, count: int = BOXES) -> None:
    """Starts boxes and two engines of each of two versions."""
    document = builders.relaxed_config_document()
    for route in document["routes"]:
        route["timeout_ms"] = TIMEOUT_S * 1000
    await fleet.start(document, boxes=count)
    for number in range(4):
        one = await fleet.add_replica(builders.ENGINE, slots=64)
        version = f"v{number // 2 + 1}"
        fleet.record(one, builders.ENGINE, slots=64, version=version)
    await fleet.until_listed()
    await until_restored(fleet)


@pytest.fixture
async def fleet() -> AsyncIterator[boxes.Boxes]:
    made = boxes.Boxes()
    await start(made)
    yield made
    await made.stop()


def versions_asked(fleet: boxes.Boxes) -> dict[str, set[str]]:
    """Returns the versions of the engines that got each request."""
    asked: dict[str, set[str]] = {}
    for number, one in enumerate(fleet.replicas):
        for got in one.received:
            request_id = got.headers["martenjunction-attempt-id"]
            asked.setdefault(request_id, set()).add(f"v{number // 2 + 1}")
    return asked


async def begin(fleet: boxes.Boxes) -> dict[str, str]:
    """Begins streams at all boxes; returns the version of each."""
    names = [f"r{time.monotonic()}-{number}" for number in range(STREAMS)]
    await asyncio.gather(
        *(ask(fleet, number, name) for number, name in enumerate(names))
    )
    asked = versions_asked(fleet)
    return {name: version for name in names for version in asked[name]}


async def begin_at_both(fleet: boxes.Boxes) -> dict[str, str]:
    """Begins streams at both versions; returns the version of each."""
    began = await begin(fleet)
    assert set(began.values()) == {"v1", "v2"}
    return began


async def ask(
    fleet: boxes.Boxes, box: int, request_id: str, **changes: str
) -> Any:
    # Prompts without common parts, so that all engines are used.
    changes["Martenjunction-Prefix-Hash"] = f"{box + 1:x}:500"
    changes["Martenjunction-Deadline-Ms"] = "60000"
    headers = requests.request_headers(request_id, **changes)
    address = fleet.addresses[box % len(fleet.addresses)]
    return await boxes.call(address, "POST", "/digest/", headers, b"hello")


async def lose_all(fleet: boxes.Boxes, count: int = BOXES) -> None:
    """Ends all boxes at once, without notice; starts some again."""
    ended = list(fleet.gateways)
    fleet.gateways.clear()
    await asyncio.gather(*(box.stop() for box in ended))
    for number in range(1, count + 1):
        await fleet.add_box(f"box-{number}")
    await fleet.until_listed()


async def take_up(fleet: boxes.Boxes, began: dict[str, str]) -> list[bool]:
    """Takes all streams up; returns which go on, at their version alone."""
    names = {name: f"{name}-{time.monotonic()}" for name in began}
    heads = await asyncio.gather(
        *(
            ask(
                fleet,
                number + 1,
                names[name],
                **{"Resumes": name, "Last-Event-Id": "2"},
            )
            for number, name in enumerate(began)
        )
    )
    asked = versions_asked(fleet)
    for name, version in began.items():
        assert asked.get(names[name], set()) <= {version}
    return [head.status == 200 for head, _ in heads]


async def until_restored(fleet: boxes.Boxes) -> None:
    for box in fleet.gateways:
        box.archive.request()
    await boxes.until(lambda: all(b.archive.restored for b in fleet.gateways))


async def test_streams_go_on_after_two_losses_of_all_boxes(
    fleet: boxes.Boxes,
) -> None:
    began = await begin_at_both(fleet)
    await asyncio.sleep(1.0)
    for count in (BOXES, 1, BOXES):
        await lose_all(fleet, count)
        await until_restored(fleet)
        assert all(await take_up(fleet, began))
    assert fleet.store.calls["write"] < 200


async def test_store_that_is_away_delays_restoring_not_serving(
    fleet: boxes.Boxes,
) -> None:
    began = await begin_at_both(fleet)
    await asyncio.sleep(1.0)
    fleet.store.faults = platform.PlatformFaults(silent=True)
    began_at = time.monotonic()
    later = await begin_at_both(fleet)
    assert time.monotonic() - began_at < 1.0
    [box, *_] = fleet.gateways
    await asyncio.sleep(5.0)
    assert box.archive.gauges()["streams_archive_failures"] > 0
    fleet.store.faults = platform.PlatformFaults()
    await asyncio.sleep(7.0)
    assert box.archive.gauges()["streams_archive_failures"] == 0
    await lose_all(fleet)
    await until_restored(fleet)
    assert all(await take_up(fleet, began | later))


@pytest.mark.parametrize(
    "spec",
    [
        "text",
        {"format": 99, "origins": []},
        {"format": 1, "streams": "A"},
        {"n": "x" * 1_100_000},
    ],
)
async def test_bad_records_lose_nothing_else(
    fleet: boxes.Boxes, spec: Any
) -> None:
    began = await begin_at_both(fleet)
    await asyncio.sleep(1.0)
    for name in ("a-foreign-writer", "zz", stream_documents.SETTLED_NAME):
        fleet.store.write(KIND, name, spec)
    await lose_all(fleet)
    await until_restored(fleet)
    assert all(await take_up(fleet, began))
    [box, *_] = fleet.gateways
    assert box.archive.gauges()["streams_archive_unreadable"] == 2
    assert box.dump()["streams"]["restored"]


async def test_records_survive_a_store_that_goes_back_in_time(
    fleet: boxes.Boxes,
) -> None:
    copy = fleet.store.copy()
    began = await begin_at_both(fleet)
    await asyncio.sleep(1.0)
    fleet.store.go_back(copy)
    for one in fleet.replicas:
        version = f"v{fleet.replicas.index(one) // 2 + 1}"
        fleet.record(one, builders.ENGINE, slots=64, version=version)
    assert not fleet.store.entries(KIND, "")
    await asyncio.sleep(8.0)
    await lose_all(fleet)
    await until_restored(fleet)
    assert all(await take_up(fleet, began))


async def test_settled_services_are_written_by_one_box_and_restored(
    fleet: boxes.Boxes, monkeypatch: pytest.MonkeyPatch
) -> None:
    wanted = settled_services.Settled(7, {"s": "v1"})
    for box in fleet.gateways:
        monkeypatch.setattr(box.origins, "settled", lambda: wanted)

    def stored() -> Any:
        kept = fleet.store.find(KIND, stream_documents.SETTLED_NAME)
        return None if kept is None else kept.spec["services"]

    await boxes.until(lambda: stored() == {"s": "v1"})
    writes = fleet.store.calls["write"]
    await asyncio.sleep(5.0)
    assert fleet.store.calls["write"] == writes
    wanted = settled_services.Settled(7, {})
    began_at = time.monotonic()
    await boxes.until(lambda: stored() == {})
    assert time.monotonic() - began_at < 0.2


async def test_object_of_a_box_that_never_returns_is_removed(
    fleet: boxes.Boxes, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(archive, "SWEEP_INTERVAL_S", 30.0)
    fleet.store.write(KIND, "box-gone", stream_documents.encode_records([]))
    fleet.store.write(KIND, "box-of-later", {"format": 2})
    await asyncio.sleep(125.0)
    assert [one.name for one in fleet.store.entries(KIND, "")] == [
        "box-of-later",
        stream_documents.SETTLED_NAME,
    ]
