"""Origins of streams that are kept outside the boxes."""

import dataclasses
import math
from typing import Any

from hypothesis import given
from hypothesis import strategies as st
import msgspec
import pytest

from martenjunction import errors
from martenjunction.decisions.boxes import abandoned_objects
from martenjunction.decisions.boxes import origin_archive
from martenjunction.decisions.boxes import settled_services
from martenjunction.decisions.boxes import stream_table
from martenjunction.platform import stream_documents
from tests import routing_builders as builders

LIFETIME_S = 60.0
BOXES = 87
INTERVAL_S = BOXES / 40.0
LINK_BYTES_S = 125e6

Settled = settled_services.Settled


def key(number: int, caller: int = 0) -> stream_table.StreamKey:
    return stream_table.StreamKey(bytes([caller] * 8), number.to_bytes(16))


def origin(version: str, service: str = "s") -> stream_table.StreamOrigin:
    return stream_table.StreamOrigin(service, version)


def make_archive(
    mixed: bool = True, **changes: Any
) -> origin_archive.OriginArchive:
    made = origin_archive.OriginArchive(
        lambda service: mixed, 0.5, LINK_BYTES_S, **changes
    )
    made.restore([], None)
    return made


def record(
    number: int, version: str, expires_at: float, caller: int = 0
) -> stream_table.StreamRecord:
    return stream_table.StreamRecord(
        key(number, caller), origin(version), expires_at
    )


@dataclasses.dataclass
class World:
    """A box before a store in which unanswered writes may be done late."""

    now: float = 100.0
    spec: bytes | None = None
    revision: int = 0
    written: int = 0
    begun: dict[stream_table.StreamKey, tuple[str, float]] = dataclasses.field(
        default_factory=dict
    )
    acknowledged: set[stream_table.StreamKey] = dataclasses.field(
        default_factory=set
    )
    late: list[origin_archive.Write] = dataclasses.field(default_factory=list)

    def __post_init__(self) -> None:
        self.restart()

    def restart(self) -> None:
        self.table = stream_table.StreamTable()
        self.archive = make_archive()
        self.read()

    def read(self) -> None:
        rows = (
            []
            if self.spec is None
            else stream_documents.decode_records(self.spec)
        )
        records = [
            self.table.record(r.key, r.origin, self.now + r.left_ms / 1000)
            for r in rows
        ]
        # What was read has lasted, whatever this box was told of its write.
        self.acknowledged |= {r.key for r in rows}
        revision = builders.rev(self.revision) if self.spec else None
        self.archive.restore(records, revision)

    def begin(self, number: int, version: str) -> None:
        if key(number) not in self.begun:
            expires_at = self.now + LIFETIME_S
            self.begun[key(number)] = (version, expires_at)
            made = self.table.record(key(number), origin(version), expires_at)
            self.archive.add(made)

    def apply(self, call: origin_archive.Write) -> bool:
        expected = call.revision and call.revision.number
        if expected != (self.revision if self.spec else None):
            return False
        document = stream_documents.encode_records(call.records)
        self.spec = msgspec.json.encode(document)
        self.written += 1
        self.revision = self.written
        return True

    def step(self, seconds: float, result: str) -> None:
        self.now += seconds
        if self.archive.needs_read:
            self.read()
        call = self.archive.poll(BOXES, self.now)
        if isinstance(call, origin_archive.Clear):
            self.spec = None
            self.archive.cleared()
        elif call is None:
            return
        elif result == "refused":
            self.archive.failed(BOXES, self.now)
        elif result == "unknown":
            self.late.append(call)
            self.archive.failed(BOXES, self.now)
        elif not self.apply(call):
            self.archive.conflicted()
        else:
            self.archive.written(builders.rev(self.revision))
            self.acknowledged |= {r.key for r in call.records}

    def check(self) -> None:
        for made, (version, expires_at) in self.begun.items():
            found = self.table.find(made, self.now)
            if made in self.acknowledged and expires_at > self.now:
                assert found is not None
            assert found is None or found.origin == origin(version)


