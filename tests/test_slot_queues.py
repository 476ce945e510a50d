"""Requests that wait for a slot of an engine, behind more urgent ones.

Guards against a request that gets nothing behind more urgent ones at the
engines meant for it, while less urgent ones begin at others.
"""

import random

import pytest

from martenjunction.decisions.boxes import candidates
from martenjunction.decisions.boxes import endpoint_loads
from martenjunction.decisions.boxes import endpoint_records
from martenjunction_lab import slot_queues
from tests import routing_builders as builders

NOW = 1.0
SLOTS = 4
HOLD_S = 2.0

# Chats and checks are short; quotes delay the chats beside them.
CHAT = slot_queues.Kind("chat", 0, 24.0, 650, 4.8, 0.3, 15.0, 0.25)
CHECK = slot_queues.Kind("check", 1, 33.0, 1_300, 0.4, 0.4, 3.0, 0.4)
QUOTE = slot_queues.Kind("quote", 2, 36.0, 7_400, 0.9, 1.2, 5.0, 1.0)

# Part of the requests of a kind that may get nothing while less urgent ones of
# more than twice their size begin.
MAX_LEFT = 1 / 12


def full_record(
    *urgencies: int, hold_s: float = HOLD_S
) -> endpoint_records.EndpointRecord:
    """Returns an engine with a request of each urgency at it."""
    record = builders.record(slots=SLOTS)
    for _ in range(200):
        record.hold_s.add(hold_s)
    for urgency in urgencies:
        record.loads.add(endpoint_loads.LoadKey(urgency, False), 1, 0)
    return record


def predicted_s(record: endpoint_records.EndpointRecord, urgency: int) -> float:
    return record.predicted_s(builders.demand(urgency=urgency), 1, 1.0)


def test_request_waits_for_a_slot_only_where_all_are_taken() -> None:
    taken = predicted_s(full_record(0, 0, 0, 0), 0)
    free = predicted_s(full_record(0, 0, 0), 0)
    assert taken - free >= 0.9 * HOLD_S / SLOTS


def test_wait_for_a_slot_follows_how_long_requests_hold_one() -> None:
    short = predicted_s(full_record(0, 0, 0, 0, 0, hold_s=0.1), 0)
    long = predicted_s(full_record(0, 0, 0, 0, 0, hold_s=5.0), 0)
    assert long - short == pytest.approx(2 * (5.0 - 0.1) / SLOTS, rel=0.05)


def test_less_urgent_requests_are_not_waited_for() -> None:
    assert predicted_s(full_record(0, 0, 0, 0, 2, 2, 2), 0) == pytest.approx(
        predicted_s(full_record(0, 0, 0, 0, 0), 0), abs=HOLD_S / SLOTS + 0.01
    )


def test_more_urgent_requests_that_take_all_slots_are_waited_for_long() -> None:
    behind = predicted_s(full_record(*[0] * SLOTS), 2)
    first = predicted_s(full_record(*[2] * SLOTS), 2)
    assert behind > 5 * first


def test_short_prompts_are_drawn_beyond_the_engines_reserved_for_them() -> None:
    records = [builders.record(f"e{number}") for number in range(3)]
    demand = builders.demand(peer_prefill_per_s=1e7)
    drawn = {
        record.id
        for seed in range(50)
        for record in candidates.sample(
            records, demand, {"e0"}, None, NOW, random.Random(seed)
        )
    }
    assert drawn == {"e0", "e1", "e2"}


@pytest.mark.parametrize("seed", range(5))
def test_requests_are_not_left_behind_while_less_urgent_ones_begin(
    seed: int,
) -> None:
    trial = slot_queues.Trial((CHAT, CHECK, QUOTE), seed=seed)
    tallies = slot_queues.SlotQueues(trial).run()
    check = tallies["check"]
    assert tallies["quote"].begun
    assert check.left + check.refused <= MAX_LEFT * check.asked
