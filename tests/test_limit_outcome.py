"""The judge of limits: a history that breaks one, and one that keeps it."""

import pytest

from martenjunction_lab import limit_outcome


def outcome(times: list[float], limit: float = 2.0) -> limit_outcome.Outcome:
    """Returns what is seen when a box that was told at 0.1 s sends."""
    seen = limit_outcome.Outcome()
    seen.named["e1"].append(limit_outcome.Word(0.0, limit))
    seen.passed_on["box", "e1"] = 0.1
    seen.arrivals = [limit_outcome.Arrival("box", "e1", at) for at in times]
    return seen


ALLOWED = 17


@pytest.mark.parametrize("more", [0, 1])
def test_one_more_than_allowed_breaks_a_limit(more: int) -> None:
    times = [5.0 + number * 0.1 for number in range(ALLOWED + more)]
    assert outcome(times).broken == more


def test_those_of_the_first_seconds_count_in_a_later_window() -> None:
    times = [2.0 + number * 0.07 for number in range(ALLOWED + 1)]
    assert outcome(times).broken == 1


def test_box_that_was_not_told_yet_does_not_count() -> None:
    times = [5.0 + number * 0.1 for number in range(2 * ALLOWED)]
    seen = outcome(times)
    del seen.passed_on["box", "e1"]
    assert seen.broken == 0


def test_those_after_the_end_do_not_count() -> None:
    times = [10.0 + number * 0.1 for number in range(2 * ALLOWED)]
    seen = outcome(times)
    seen.named["e1"].append(limit_outcome.Word(9.0, None))
    assert seen.broken == 0


def test_what_is_used_is_counted_while_the_limit_binds() -> None:
    times = [0.5, *(4.0 + number for number in range(10))]
    assert outcome(times).used() == {"e1": 10 / 20}
