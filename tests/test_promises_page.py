"""Guards against a promise without a check on the page of promises.

A name on the page that does not exist means that nothing fails any more when
the promise is broken.
"""

import dataclasses

import pytest

from tests import promises_page

ROWS = promises_page.read_rows(promises_page.PAGE.read_text(encoding="utf-8"))
GOOD = promises_page.Row(
    "a box is killed",
    "no call runs twice",
    "`scenario: A daemon is killed`, "
    "`tests/test_box_process.py::test_killed_box_leaves_the_answers_and_returns`",
    "`cluster`, `replica.Behaviour.HANG`, `deploy/days/cuts.toml`",
    "-",
)


def test_names_on_the_page_exist() -> None:
    found = [
        f"{row.event}: {fault}"
        for row in ROWS
        for fault in promises_page.faults(row)
    ]
    assert not found, "\n".join(found)


def test_few_promises_have_no_check() -> None:
    unchecked = [row.event for row in ROWS if not row.is_checked]
    print(f"{len(unchecked)} of {len(ROWS)} promises without a check")
    assert len(unchecked) < promises_page.MAX_UNCHECKED * len(ROWS)


def test_each_broken_build_breaks_a_promise() -> None:
    named = {name for row in ROWS for name in row.builds}
    assert named == set(promises_page.build_checks())


def test_no_promise_is_told_twice() -> None:
    told = [(row.event, row.promise) for row in ROWS]
    assert len(told) == len(set(told))


def test_row_whose_names_exist_has_no_fault() -> None:
    assert not promises_page.faults(GOOD)


@pytest.mark.parametrize(
    ("cell", "text"),
    [
        ("event", ""),
        ("promise", ""),
        ("check", ""),
        ("check", "none"),
        ("check", "none:"),
        ("check", "a test"),
        ("check", "`scenario: A daemon is`"),
        ("check", "`tests/test_box_process.py`"),
        ("check", "`tests/test_box_process.py::test_nothing`"),
        ("check", "`tests/test_nothing.py::test_nothing`"),
        ("check", "`tests/box_processes.py::wait`"),
        ("stand_in", ""),
        ("stand_in", "a replica"),
        ("stand_in", "`nothing`"),
        ("stand_in", "`replica.Behaviour.NOTHING`"),
        ("stand_in", "`deploy/days/nothing.toml`"),
        ("build", "broken"),
        ("build", "`nothing is broken`"),
        ("build", "`nothing is preempted`"),
    ],
)
def test_wrong_name_is_found(cell: str, text: str) -> None:
    assert promises_page.faults(dataclasses.replace(GOOD, **{cell: text}))


def test_row_with_a_missing_cell_is_found() -> None:
    with pytest.raises(ValueError, match="a row of 4 cells"):
        promises_page.read_rows("| a | b | c | d |")
