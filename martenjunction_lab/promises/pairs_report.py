"""Tables of what was seen of plays, and files of seeds."""

import collections
from collections.abc import Iterable
from collections.abc import Sequence
import json
import pathlib

from martenjunction_lab.promises import play_pairs

# The most broken promises of a play that are printed.
MAX_SHOWN = 5


def headings() -> str:
    """Returns the headings of the rows."""
    return (
        f"{'seed':>6}  {'requests':>8}  {'served':>6}  {'left':>4}  "
        f"{'sim s':>6}  {'real s':>6}  {'broken':>6}  behaviours"
    )


def row(outcome: play_pairs.Outcome) -> str:
    """Returns the line of a play."""
    return (
        f"{outcome.seed:>6}  {outcome.requests:>8}  {outcome.served:>6}  "
        f"{outcome.left:>4}  {outcome.simulated_s:>6.1f}  "
        f"{outcome.real_s:>6.1f}  {len(outcome.broken):>6}  {outcome.name}"
    )


def details(outcome: play_pairs.Outcome) -> str:
    """Returns what a play's behaviours were, and the promises it broke."""
    lines = [f"  {one}" for one in outcome.played]
    lines += [f"  broken: {one}" for one in outcome.broken[:MAX_SHOWN]]
    if len(outcome.broken) > MAX_SHOWN:
        lines.append(f"  and {len(outcome.broken) - MAX_SHOWN} more")
    return "\n".join([*lines, *outcome.trace])


def table(outcomes: Iterable[play_pairs.Outcome]) -> str:
    """Returns a line for each pair: plays and broken promises."""
    plays: collections.Counter[str] = collections.Counter()
    broken: collections.Counter[str] = collections.Counter()
    for outcome in outcomes:
        plays[outcome.name] += 1
        broken[outcome.name] += len(outcome.broken)
    lines = [f"{'plays':>6}  {'broken':>6}  pair"]
    lines += [
        f"{count:>6}  {broken[name]:>6}  {name}"
        for name, count in sorted(plays.items())
    ]
    lines.append(f"{plays.total():>6}  {broken.total():>6}  all")
    return "\n".join(lines)


def results(outcomes: Sequence[play_pairs.Outcome]) -> str:
    """Returns a table of Markdown with a row for each play.

    Args:
        outcomes: The plays.
    """
    lines = [
        "| pair | requests | served | promises broken | seed |",
        "|---|---|---|---|---|",
    ]
    lines += [
        f"| {one.name} | {one.requests} | {one.served} | {len(one.broken)} "
        f"| {one.seed} |"
        for one in outcomes
    ]
    sums = [
        len(outcomes),
        sum(one.requests for one in outcomes),
        sum(one.served for one in outcomes),
        sum(len(one.broken) for one in outcomes),
    ]
    lines.append("| all {} | {} | {} | {} | |".format(*sums))
    return "\n".join(lines)


def write_failing(
    series: play_pairs.Series,
    outcomes: Iterable[play_pairs.Outcome],
    path: pathlib.Path,
) -> int:
    """Writes a line of JSON for each play that broke a promise.

    Args:
        series: What they are plays of.
        outcomes: The plays.
        path: The file, which is replaced.

    Returns:
        How many there are.
    """
    failing = [outcome for outcome in outcomes if outcome.broken]
    lines = [
        json.dumps(
            {
                "seed": one.seed,
                "pair": one.name,
                "command": series.command(one),
                "broken": list(one.broken),
            }
        )
        for one in failing
    ]
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text("".join(f"{line}\n" for line in lines), encoding="utf-8")
    return len(failing)
