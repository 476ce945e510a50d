"""The case as a test, which runs only where it is asked for."""

import os
import pathlib
import subprocess

import pytest

SCRIPT = pathlib.Path(__file__).resolve().parent / "run.sh"


@pytest.mark.skipif(
    "REVIEW_CASES" not in os.environ, reason="set REVIEW_CASES to run it"
)
def test_rule_is_kept() -> None:
    """The script exits with 0 if the rule held."""
    assert subprocess.run([str(SCRIPT)], check=False).returncode == 0
