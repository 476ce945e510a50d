"""Tests of the outcomes reported to callers, for all orders of events."""

import itertools

from hypothesis import given
from hypothesis import strategies as st
import pytest

from martenjunction import errors
from martenjunction.decisions import outcomes

E = outcomes.Event


def after(*events: outcomes.Event) -> outcomes.RequestProgress:
    progress = outcomes.RequestProgress()
    for event in events:
        progress.record(event)
    return progress


@pytest.mark.parametrize(
    ("events", "outcome"),
    [
        ((), "not-run"),
        ((E.SENT,), "unknown"),
        ((E.SENT, E.NOT_REACHED), "not-run"),
        ((E.SENT, E.REFUSED), "not-run"),
        ((E.SENT, E.BROKEN), "unknown"),
        ((E.SENT, E.ANSWERING), "ran-partly"),
        ((E.SENT, E.ANSWERING, E.BROKEN), "ran-partly"),
        ((E.SENT, E.ANSWERING, E.COMPLETE), "done"),
        # The first endpoint may have run the request that the second refused.
        ((E.SENT, E.BROKEN, E.SENT, E.REFUSED), "unknown"),
        ((E.SENT, E.BROKEN, E.SENT, E.NOT_REACHED), "unknown"),
        # Side by side: one may still run while the other one is refused.
        ((E.SENT, E.SENT, E.REFUSED), "unknown"),
        ((E.SENT, E.SENT, E.REFUSED, E.BROKEN), "unknown"),
        ((E.SENT, E.SENT, E.REFUSED, E.COMPLETE), "done"),
        ((E.SENT, E.SENT, E.REFUSED, E.REFUSED), "not-run"),
    ],
)
def test_outcome(events: tuple[outcomes.Event, ...], outcome: str) -> None:
    assert after(*events).outcome == outcome


def test_impossible_event_is_an_error() -> None:
    with pytest.raises(errors.MartenjunctionError):
        after(E.COMPLETE)


def test_not_repeatable_is_sent_again_only_if_not_run() -> None:
    assert after(E.SENT, E.REFUSED).may_retry(repeatable=False)
    assert not after(E.SENT, E.BROKEN).may_retry(repeatable=False)
    assert after(E.SENT, E.BROKEN).may_retry(repeatable=True)


@given(st.lists(st.sampled_from(list(outcomes.Event)), max_size=12))
def test_not_run_is_reported_only_when_no_attempt_is_open(
    events: list[outcomes.Event],
) -> None:
    progress = outcomes.RequestProgress()
    open_attempts = 0
    for event in events:
        try:
            progress.record(event)
        except errors.MartenjunctionError:
            return
        if event is E.SENT:
            open_attempts += 1
        if event in (E.NOT_REACHED, E.REFUSED):
            open_attempts -= 1
        if progress.outcome == "not-run":
            assert open_attempts <= 0


ATTEMPTS = [
    (E.SENT, E.REFUSED),
    (E.SENT, E.BROKEN),
    (E.SENT, E.COMPLETE),
    (E.SENT, E.ANSWERING, E.BROKEN),
]


def in_all_orders(
    first: tuple[outcomes.Event, ...], second: tuple[outcomes.Event, ...]
) -> list[list[tuple[int, outcomes.Event]]]:
    """Returns all orders of events, each with its attempt."""
    length = len(first) + len(second)
    found = []
    for places in itertools.combinations(range(length), len(first)):
        of_first, of_second = iter(first), iter(second)
        found.append(
            [
                (1, next(of_first)) if at in places else (2, next(of_second))
                for at in range(length)
            ]
        )
    return found


@pytest.mark.parametrize("first", ATTEMPTS)
@pytest.mark.parametrize("second", ATTEMPTS)
def test_two_attempts_in_all_orders(
    first: tuple[outcomes.Event, ...], second: tuple[outcomes.Event, ...]
) -> None:
    for order in in_all_orders(first, second):
        progress = outcomes.RequestProgress()
        sent, refused = set(), set()
        for attempt, event in order:
            progress.record(event)
            if event is E.COMPLETE:
                # The other attempt is superseded.
                assert progress.outcome is outcomes.Outcome.DONE
                break
            if event is E.SENT:
                sent.add(attempt)
            elif event is E.REFUSED:
                refused.add(attempt)
            not_run = progress.outcome is outcomes.Outcome.NOT_RUN
            assert not_run == (sent == refused), order
