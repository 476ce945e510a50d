"""A box that knows of a newer configuration that it does not have yet."""

import dataclasses
import random

import pytest

from martenjunction.decisions.boxes import config_freshness
from martenjunction.decisions.boxes import store_readers
from martenjunction.platform import headers
from martenjunction.routing.access import admission
from martenjunction.routing.messages import peer_messages
from martenjunction.routing.store import config_documents
from martenjunction_lab import boxes
from martenjunction_lab.spread import fleet as spread
from tests import gateway_requests as requests
from tests import routing_builders as builders

CHANGE_S = 2.0
SERVED_S = CHANGE_S * config_freshness.MAX_LAG_FRACTION


def freshness() -> config_freshness.ConfigFreshness:
    return config_freshness.ConfigFreshness(5.0, 0.25, CHANGE_S)


def facts(key: str = builders.KEY) -> headers.RequestMetadata:
    return headers.decode_request(
        [
            (b"Host", builders.HOST.encode()),
            (b"Authorization", f"Bearer {key}".encode()),
        ]
    )


def test_box_lags_until_it_has_the_newest_version() -> None:
    known = freshness()
    assert known.note_newer_version(8, 1.0)
    assert not known.note_newer_version(8, 1.5)
    assert known.note_newer_version(9, 1.6)
    assert not known.is_lagging(0.9 + SERVED_S)
    assert known.is_lagging(1.1 + SERVED_S)
    assert known.note_applied_version(8, 3.0) == pytest.approx(2.0)
    assert known.lag_s(3.0) == pytest.approx(1.4)
    known.note_applied_version(9, 3.1)
    assert not known.is_lagging(100.0)


def test_version_known_only_to_a_lost_box_does_not_stop_serving() -> None:
    known = freshness()
    known.note_newer_version(9, 0.0)
    known.drop_versions_above(above=8)
    assert not known.is_lagging(100.0)


def admitter(known: config_freshness.ConfigFreshness) -> admission.Admitter:
    made = admission.Admitter(known, False, random.Random(1))
    made.activate(builders.config(7))
    return made


def test_lagging_box_refuses_requests() -> None:
    # Guards against serving requests with revoked keys: unless keys fail
    # closed, nothing else stops a box that has lagged for seconds and knows it
    # from its peers.
    known = freshness()
    judge = admitter(known)
    admitted = judge.admit(facts(), "/safe/x", 0.0)
    known.note_newer_version(8, 0.0)
    late = SERVED_S + 0.1
    with pytest.raises(admission.RefusalError) as refusal:
        judge.admit(facts(), "/safe/x", late)
    assert refusal.value.status == 503
    assert refusal.value.retry_after is not None
    assert judge.still_allowed(admitted, 0.0, SERVED_S)
    assert not judge.still_allowed(admitted, 0.0, late)


@pytest.mark.parametrize(
    "changes",
    [
        {"routes": []},
        {"routes": [builders.route("safe", "/safe/", service=builders.ENGINE)]},
        {"tenants": []},
    ],
    ids=["route gone", "route moved", "key gone"],
)
def test_waiting_request_is_checked_against_the_new_configuration(
    changes: dict[str, object],
) -> None:
    # Guards against ignoring a change of the route that takes effect while a
    # request waits in its box, which was observed to take up to 0.9 s.
    judge = admitter(freshness())
    admitted = judge.admit(facts(), "/safe/x", 0.0)
    judge.activate(builders.config(8, **changes))
    assert not judge.still_allowed(admitted, 0.0, 0.5)


def test_waiting_request_proceeds_if_its_route_is_unchanged() -> None:
    judge = admitter(freshness())
    admitted = judge.admit(facts(), "/safe/x", 0.0)
    judge.activate(builders.config(8))
    assert judge.still_allowed(admitted, 0.0, 0.5)


# Deltas between configuration documents.


def make_documents(*versions: int) -> config_documents.ConfigDocuments:
    made = config_documents.ConfigDocuments()
    for version in versions:
        made.add(version, spread.document(version, 60))
    return made


