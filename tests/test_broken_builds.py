"""Broken builds that still undo what they are for.

Guards against a build whose text has gone from its file: it would be whole, and
its check would be taken for one that notices nothing.
"""

import pathlib

import pytest

from tools import broken_build
from tools import broken_builds
from tools import broken_connection_builds

ROOT = pathlib.Path(__file__).parent.parent
BUILDS = (*broken_builds.BUILDS, *broken_connection_builds.BUILDS)


@pytest.mark.parametrize("build", BUILDS, ids=lambda build: build.name)
def test_text_of_a_broken_build_is_in_its_file(
    build: broken_build.BrokenBuild,
) -> None:
    edits = [(build.file, build.old, build.new)]
    edits += [build.also] if build.also else []
    for file, old, new in edits:
        assert old != new
        assert old in (ROOT / file).read_text(encoding="utf-8")
