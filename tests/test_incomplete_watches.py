"""Conclusions about streams that rest on an incomplete watch."""

import time
import types
from typing import Any

import msgspec

from martenjunction import metrics
from martenjunction.decisions.boxes import fleet_evidence
from martenjunction.decisions.boxes import served_versions
from martenjunction.decisions.boxes import settled_services
from martenjunction.decisions.boxes import stream_conclusions
from martenjunction.decisions.boxes import stream_table
from martenjunction.platform import store
from martenjunction.platform import stream_documents
from martenjunction.routing.streams import origins
from martenjunction.routing.streams import settled_record
from tests import routing_builders as builders
from tests import test_stream_conclusions as conclusions

Basis = stream_table.Basis
ROUTE = ("/a/", builders.ENGINE)
KEY = stream_table.StreamKey(bytes(8), bytes(16))
SETTLED = settled_services.Settled(1, {builders.ENGINE: "v1"})


class Box:
    """The origins of a box whose list of endpoints has a given age."""

    def __init__(
        self,
        first_start: bool = True,
        peers: tuple[str, ...] = (),
        full_mesh: bool = True,
    ) -> None:
        self.now = 0.0
        self.age_s = 0.1
        self.linked = list(peers)
        endpoint: Any = types.SimpleNamespace(
            service=builders.ENGINE, version="v1"
        )
        # What the store holds; None while it does not answer.
        self.stored: list[Any] | None = [endpoint]
        listed: Any = types.SimpleNamespace(
            has_listing=True,
            changes=1,
            take_versions=set,
            take_gap=lambda: False,
            entries={"e": types.SimpleNamespace(endpoint=endpoint)},
        )
        hub: Any = types.SimpleNamespace(
            subscribe=lambda *_: None,
            boxes=lambda: list(self.linked),
            send=lambda *_: None,
            send_to=lambda *_: None,
        )
        own = types.SimpleNamespace(box="own")
        members: Any = types.SimpleNamespace(
            own=own,
            is_full_mesh=full_mesh,
            live_members=lambda: [
                own,
                *(types.SimpleNamespace(box=name) for name in peers),
            ],
        )
        clock: Any = types.SimpleNamespace(
            now=lambda: self.now,
            subscribe=lambda *_: None,
            stall_adjusted_now=time.monotonic,
        )
        log: Any = types.SimpleNamespace(write=lambda *_, **__: None)
        self.origins = origins.StreamOrigins(
            listed,
            hub,
            members,
            clock,
            log,
            metrics.Metrics(),
            lambda: self.age_s,
            self.fresh_list,
            first_start=first_start,
        )
        self.origins.apply_config(conclusions.config(1, ROUTE))

    async def fresh_list(self) -> fleet_evidence.FreshList | None:
        if self.stored is None:
            return None
        return fleet_evidence.FreshList(
            frozenset((e.service, e.version) for e in self.stored), self.now
        )

    def run(self, until: float) -> None:
        while self.now < until:
            self.now += 0.5
            self.origins._check()

    def basis(self) -> Basis:
        return self.origins._find_locally(KEY, builders.HOST, "/a/b/").basis


def test_version_may_have_come_and_gone_while_the_list_was_old() -> None:
    box = Box()
    box.run(60.0)
    assert box.basis() is Basis.SINGLE
    assert box.origins.settled().versions
    box.age_s = 600.0
    box.run(660.0)
    assert box.basis() is Basis.SEEN
    assert not box.origins.settled().versions
    box.age_s = 0.1
    box.run(661.0)
    assert box.basis() is Basis.SEEN
    assert not box.origins.settled().versions


async def test_nothing_is_concluded_while_a_box_has_not_answered() -> None:
    box = Box(peers=("other",))
    box.run(60.0)
    answer = await box.origins.find(KEY, builders.HOST, "/a/b/")
    assert answer.origin is None
    assert not answer.is_final
    alone = Box()
    alone.run(60.0)
    answer = await alone.origins.find(KEY, builders.HOST, "/a/b/")
    assert answer.origin == stream_table.StreamOrigin(builders.ENGINE, "v1")


