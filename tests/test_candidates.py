"""Tests of which engines are weighed for a request."""

import dataclasses
import random

from hypothesis import given
from hypothesis import strategies as st

from martenjunction.decisions.boxes import candidates
from martenjunction.decisions.boxes import endpoint_records

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


def engine_records(count: int) -> list[endpoint_records.EndpointRecord]:
    return [
        endpoint_records.EndpointRecord(f"e{number}", "zone-a", 64, 100_000)
        for number in range(count)
    ]


@given(
    count=st.integers(1, 40),
    holding=st.sets(st.integers(0, 39), max_size=5),
    reserved=st.sets(st.integers(0, 39), max_size=20),
    seed=st.integers(0, 1_000),
)
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
    weighed = candidates.sample(records, LONG, kept, owner, random.Random(seed))
    ids = [record.id for record in weighed]
    assert len(set(ids)) == len(ids) >= 1
    assert holders | {owner} <= set(ids)
    drawn = set(ids) - holders - {owner}
    assert len(drawn) <= candidates.MIN_DRAWN
    if len(kept & {record.id for record in records}) < count:
        # Long prompts are drawn for the engines that are not reserved.
        assert not drawn & kept


def test_all_engines_are_drawn_alike() -> None:
    records = engine_records(10)
    rng = random.Random(1)
    drawn = [
        record.id
        for _ in range(2_000)
        for record in candidates.sample(records, LONG, set(), None, rng)
    ]
    counts = [drawn.count(record.id) for record in records]
    assert max(counts) < 1.3 * min(counts)


def test_all_engines_are_weighed_where_other_boxes_send_little() -> None:
    records = engine_records(10)
    calm = dataclasses.replace(LONG, peer_prefill_per_s=1_000.0)
    sampled = candidates.sample(records, calm, set(), None, random.Random(1))
    assert sampled == records