def test_box_that_lacks_few_changes_gets_a_delta() -> None:
    update = make_documents(5, 6, 7).update_for(6)
    assert update is not None
    assert (update.version, update.base) == (7, 6)
    assert make_documents(6).apply(update) == spread.document(7, 60)
    assert make_documents(5).apply(update) is None


def test_box_that_lacks_many_changes_gets_the_full_document() -> None:
    update = make_documents(*range(1, 9)).update_for(2)
    assert update is not None
    assert update.base == config_documents.NO_BASE
    assert make_documents().apply(update) == spread.document(8, 60)
    assert make_documents(8).update_for(8) is None


def test_delta_to_another_document_of_that_version_is_rejected() -> None:
    update = make_documents(5, 6).update_for(5)
    assert update is not None
    other = config_documents.ConfigDocuments()
    other.add(5, spread.document(5, 61))
    with pytest.raises(config_documents.errors.PeerError):
        other.apply(update)


async def test_newer_configuration_is_applied_from_any_peer(
    fleet: boxes.Boxes,
) -> None:
    box = fleet.gateways[0]
    await boxes.until(lambda: box.store_cache.version == 7)
    spec = spread.document(9, 3)
    newer = config_documents.ConfigDocuments()
    newer.add(9, spec)
    update = newer.update_for(0)
    assert update is not None
    broken = dataclasses.replace(update, delta=b"rubbish")
    box.sync._on_config_update("box-2", broken)
    assert box.store_cache.version == 7
    box.sync._on_config_update("box-2", update)
    assert box.store_cache.version == 9
    stale = peer_messages.ConfigUpdate(8, 0, 0, b"")
    box.sync._on_config_update("box-2", stale)
    assert box.store_cache.version == 9


async def test_box_whose_document_differs_requests_the_full_one(
    fleet: boxes.Boxes, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against requesting a delta to a document that the box lacks.
    box = fleet.gateways[0]
    await boxes.until(lambda: box.store_cache.version == 7)
    asked: list[peer_messages.AskView] = []

    def send(peer: str, message: peer_messages.AskView) -> bool:
        asked.append(message)
        return True

    monkeypatch.setattr(box.sync._peers, "send", send)
    other = make_documents(7, 8)
    update = other.update_for(7)
    assert update is not None
    box.sync._on_config_update("box-2", update)
    assert [message.version for message in asked] == [0]
    whole = other.update_for(0)
    assert whole is not None
    box.sync._on_config_update("box-2", whole)
    assert box.store_cache.version == 8
    box.sync._query("box-3")
    assert asked[-1].version == 8


async def test_lagging_box_reports_that_it_is_not_ready(
    fleet: boxes.Boxes,
) -> None:
    await requests.two_plain(fleet)
    box = fleet.gateways[0]
    box.freshness.note_newer_version(99, box.timers.now() - CHANGE_S)
    assert box.freshness.is_lagging(box.timers.now())
    assert not box.dump()["ready"]


# Election of the reader, and its interval.


def test_box_with_the_widest_link_reads() -> None:
    # Guards against electing a reader without regard to its bandwidth: a box
    # with 5 Mbit/s would have to read 370 kB every 0.6 s.
    wide = store_readers.PeerReaderState("wide", True, 0.1, 12_500)
    thin = [
        store_readers.PeerReaderState(f"b{n}", False, 0.1, 625)
        for n in range(20)
    ]
    own = store_readers.ReaderRole("own", 625)
    assert not own.decide([wide, *thin], 0.1, 0.0)
    assert not own.is_first
    widest = store_readers.ReaderRole("own", 12_500)
    widest.decide(thin, 0.1, 0.0)
    assert widest.is_first


def test_large_documents_are_read_less_often_over_slow_links() -> None:
    pause = store_readers.confirm_interval_s
    assert pause(15_000, 625_000.0) == store_readers.CONFIRM_INTERVAL_S
    assert pause(370_000, 12_500_000.0) == store_readers.CONFIRM_INTERVAL_S
    assert pause(370_000, 1_250_000.0) == pytest.approx(1.48)
    assert pause(4_000_000, 625_000.0) == store_readers.MAX_CONFIRM_INTERVAL_S
