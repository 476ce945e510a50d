"""Tests of which engines are weighed for a request."""

import dataclasses
import random

from hypothesis import example
from hypothesis import given
from hypothesis import strategies as st
import pytest

from martenjunction.decisions.boxes import candidates
from martenjunction.decisions.boxes import endpoint_choice
from martenjunction.decisions.boxes import endpoint_loads
from martenjunction.decisions.boxes import endpoint_records

NOW = 1.0
SHARED = ("part", 4_000)
LONG = endpoint_records.Demand(
    "engines",
    (SHARED, ("own", 5_000)),
    9_000,
    "zone-a",
    True,
    True,
    shortest_pause_s=0.2,
    pause_s=1.0,
    peer_prefill_per_s=1e7,
)
SHORT = dataclasses.replace(LONG, parts=(("own", 500),), prompt_tokens=500)


def engine_records(count: int) -> list[endpoint_records.EndpointRecord]:
    return [
        endpoint_records.EndpointRecord(f"e{number}", "zone-a", 64, 100_000)
        for number in range(count)
    ]


def fill(record: endpoint_records.EndpointRecord) -> None:
    """Lets chats take all slots of an engine."""
    record.loads.add(endpoint_loads.LoadKey(0, False), record.slots, 0)


def queue_prompts(record: endpoint_records.EndpointRecord) -> None:
    """Lets an engine have four long prompts to read."""
    unread = 4 * LONG.prompt_tokens
    record.loads.add(endpoint_loads.LoadKey(0, True), 4, unread)


@given(
    count=st.integers(1, 40),
    holding=st.sets(st.integers(0, 39), max_size=5),
    reserved=st.sets(st.integers(0, 39), max_size=20),
    seed=st.integers(0, 1_000),
)
@example(count=2, holding=set(), reserved={0}, seed=1)
def test_a_sample_is_small_and_holds_all_that_hold_shared_parts(
    count: int, holding: set[int], reserved: set[int], seed: int
) -> None:
    records = engine_records(count)
    holders = {f"e{number}" for number in holding if number < count}
    for record in records:
        if record.id in holders:
            record.record_cached([SHARED])
    kept = {f"e{number}" for number in reserved}
    owner = records[seed % count].id
    weighed = candidates.sample(
        records, LONG, kept, owner, NOW, random.Random(seed)
    )
    ids = [record.id for record in weighed]
    assert len(set(ids)) == len(ids) >= 1
    assert holders | {owner} <= set(ids)
    drawn = set(ids) - holders - {owner}
    assert len(drawn) <= candidates.MIN_DRAWN
    if count <= candidates.MIN_DRAWN:
        # Nothing is drawn; a cost keeps long prompts off reserved engines.
        assert weighed == records
    elif len(kept & {record.id for record in records}) < count:
        # Long prompts are drawn for the engines that are not reserved.
        assert not drawn & kept


@pytest.mark.parametrize("count", [2, 3, 8])
def test_long_prompts_stay_off_reserved_engines(count: int) -> None:
    records = engine_records(count)
    reserved = endpoint_choice.reserved_for_short(records, LONG, NOW)
    assert reserved
    for record in records:
        if record.id not in reserved:
            queue_prompts(record)
    for seed in range(50):
        choice = endpoint_choice.choose(records, LONG, NOW, random.Random(seed))
        assert choice is not None and choice.record.id not in reserved


def test_all_engines_are_drawn_alike() -> None:
    records = engine_records(10)
    rng = random.Random(1)
    drawn = [
        record.id
        for _ in range(2_000)
        for record in candidates.sample(records, LONG, set(), None, NOW, rng)
    ]
    counts = [drawn.count(record.id) for record in records]
    assert max(counts) < 1.3 * min(counts)


def test_all_engines_are_weighed_where_other_boxes_send_little() -> None:
    records = engine_records(10)
    calm = dataclasses.replace(LONG, peer_prefill_per_s=1_000.0)
    sampled = candidates.sample(
        records, calm, set(), None, NOW, random.Random(1)
    )
    assert sampled == records


@given(
    reserved=st.integers(1, 20),
    others=st.integers(2, 20),
    full=st.sets(st.integers(0, 19)),
    seed=st.integers(0, 1_000),
)
def test_short_prompts_weigh_others_where_reserved_engines_have_no_free_slot(
    reserved: int, others: int, full: set[int], seed: int
) -> None:
    records = engine_records(reserved + others)
    kept = {record.id for record in records[:reserved]}
    for record in records[:reserved]:
        if int(record.id[1:]) in full:
            fill(record)
    weighed = candidates.sample(
        records, SHORT, kept, None, NOW, random.Random(seed)
    )
    meant = [record for record in weighed if record.id in kept]
    full_ones = [r for r in meant if not r.has_free_slot(NOW)]
    assert len(meant) == min(candidates.MIN_DRAWN, reserved)
    assert any(record.has_free_slot(NOW) for record in weighed)
    # Few are weighed, so that boxes with old loads do not choose the same one.
    assert len(weighed) == max(
        candidates.MIN_DRAWN, len(meant) + len(full_ones)
    )


def test_long_prompts_weigh_no_reserved_engine_where_others_are_full() -> None:
    records = engine_records(8)
    kept = {record.id for record in records[:4]}
    for record in records[4:]:
        fill(record)
    for seed in range(50):
        rng = random.Random(seed)
        weighed = candidates.sample(records, LONG, kept, None, NOW, rng)
        assert not kept & {record.id for record in weighed}


def test_engines_are_drawn_as_few_where_none_is_reserved_and_all_are_full() -> (
    None
):
    records = engine_records(8)
    for record in records:
        fill(record)
    for seed in range(50):
        rng = random.Random(seed)
        weighed = candidates.sample(records, SHORT, set(), None, NOW, rng)
        assert len(weighed) == candidates.MIN_DRAWN
