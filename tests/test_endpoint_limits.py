"""Tests of the table of endpoint limits and of the grants for them."""

import itertools

from hypothesis import given
from hypothesis import strategies as st
import pytest

from martenjunction.decisions import grant_bucket
from martenjunction.decisions.boxes import endpoint_limits
from martenjunction_lab import limit_outcome

Change = endpoint_limits.LimitChange


def table(
    per_s: float | None = 2.0, since: float = 10.0
) -> endpoint_limits.LimitTable:
    made = endpoint_limits.LimitTable()
    made.apply_response("e1", per_s, since - 0.1, since)
    return made


def test_first_report_applies_whenever_its_request_was_sent() -> None:
    made = endpoint_limits.LimitTable()
    assert made.apply_response("e1", 2.0, 3.0, 10.0) == Change(None, 2.0)
    assert made.per_s("e1") == 2.0
    assert made.apply_response("e1", 2.0, 9.0, 11.0) is None


def test_later_response_without_limit_removes_it() -> None:
    made = table()
    assert made.apply_response("e1", None, 10.1, 10.2) == Change(2.0, None)
    assert made.per_s("e1") is None


def test_earlier_response_without_limit_does_not_remove_it() -> None:
    made = table()
    assert made.apply_response("e1", None, 9.9, 10.3) is None
    assert made.per_s("e1") == 2.0


@pytest.mark.parametrize(("per_s", "held"), [(1.0, 1.0), (5.0, 2.0)])
def test_stricter_limit_of_overlapping_responses_applies(
    per_s: float, held: float
) -> None:
    made = table()
    made.apply_response("e1", per_s, 9.9, 10.3)
    assert made.per_s("e1") == held


def test_looser_limit_of_a_later_response_applies() -> None:
    made = table()
    assert made.apply_response("e1", 5.0, 10.1, 10.3) == Change(2.0, 5.0)


def test_peer_reports_apply_by_the_time_of_first_receipt() -> None:
    made = table()
    assert made.apply_peer_report("e1", 1.0, 9.9) is None
    assert made.apply_peer_report("e1", None, 9.9) is None
    assert made.apply_peer_report("e1", 5.0, 10.1) == Change(2.0, 5.0)
    assert made.apply_peer_report("e1", None, 10.2) == Change(5.0, None)
    assert made.apply_peer_report("e1", 5.0, 10.1) is None


def test_other_incarnation_has_no_limit() -> None:
    assert table().per_s("e2") is None


@pytest.mark.parametrize("per_s", [1000.0, 1e9])
def test_limit_that_is_too_high_to_matter_is_none(per_s: float) -> None:
    made = endpoint_limits.LimitTable()
    assert made.apply_response("e1", per_s, 9.0, 10.0) is None
    made.apply_response("e1", 2.0, 9.0, 10.0)
    assert made.apply_response("e1", per_s, 10.1, 10.2) == Change(2.0, None)


def test_blocked_endpoint_opens_after_a_change() -> None:
    made = table()
    made.block_until("e1", 14.0)
    assert made.opens_in_s("e1", 11.0) == 3.0
    made.apply_response("e1", 1.0, 10.1, 11.0)
    assert made.is_open("e1", 11.0)


def test_reports_are_bounded_and_expire() -> None:
    made = endpoint_limits.LimitTable()
    for number in range(2 * endpoint_limits.MAX_REPORTS):
        made.apply_response(f"e{number}", 2.0, 0.0, 1.0)
    assert len(made.reports) == endpoint_limits.MAX_REPORTS
    last = f"e{2 * endpoint_limits.MAX_REPORTS - 1}"
    made.prune({last}, 2.0 + endpoint_limits.REMOVAL_LIFETIME_S)
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
def test_overlapping_holders_stay_within_the_limit(
    limit: float, began: float, pauses: list[float]
) -> None:
    # The first bucket is used until all boxes know the holder of the second.
    overlap = began + grant_bucket.WARM_UP_S
    times = sends(limit, 0.0, overlap, pauses)
    times += sends(limit, began, 20.0, pauses[::-1])
    if times:
        most = limit_outcome.most_in_window(times)
        assert most <= limit_outcome.allowed(limit)


@pytest.mark.parametrize("limit", [0.6, 1.0, 2.1, 20.0])
def test_most_of_a_limit_is_granted_under_contention(limit: float) -> None:
    bucket = grant_bucket.GrantBucket(0.0)
    turns = dict.fromkeys(range(6), 0.0)
    granted = 0
    for step in range(2000):
        now = step * 0.02
        box = step % 6
        if now >= turns[box]:
            wait_s = bucket.take(limit, 1.0, now)
            turns[box] = now + wait_s
            granted += not wait_s
    assert granted >= 0.8 * limit * 40.0


def test_refused_requesters_get_successive_turns() -> None:
    bucket = grant_bucket.GrantBucket(0.0)
    limit = 1.0 / grant_bucket.WARM_UP_FRACTION
    waits = [bucket.take(limit, 1.0, 0.0) for _ in range(8)]
    assert waits[:2] == pytest.approx([1.0, 2.0])
    assert set(waits[2:]) == {grant_bucket.MAX_RETRY_DELAY_S}


def test_unused_grant_is_refunded() -> None:
    bucket = grant_bucket.GrantBucket(0.0)
    assert bucket.take(2.0, 1.0, 1.0) == 0.0
    assert bucket.take(2.0, 1.0, 1.0) > 0.0
    bucket.refund()
    assert bucket.take(2.0, 1.0, 1.0) == 0.0


def test_holder_grants_in_proportion_to_the_boxes_it_reaches() -> None:
    granted = {}
    for part in (0.5, 1.0):
        bucket = grant_bucket.GrantBucket(0.0)
        waits = [bucket.take(8.0, part, step * 0.02) for step in range(1000)]
        granted[part] = waits.count(0.0)
    assert granted[0.5] == pytest.approx(granted[1.0] / 2, abs=2)


def test_zero_limit_grants_one_request_every_two_seconds() -> None:
    bucket = grant_bucket.GrantBucket(0.0)
    granted = [
        step * 0.1
        for step in range(1, 101)
        if not bucket.take(0.0, 1.0, step * 0.1)
    ]
    assert granted == pytest.approx([2.0, 4.0, 6.0, 8.0, 10.0])
