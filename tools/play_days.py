"""Plays each kind of trouble, alone or in pairs, on the users' bench.

    python3 -m tools.play_days BENCH SITE [--pairs N] [--seed N] [--jobs N]

A line for each day whose rules were broken or that failed to play, with the
day's seed, and a closing line with the number of both. Days are written to the
folder named by --out, so that one can be played again.
"""

import argparse
from concurrent import futures
import dataclasses
import json
import pathlib
import random
import subprocess
import sys
import tomllib
from typing import Any

ROOT = pathlib.Path(__file__).resolve().parent.parent
TABLE = ROOT / "tools" / "kinds.toml"

# Seconds of traffic at which troubles of a day begin.
STARTS_S = (3.0, 12.0, 21.0)

# Seconds by which the second of a pair begins before or after the first.
MOST_APART_S = 3.0

Trouble = dict[str, Any]


@dataclasses.dataclass(frozen=True)
class Day:
    """One day to play.

    Attributes:
        name: Names its file.
        seed: The day's seed.
        troubles: What strikes, with its times.
    """

    name: str
    seed: int
    troubles: tuple[Trouble, ...]


def days_alone(table: list[Trouble], rng: random.Random) -> list[Day]:
    """Returns a day for each entry, which strikes thrice."""
    days = []
    for number, entry in enumerate(table):
        strikes = tuple({**entry, "at": at} for at in STARTS_S)
        name = f"alone-{number}-{entry['kind']}"
        days.append(Day(name, rng.randrange(1, 1_000_000), strikes))
    return days


def days_in_pairs(
    table: list[Trouble], count: int, rng: random.Random
) -> list[Day]:
    """Returns days on which drawn pairs strike close to each other."""
    days = []
    for number in range(count):
        troubles = []
        names = []
        for at in STARTS_S:
            first, second = rng.sample(table, 2)
            apart = rng.uniform(-MOST_APART_S, MOST_APART_S)
            troubles.append({**first, "at": at})
            troubles.append({**second, "at": round(max(0.1, at + apart), 2)})
            names += [first["kind"], second["kind"]]
        seed = rng.randrange(1, 1_000_000)
        days.append(Day(f"pairs-{number}", seed, tuple(troubles)))
    return days


def write(day: Day, folder: pathlib.Path) -> pathlib.Path:
    """Writes a day as a file for the bench; returns its path."""
    lines = ["[[day]]", f'name = "{day.name}"', f"seed = {day.seed}"]
    for title, planned in (("plan", True), ("faults", False)):
        rows = [t for t in day.troubles if t.get("plan", False) is planned]
        lines.append(f"{title} = [")
        lines += [f"  {_inline(row)}," for row in rows]
        lines.append("]")
    path = folder / f"{day.name}.toml"
    path.write_text("\n".join(lines) + "\n", encoding="utf-8")
    return path


def play(bench: str, site: str, day: Day, folder: pathlib.Path) -> str:
    """Plays a day; returns what was broken, or an empty text."""
    path = write(day, folder)
    report = path.with_suffix(".json")
    done = subprocess.run(
        [bench, "run", site, str(path), "--report", str(report)],
        cwd=ROOT,
        check=False,
        text=True,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
    )
    path.with_suffix(".txt").write_text(done.stdout, encoding="utf-8")
    if not report.exists():
        return f"not played: {done.stdout.strip()[-200:]}"
    figures = json.loads(report.read_text(encoding="utf-8"))
    wrong = dict(figures["breaks"])
    if figures["fault"]:
        wrong["fault"] = figures["fault"]
    return json.dumps(wrong) if wrong else ""


def _inline(row: Trouble) -> str:
    pairs = [f"{k} = {json.dumps(v)}" for k, v in row.items() if k != "plan"]
    return "{ " + ", ".join(pairs) + " }"


def main() -> int:
    """Plays the days; returns the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("bench")
    parser.add_argument("site")
    parser.add_argument("--pairs", type=int, default=0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--out", type=pathlib.Path, default=ROOT / "out")
    asked = parser.parse_args()
    table = tomllib.loads(TABLE.read_text(encoding="utf-8"))["trouble"]
    rng = random.Random(asked.seed)
    if asked.pairs:
        days = days_in_pairs(table, asked.pairs, rng)
    else:
        days = days_alone(table, rng)
    asked.out.mkdir(parents=True, exist_ok=True)
    broken = 0
    with futures.ThreadPoolExecutor(asked.jobs) as pool:
        results = pool.map(
            lambda day: (day, play(asked.bench, asked.site, day, asked.out)),
            days,
        )
        for day, wrong in results:
            if wrong:
                broken += 1
                print(f"{day.name} seed {day.seed}: {wrong}", flush=True)
    print(f"{len(days)} days played, {broken} broken")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
