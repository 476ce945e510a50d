"""Knowledge of the software version that began a stream."""

import asyncio
from collections.abc import Callable
import types
from typing import Any

from hypothesis import given
from hypothesis import strategies as st
import msgspec
import pytest

from martenjunction import timers
from martenjunction.decisions.boxes import stream_table
from martenjunction.routing.streams import origins
from martenjunction.routing.streams import queries
from martenjunction_lab import boxes
from martenjunction_lab import replica
from tests import gateway_requests as requests
from tests import routing_builders as builders

OLD = stream_table.StreamOrigin("s", "v1")
NEW = stream_table.StreamOrigin("s", "v2")


def key(number: int, caller: int = 0) -> stream_table.StreamKey:
    return stream_table.StreamKey(
        caller.to_bytes(8, "big"), number.to_bytes(16, "big")
    )


def test_origin_is_forgotten_after_its_lifetime() -> None:
    table = stream_table.StreamTable()
    table.record(key(1), OLD, 10.0)
    assert table.find(key(1), 9.9).origin == OLD  # type: ignore[union-attr]
    assert table.find(key(1), 10.0) is None
    table.expire(10.0)
    assert len(table) == 0


def test_id_that_began_two_streams_has_no_origin() -> None:
    table = stream_table.StreamTable()
    table.record(key(1), OLD, 10.0)
    table.record(key(1), NEW, 10.0)
    assert table.find(key(1), 1.0).origin is None  # type: ignore[union-attr]


