"""Fuzzes several targets one after the other and writes what was found."""

from collections.abc import Sequence
import pathlib

# Importing the families registers their targets.
from martenjunction_lab.fuzz import corpus
from martenjunction_lab.fuzz import families  # noqa: F401
from martenjunction_lab.fuzz import report
from martenjunction_lab.fuzz import runs
from martenjunction_lab.fuzz import targets


def play(
    names: Sequence[str],
    seconds: float,
    count: int | None,
    seed: int,
    out: pathlib.Path | None,
) -> int:
    """Fuzzes targets and prints a line for each.

    Args:
        names: Names of the targets; all if empty.
        seconds: Seconds for each target, unless a count is given.
        count: Number of inputs of each target, or None.
        seed: Decides the inputs.
        out: Folder for the lines, a plot and the inputs of findings; None to
            write nothing.

    Returns:
        1 if a fault was found, otherwise 0.

    Raises:
        MartenjunctionError: If there is no target of a name.
    """
    played = []
    for name in names or list(targets.registered):
        run = runs.run(name, seed, None if count else seconds, count)
        print(report.line(run), flush=True)
        played.append(run)
    if out is not None:
        _write(played, out)
    return int(any(run.failed for run in played))


def _write(played: Sequence[runs.Run], out: pathlib.Path) -> None:
    out.mkdir(parents=True, exist_ok=True)
    lines = [report.line(run) + "\n" for run in played]
    (out / "runs.jsonl").write_text("".join(lines), encoding="utf-8")
    report.plot(played, out / "runs.png")
    for run in played:
        for finding in run.findings:
            corpus.add(run.target, finding.data, out / "findings")
