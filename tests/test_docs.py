"""Tests that generated pages are current and shown commands are valid."""

import pathlib
import re

import cappa
import pytest

from martenjunction.cmd import main
from tools import settings_reference

ROOT = pathlib.Path(__file__).parent.parent
PAGES = [ROOT / "README.md", *sorted((ROOT / "docs").rglob("*.md"))]


def test_settings_reference_is_current() -> None:
    page_text = settings_reference.PAGE.read_text(encoding="utf-8")
    assert page_text == settings_reference.page()


def commands() -> list[list[str]]:
    found = []
    for page in PAGES:
        for line in page.read_text(encoding="utf-8").splitlines():
            if line.startswith("    martenjunction "):
                found.append(line.split()[1:])
    return found


@pytest.mark.parametrize("words", commands(), ids=" ".join)
def test_shown_commands_are_understood(words: list[str]) -> None:
    environment = {"--operator-key", "--platform"} & set(words)
    needs_key = words[0] in ("dump", "drain")
    assert not needs_key or environment
    cappa.parse(main.Martenjunction, argv=words, completion=False)


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.name)
def test_links_lead_somewhere(page: pathlib.Path) -> None:
    text = page.read_text(encoding="utf-8")
    for target in re.findall(r"\]\(([^)#]+)\)", text):
        if "://" not in target:
            assert (page.parent / target).exists(), target
