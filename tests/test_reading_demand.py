"""Tests of the division of engines by prefill demand."""

import random

from hypothesis import given
from hypothesis import strategies as st

from martenjunction.decisions.boxes import endpoint_choice
from martenjunction.decisions.boxes import prefill_demand
from tests import routing_builders as builders

RATES = prefill_demand.PrefillRates


def reserved_count(
    count: int, asked: prefill_demand.PrefillRates, running: int
) -> int:
    """Returns how many of some engines are reserved for short streams."""
    records = [builders.record(f"e{number}") for number in range(count)]
    demand = builders.demand(prefill_rates=asked)
    records[0].loads.add(demand.load_key, running, 0)
    return len(endpoint_choice.reserved_for_short(records, demand, 10.0))


def test_bursts_of_long_prompts_get_engines_by_demand() -> None:
    # Guards against reserving one engine per 14 short streams regardless of the
    # demand of long prompts. With 30 short streams, two of four engines were
    # reserved and nearly idle, while the others faced 50,000 tokens per second.
    # In a burst and after the loss of an engine, most long prompts were refused
    # or late.
    assert reserved_count(4, RATES(8_000.0, 50_000.0), running=30) == 1
    assert reserved_count(3, RATES(8_000.0, 50_000.0), running=30) == 1
    assert reserved_count(5, RATES(18_000.0, 23_000.0), running=30) == 2


def test_short_streams_find_slots_on_reserved_engines() -> None:
    # Engines have 64 slots. Beyond three fifths of them, short streams need a
    # second engine, however low their prefill demand is.
    assert reserved_count(5, RATES(1_000.0, 50_000.0), running=38) == 1
    assert reserved_count(5, RATES(1_000.0, 50_000.0), running=39) == 2


@given(
    st.integers(2, 60),
    st.floats(0, 1e6),
    st.floats(0, 1e6),
    st.integers(0, 5000),
)
def test_both_kinds_always_have_an_engine(
    count: int, short: float, long: float, running: int
) -> None:
    assert 1 <= reserved_count(count, RATES(short, long), running) <= count / 2


def test_refused_requests_count_as_demand() -> None:
    demand = prefill_demand.PrefillDemand()
    for number in range(60):
        demand.record_request(3_000, True, 10.0 + number * 0.1)
        demand.record_request(600, False, 10.0 + number * 0.1)
    rates = demand.own_rates(16.0)
    assert 24_000 < rates.long < 32_000
    assert 4_800 < rates.short < 6_400
    assert demand.own_rates(40.0).long < 30


def test_demand_of_peers_is_added_and_expires() -> None:
    demand = prefill_demand.PrefillDemand()
    demand.update_peer("b", RATES(10.0, 20.0), 10.0)
    demand.update_peer("c", RATES(1.0, 2.0), 10.0)
    demand.update_peer("b", RATES(30.0, 40.0), 10.5)
    assert demand.total_rates(10.6) == RATES(31.0, 42.0)
    assert demand.total_rates(11.8) == RATES(30.0, 40.0)


def test_boxes_with_equal_totals_reserve_the_same_engines() -> None:
    records = [builders.record(f"e{number}") for number in range(9)]
    demand = builders.demand(prefill_rates=RATES(9_000.0, 30_000.0))
    first = endpoint_choice.reserved_for_short(records, demand, 10.0)
    random.Random(3).shuffle(records)
    assert endpoint_choice.reserved_for_short(records, demand, 10.0) == first