steps = st.one_of(
    st.tuples(
        st.just("begin"), st.integers(0, 30), st.sampled_from(["v1", "v2"])
    ),
    st.tuples(
        st.just("step"),
        st.floats(0.0, 4.0),
        st.sampled_from(["written", "written", "refused", "unknown"]),
    ),
    st.tuples(st.just("late")),
    st.tuples(st.just("crash")),
)


@given(st.lists(steps, min_size=30, max_size=80))
def test_acknowledged_origins_survive_late_writes_and_crashes(
    order: list[tuple[Any, ...]],
) -> None:
    world = World()
    for what, *arguments in order:
        if what == "begin":
            world.begin(*arguments)
        elif what == "step":
            world.step(*arguments)
        elif what == "late" and world.late:
            world.apply(world.late.pop(0))
        elif what == "crash":
            world.restart()
            world.check()
    for _ in range(4):
        world.step(0.0, "written")
        world.step(INTERVAL_S, "written")
        world.step(origin_archive.MAX_BACKOFF_S, "written")
    for made, (_, expires_at) in world.begun.items():
        known = world.table.find(made, world.now) is not None
        assert (
            not known or expires_at <= world.now or (made in world.acknowledged)
        )
    world.restart()
    world.check()


@given(
    st.lists(st.tuples(st.floats(0.0, 0.5), st.sampled_from("wfc"))),
    st.integers(1, 600),
)
def test_writes_stay_within_their_part_of_the_rate(
    calls: list[tuple[float, str]], boxes: int
) -> None:
    archive = make_archive()
    now, times = 100.0, []
    for number, (seconds, result) in enumerate(calls):
        now += seconds
        archive.add(record(number, "v1", now + LIFETIME_S))
        if archive.poll(boxes, now) is None:
            continue
        times.append(now)
        if result == "f":
            archive.failed(boxes, now)
        else:
            archive.written(builders.rev(number))
    interval_s = max(boxes / 40.0, 0.25)
    assert all(
        later - earlier >= interval_s - 1e-6
        for earlier, later in zip(times, times[1:], strict=False)
    )


@given(
    st.lists(
        st.tuples(st.integers(0, 3), st.text(max_size=9)),
        min_size=60,
        max_size=120,
    )
)
def test_object_stays_within_its_bound_and_keeps_the_newest(
    begun: list[tuple[int, str]],
) -> None:
    archive = make_archive(max_bytes=1000)
    for number, (caller, version) in enumerate(begun):
        archive.add(record(number, version, 99.0, caller))
    archive.poll(1, 0.0)
    call = archive.poll(1, 1.0)
    assert isinstance(call, origin_archive.Write)
    document = stream_documents.encode_records(call.records)
    assert len(msgspec.json.encode(document)) <= 1000
    assert len(call.records) + archive.dropped == len(begun)
    assert call.records[-1].key.stream == (len(begun) - 1).to_bytes(16)


def test_nothing_is_written_while_one_version_serves_alone() -> None:
    archive = make_archive(mixed=False)
    archive.add(record(1, "v1", 99.0))
    assert [archive.poll(1, float(at)) for at in range(9)] == [None] * 9


def test_object_is_cleared_once_when_its_records_have_expired() -> None:
    archive = make_archive()
    archive.add(record(1, "v1", 5.0))
    archive.poll(1, 0.0)
    assert isinstance(archive.poll(1, 1.0), origin_archive.Write)
    archive.written(builders.rev(3))
    assert archive.poll(1, 4.0) is None
    assert archive.poll(1, 6.0) == origin_archive.Clear(builders.rev(3))
    archive.cleared()
    assert archive.poll(1, 9.0) is None


def test_objects_of_ended_boxes_are_removed_after_their_lifetimes() -> None:
    abandoned = abandoned_objects.AbandonedObjects()
    objects = {
        "live": (builders.rev(1), 20.0),
        "ended": (builders.rev(2), 20.0),
        "unreadable": (builders.rev(3), math.inf),
    }
    assert not abandoned.look(objects, {"live"}, 0.0)
    assert not abandoned.look(objects, {"live"}, 60.0)
    assert abandoned.look(objects, {"live"}, 81.0) == {"ended": builders.rev(2)}
    objects["ended"] = (builders.rev(9), 20.0)
    assert not abandoned.look(objects, {"live"}, 90.0)


