"""Conclusions on streams that are not certain, or that are refused needlessly.

Guards against versions that no look at the list shows, reads that do not show
what the store held, and counts that do not name the boxes that were heard.
"""

import asyncio
import json
import time
import types
from typing import Any

import msgspec
import pytest

from martenjunction import errors
from martenjunction import revisions
from martenjunction.decisions.boxes import config_freshness
from martenjunction.decisions.boxes import endpoint_list
from martenjunction.decisions.boxes import store_readers
from martenjunction.decisions.boxes import stream_table
from martenjunction.platform import documents
from martenjunction.platform import store
from martenjunction.routing.store import fresh_reading
from martenjunction.routing.streams import messages
from martenjunction.routing.streams import queries
from martenjunction_lab import platform
from martenjunction_lab import versioned_engines
from martenjunction_lab.out_of_step import fleet
from martenjunction_lab.out_of_step import trials
from martenjunction_lab.simulated import loop as simulated_loop
from tests import routing_builders as builders
from tests import test_incomplete_watches as watches

Basis = stream_table.Basis
KEY = watches.KEY
PATH = "/a/b/"

# A large configuration, and the link of a small box, in bytes a second.
LARGE_CONFIG = 368_000
LINK_BYTES_S = 625_000.0

# Endpoints of the largest site, and calls that its store takes in a second.
ENDPOINTS = 12_000
STORE_CALLS_PER_S = 2_000

# Streams of a version from which on a short and a long run show anything.
MIN_STREAMS = 10
MIN_STREAMS_LONG = 5


def entry(version: str) -> bytes:
    """Returns the entry of an endpoint."""
    return msgspec.json.encode(
        {
            "address": "10.0.0.1:80",
            "service": builders.ENGINE,
            "zone": "zone-a",
            "slots": 6,
            "state": "ready",
            "version": version,
            "cold_left_ms": 0,
            "seq": 1,
        }
    )


class StoreCalls:
    """Answers reads of the endpoints and the configuration."""

    def __init__(self) -> None:
        self.entries = {"e1": entry("v1")}
        self.delay_s = 0.0
        self.lists = 0
        # While it is set, calls that arrive get no answer.
        self.is_silent = False
        # Revisions of entries that were written after the others.
        self.revisions: dict[str, int] = {}
        self.calls: dict[str, int] = {}

    async def list(self, kind: str) -> store.Listing:
        assert kind == documents.ENDPOINT_KIND
        self.lists += 1
        await self._wait()
        return store.Listing(
            tuple(
                store.StoredObject(
                    name, builders.rev(self.revisions.get(name, 1)), spec
                )
                for name, spec in self.entries.items()
            ),
            builders.rev(9),
        )

    async def watch(
        self, kind: str, after: revisions.Revision, wait_s: float
    ) -> store.Changes:
        assert kind == documents.ENDPOINT_KIND
        await self._wait()
        return store.Changes((), builders.rev(9))

    async def get(self, kind: str, name: str) -> store.StoredObject | None:
        await self._wait()
        spec = msgspec.json.encode(builders.config_document())
        return store.StoredObject(name, builders.rev(2), spec)

    async def _wait(self) -> None:
        if self.is_silent:
            await asyncio.sleep(store.CALL_TIMEOUT_S)
            raise errors.PlatformUnavailableError("no response")
        await asyncio.sleep(self.delay_s)


class Reading:
    """What a box of a fleet reads anew."""

    def __init__(self, boxes: int) -> None:
        self.calls = StoreCalls()
        client: Any = self.calls
        self.listed = endpoint_list.EndpointList()
        self.listed.apply_listing([], builders.rev(5), time.monotonic())
        freshness = config_freshness.ConfigFreshness(5.0, 0.25, 2.0)
        cache: Any = types.SimpleNamespace(
            apply_config=lambda _, asked_at, __: freshness.confirm(asked_at)
        )
        members: Any = types.SimpleNamespace(live_snapshot=lambda: range(boxes))
        clock: Any = types.SimpleNamespace(now=time.monotonic)
        log: Any = types.SimpleNamespace(write=lambda *_, **__: None)
        self.fresh = fresh_reading.FreshReading(
            client, cache, self.listed, freshness, members, clock, log
        )


async def test_fresh_reads_hide_no_gap_of_the_list() -> None:
    """Reads now and then are no watch of what comes and goes between them."""
    box = watches.Box()
    box.run(60.0)
    # No change reaches the box for 4.4 s; streams are taken up meanwhile.
    for age_s in (0.5, 1.0, 1.5, 2.0, 2.5, 3.0, 3.5, 4.0, 0.1):
        box.age_s = age_s
        box.run(box.now + 0.5)
        if age_s in (1.5, 2.5):
            await box.origins.find(KEY, builders.HOST, PATH)
    assert box.basis() is Basis.SEEN


