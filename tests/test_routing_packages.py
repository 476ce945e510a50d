"""The packages of `martenjunction.routing` import each other one way only."""

from collections.abc import Iterator
import pathlib
import re

import pytest

ROOT = pathlib.Path(__file__).resolve().parent.parent / "martenjunction"
ROUTING = ROOT / "routing"

# What each package takes, as in docs/design/routing-packages.md.
ALLOWED = {
    "log": set(),
    "messages": set(),
    "access": set(),
    "fleet": {"log", "messages"},
    "endpoints": {"log"},
    "streams": {"log"},
    "store": {"access", "fleet", "log", "messages"},
    "limits": {"access", "endpoints", "fleet", "log", "messages"},
    "quarantine": {"access", "endpoints", "fleet", "log", "messages"},
    "ports": {"access", "endpoints", "limits", "quarantine", "sync"},
    "sync": {"endpoints", "fleet", "log", "messages", "store"},
    "requests": {
        "access",
        "endpoints",
        "limits",
        "log",
        "quarantine",
        "streams",
    },
}

IMPORT = re.compile(
    r"^\s*(?:from|import) martenjunction\.routing(?:\.(\w+)| import (\w+))",
    re.MULTILINE,
)


def taken_from(source: str) -> set[str]:
    """Returns the packages or modules of routing that a module imports."""
    return {one or two for one, two in IMPORT.findall(source)}


def modules(folder: pathlib.Path) -> Iterator[pathlib.Path]:
    return folder.rglob("*.py")


def test_table_names_all_packages() -> None:
    found = {p.name for p in ROUTING.iterdir() if (p / "__init__.py").exists()}
    assert found == set(ALLOWED)


@pytest.mark.parametrize("package", sorted(ALLOWED))
def test_package_imports_only_what_the_table_allows(package: str) -> None:
    for module in modules(ROUTING / package):
        taken = taken_from(module.read_text(encoding="utf-8")) - {package}
        assert taken <= ALLOWED[package], module.name


def test_table_has_no_cycle() -> None:
    remaining = {name: set(taken) for name, taken in ALLOWED.items()}
    while remaining:
        lowest = {name for name, taken in remaining.items() if not taken}
        assert lowest, remaining
        for name in lowest:
            del remaining[name]
        for taken in remaining.values():
            taken -= lowest


def test_decisions_do_not_import_routing() -> None:
    for module in modules(ROOT / "decisions"):
        assert not taken_from(module.read_text(encoding="utf-8")), module.name


@pytest.mark.parametrize(
    ("line", "taken"),
    [
        ("from martenjunction.routing.requests import offers\n", "requests"),
        ("from martenjunction.routing import box_dump\n", "box_dump"),
        ("    import martenjunction.routing.sync.peer_sync\n", "sync"),
    ],
)
def test_import_of_a_higher_package_is_seen(line: str, taken: str) -> None:
    assert taken_from(line) == {taken}
    assert taken not in ALLOWED["fleet"]
