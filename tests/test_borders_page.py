"""Guards against a broken build of a decoder that the page does not tell of.

The page says what finds each of them, so that a check that no longer exists, or
a build that was never played, is seen.
"""

import dataclasses

import pytest

from tests import borders_page
from tests import promises_page
from tools import broken_builds
from tools import broken_decoder_builds

TEXT = borders_page.PAGE.read_text(encoding="utf-8")
ROWS = borders_page.read_rows(TEXT)


def test_page_tells_of_each_broken_build_once_and_in_order() -> None:
    assert [row.build for row in ROWS] == [
        f"`{build.name}`" for build in broken_decoder_builds.BUILDS
    ]


def test_rows_fit_their_broken_builds() -> None:
    found = [
        f"{row.build}: {fault}"
        for row in ROWS
        for fault in borders_page.faults(row)
    ]
    assert not found, "\n".join(found)


@pytest.mark.parametrize(
    "build", broken_decoder_builds.BUILDS, ids=lambda build: build.name
)
def test_broken_build_can_be_made_and_checked(
    build: broken_builds.BrokenBuild,
) -> None:
    text = (promises_page.ROOT / build.file).read_text(encoding="utf-8")
    assert text.count(build.old) == 1
    assert build.new != build.old
    assert borders_page.check_exists(build.scenario)


def test_all_broken_builds_are_played() -> None:
    names = [build.name for build in broken_builds.ALL]
    assert len(names) == len(set(names))
    assert set(borders_page.builds()) <= set(names)


@pytest.mark.parametrize(
    ("cell", "text"),
    [
        ("build", "`nothing is broken`"),
        ("build", "no name"),
        ("build", "`nothing is preempted`"),
        ("file", "`martenjunction/errors.py`"),
        ("check", "`tests/test_fuzz.py::test_nothing`"),
        ("found_after", ""),
        ("found_after", "-"),
        ("found_after", "0 inputs"),
        ("found_after", "soon"),
    ],
)
def test_wrong_cell_is_found(cell: str, text: str) -> None:
    assert borders_page.faults(dataclasses.replace(ROWS[0], **{cell: text}))


@pytest.mark.parametrize(
    "check",
    [
        "tests/test_fuzz.py::test_odd_inputs_show_no_fault[nothing]",
        "tests/test_fuzz.py::test_nothing[store-lists]",
        "tests/test_nothing.py::test_nothing",
    ],
)
def test_check_that_does_not_exist_is_found(check: str) -> None:
    assert not borders_page.check_exists(check)


@pytest.mark.parametrize("text", ["", "| a | b |", TEXT.partition("## The")[0]])
def test_missing_table_is_found(text: str) -> None:
    with pytest.raises(ValueError, match="no table"):
        borders_page.read_rows(text)


def test_row_with_a_missing_cell_is_found() -> None:
    header = "| " + " | ".join(borders_page.HEADER) + " |\n"
    with pytest.raises(ValueError, match="a row of 3 cells"):
        borders_page.read_rows(header + "| a | b | c |")