def test_version_that_is_listed_between_two_looks_counts() -> None:
    """A version may begin streams as soon as it is listed."""
    box = watches.Box()
    listed = endpoint_list.EndpointList()
    old, new = (
        msgspec.structs.replace(
            builders.endpoint(f"e-{version}", service=builders.ENGINE),
            version=version,
        )
        for version in ("v1", "v2")
    )
    listed.apply_listing([(old, builders.rev(1))], builders.rev(1), 0.0)
    box.origins._listed = listed
    box.run(60.0)
    assert box.basis() is Basis.SINGLE
    listed.apply_entry(new, builders.rev(2))
    listed.advance(builders.rev(2))
    listed.apply_removal(new.entry, builders.rev(3), box.now)
    listed.advance(builders.rev(3))
    box.run(61.0)
    assert box.basis() is not Basis.SINGLE


def test_fleet_with_a_large_configuration_concludes_in_calm() -> None:
    """Readers with a small link confirm it less often."""
    interval_s = store_readers.confirm_interval_s(LARGE_CONFIG, LINK_BYTES_S)
    box = watches.Box()
    seen = []
    confirmed_at = 0.0
    while box.now < 60.0:
        if box.now - confirmed_at >= interval_s:
            confirmed_at = box.now
        box.age_s = box.now - confirmed_at + 0.1
        box.origins._check()
        seen.append(box.basis())
        box.now += 0.1
    assert seen[-100:].count(Basis.SINGLE) >= 50


@pytest.mark.parametrize("boxes", [36, 87, 195])
async def test_store_that_answers_at_once_is_waited_for(boxes: int) -> None:
    """Take-ups come one after the other, as after the end of a box."""
    reading = Reading(boxes)
    waits = []
    for _ in range(20):
        waits.append(asyncio.ensure_future(reading.fresh.read()))
        await asyncio.sleep(0.1)
    told = [await each for each in waits]
    await reading.fresh.stop()
    assert sum(each is None for each in told) == 0


async def test_entry_that_cannot_be_decoded_is_not_left_out() -> None:
    """Its endpoint may have begun streams while others could decode it."""
    reading = Reading(1)
    fresh = await reading.fresh.read()
    assert fresh is not None
    assert {version for _, version in fresh.versions} == {"v1"}
    reading.calls.entries["e2"] = b'{"address": 7}'
    reading.calls.revisions["e2"] = 7
    assert await reading.fresh.read() is None
    # This box knew of it before, when it was as odd; it spoils nothing else.
    reading.calls.revisions["e2"] = 4
    assert await reading.fresh.read() is not None


async def test_first_answer_after_an_outage_may_lack_entries() -> None:
    """A box notes an outage as over with its first answer, and waits then."""
    reading = Reading(1)
    now = time.monotonic()
    reading.listed.contact.note_answered(now - 10.0, now - 10.0)
    reading.listed.contact.note_failed(now - 9.0)
    assert reading.listed.contact.is_lost
    assert await reading.fresh.read() is None


async def test_read_that_hangs_holds_up_no_later_one() -> None:
    """The store is back, but a call that it lost has not timed out yet."""
    reading = Reading(1)
    reading.calls.is_silent = True
    lost = asyncio.ensure_future(reading.fresh.read())
    await asyncio.sleep(0.1)
    reading.calls.is_silent = False
    assert await reading.fresh.read() is not None
    await lost
    await reading.fresh.stop()


class Asked:
    """A box with some links that is asked, or asks, where a stream began."""

    def __init__(self, linked: list[str], live: int) -> None:
        self.sent: list[tuple[str, Any]] = []
        self.on: dict[type, Any] = {}
        hub: Any = types.SimpleNamespace(
            subscribe=self.on.__setitem__,
            boxes=lambda: linked,
            send=lambda box, message: self.sent.append((box, message)),
            send_to=lambda to, message: self.sent.extend(
                (box, message) for box in to
            ),
        )
        own = types.SimpleNamespace(box="own")
        members: Any = types.SimpleNamespace(
            own=own,
            live_members=lambda: [own] * live,
            live_snapshot=lambda: [own] * live,
        )
        clock: Any = types.SimpleNamespace(stall_adjusted_now=time.monotonic)
        self.queries = queries.OriginQueries(
            hub, members, clock, lambda *_: stream_table.UNKNOWN
        )
        self.queries.start()


