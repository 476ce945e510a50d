"""Guards against broken promises that the judge of trials does not find.

Each rule is held against a history that breaks its promise alone, and one that
just keeps it.
"""

import random
import time

from hypothesis import given
from hypothesis import strategies as st
import pytest

from martenjunction_lab.promises import events
from martenjunction_lab.promises import judge
from martenjunction_lab.promises import rules
from tests import promise_answer_cases
from tests import promise_change_cases
from tests import promise_histories as histories
from tests import promise_service_cases
from tests import promises_page

PAGE = promises_page.ROOT / "docs/notes/judge.md"

# Requests of a long history, with six events each.
LONG = 8_000

START = histories.START
CASES = [
    *promise_answer_cases.CASES,
    *promise_change_cases.CASES,
    *promise_service_cases.CASES,
]
IDS = [f"{number}-{case.promise}" for number, case in enumerate(CASES, 1)]
all_cases = pytest.mark.parametrize("case", CASES, ids=IDS)


@all_cases
def test_broken_promise_is_found_with_its_trace(
    case: histories.Case,
) -> None:
    found = judge.broken(events.History(case.breaks, case.terms))
    assert {made.promise for made in found} == {case.promise}
    assert case.about in {made.about for made in found}
    for made in found:
        assert list(made.trace) == sorted(made.trace, key=lambda its: its.at)
        of_it = [
            event
            for event in case.breaks
            if getattr(event, "request", None) == made.about
        ]
        assert made.trace
        assert all(event in made.trace for event in of_it)
        assert str(made).startswith(f"{made.promise}: {made.about} at ")
        assert str(made).count("\n") == len(made.trace)


@all_cases
def test_kept_promise_is_sound(case: histories.Case) -> None:
    found = judge.broken(events.History(case.keeps, case.terms))
    assert not found, "\n".join(map(str, found))


@all_cases
@pytest.mark.parametrize("part", histories.PARTS)
def test_disturbance_excuses_what_it_may(
    case: histories.Case, part: str
) -> None:
    beside = histories.disturbed(part, START - 60, START + 300)
    found = judge.broken(events.History([*case.breaks, beside], case.terms))
    promises = {made.promise for made in found}
    assert (case.promise in promises) is (part not in case.excused_by)


def test_each_rule_has_a_case() -> None:
    names = [rule.name for rule in rules.in_order()]
    assert sorted(set(names)) == sorted(names)
    assert set(names) == {case.promise for case in CASES}


def test_page_of_the_judge_has_each_rule_in_order() -> None:
    lines = PAGE.read_text(encoding="utf-8").splitlines()
    rows = [line.split("`")[1] for line in lines if line.startswith("| `")]
    assert rows == [rule.name for rule in rules.in_order()]


def test_sections_are_those_of_the_page_in_its_order() -> None:
    lines = promises_page.PAGE.read_text(encoding="utf-8").splitlines()
    headings = [line[3:] for line in lines if line.startswith("## ")]
    order = [headings.index(section.value) for section in rules.Section]
    assert order == sorted(order)
    sections = [rule.section for rule in rules.in_order()]
    assert sections == sorted(sections, key=list(rules.Section).index)


@given(st.sampled_from(CASES), st.randoms())
def test_order_in_which_events_are_added_changes_nothing(
    case: histories.Case, rng: random.Random
) -> None:
    expected = judge.broken(events.History(case.breaks, case.terms))
    shuffled = list(case.breaks)
    rng.shuffle(shuffled)
    history = events.History(terms=case.terms)
    for event in shuffled:
        history.add(event)
    assert judge.broken(history) == expected


@pytest.mark.parametrize(
    ("retries", "at", "windows"),
    [
        # The requests of the window before count, and none before that.
        (3, START + 10.5, 0),
        (3, START + 11.5, 1),
        (2, START + 40.0, 0),
        (3, START + 40.0, 1),
        (9, START + 6.0, 1),
    ],
)
def test_windows_with_too_many_retries_are_told_once(
    retries: int, at: float, windows: int
) -> None:
    made = histories.retried(retries, at=at)
    found = judge.broken(events.History(made, histories.TERMS))
    assert [broken.about for broken in found] == ["s1"] * windows
    for broken in found:
        assert len(broken.trace) == retries
        assert broken.at == at
    again = histories.retried(4, at=at + 50)
    history = events.History([*made, *again[-8:]], histories.TERMS)
    assert len(judge.broken(history)) == windows + 1


def test_requests_about_the_begin_of_a_window_count_together() -> None:
    sent_at = [START + 5] * 2 + [START + 8] * 3
    made = histories.many(
        5,
        lambda number: histories.served(
            f"r{number}",
            sent_at[number - 1],
            number,
            kind=events.RouteKind.SAFE,
        ),
    )
    for count in (3, 4):
        again = histories.retried(count, at=START + 9)[-2 * count :]
        history = events.History([*made, *again], histories.TERMS)
        found = [broken.promise for broken in judge.broken(history)]
        assert found == ["retry-budget"] * (count - 3)


def test_event_that_is_added_after_a_judgement_counts() -> None:
    history = events.History(histories.served())
    assert not judge.broken(history)
    history.add(events.RunBegan(START + 1, 1))
    assert [made.promise for made in judge.broken(history)] == ["once"]


@pytest.mark.parametrize(
    ("made", "calm"),
    [
        (histories.disturbed("b1", START - 9, START - 2.1), True),
        (histories.disturbed("b1", START - 9, START - 2.0), False),
        (histories.disturbed("b1", START + 1.0, START + 9), False),
        (histories.disturbed("b1", START + 1.1, START + 9), True),
        (histories.disturbed("b2", START, START + 9), True),
        (histories.disturbed("store", START, START + 9), False),
        (histories.disturbed("l", START, START, ends=("b1", "e1")), False),
        (events.BoxStops(START - 10.0, "b1"), False),
        (events.BoxStops(START - 10.1, "b1"), True),
        (events.BoxStops(START, "b2"), True),
    ],
)
def test_calm_is_told_by_part_and_time(made: events.Event, calm: bool) -> None:
    short = histories.disturbed("b1", START - 8, START - 7)
    for beside in ([], [short]):
        history = events.History([made, *beside])
        assert history.calm("b1", START, START + 1.0) is calm


def judging_s(requests: int) -> float:
    """Returns the processor time to judge six events for each request."""
    made = histories.many(
        requests,
        lambda number: [
            *histories.served(f"r{number}", START + number / 50, number),
            histories.disturbed(
                f"b{number % 20}", START + number / 50, START + number / 50
            ),
        ],
    )
    made += [histories.configured(n, START + n) for n in range(1, 100)]
    made += [events.Leaves(START + n, f"e{n % 20}") for n in range(2, 100)]
    begun_s = time.process_time()
    judge.broken(events.History(made))
    return time.process_time() - begun_s


def test_time_to_judge_grows_with_the_events_alone() -> None:
    few_s, many_s = judging_s(LONG // 8), judging_s(LONG)
    print(f"{6 * LONG} events are judged in {many_s:.2f} s")
    # Eight times if it grows with the events, 64 times with their square.
    assert many_s < 24 * few_s
