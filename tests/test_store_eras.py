"""Handling of revisions after the store is restored from an older copy.

The restored store reuses revision numbers. These tests guard against comparing
numbers across eras, which drops updates of the new era as stale and accepts
restored entries of ended endpoints as new.
"""

import asyncio
from collections.abc import AsyncIterator
import json
import random
from typing import Any

import msgspec
import pytest

from martenjunction import errors
from martenjunction import model
from martenjunction import revisions
from martenjunction.decisions.boxes import config_freshness
from martenjunction.decisions.boxes import endpoint_list
from martenjunction.decisions.boxes import restored_entries
from martenjunction.platform import store
from martenjunction.routing.access import admission
from martenjunction.routing.log import decision_log
from martenjunction.routing.store import store_cache
from martenjunction_lab import platform
from tests import routing_builders as builders

DRAINING = model.EndpointState.DRAINING
rev = builders.rev


def test_revisions_are_ordered_by_era_before_number() -> None:
    assert rev(3, era=2) > rev(200, era=1) > rev(199, era=1)


def test_revision_cannot_be_compared_with_a_number() -> None:
    revision: Any = rev(3)
    with pytest.raises(TypeError):
        assert revision > 2


# The list of endpoints.


def list_after_restore(*ids: str) -> endpoint_list.EndpointList:
    """Returns a list from era 1 for which era 2 began at revision 30."""
    made = endpoint_list.EndpointList()
    made.apply_listing(
        [(builders.endpoint(i), rev(40)) for i in ids], rev(50), now=0.0
    )
    made.begin_era(rev(30, era=2), now=10.0)
    return made


def copy_entries(*ids: str) -> list[tuple[model.Endpoint, revisions.Revision]]:
    return [(builders.endpoint(i), rev(20, era=2)) for i in ids]


def test_update_of_a_later_era_applies_despite_a_lower_number() -> None:
    known = list_after_restore("e1")
    known.apply_listing(copy_entries("e1"), rev(30, era=2), now=10.0)
    known.apply_entry(builders.endpoint("e2"), rev(31, era=2))
    assert known.ready_ids() == ["e1", "e2"]
    left = known.apply_entry(builders.endpoint("e1", DRAINING), rev(32, era=2))
    assert left == ["e1"]


def test_view_of_an_earlier_era_is_ignored() -> None:
    known = list_after_restore("e1")
    known.apply_listing(copy_entries("e1"), rev(30, era=2), now=10.0)
    assert known.apply_peer_view([], set(), rev(99), 10.0) == []
    assert known.ready_ids() == ["e1"]


def test_entry_missing_from_the_copy_is_kept_if_written_again() -> None:
    known = list_after_restore("e1", "e2")
    assert (
        known.apply_listing(copy_entries("e1"), rev(30, era=2), now=10.0) == []
    )
    assert known.ready_ids() == ["e1", "e2"]
    known.apply_entry(builders.endpoint("e2"), rev(31, era=2))
    assert known.expire(13.0) == []
    assert known.ready_ids() == ["e1", "e2"]


def test_entry_missing_from_the_copy_is_dropped_after_its_grace() -> None:
    known = list_after_restore("e1", "e2")
    known.apply_listing(copy_entries("e1"), rev(30, era=2), now=10.0)
    assert known.expire(11.9) == []
    assert known.expire(12.1) == ["e2"]


def test_view_right_after_a_restore_ends_no_endpoint_at_once() -> None:
    known = list_after_restore("e1", "e2")
    assert (
        known.apply_peer_view(copy_entries("e1"), {"e1"}, rev(30, era=2), 10.0)
        == []
    )
    assert known.expire(12.1) == ["e2"]


def test_draining_endpoint_stays_draining_if_the_copy_says_ready() -> None:
    known = list_after_restore("e1")
    known.mark_draining("e1", rev(50))
    known.apply_listing(copy_entries("e1"), rev(30, era=2), now=10.0)
    assert known.ready_ids() == []


def list_with_unconfirmed_entry() -> endpoint_list.EndpointList:
    """Returns a list for which e2 ended but is in the restored copy."""
    known = endpoint_list.EndpointList()
    entries = [(builders.endpoint(i), rev(20)) for i in ("e1", "e2")]
    known.apply_listing(entries, rev(25), now=0.0)
    known.apply_removal("e2", rev(40), 1.0)
    known.begin_era(rev(30, era=2), now=10.0)
    known.apply_listing(copy_entries("e1", "e2"), rev(30, era=2), now=10.0)
    return known


def test_ended_endpoint_is_not_restored_by_the_copy() -> None:
    known = list_with_unconfirmed_entry()
    assert known.ready_ids() == ["e1"]
    known.apply_removal("e2", rev(33, era=2), 13.6)
    known.expire(10.0 + restored_entries.CONFIRMATION_S)
    assert known.ready_ids() == ["e1"]


def test_ended_endpoint_is_not_restored_by_a_peer() -> None:
    known = list_with_unconfirmed_entry()
    known.apply_peer_view(
        copy_entries("e1", "e2"), {"e1", "e2"}, rev(31, era=2), 11.0
    )
    assert known.ready_ids() == ["e1"]
    known.apply_peer_view([], {"e1"}, rev(32, era=2), 12.0)
    known.expire(10.0 + restored_entries.CONFIRMATION_S)
    assert known.ready_ids() == ["e1"]


def test_restored_entry_is_accepted_once_written_again() -> None:
    known = list_with_unconfirmed_entry()
    known.apply_entry(builders.endpoint("e2"), rev(31, era=2))
    assert known.ready_ids() == ["e1", "e2"]


