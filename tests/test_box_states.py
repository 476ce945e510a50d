"""States of boxes that are told from box to box."""

import dataclasses
import random

from hypothesis import given
from hypothesis import strategies as st

from martenjunction.decisions.boxes import box_states

State = box_states.State
Row = box_states.BoxState


def row(box: str, state: State = State.READY, number: int = 1) -> Row:
    return Row(box, "zone-a", "1:1", "1:2", "1:3", 100, 7, number, state)


def table(own: str = "own") -> box_states.BoxStateTable:
    return box_states.BoxStateTable(row(own, State.UNREADY, 0))


def test_own_state_is_told_by_change() -> None:
    known = table()
    changed = known.set_own(State.READY, 0.0)
    assert changed is not None
    assert changed.number == 1
    assert known.set_own(State.READY, 1.0) is None


def test_newer_word_holds() -> None:
    known = table()
    assert known.merge(row("a", State.READY, 2), 0.0) is not None
    assert known.merge(row("a", State.UNREADY, 1), 0.0) is None
    assert known.merge(row("a", State.READY, 2), 0.0) is None
    assert known.in_state(State.READY) == {"a"}
    later_start = dataclasses.replace(row("a", State.UNREADY, 0), incarnation=8)
    assert known.merge(later_start, 0.0) == later_start


def test_silent_box_is_told_once() -> None:
    known = table()
    known.merge(row("a"), 0.0)
    assert known.mark_silent(row("a"), 1.0) == row("a", State.SILENT)
    assert known.mark_silent(row("a"), 1.0) is None
    assert known.mark_silent(known.own, 1.0) is None


def test_box_that_is_called_silent_contradicts() -> None:
    alive, other = table("alive"), table("other")
    ready = alive.set_own(State.READY, 0.0)
    assert ready is not None
    other.merge(ready, 0.0)
    silent = other.mark_silent(ready, 0.0)
    assert silent is not None
    answer = alive.merge(silent, 0.1)
    assert answer is not None
    assert other.merge(answer, 0.2) == answer
    assert other.in_state(State.READY) == {"alive"}


def test_word_of_an_earlier_start_is_not_contradicted() -> None:
    alive = table("alive")
    old = dataclasses.replace(row("alive", State.SILENT, 99), incarnation=6)
    assert alive.merge(old, 0.0) is None


def test_boxes_that_are_gone_are_forgotten() -> None:
    known = table()
    known.merge(row("a", State.LEAVING), 0.0)
    known.merge(row("b", State.READY), 0.0)
    assert known.expire(box_states.GONE_LIFETIME_S) == []
    assert known.expire(box_states.GONE_LIFETIME_S + 1.0) == ["a"]
    assert known.find("b") is not None


def test_number_of_boxes_is_bounded() -> None:
    known = table()
    for number in range(box_states.MAX_BOXES + 10):
        known.merge(row(f"box-{number}"), 0.0)
    assert len(known.rows()) == box_states.MAX_BOXES


@given(
    st.lists(
        st.tuples(
            st.sampled_from(["a", "b", "c"]),
            st.sampled_from(list(State)),
            st.integers(1, 4),
        ),
        max_size=12,
    ),
    st.integers(0, 2**32),
)
def test_tables_do_not_depend_on_the_order(
    words: list[tuple[str, State, int]], seed: int
) -> None:
    rows = [row(box, state, number) for box, state, number in words]
    one, two = table(), table()
    for word in rows:
        one.merge(word, 0.0)
    random.Random(seed).shuffle(rows)
    for word in [*rows, *rows]:
        two.merge(word, 0.0)
    assert sorted(r.age for r in one.rows()) == sorted(
        r.age for r in two.rows()
    )
    assert one.digest() == two.digest()
