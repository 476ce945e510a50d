"""A long list of endpoints leaves the event loop to others.

A list of 12,000 entries was decoded and applied in one turn of the event loop,
for half a second and more.
"""

import asyncio
from collections.abc import Callable
import gc
import json
import random
from typing import Any

import hypothesis
from hypothesis import strategies as st
import pytest

from martenjunction import revisions
from martenjunction.decisions.boxes import config_freshness
from martenjunction.decisions.boxes import endpoint_list
from martenjunction.platform import documents
from martenjunction.routing.access import admission
from martenjunction.routing.log import decision_log
from martenjunction.routing.messages import peer_messages
from martenjunction.routing.store import listing_turns
from martenjunction.routing.store import store_cache
from tests import endpoint_changes
from tests import routing_builders as builders
from tests import turn_counts

ENTRIES = 3 * listing_turns.ENTRIES_PER_TURN + 7


def rev(number: int, era: int = 1) -> revisions.Revision:
    return revisions.Revision(era, number)


def row(
    name: str, number: int, era: int = 1, **changes: Any
) -> listing_turns.Row:
    document = {
        "service": builders.PLAIN,
        "address": "10.0.0.1:80",
        "zone": "zone-a",
        "version": "v1",
        "slots": 6,
        "state": "ready",
        "cold_left_ms": 0,
        "seq": number,
        **changes,
    }
    return name, rev(number, era), json.dumps(document).encode()


def rows(
    numbers: range, revision: int, era: int = 1, **changes: Any
) -> list[listing_turns.Row]:
    return [row(f"e{i:05d}", revision, era, **changes) for i in numbers]


@pytest.fixture
def listed() -> endpoint_list.EndpointList:
    return endpoint_list.EndpointList()


@pytest.fixture
def cache(listed: endpoint_list.EndpointList) -> store_cache.StoreCache:
    freshness = config_freshness.ConfigFreshness(5.0, 0.25, 2.0)
    return store_cache.StoreCache(
        admission.Admitter(freshness, True, random.Random(1)),
        listed,
        freshness,
        decision_log.DecisionLog(lambda: 0.0),
        lambda: 0.0,
    )


async def seen_beside(
    task: "asyncio.Task[None]", look: Callable[[], object]
) -> list[object]:
    """Returns what others see in each iteration until a task is done."""
    seen = [look()]
    while not task.done():
        await asyncio.sleep(0)
        seen.append(look())
    await task
    return seen


# Counts, not times: what one turn decodes and applies.
async def test_few_entries_are_handled_in_one_turn(
    cache: store_cache.StoreCache, monkeypatch: pytest.MonkeyPatch
) -> None:
    decoded = turn_counts.TurnCount()
    applied = turn_counts.TurnCount()
    monkeypatch.setattr(
        documents,
        "decode_endpoint",
        decoded.counting(documents.decode_endpoint),
    )
    monkeypatch.setattr(
        endpoint_list.EndpointList,
        "apply_entry",
        _counting_method(applied, endpoint_list.EndpointList.apply_entry),
    )
    with decoded.start(), applied.start():
        await cache.apply_listing(rows(range(ENTRIES), 3), rev(9), "store")
    assert (decoded.total, applied.total) == (ENTRIES, ENTRIES)
    assert decoded.longest <= listing_turns.ENTRIES_PER_TURN
    assert applied.longest <= listing_turns.ENTRIES_PER_TURN


async def test_entries_that_became_unreadable_are_handled_in_several_turns(
    cache: store_cache.StoreCache, monkeypatch: pytest.MonkeyPatch
) -> None:
    await cache.apply_listing(rows(range(ENTRIES), 3), rev(9), "store")
    applied = turn_counts.TurnCount()
    method = endpoint_list.EndpointList.apply_unparsable
    monkeypatch.setattr(
        endpoint_list.EndpointList,
        "apply_unparsable",
        _counting_method(applied, method),
    )
    odd = rows(range(ENTRIES), 11, address="nowhere")
    with applied.start():
        await cache.apply_listing(odd, rev(12), "store")
    assert applied.total == ENTRIES
    assert applied.longest <= listing_turns.ENTRIES_PER_TURN