def test_restored_entry_is_accepted_after_the_confirmation_time() -> None:
    known = list_with_unconfirmed_entry()
    known.expire(9.9 + restored_entries.CONFIRMATION_S)
    assert known.ready_ids() == ["e1"]
    known.expire(10.0 + restored_entries.CONFIRMATION_S)
    assert known.ready_ids() == ["e1", "e2"]


def test_earlier_start_is_not_restored_by_the_copy() -> None:
    def start(born: int) -> model.Endpoint:
        made = builders.endpoint(f"e1/{born}")
        return msgspec.structs.replace(made, name="e1")

    known = endpoint_list.EndpointList()
    known.apply_listing([(start(1), rev(20))], rev(25), now=0.0)
    known.apply_entry(start(2), rev(40))
    known.begin_era(rev(30, era=2), now=10.0)
    known.apply_listing([(start(1), rev(20, era=2))], rev(30, era=2), now=10.0)
    assert known.ready_ids() == ["e1/2"]
    known.apply_entry(start(2), rev(31, era=2))
    known.expire(20.0)
    assert known.ready_ids() == ["e1/2"]


def test_leave_of_an_earlier_era_applies_to_a_restored_entry() -> None:
    known = list_after_restore("e1")
    known.apply_listing(copy_entries("e1"), rev(30, era=2), now=10.0)
    assert known.mark_draining("e1", rev(50))


def test_leave_of_an_earlier_era_is_ignored_after_a_new_write() -> None:
    known = list_after_restore("e1")
    known.apply_listing(copy_entries("e1"), rev(30, era=2), now=10.0)
    known.apply_entry(builders.endpoint("e1"), rev(31, era=2))
    assert not known.mark_draining("e1", rev(50))


# The configuration.


def encode_config(version: int) -> bytes:
    return json.dumps(builders.config_document(version)).encode()


def test_older_configuration_is_not_a_confirmation() -> None:
    freshness = config_freshness.ConfigFreshness(5.0, 0.25, 2.0)
    log = decision_log.DecisionLog(lambda: 0.0)
    known = store_cache.StoreCache(
        admission.Admitter(freshness, True, random.Random(1)),
        endpoint_list.EndpointList(),
        freshness,
        log,
        lambda: 0.0,
    )
    known.apply_config(encode_config(9), 1.0, "store")
    known.apply_config(encode_config(7), 2.0, "store")
    assert (known.version, freshness.confirmed_at) == (9, 1.0)
    known.apply_config(encode_config(9), 3.0, "store")
    assert freshness.confirmed_at == 3.0


# Calls to the store.


@pytest.fixture
async def api(stand_in: platform.Platform) -> AsyncIterator[store.StoreClient]:
    made = store.StoreClient(stand_in.address)
    yield made
    made.close()


async def test_era_is_read_from_every_answer_including_refusals(
    stand_in: platform.Platform, api: store.StoreClient
) -> None:
    eras: list[int] = []
    api.on_era_change(eras.append)
    await api.list("k")
    assert eras == []
    stand_in.go_back(stand_in.copy())
    stand_in.faults = platform.PlatformFaults(down=True)
    with pytest.raises(errors.PlatformRefusedError):
        await api.list("k")
    assert eras == [2]
    stand_in.faults = platform.PlatformFaults()
    await api.list("k")
    assert eras == [2]


async def test_answer_of_an_earlier_era_is_rejected(
    stand_in: platform.Platform, api: store.StoreClient
) -> None:
    await api.list("k")
    api.update_era(2)
    with pytest.raises(errors.PlatformUnavailableError):
        await api.list("k")
    stand_in.go_back(stand_in.copy())
    assert (await api.list("k")).revision.era == 2


async def test_watch_from_an_earlier_era_has_lost_its_history(
    stand_in: platform.Platform, api: store.StoreClient
) -> None:
    copy = stand_in.copy()
    for number in range(3):
        stand_in.write("k", "a", number)
    listing = await api.list("k")
    stand_in.go_back(copy)
    # The store reuses the number and passes it, so a watch that ignores the era
    # misses the change of `b`.
    stand_in.write("k", "b", 0)
    for number in range(5):
        stand_in.write("k", "a", number)
    with pytest.raises(errors.HistoryLostError):
        await api.watch("k", listing.revision, 1.0)


async def test_condition_on_a_revision_of_an_earlier_era_is_not_sent(
    stand_in: platform.Platform, api: store.StoreClient
) -> None:
    made = await api.create("k", "a", 1)
    stand_in.go_back(stand_in.copy())
    await api.list("k")
    writes = stand_in.calls["write"]
    with pytest.raises(errors.VersionConflictError):
        await api.delete("k", "a", made.revision)
    with pytest.raises(errors.VersionConflictError):
        await api.replace("k", "a", 2, made.revision)
    assert stand_in.calls["write"] == writes
    assert stand_in.find("k", "a") is not None


async def test_list_with_pages_of_two_eras_is_rejected(
    stand_in: platform.Platform,
    api: store.StoreClient,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    for number in range(platform.PAGE + 1):
        stand_in.write("k", f"n{number:05d}", number)
    entries = stand_in.entries

    def restore_after_first_page(kind: str, after: str) -> Any:
        found = entries(kind, after)
        if not after:
            asyncio.get_running_loop().call_soon(
                stand_in.go_back, stand_in.copy()
            )
        return found

    monkeypatch.setattr(stand_in, "entries", restore_after_first_page)
    with pytest.raises(errors.PlatformRefusedError):
        await api.list("k")
