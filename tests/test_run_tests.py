"""Tests how the test runner treats tests that are known to fail."""

import pathlib

import pytest

from tools import run_tests

TESTS = """
import pytest


@pytest.mark.parametrize("number", [1, 2])
def test_number(number):
    assert number == 1
"""


@pytest.fixture
def root(tmp_path: pathlib.Path) -> pathlib.Path:
    (tmp_path / "test_some.py").write_text(TESTS, encoding="utf-8")
    return tmp_path


def test_listing_names_tests_by_their_ids(tmp_path: pathlib.Path) -> None:
    listing = tmp_path / "listing.txt"
    listing.write_text("a.py::test_b[1] | why | issue 1\n\n", "utf-8")
    assert run_tests.known_red(listing) == ["a.py::test_b[1]"]


@pytest.mark.parametrize(
    ("test_id", "told", "failed"),
    [
        ("test_some.py::test_number[2]", "fails", 0),
        ("test_some.py::test_number[1]", "passes again", 0),
        ("test_some.py::test_number[3]", "names no test", 1),
        ("test_some.py::test_other", "names no test", 1),
        ("test_some.py", "names no test", 1),
        ("test_none.py::test_number[2]", "names no test", 1),
    ],
)
def test_each_listed_test_is_run_and_told(
    root: pathlib.Path,
    capsys: pytest.CaptureFixture[str],
    test_id: str,
    told: str,
    failed: int,
) -> None:
    tally = run_tests.run_known_red([test_id], root)
    assert f"known red, {told}: {test_id}" in capsys.readouterr().out
    assert (tally.passed, tally.failed) == (0, failed)