# A full collection of garbage looked at four objects for each entry.
async def test_entries_make_collections_of_garbage_no_longer(
    cache: store_cache.StoreCache,
) -> None:
    gc.collect()
    before = len(gc.get_objects())
    await cache.apply_listing(rows(range(ENTRIES), 3), rev(9), "store")
    gc.collect()
    assert len(gc.get_objects()) - before < ENTRIES // 10


async def test_many_missing_entries_are_removed_in_several_turns(
    cache: store_cache.StoreCache,
    listed: endpoint_list.EndpointList,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    await cache.apply_listing(rows(range(ENTRIES), 3), rev(9), "store")
    removed = turn_counts.TurnCount()
    monkeypatch.setattr(
        endpoint_list.EndpointList,
        "_apply_missing",
        _counting_method(removed, endpoint_list.EndpointList._apply_missing),
    )
    with removed.start():
        await cache.apply_listing([], rev(10), "store")
    assert removed.total == ENTRIES
    assert removed.longest <= listing_turns.ENTRIES_PER_TURN
    assert not listed.entries


def _counting_method(
    counts: turn_counts.TurnCount, method: Callable[..., Any]
) -> Callable[..., Any]:
    def call(self: object, *args: Any, **kwargs: Any) -> Any:
        counts.add()
        return method(self, *args, **kwargs)

    return call


# Guards against a list that others see in part: no endpoint may be missing, or
# be listed in two starts, in between.
async def test_others_see_a_list_whole_or_not_at_all(
    cache: store_cache.StoreCache, listed: endpoint_list.EndpointList
) -> None:
    await cache.apply_listing(rows(range(ENTRIES), 3, born=1), rev(9), "store")

    def look() -> object:
        return (listed.revision, tuple(listed.ready_ids()), len(cache.entries))

    before = look()
    task = asyncio.create_task(
        cache.apply_listing(
            rows(range(5, ENTRIES + 5), 11, born=2), rev(12), "store"
        )
    )
    seen = await seen_beside(task, look)
    after = look()
    assert set(seen) == {before, after}
    assert seen.count(before) >= 2 * ENTRIES // listing_turns.ENTRIES_PER_TURN
    assert len(listed.ready_ids()) == ENTRIES


def _leave(cache: store_cache.StoreCache, listed: Any) -> None:
    listed.mark_leaving("e00003")


def _report(cache: store_cache.StoreCache, listed: Any) -> None:
    cache.apply_report(
        peer_messages.EndpointsRemoved(("e00003",), ("withdrawn",), rev(10))
    )


def _newer_view(cache: store_cache.StoreCache, listed: Any) -> None:
    ready = tuple(i for i in sorted(listed.entries) if i != "e00003")
    cache.apply_view(
        peer_messages.View(
            1, 0, 0, 0, rev(20), True, ready, (), (), (), (), (), ()
        ),
        "box-2",
    )


# Guards against a draft that overtakes what others applied meanwhile, in any
# of the turns that the list takes.
@pytest.mark.parametrize("change", [_leave, _report, _newer_view])
@pytest.mark.parametrize("turn", range(0, 13, 2))
async def test_changes_that_arrive_meanwhile_are_kept(
    cache: store_cache.StoreCache,
    listed: endpoint_list.EndpointList,
    change: Callable[[store_cache.StoreCache, Any], None],
    turn: int,
) -> None:
    await cache.apply_listing(rows(range(ENTRIES), 3), rev(5), "store")
    task = asyncio.create_task(
        cache.apply_listing(rows(range(ENTRIES), 3), rev(9), "store")
    )
    for _ in range(turn):
        await asyncio.sleep(0)
    assert not task.done()
    change(cache, listed)
    await task
    assert not listed.is_ready("e00003")
    assert len(listed.ready_ids()) == ENTRIES - 1
    assert listed.revision >= rev(9)


# Changes that never pause may not keep a list out for good.
async def test_list_is_applied_beside_changes_in_each_turn(
    cache: store_cache.StoreCache, listed: endpoint_list.EndpointList
) -> None:
    task = asyncio.create_task(
        cache.apply_listing(rows(range(ENTRIES), 3), rev(9), "store")
    )
    number = 0
    while not task.done():
        number += 1
        listed.mark_leaving(f"other-{number}")
        await asyncio.sleep(0)
    await task
    assert len(listed.ready_ids()) == ENTRIES


async def test_cancelled_list_changes_nothing(
    cache: store_cache.StoreCache, listed: endpoint_list.EndpointList
) -> None:
    await cache.apply_listing(rows(range(ENTRIES), 3), rev(9), "store")
    before = endpoint_changes.state(listed)
    newer = rows(range(5, ENTRIES), 1, era=2, address="nowhere")
    for turns in range(1000):
        task = asyncio.create_task(
            cache.apply_listing(newer, rev(2, era=2), "store")
        )
        for _ in range(turns):
            await asyncio.sleep(0)
        if task.done():
            break
        task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await task
        assert endpoint_changes.state(listed) == before
        assert (cache.unreadable, cache.store_returns) == (0, 0)
        assert len(cache.entries) == ENTRIES
    assert turns >= ENTRIES // listing_turns.ENTRIES_PER_TURN
    assert cache.store_returns == 1
    assert cache.unreadable == ENTRIES - 5


# A draft has to give what the same change gives without one.
@hypothesis.given(
    st.lists(endpoint_changes.CHANGES, max_size=12), endpoint_changes.CHANGES
)
def test_adopted_draft_has_the_state_of_a_direct_change(
    before: list[tuple[object, ...]], change: tuple[object, ...]
) -> None:
    known = endpoint_list.EndpointList()
    direct = endpoint_list.EndpointList()
    for earlier in before:
        endpoint_changes.apply(known, earlier)
        endpoint_changes.apply(direct, earlier)
    unchanged = endpoint_changes.state(known)
    draft = known.draft()
    assert endpoint_changes.apply(draft, change) == endpoint_changes.apply(
        direct, change
    )
    assert endpoint_changes.state(known) == unchanged
    assert known.adopt(draft)
    assert endpoint_changes.state(known) == endpoint_changes.state(direct)
    assert known.digest() == direct.digest()


# Each change has to be noticed, or the draft would undo it.
@hypothesis.given(
    st.lists(endpoint_changes.CHANGES, max_size=12), endpoint_changes.CHANGES
)
def test_draft_of_a_list_that_changed_is_not_adopted(
    before: list[tuple[object, ...]], change: tuple[object, ...]
) -> None:
    known = endpoint_list.EndpointList()
    for earlier in before:
        endpoint_changes.apply(known, earlier)
    unchanged = endpoint_changes.state(known)
    draft = known.draft()
    endpoint_changes.apply(known, change)
    changed = endpoint_changes.state(known)
    if changed != unchanged:
        assert not known.adopt(draft)
        assert endpoint_changes.state(known) == changed


# The turn that replaced 12,000 entries released them as well: 25 ms.
async def test_replaced_entries_outlast_the_turn(
    listed: endpoint_list.EndpointList,
) -> None:
    listed.mark_leaving("e00001")
    replaced = listed.entries
    decoded = listing_turns.decode_at_once(rows(range(3), 3))
    applied = await listing_turns.apply(listed, decoded, rev(9), lambda: 0.0)
    assert applied is not None
    assert applied.replaced.entries is replaced
    assert len(listed.entries) == 3