def test_nothing_is_concluded_before_the_records_are_read() -> None:
    box = Box()
    box.origins.is_restoring = lambda: True
    box.run(60.0)
    assert box.basis() is Basis.SEEN


def test_settled_services_that_were_asked_for_long_ago_are_not_used() -> None:
    for asked_at, basis in ((29.0, Basis.SINGLE), (0.0, Basis.SEEN)):
        box = Box(first_start=False)
        box.run(30.0)
        box.origins.restore_settled(SETTLED, asked_at)
        assert box.basis() is basis


def test_settled_services_of_an_earlier_era_are_not_used() -> None:
    client: Any = None
    log: Any = types.SimpleNamespace(write=lambda *_, **__: None)
    record = settled_record.SettledRecord(client, client, log)
    spec = stream_documents.encode_settled(SETTLED, 3, 1)
    for era, expected in ((1, SETTLED), (2, settled_services.NOTHING)):
        found = store.StoredObject(
            stream_documents.SETTLED_NAME,
            builders.rev(5, era),
            msgspec.json.encode(spec),
        )
        assert record.decode(found) == expected


def test_route_may_have_been_moved_and_back_in_a_gap_of_the_watch() -> None:
    made = stream_conclusions.StreamConclusions(first_start_at=0.0)
    listed: Any = [types.SimpleNamespace(service=builders.ENGINE, version="v1")]
    made.apply_config(conclusions.config(1, ROUTE), 0.0)
    made.look(listed, 0.0, 0.0)
    assert conclusions.conclude(made, "/a/", 0.0).basis is Basis.SINGLE
    made.look(listed, 600.0, 600.0)
    made.apply_config(conclusions.config(4, ROUTE), 600.0)
    assert conclusions.conclude(made, "/a/", 600.0).basis is Basis.SEEN
    for second in range(601, 600 + 3599):
        made.look(listed, float(second), float(second))
    assert conclusions.conclude(made, "/a/", 4198.0).basis is Basis.SEEN


def test_first_look_long_after_the_first_start_shows_nothing_before() -> None:
    watching = served_versions.ServedVersions(first_start_at=0.0)
    watching.look([conclusions.engine(1, "v1")], 300.0, 300.0)
    assert not watching.is_complete("s", 300.0)


async def test_nothing_is_concluded_by_a_box_that_can_ask_nobody() -> None:
    box = Box(peers=("other",), full_mesh=False)
    box.linked.clear()
    box.run(60.0)
    answer = await box.origins.find(KEY, builders.HOST, "/a/b/")
    assert answer.origin is None
    assert not answer.is_final


async def test_version_that_joined_since_the_list_was_known_is_not_missed() -> (
    None
):
    box = Box()
    box.run(60.0)
    joined: Any = types.SimpleNamespace(service=builders.ENGINE, version="v2")
    assert box.stored is not None
    box.stored.append(joined)
    answer = await box.origins.find(KEY, builders.HOST, "/a/b/")
    assert answer.origin is None


async def test_nothing_is_concluded_while_the_store_does_not_answer() -> None:
    box = Box()
    box.run(60.0)
    box.stored = None
    answer = await box.origins.find(KEY, builders.HOST, "/a/b/")
    assert answer.origin is None
    assert not answer.is_final


def test_looks_at_a_list_that_gets_older_hide_no_gap() -> None:
    box = Box()
    box.run(60.0)
    # No change reaches the box for 4.4 s. Its list counts as current for the
    # first 2.6 s, and the looks are 2 s apart.
    for age_s in (0.5, 1.0, 1.5, 2.0, 2.5, 3.0, 3.5, 4.0, 0.1):
        box.age_s = age_s
        box.run(box.now + 0.5)
    assert box.basis() is Basis.SEEN