def test_caller_with_many_streams_pushes_out_its_own(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(stream_table, "MAX_STREAMS", 8)
    table = stream_table.StreamTable()
    table.record(key(1, caller=1), OLD, 10.0)
    for number in range(2, 40):
        table.record(key(number, caller=2), NEW, 10.0)
    assert len(table) == 8
    assert table.find(key(1, caller=1), 1.0) is not None
    assert table.find(key(39, caller=2), 1.0) is not None


Basis = stream_table.Basis

findings = st.one_of(
    st.builds(
        stream_table.Finding,
        st.sampled_from([None, OLD, NEW]),
        st.just(Basis.RECORD),
    ),
    st.builds(
        stream_table.Finding,
        st.sampled_from([OLD, NEW]),
        st.sampled_from([Basis.SINGLE, Basis.SEEN]),
    ),
    st.sampled_from([stream_table.UNKNOWN, stream_table.AMBIGUOUS]),
)


@given(st.lists(findings, max_size=6))
def test_findings_that_contradict_each_other_tell_nothing(
    found: list[stream_table.Finding],
) -> None:
    result = stream_table.combine(found)
    deciding = [f for f in found if f.recorded] or [
        f for f in found if f.origin is not None
    ]
    origins = {f.origin for f in deciding}
    expected = origins.pop() if len(origins) == 1 else None
    if not any(f.recorded for f in found) and stream_table.AMBIGUOUS in found:
        expected = None
    assert result.origin == expected
    assert stream_table.combine(reversed(found)) == result
    if result.basis is Basis.SINGLE:
        assert any(f.basis is Basis.SINGLE for f in found)


def test_conclusion_does_not_outvote_a_box_that_knows_another_version() -> None:
    single = stream_table.Finding(OLD, Basis.SINGLE)
    for other in (
        stream_table.AMBIGUOUS,
        stream_table.Finding(NEW, Basis.SEEN),
    ):
        assert stream_table.combine([single, other]) == stream_table.AMBIGUOUS
    known = stream_table.Finding(OLD, Basis.RECORD)
    assert stream_table.combine([stream_table.AMBIGUOUS, known]) == known


class Line:
    """Boxes of which each is connected to the next one only."""

    def __init__(self, count: int, knows: dict[int, Any]) -> None:
        self.boxes = [f"box-{number}" for number in range(count)]
        self.asked = 0
        self._handlers: dict[tuple[str, type], Callable[..., None]] = {}
        self.queries = [
            self._queries(number, knows.get(number, stream_table.UNKNOWN))
            for number in range(count)
        ]

    def _queries(self, number: int, known: Any) -> queries.OriginQueries:
        box = self.boxes[number]
        linked = [
            self.boxes[n]
            for n in (number - 1, number + 1)
            if 0 <= n < len(self.boxes)
        ]

        def send(to: str, message: Any) -> bool:
            self.asked += 1
            handler = self._handlers[(to, type(message))]
            asyncio.get_running_loop().call_soon(handler, box, message)
            return True

        peers: Any = types.SimpleNamespace(
            boxes=lambda: linked,
            send=send,
            send_to=lambda to, m: [send(one, m) for one in to],
            subscribe=lambda kind, handler: self._handlers.update(
                {(box, kind): handler}
            ),
        )
        members: Any = types.SimpleNamespace(
            own=types.SimpleNamespace(box=box),
            live_members=lambda: [
                types.SimpleNamespace(box=name) for name in self.boxes
            ],
            is_full_mesh=False,
        )
        made = queries.OriginQueries(
            peers, members, timers.Timers(), lambda *_: known
        )
        made.start()
        return made


async def ask(line: Line) -> stream_table.Finding:
    answers = await line.queries[0].ask(
        key(1), builders.HOST, "/a/", stream_table.UNKNOWN
    )
    return answers.finding


async def test_boxes_pass_a_question_on_to_those_that_the_asker_lacks() -> None:
    recorded = stream_table.Finding(NEW, Basis.RECORD)
    concluded = stream_table.Finding(OLD, Basis.SINGLE)
    line = Line(5, {1: concluded, 4: recorded})
    assert await ask(line) == recorded


async def test_question_that_no_box_can_answer_ends_without_a_wait() -> None:
    line = Line(4, {})
    async with asyncio.timeout(queries.ANSWER_TIMEOUT_S / 2):
        assert await ask(line) == stream_table.UNKNOWN
    assert line.asked == 2 * 3


@pytest.mark.parametrize(
    ("deadline_ms", "wait_s", "status"),
    [("9000", 4.0, 200), ("9000", 9.5, 503), ("3000", 4.0, 503)],
)
@pytest.mark.simulated_time
async def test_record_lasts_as_long_as_the_client_may_take_its_stream_up(
    fleet: boxes.Boxes, deadline_ms: str, wait_s: float, status: int
) -> None:
    made = await two_versions(fleet)
    waits = {"Martenjunction-Deadline-Ms": deadline_ms}
    await requests.ask(fleet, "/digest/", "r1", **waits)
    [began] = [m for m in made if m.received]
    await asyncio.sleep(wait_s)
    taken_up = {"Resumes": "r1", "Last-Event-Id": "2"}
    head, _ = await requests.ask(fleet, "/digest/", "r9", **taken_up)
    assert head.status == status
    if status == 200:
        assert [m.id for m in made if len(m.received) == 2] == [began.id]


@pytest.mark.simulated_time
async def test_client_is_told_to_wait_where_nobody_can_learn_an_origin(
    fleet: boxes.Boxes,
) -> None:
    await two_versions(fleet)
    taken_up = {
        "Resumes": "other",
        "Last-Event-Id": "2",
        "Martenjunction-Deadline-Ms": "8000",
    }
    started, _ = await requests.ask(fleet, "/digest/", "r1", **taken_up)
    await asyncio.sleep(origins.START_S)
    running, _ = await requests.ask(fleet, "/digest/", "r2", **taken_up)
    assert [started.status, running.status] == [503, 503]
    assert float(started.get(b"retry-after") or 0.0) < 1.0
    assert float(running.get(b"retry-after") or 0.0) >= 8.0


async def two_versions(fleet: boxes.Boxes) -> list[replica.Replica]:
    """Adds an engine of each of two versions."""
    made = await requests.engines(fleet)
    fleet.record(made[1], builders.ENGINE, version="v2", seq=2, slots=64)
    box = fleet.gateways[0]
    await boxes.until(
        lambda: box.endpoint_list.entries[made[1].id].endpoint.version == "v2"
    )
    return made


@pytest.mark.parametrize(
    ("changes", "status"),
    [
        ({"Resumes": "r1", "Last-Event-Id": "2"}, 200),
        ({"Resumes": "r1"}, 200),
        ({"Last-Event-Id": "2"}, 503),
        ({"Resumes": "r2", "Last-Event-Id": "2"}, 503),
        ({"Resumes": "r" * 10_000, "Last-Event-Id": "2"}, 503),
        ({"Resumes": "", "Last-Event-Id": "2"}, 503),
        (
            {
                "Resumes": "r1",
                "Last-Event-Id": "2",
                "Authorization": "Bearer key-of-two",
            },
            503,
        ),
    ],
)
async def test_stream_is_taken_up_only_where_its_origin_is_known(
    fleet: boxes.Boxes, changes: dict[str, str], status: int
) -> None:
    made = await two_versions(fleet)
    await requests.ask(fleet, "/digest/", "r1")
    [began] = [m for m in made if m.received]
    head, body = await requests.ask(fleet, "/digest/", "r9", **changes)
    assert head.status == status
    if status == 200:
        assert [m.id for m in made if len(m.received) == 2] == [began.id]
    else:
        assert body == b"stream-unknown"
        assert float(head.get(b"retry-after") or 0.0) > 0.0


async def test_stream_whose_version_is_gone_is_refused_not_moved(
    fleet: boxes.Boxes,
) -> None:
    made = await two_versions(fleet)
    await requests.ask(fleet, "/digest/", "r1")
    [began] = [m for m in made if m.received]
    fleet.forget(began)
    box = fleet.gateways[0]
    await boxes.until(lambda: began.id not in box.endpoint_list.entries)
    taken_up = {"Resumes": "r1", "Last-Event-Id": "2"}
    head, _ = await requests.ask(fleet, "/digest/", "r9", **taken_up)
    assert head.status == 503
    assert requests.arrivals(made) == 1


async def test_copy_of_a_run_is_kept_at_its_version(
    fleet: boxes.Boxes,
) -> None:
    document = builders.config_document(9)
    document["services"][1]["engine"]["backups"] = True
    fleet.configure(document)
    await two_versions(fleet)
    box = fleet.gateways[0]
    await boxes.until(lambda: box.store_cache.version == 9)
    third = await fleet.add_replica(builders.ENGINE, slots=64)
    fleet.record(third, builders.ENGINE, version="v2", seq=2, slots=64)
    await boxes.until(
        lambda: (
            len(box.endpoint_list.entries) == len(fleet.replicas)
            and len(box.registry.selector.other_versions(builders.ENGINE, "v2"))
            == 1
        )
    )
    versions = {
        listed.endpoint.address: listed.endpoint.version
        for listed in box.endpoint_list.entries.values()
    }
    copies = []
    for number in range(12):
        await requests.ask(fleet, "/chat/", f"r{number}")
    for stand_in in fleet.replicas:
        for got in stand_in.received:
            copy = got.headers.get("martenjunction-kv-backup")
            copies.append((versions[stand_in.address], copy))
    assert {versions[copy] for began, copy in copies if copy} == {"v2"}
    assert {began for began, copy in copies if copy} == {"v2"}


async def test_endpoint_whose_version_changes_before_the_send_is_not_used(
    fleet: boxes.Boxes, monkeypatch: pytest.MonkeyPatch
) -> None:
    made = await requests.engines(fleet)
    box = fleet.gateways[0]

    def change_version(endpoint_id: str) -> None:
        listed = box.endpoint_list.entries[endpoint_id]
        changed = msgspec.structs.replace(listed.endpoint, version="v9")
        box.endpoint_list.apply_entry(changed, listed.revision)

    asked = requests.on_first_connection(monkeypatch, box, change_version)
    head, _ = await requests.ask(fleet, "/digest/")
    assert head.status == 200
    assert [m.id for m in made if m.received] == [asked[1]]
    assert asked[1] != asked[0]


async def test_box_that_stops_hands_its_records_over(
    fleet: boxes.Boxes,
) -> None:
    others = [await fleet.add_box(f"box-{number}") for number in (2, 3)]
    first = fleet.gateways[0]
    await boxes.until(lambda: len(first.peers.boxes()) == len(others))
    expires_at = first.timers.now() + 60.0
    first.origins._table.record(key(1), OLD, expires_at)
    assert [box.origins.count for box in others] == [0, 0]
    await first.leave()
    assert [box.origins.count for box in others] == [1, 1]
