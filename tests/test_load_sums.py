"""Sums of loads, and when they are passed on."""

import dataclasses

from hypothesis import given
from hypothesis import strategies as st
import pytest

from martenjunction import errors
from martenjunction.decisions.boxes import endpoint_loads
from martenjunction.decisions.boxes import load_sums
from martenjunction.decisions.boxes import prefill_demand
from martenjunction.decisions.boxes import sum_wave
from martenjunction.peers import codec
from martenjunction.routing.messages import load_messages

Load = endpoint_loads.Load
LONG = endpoint_loads.LoadKey(2, True)
SHORT = endpoint_loads.LoadKey(0, False)


def sums(running: int = 1, priority: int = 5) -> load_sums.LoadSums:
    """Returns the load of a box with some requests at one engine."""
    return load_sums.LoadSums(
        {(1, LONG): Load(running, 100 * running), (2, SHORT): Load(1, 0)},
        {1: 50.0 * running},
        {"engines": prefill_demand.PrefillRates(10.0, 20.0)},
        {"engines": [load_sums.Estimate(priority, 40_000, 900)]},
    )


def test_total_adds_up_and_leaves_its_parts_alone() -> None:
    parts = [sums(1, 1), sums(2, 2), sums(3, 3)]
    whole = load_sums.total(parts)
    assert whole.loads[1, LONG] == Load(6, 600)
    assert whole.loads[2, SHORT] == Load(3, 0)
    assert whole.sent_per_s == {1: 300.0}
    assert whole.demand["engines"] == prefill_demand.PrefillRates(30.0, 60.0)
    assert [e.priority for e in whole.estimates["engines"]] == [1, 2, 3]
    assert parts == [sums(1, 1), sums(2, 2), sums(3, 3)]


def test_own_part_is_taken_out() -> None:
    whole = load_sums.total([sums(1), sums(2)])
    rest = whole.without(sums(1))
    assert rest.loads == sums(2).loads
    assert rest.sent_per_s == {1: 100.0}
    # What began after the total was made does not make it negative.
    assert whole.without(sums(9)).loads == {(2, SHORT): Load(1, 0)}


def test_estimates_are_drawn_alike_in_any_order() -> None:
    parts = [sums(1, priority) for priority in range(100)]
    forward = load_sums.total(parts)
    backward = load_sums.total([load_sums.total(parts[50:]), *parts[:50]])
    drawn = forward.estimates["engines"]
    assert drawn == backward.estimates["engines"]
    assert len(drawn) == load_sums.MAX_ESTIMATES


def test_size_of_a_sum_does_not_grow_with_the_boxes() -> None:
    one = codec.encode_batch([load_messages.encode_sum(sums(), 0)])
    many = load_sums.total(sums(1, priority) for priority in range(500))
    data = codec.encode_batch([load_messages.encode_total(many)])
    assert len(data) < len(one) + 16 * load_sums.MAX_ESTIMATES + 32


@given(
    st.dictionaries(
        st.tuples(
            st.integers(0, 2**64 - 1),
            st.builds(endpoint_loads.LoadKey, st.integers(0, 9), st.booleans()),
        ),
        st.builds(Load, st.integers(0, 99), st.integers(0, 10**6)),
        max_size=12,
    )
)
def test_sums_round_trip(
    loads: dict[load_sums.RowKey, endpoint_loads.Load],
) -> None:
    sent = dataclasses.replace(sums(), loads=loads)
    message = load_messages.encode_sum(sent, 3)
    [received] = codec.decode_batch(codec.encode_batch([message]))
    assert received.height == 3
    assert load_messages.decode(received) == sent


@pytest.mark.parametrize(
    "changes",
    [
        {"height": -1},
        {"height": 10**6},
        {"row_counts": (1,)},
        {"row_counts": (2, 2)},
        {"row_counts": (3, -1)},
        {"running": (1, -1)},
        {"running": (1,)},
        {"backlog": (0, 2**60)},
        {"sent_per_s": (1, -2)},
        {"services": ()},
        {"estimate_services": (4,)},
        {"estimates": ((1, 2, -3),)},
    ],
)
def test_message_that_cannot_be_is_rejected(changes: dict[str, object]) -> None:
    message = load_messages.encode_sum(sums(), 0)
    with pytest.raises(errors.PeerError):
        load_messages.decode(dataclasses.replace(message, **changes))  # type: ignore[arg-type]


# When sums are passed on.


def test_box_without_children_tells_its_sum_once_a_period() -> None:
    wave = sum_wave.SumWave(0.0)
    assert not wave.is_due(0.1)
    assert wave.is_due(sum_wave.PERIOD_S)
    wave.take(sums(), sum_wave.PERIOD_S)
    assert not wave.is_due(2 * sum_wave.PERIOD_S - 0.01)
    wave.record_total(0.4)
    assert not wave.is_due(0.5)
    assert wave.is_due(0.41 + sum_wave.PERIOD_S)


def test_box_waits_for_its_children_but_not_for_long() -> None:
    wave = sum_wave.SumWave(0.0)
    for box in ("a", "b"):
        wave.record_sum(box, sums(), 0, 0.0)
    wave.record_total(0.1)
    wave.record_sum("a", sums(2), 0, 0.4)
    assert not wave.is_due(0.41)
    late = 0.1 + sum_wave.PERIOD_S + sum_wave.LATE_S
    assert wave.is_due(late + 0.01)
    wave.record_sum("b", sums(2), 0, 0.42)
    assert wave.is_due(0.42)
    assert wave.take(sums(), 0.42).loads[1, LONG].running == 5


def test_sum_of_a_child_that_is_gone_expires() -> None:
    wave = sum_wave.SumWave(0.0)
    wave.record_sum("a", sums(5), 0, 0.0)
    assert wave.take(sums(1), 1.0).loads[1, LONG].running == 6
    later = sum_wave.SUM_LIFETIME_S + 0.1
    assert wave.take(sums(1), later).loads[1, LONG].running == 1
    wave.record_sum("b", sums(5), 0, later)
    wave.remove("b")
    assert wave.take(sums(1), later).loads[1, LONG].running == 1


def test_box_without_total_tells_again_and_serves_its_children() -> None:
    wave = sum_wave.SumWave(0.0)
    wave.take(sums(), 0.3)
    assert wave.is_due(0.31 + sum_wave.RESEND_S)
    assert not wave.has_lost_parent(1.0)
    assert wave.has_lost_parent(sum_wave.PARENT_LOST_S + 0.1)
