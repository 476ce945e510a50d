"""Tests of the table of endpoint limits and of the grants for them."""

import itertools

from hypothesis import given
from hypothesis import strategies as st
import pytest

from martenjunction.decisions import grant_bucket
from martenjunction.decisions.boxes import endpoint_limits
from martenjunction_lab import limit_outcome

Change = endpoint_limits.Change


def table(
    per_s: float | None = 2.0, since: float = 10.0
) -> endpoint_limits.LimitTable:
    made = endpoint_limits.LimitTable()
    made.say("e1", per_s, since - 0.1, since)
    return made


def test_first_word_is_believed_whenever_its_request_was_sent() -> None:
    made = endpoint_limits.LimitTable()
    assert made.say("e1", 2.0, 3.0, 10.0) == Change(None, 2.0)
    assert made.per_s("e1") == 2.0
    assert made.say("e1", 2.0, 9.0, 11.0) is None


def test_answer_without_it_that_was_begun_later_ends_it() -> None:
    made = table()
    assert made.say("e1", None, 10.1, 10.2) == Change(2.0, None)
    assert made.per_s("e1") is None


def test_answer_without_it_that_was_begun_before_does_not_end_it() -> None:
    made = table()
    assert made.say("e1", None, 9.9, 10.3) is None
    assert made.per_s("e1") == 2.0


@pytest.mark.parametrize(("per_s", "held"), [(1.0, 1.0), (5.0, 2.0)])
def test_of_answers_that_overlap_the_narrower_holds(
    per_s: float, held: float
) -> None:
    made = table()
    made.say("e1", per_s, 9.9, 10.3)
    assert made.per_s("e1") == held


def test_wider_limit_of_an_answer_that_was_begun_later_holds() -> None:
    made = table()
    assert made.say("e1", 5.0, 10.1, 10.3) == Change(2.0, 5.0)


def test_news_of_others_holds_by_when_it_was_first_heard() -> None:
    made = table()
    assert made.take("e1", 1.0, 9.9) is None
    assert made.take("e1", None, 9.9) is None
    assert made.take("e1", 5.0, 10.1) == Change(2.0, 5.0)
    assert made.take("e1", None, 10.2) == Change(5.0, None)
    assert made.take("e1", 5.0, 10.1) is None


def test_another_start_has_said_nothing() -> None:
    assert table().per_s("e2") is None


@pytest.mark.parametrize("per_s", [1000.0, 1e9])
def test_limit_that_binds_nothing_is_none(per_s: float) -> None:
    made = endpoint_limits.LimitTable()
    assert made.say("e1", per_s, 9.0, 10.0) is None
    made.say("e1", 2.0, 9.0, 10.0)
    assert made.say("e1", per_s, 10.1, 10.2) == Change(2.0, None)


def test_endpoint_that_is_closed_opens_with_a_change() -> None:
    made = table()
    made.close("e1", 14.0)
    assert made.opens_in_s("e1", 11.0) == 3.0
    made.say("e1", 1.0, 10.1, 11.0)
    assert made.is_open("e1", 11.0)


def test_words_are_bounded_and_forgotten() -> None:
    made = endpoint_limits.LimitTable()
    for number in range(2 * endpoint_limits.MAX_WORDS):
        made.say(f"e{number}", 2.0, 0.0, 1.0)
    assert len(made.words) == endpoint_limits.MAX_WORDS
    last = f"e{2 * endpoint_limits.MAX_WORDS - 1}"
    made.keep_only({last}, 2.0 + endpoint_limits.ENDED_LIFETIME_S)
    assert made.limited() == [last]


def sends(
    limit: float, began: float, until: float, pauses: list[float]
) -> list[float]:
    """Returns the times of a bucket's grants if it is asked repeatedly."""
    bucket = grant_bucket.GrantBucket(began)
    times = []
    now = began
    for pause in itertools.cycle(pauses):
        now += pause
        if now > until:
            return times
        if not bucket.take(limit, 1.0, now):
            times.append(now)
    return times


@given(
    limit=st.floats(0.0, 40.0),
    began=st.floats(0.0, 12.0),
    pauses=st.lists(
        st.one_of(st.floats(0.01, 0.1), st.floats(0.1, 6.0)),
        min_size=1,
        max_size=20,
    ),
)
def test_two_holders_that_overlap_keep_to_what_a_limit_bears(
    limit: float, began: float, pauses: list[float]
) -> None:
    # The first bucket is used until all boxes know the holder of the second.
    overlap = began + grant_bucket.FIRST_S
    times = sends(limit, 0.0, overlap, pauses)
    times += sends(limit, began, 20.0, pauses[::-1])
    if times:
        most = limit_outcome.most_in_window(times)
        assert most <= limit_outcome.allowed(limit)


@pytest.mark.parametrize("limit", [0.6, 1.0, 2.1, 20.0])
def test_most_of_a_limit_is_used_where_many_ask(limit: float) -> None:
    bucket = grant_bucket.GrantBucket(0.0)
    turns = dict.fromkeys(range(6), 0.0)
    given_out = 0
    for step in range(2000):
        now = step * 0.02
        box = step % 6
        if now >= turns[box]:
            wait_s = bucket.take(limit, 1.0, now)
            turns[box] = now + wait_s
            given_out += not wait_s
    assert given_out >= 0.8 * limit * 40.0


def test_those_who_ask_in_vain_are_told_one_turn_after_the_other() -> None:
    bucket = grant_bucket.GrantBucket(0.0)
    limit = 1.0 / grant_bucket.FIRST_PART
    waits = [bucket.take(limit, 1.0, 0.0) for _ in range(8)]
    assert waits[:2] == pytest.approx([1.0, 2.0])
    assert set(waits[2:]) == {grant_bucket.LONGEST_TURN_S}


def test_grant_that_was_not_used_is_given_again() -> None:
    bucket = grant_bucket.GrantBucket(0.0)
    assert bucket.take(2.0, 1.0, 1.0) == 0.0
    assert bucket.take(2.0, 1.0, 1.0) > 0.0
    bucket.put_back()
    assert bucket.take(2.0, 1.0, 1.0) == 0.0


def test_holder_that_hears_a_part_of_the_boxes_gives_that_part() -> None:
    given_out = {}
    for part in (0.5, 1.0):
        bucket = grant_bucket.GrantBucket(0.0)
        waits = [bucket.take(8.0, part, step * 0.02) for step in range(1000)]
        given_out[part] = waits.count(0.0)
    assert given_out[0.5] == pytest.approx(given_out[1.0] / 2, abs=2)


def test_endpoint_that_takes_nothing_gets_a_request_in_two_seconds() -> None:
    bucket = grant_bucket.GrantBucket(0.0)
    given_out = [
        step * 0.1
        for step in range(1, 101)
        if not bucket.take(0.0, 1.0, step * 0.1)
    ]
    assert given_out == pytest.approx([2.0, 4.0, 6.0, 8.0, 10.0])
