"""Outages of the store as several boxes observe them together."""

import random

from hypothesis import given
from hypothesis import strategies as st
import pytest

from martenjunction.decisions.boxes import store_contact
from tests import routing_builders as builders

GRACE_S = store_contact.LAPSE_GRACE_S
MS = store_contact.MS

TIMES = st.floats(0.0, 100.0)
CONTACTS = st.builds(
    lambda lost_at, since, length, is_settled: store_contact.Contact(
        None if lost_at is None else since - lost_at,
        since,
        since + length,
        is_settled,
    ),
    st.none() | st.floats(store_contact.MIN_LAPSE_OUTAGE_S, 10.0),
    TIMES,
    st.floats(0.0, 20.0),
    st.booleans(),
)


def contact_after(lost_at: float, back_at: float) -> store_contact.StoreContact:
    """Returns what a box knows that saw an outage itself."""
    made = store_contact.StoreContact()
    builders.lose_store(made, lost_at, back_at)
    return made


def tell(
    sender: store_contact.StoreContact,
    receiver: store_contact.StoreContact,
    now: float,
    delay_s: float = 0.0,
) -> None:
    """Sends what one box knows; the other asked for it `delay_s` before."""
    ages = sender.ages(now)
    receiver.note_told(ages, now - delay_s, now + delay_s)


@given(CONTACTS, CONTACTS)
def test_order_of_observations_does_not_matter(
    one: store_contact.Contact, other: store_contact.Contact
) -> None:
    assert store_contact.merge(one, other) == store_contact.merge(other, one)


@given(CONTACTS)
def test_repeated_observation_changes_no_time(
    one: store_contact.Contact,
) -> None:
    merged = store_contact.merge(one, one)
    assert (merged.lost_at, merged.since, merged.until) == (
        one.lost_at,
        one.since,
        one.until,
    )


def test_outage_long_enough_begins_a_grace_period() -> None:
    contact = contact_after(10.0, 13.65)
    assert contact.in_grace
    assert contact.outage_s == pytest.approx(3.65)
    builders.answer_calls(contact, 13.65, 13.64 + GRACE_S)
    assert contact.in_grace
    builders.answer_calls(contact, 13.65 + GRACE_S, 16.0)
    assert not contact.in_grace


@pytest.mark.parametrize("away_s", [0.2, 2.1])
def test_short_outage_begins_no_grace_period(away_s: float) -> None:
    assert not contact_after(10.0, 10.0 + away_s).in_grace


def test_seldom_calls_are_no_outage() -> None:
    # A reader with a thin link confirms a large configuration every 3 s.
    contact = store_contact.StoreContact()
    for at in (10.0, 13.0, 16.0):
        contact.note_answered(at, at + 0.2)
    assert not contact.in_grace


def test_suspended_box_takes_its_own_pause_for_no_outage() -> None:
    contact = store_contact.StoreContact()
    contact.note_answered(10.0, 10.0)
    contact.note_answered(16.0, 16.0)
    assert not contact.in_grace


def test_box_that_regains_the_store_second_learns_of_the_outage() -> None:
    # Guards against a box that was told the newest configuration and takes its
    # age for the length of the outage.
    first = contact_after(10.0, 14.0)
    second = store_contact.StoreContact()
    second.note_answered(10.0, 10.0)
    second.note_failed(13.9)
    tell(first, second, 14.1)
    second.note_answered(14.3, 14.3)
    assert second.in_grace
    assert second.outage_s == pytest.approx(4.0, abs=0.01)


def test_box_that_starts_in_the_grace_period_learns_of_it() -> None:
    started = store_contact.StoreContact()
    started.note_answered(14.5, 14.5)
    assert not started.in_grace
    tell(contact_after(10.0, 14.0), started, 14.6)
    assert started.in_grace


def test_box_that_was_cut_off_alone_gives_no_grace() -> None:
    served = store_contact.StoreContact()
    for tenths in range(0, 200, 6):
        served.note_answered(tenths / 10, tenths / 10)
    alone = contact_after(10.0, 19.9)
    tell(alone, served, 19.95)
    assert not served.in_grace
    tell(served, alone, 20.0)
    assert not alone.in_grace


def test_seldom_calls_end_the_grace_period() -> None:
    contact = contact_after(10.0, 14.0)
    contact.note_answered(17.0, 17.2)
    assert not contact.in_grace


@pytest.mark.parametrize("fails", [True, False])
def test_loss_within_the_grace_period_begins_it_anew(fails: bool) -> None:
    before = contact_after(10.0, 14.0)
    builders.answer_calls(before, 14.0, 14.8)
    # Another box calls the store in place of the first one.
    contact = store_contact.StoreContact()
    tell(before, contact, 14.8)
    if fails:
        contact.note_failed(16.0)
    builders.answer_calls(contact, 16.5, 16.4 + GRACE_S)
    assert contact.in_grace
    builders.answer_calls(contact, 16.5 + GRACE_S, 18.6)
    assert not contact.in_grace


def test_end_of_the_grace_period_is_known_to_all_at_once() -> None:
    reader = contact_after(10.0, 14.0)
    other = store_contact.StoreContact()
    tell(reader, other, 14.3, delay_s=0.2)
    builders.answer_calls(reader, 14.2, 16.0)
    assert other.in_grace
    tell(reader, other, 16.01, delay_s=0.3)
    assert not other.in_grace


@given(st.integers(0, 2**32), st.floats(0.0, 0.5))
def test_exchange_neither_prolongs_nor_cuts_the_grace_period(
    seed: int, max_delay_s: float
) -> None:
    # Times that come back from other boxes, each time with a delay, would move
    # the end of the grace period if they were taken as exact.
    rng = random.Random(seed)
    boxes = [store_contact.StoreContact() for _ in range(4)]
    for box in boxes:
        box.note_answered(10.0, 10.0)
        box.note_failed(13.9)
    reader = boxes[0]
    now = 14.0
    while now < 13.95 + GRACE_S:
        reader.note_answered(now, now)
        for _ in range(6):
            sender, receiver = rng.sample(boxes, 2)
            tell(sender, receiver, now, rng.uniform(0.0, max_delay_s))
        now += 0.1
    assert reader.in_grace
    reader.note_answered(14.0 + GRACE_S, now)
    for other in boxes[1:]:
        tell(reader, other, now, max_delay_s)
    assert not any(box.in_grace for box in boxes)


@given(st.none() | TIMES, TIMES, st.floats(0.0, 1e9))
def test_ages_stay_within_their_bounds(
    lost_at: float | None, since: float, later_s: float
) -> None:
    contact = contact_after(lost_at or 0.0, since + 200.0)
    ages = contact.ages(since + 200.0 + later_s)
    for age in (ages.lost_ms, ages.since_ms, ages.until_ms):
        assert store_contact.UNKNOWN_AGE_MS <= age <= store_contact.MAX_AGE_MS
