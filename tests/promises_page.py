"""Reads the page of promises, and finds the names on it that do not exist."""

import ast
import dataclasses
import functools
import importlib
import pathlib
import re

from tools import broken_builds

ROOT = pathlib.Path(__file__).parent.parent
PAGE = ROOT / "docs/notes/promises.md"

HEADER = ["May happen", "Promise", "Check", "Stand-in", "Broken build"]

# Prefix of the name of a scenario, and what a cell without a name holds.
SCENARIO = "scenario: "
NOTHING = "-"

# Maximum fraction of rows without a check.
MAX_UNCHECKED = 0.1

_UNCHECKED = re.compile(r"none: \S.*")
_NAME = re.compile(r"`([^`]+)`")
_STAND_IN_PACKAGES = ("martenjunction_lab", "tests")


@dataclasses.dataclass(frozen=True)
class Row:
    """A row of the page.

    Attributes:
        event: What may happen.
        promise: What is promised then.
        check: The cell that names tests and scenarios.
        stand_in: The cell that names stand-ins.
        build: The cell that names broken builds.
    """

    event: str
    promise: str
    check: str
    stand_in: str
    build: str

    @property
    def is_checked(self) -> bool:
        """Whether the row names a check."""
        return _UNCHECKED.fullmatch(self.check) is None

    @property
    def checks(self) -> list[str]:
        """The names of its tests and scenarios."""
        return _NAME.findall(self.check) if self.is_checked else []

    @property
    def stand_ins(self) -> list[str]:
        """The names of its stand-ins."""
        return _NAME.findall(self.stand_in)

    @property
    def builds(self) -> list[str]:
        """The names of its broken builds."""
        return _NAME.findall(self.build)


def read_rows(text: str) -> list[Row]:
    """Returns the rows of all tables of the page.

    Raises:
        ValueError: If a row has another number of cells than the header.
    """
    rows = []
    for line in text.splitlines():
        if not line.startswith("|"):
            continue
        cells = [cell.strip() for cell in line.strip().strip("|").split("|")]
        if cells == HEADER or not line.strip("|-"):
            continue
        if len(cells) != len(HEADER):
            raise ValueError(f"a row of {len(cells)} cells: {line}")
        rows.append(Row(*cells))
    return rows


def faults(row: Row) -> list[str]:
    """Returns what is wrong with a row: empty cells, and unknown names."""
    found = []
    if not (row.event and row.promise):
        found.append("an empty cell")
    if row.is_checked and not row.checks:
        found.append(f"no check and no reason: {row.check!r}")
    for cell, names in (
        (row.stand_in, row.stand_ins),
        (row.build, row.builds),
    ):
        if not names and cell != NOTHING:
            found.append(f"neither a name nor {NOTHING}: {cell!r}")
    found += [
        f"no such check: {name}"
        for name in row.checks
        if not check_exists(name)
    ]
    found += [
        f"no such stand-in: {name}"
        for name in row.stand_ins
        if not _stand_in_exists(name)
    ]
    found += [
        fault for name in row.builds for fault in _build_faults(name, row)
    ]
    return found


@functools.cache
def scenarios() -> frozenset[str]:
    """Returns the names of all scenarios."""
    names: list[str] = []
    for file in (ROOT / "features").glob("*.feature"):
        text = file.read_text(encoding="utf-8")
        names += re.findall(r"^\s*Scenario(?: Outline)?: (.+?)\s*$", text, re.M)
    return frozenset(names)


def build_checks() -> dict[str, str]:
    """Returns the check that has to notice each broken build."""
    return {build.name: build.scenario for build in broken_builds.BUILDS}


def check_exists(name: str) -> bool:
    """Returns whether there is a scenario or a test of a name."""
    if name.startswith(SCENARIO):
        return name.removeprefix(SCENARIO) in scenarios()
    path, separator, test = name.partition("::")
    return bool(separator) and test in _tests(path)


@functools.cache
def _tests(path: str) -> frozenset[str]:
    """Returns the names of the tests of a module, without parameters."""
    file = ROOT / path
    if not (path.startswith("tests/test_") and file.is_file()):
        return frozenset()
    found = set()
    for node in ast.parse(file.read_text(encoding="utf-8")).body:
        if isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef):
            found.add(node.name)
        elif isinstance(node, ast.Assign):
            found |= {ast.unparse(target) for target in node.targets}
    return frozenset(name for name in found if name.lower().startswith("test"))


def _stand_in_exists(name: str) -> bool:
    """Returns whether a file or an object of a module has the name.

    Objects are named by their module, within the packages of stand-ins, and
    their attributes.
    """
    if "/" in name:
        return (ROOT / name).is_file()
    return any(
        _is_object(f"{package}.{name}") for package in _STAND_IN_PACKAGES
    )


def _is_object(path: str) -> bool:
    words = path.split(".")
    for count in range(len(words), 1, -1):
        module_name = ".".join(words[:count])
        try:
            found: object = importlib.import_module(module_name)
        except ModuleNotFoundError:
            continue
        for word in words[count:]:
            fields = getattr(found, "__dataclass_fields__", {})
            if not (hasattr(found, word) or word in fields):
                return False
            found = getattr(found, word, None)
        return True
    return False


def _build_faults(name: str, row: Row) -> list[str]:
    check = build_checks().get(name)
    if check is None:
        return [f"no such broken build: {name}"]
    # `behave` takes a part of a scenario's name.
    if any(check in known for known in row.checks):
        return []
    return [f"the check of the broken build {name!r} is not in its row"]