GOOD = stream_documents.encode_records(
    [origin_archive.ArchivedRecord(key(1), origin("v1"), 900)]
)


@pytest.mark.parametrize(
    "changes",
    [
        {"format": 2},
        {"streams": "AAAA"},
        {"streams": "\u00e9"},
        {"streams": "A" * 1_400_000},
        {"origin_of": [1]},
        {"origin_of": [-2]},
        {"caller_of": [-1]},
        {"left_ms": []},
        {"left_ms": [10**9]},
        {"left_ms": ["900"]},
        {"origins": [["s" * 300, "v1"]]},
        {"origins": None},
    ],
)
def test_bad_record_names_nothing(changes: dict[str, Any]) -> None:
    spec = msgspec.json.encode({**GOOD, **changes})
    with pytest.raises(errors.PlatformError):
        stream_documents.decode_records(spec)
    cut = msgspec.json.encode(GOOD)[:-9]
    with pytest.raises(errors.PlatformError):
        stream_documents.decode_records(cut)


@dataclasses.dataclass
class SettledWorld:
    """Boxes of which one writes, before a store that does some writes late."""

    now: float = 0.0
    stored: tuple[Settled, int] = (settled_services.NOTHING, 0)
    revision: int = 0
    late: list[settled_services.Write] = dataclasses.field(default_factory=list)
    services: settled_services.SettledServices = dataclasses.field(
        default_factory=settled_services.SettledServices
    )

    def can_apply(self, call: settled_services.Write) -> bool:
        return (call.revision.number if call.revision else 0) == self.revision

    def apply(self, call: settled_services.Write) -> bool:
        if not self.can_apply(call):
            return False
        if self.stored != (call.settled, call.number):
            self.stored = (call.settled, call.number)
            self.revision += 1
        return True

    def run(self, wanted: Settled, answers: bool) -> None:
        while call := self.services.poll(wanted, self.now):
            if isinstance(call, settled_services.Read):
                expected = builders.rev(self.revision)
                read_at = expected if self.revision else None
                self.services.read(*self.stored, read_at)
            elif not answers:
                self.late.append(call)
                self.services.failed(self.now)
            elif self.apply(call):
                self.services.written(builders.rev(self.revision))
            else:
                self.services.conflicted()

    def check(self, wanted: Settled) -> None:
        """Checks what holds once the first box has nothing to write."""
        settled, _ = self.stored
        assert settled.config_version == wanted.config_version
        assert settled.versions.items() <= wanted.versions.items()
        assert not any(self.can_apply(call) for call in self.late)


@given(
    st.lists(
        st.tuples(
            st.sampled_from([1, 1, 1, 2]),
            st.sampled_from(["v1", "v1", "v2", ""]),
            st.sampled_from(["answer", "answer", "lose", "late", "leave"]),
        ),
        min_size=20,
        max_size=60,
    )
)
def test_service_that_is_taken_out_stays_out_despite_late_writes(
    order: list[tuple[int, str, str]],
) -> None:
    world = SettledWorld()
    for config, version, what in order:
        world.now += settled_services.MAX_BACKOFF_S + 0.1
        wanted = Settled(config, {"s": version} if version else {})
        if what == "leave":
            world.services = settled_services.SettledServices()
        elif what == "late" and world.late:
            world.apply(world.late.pop(0))
        world.run(wanted, what != "lose")
        if what != "lose":
            world.check(wanted)


def test_change_of_configuration_takes_all_services_out() -> None:
    world = SettledWorld(now=9.0)
    world.run(Settled(1, {"s": "v1"}), True)
    world.now += settled_services.ADD_DELAY_S
    world.run(Settled(1, {"s": "v1"}), True)
    assert world.stored[0] == Settled(1, {"s": "v1"})
    world.run(Settled(2, {"s": "v1"}), True)
    assert world.stored[0] == Settled(2, {})