def ask(number: int, box: str = "asker") -> messages.AskStreamOrigin:
    """Returns a question that was passed on once."""
    return messages.AskStreamOrigin(
        box, number, bytes(8), bytes(16), builders.HOST, PATH, 1
    )


def test_box_counts_once_however_many_questions_come_between() -> None:
    """A zone that ends has its streams taken up within a second."""
    box = Asked(["a"], live=2)
    box.on[messages.AskStreamOrigin]("a", ask(1))
    for number in range(2, 3 + queries.MAX_REMEMBERED):
        box.on[messages.AskStreamOrigin]("a", ask(number))
    box.on[messages.AskStreamOrigin]("a", ask(1))
    counted = [m.heard for _, m in box.sent if m.number == 1]
    assert sum(counted) == 1


async def test_box_that_passes_a_question_on_tells_of_its_gap() -> None:
    """The asking box hears of a box that another one asked in vain."""
    box = Asked(["asker", "silent"], live=4)
    box.on[messages.AskStreamOrigin]("asker", ask(1))
    while len(box.sent) < 2:
        await asyncio.sleep(0.01)
    [(to, further), (back, answer)] = box.sent
    assert (to, further.hops) == ("silent", 2)
    assert (back, answer.heard, answer.has_gap) == ("asker", 1, True)


async def test_box_that_leaves_does_not_stand_for_a_live_one() -> None:
    """Boxes that leave answer still, and do not count as live."""
    # Live are this box, "a" and one without a link; "leaving" is not live.
    box = Asked(["a", "leaving"], live=3)
    waits = asyncio.ensure_future(
        box.queries.ask(KEY, builders.HOST, PATH, stream_table.UNKNOWN)
    )
    await asyncio.sleep(0)
    for name, question in list(box.sent):
        box.on[messages.StreamOriginAnswer](
            name,
            messages.StreamOriginAnswer(
                question.box,
                question.number,
                Basis.SEEN,
                False,
                "",
                "",
                1,
                False,
            ),
        )
    answers = await waits
    assert not answers.heard.covers(3)


async def test_reads_of_a_fleet_stay_within_the_calls_of_the_store(
    stand_in: platform.Platform,
) -> None:
    """A list of a large site comes in many pages, each of which is a call."""
    for number in range(ENDPOINTS):
        stand_in.write(
            documents.ENDPOINT_KIND, f"n{number:05d}", json.loads(entry("v1"))
        )
    reading = Reading(1)
    known = builders.rev(stand_in.version)
    reading.listed.apply_listing([], known, time.monotonic())
    client = store.StoreClient(stand_in.address)
    reading.fresh._client = client
    await reading.fresh._read(time.monotonic())
    client.close()
    a_read = sum(client.calls.values())
    for count in (1, 36, 195, 540):
        interval_s = fresh_reading.interval_s(count, reading.fresh._calls)
        assert count * a_read / interval_s <= STORE_CALLS_PER_S


class RolledBackFleet(fleet.OutOfStepFleet):
    """Boxes before engines whose release is rolled back.

    Attributes:
        settled: What each box holds for certain after the trial.
    """

    settled: list[dict[str, str]]

    async def _remove(
        self, joined: list[versioned_engines.VersionedReplica]
    ) -> None:
        await asyncio.sleep(self.trial.stays_s)
        for one in joined:
            self.boxes.forget(one)
        for one in self.made:
            if one not in joined:
                self.record(one)

    async def settle(self) -> None:
        await super().settle()
        self.settled = [
            dict(box.origins.settled().versions) for box in self.boxes.gateways
        ]


def test_version_that_came_and_left_during_a_cut_is_not_ruled_out() -> None:
    """The box that was out reads the list anew when others are silent."""
    trial = trials.Trial(
        boxes=4, out=trials.Out.LINKS, lead_s=0.02, stays_s=0.9, seed=1
    )
    made = RolledBackFleet(trial)
    seen = simulated_loop.run(made.run(), trial.seed)
    assert seen.begun[fleet.NEW] >= MIN_STREAMS
    assert not any(made.settled)


def test_box_that_removed_the_others_does_not_conclude_alone() -> None:
    """It removes the entries of boxes that it does not hear for a while."""
    trial = trials.Trial(
        boxes=4,
        out=trials.Out.LINKS,
        lead_s=0.02,
        stays_s=0.9,
        out_s=38.0,
        deadline_s=40.0,
        per_s=10.0,
        seed=1,
    )
    seen = simulated_loop.run(RolledBackFleet(trial).run(), trial.seed)
    assert seen.begun[fleet.NEW] >= MIN_STREAMS_LONG
    assert seen.joined == 0
