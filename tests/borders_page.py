"""Reads the table of broken builds on the page of what comes from outside."""

import dataclasses
import re

from martenjunction_lab.fuzz import families  # noqa: F401
from martenjunction_lab.fuzz import targets
from tests import promises_page
from tools import broken_build
from tools import broken_decoder_builds

PAGE = promises_page.ROOT / "docs/design/borders.md"

HEADER = ["broken build", "file", "check", "found after"]

_NAME = re.compile(r"`([^`]+)`")
_FUZZ_CHECK = re.compile(r"tests/test_fuzz\.py::\w+\[([\w-]+)\]")
_INPUTS = re.compile(r"[1-9][0-9,]* inputs?")
_SECONDS = re.compile(r"[0-9]+\.[0-9] s")


@dataclasses.dataclass(frozen=True)
class Row:
    """A row of the table.

    Attributes:
        build: The cell that names the broken build.
        file: The cell that names the file that it breaks.
        check: The cell that names the test that notices it.
        found_after: Number of inputs of the fuzzer, or seconds of the test,
            after which it was found.
    """

    build: str
    file: str
    check: str
    found_after: str


def read_rows(text: str) -> list[Row]:
    """Returns the rows of the table.

    Raises:
        ValueError: If there is no table, or a row has another number of cells.
    """
    rows: list[Row] = []
    within = False
    for line in text.splitlines():
        cells = [cell.strip() for cell in line.strip().strip("|").split("|")]
        if not line.startswith("|"):
            within = False
        elif cells == HEADER:
            within = True
        elif within and line.strip("|-"):
            if len(cells) != len(HEADER):
                raise ValueError(f"a row of {len(cells)} cells: {line}")
            rows.append(Row(*cells))
    if not rows:
        raise ValueError("no table of broken builds")
    return rows


def faults(row: Row) -> list[str]:
    """Returns what does not fit the broken build that a row names."""
    names = _NAME.findall(row.build)
    build = builds().get(names[0]) if len(names) == 1 else None
    if build is None:
        return [f"no such broken build: {row.build}"]
    found = []
    if row.file != f"`{build.file}`":
        found.append(f"another file: {row.file}")
    if row.check != f"`{build.scenario}`":
        found.append(f"another check: {row.check}")
    target = _FUZZ_CHECK.fullmatch(build.scenario)
    form = _SECONDS if target is None else _INPUTS
    if not form.fullmatch(row.found_after):
        found.append(f"found after neither: {row.found_after!r}")
    return found


def builds() -> dict[str, broken_build.BrokenBuild]:
    """Returns the broken builds of decoders by name."""
    return {build.name: build for build in broken_decoder_builds.BUILDS}


def check_exists(check: str) -> bool:
    """Returns whether there is a test, and a target if it tries inputs."""
    target = _FUZZ_CHECK.fullmatch(check)
    if target is not None and target[1] not in targets.registered:
        return False
    return promises_page.check_exists(check.partition("[")[0])
