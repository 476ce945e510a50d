"""Entry point of the `martenjunction-lab` command."""

import dataclasses
import json
import logging
import pathlib
import sys
from typing import Annotated

import cappa
import uvloop

from martenjunction_lab import baselines
from martenjunction_lab import compare
from martenjunction_lab import demo
from martenjunction_lab import scenarios
from martenjunction_lab.capacity import page
from martenjunction_lab.explore import commands
from martenjunction_lab.fast_senders import forms
from martenjunction_lab.fast_senders import trial
from martenjunction_lab.promises import pairs_report
from martenjunction_lab.promises import play_pairs
from martenjunction_lab.replays import ablations
from martenjunction_lab.replays import loads
from martenjunction_lab.replays import report
from martenjunction_lab.spread import table
from martenjunction_lab.stream_losses import series
from martenjunction_lab.stream_losses import trials


@cappa.command(help="Run both users' fleets under a burst, in one process.")
@dataclasses.dataclass
class Demo:
    """Runs the demonstration."""

    seconds: Annotated[
        float, cappa.Arg(long=True, help="How long requests are sent.")
    ] = 15.0
    seed: Annotated[int, cappa.Arg(long=True, help="Decides the load.")] = 1
    json: Annotated[
        bool, cappa.Arg(long=True, help="Print one JSON object.")
    ] = False
    serve: Annotated[
        bool, cappa.Arg(long=True, help="Keep the fleet running.")
    ] = False

    def __call__(self) -> None:
        """Runs it."""
        if self.serve:
            uvloop.run(demo.serve())
        sys.exit(uvloop.run(demo.run(self.seconds, self.seed, self.json)))


@cappa.command(help="Let simulated boxes hear of configurations.")
@dataclasses.dataclass
class Spread:
    """Prints how long changes take until they are in force."""

    def __call__(self) -> None:
        """Simulates the fleets."""
        logging.disable(logging.WARNING)
        for line in table.text():
            print(line, flush=True)


@cappa.command(help="Send the same load under several policies.")
@dataclasses.dataclass
class Compare:
    """Compares policies."""

    scenario: Annotated[
        str, cappa.Arg(long=True, help="The situation; all if left out.")
    ] = ""
    policies: Annotated[
        str, cappa.Arg(long=True, help="Policies, comma-separated.")
    ] = ",".join(baselines.USUAL)
    seconds: Annotated[
        float, cappa.Arg(long=True, help="How long requests are sent.")
    ] = 20.0
    seed: Annotated[int, cappa.Arg(long=True, help="Decides the load.")] = 1
    daemons: Annotated[int, cappa.Arg(long=True, help="Daemons.")] = 1
    json: Annotated[
        bool, cappa.Arg(long=True, help="Print one JSON object.")
    ] = False

    def __call__(self) -> None:
        """Compares them."""
        names = [self.scenario] if self.scenario else list(scenarios.scenarios)
        policies = tuple(self.policies.split(","))
        found = {}
        for name in names:
            found[name] = uvloop.run(
                compare.compare(
                    name, self.seconds, self.seed, policies, self.daemons
                )
            )
            if not self.json:
                print(f"== {name}\n{compare.table(found[name])}")
        if self.json:
            print(
                json.dumps(
                    {
                        "seed": self.seed,
                        "runs": [
                            {"scenario": name, **run.as_json()}
                            for name, runs in found.items()
                            for run in runs
                        ],
                    }
                )
            )


@cappa.command(help="Replay loads in simulated time, with parts left out.")
@dataclasses.dataclass
class Replay:
    """Replays loads against the present policy and its ablations."""

    load: Annotated[
        str, cappa.Arg(long=True, help="The load; all if left out.")
    ] = ""
    without: Annotated[
        str, cappa.Arg(long=True, help="Ablations, comma-separated.")
    ] = ",".join(["none", *(n for n in ablations.ablations if n != "none")])

    def __call__(self) -> None:
        """Replays and prints."""
        for name in [self.load] if self.load else list(loads.loads):
            print(f"== {name}\n{report.table(name, self.without.split(','))}")


@cappa.command(help="Measure slopes and work them out at the target size.")
@dataclasses.dataclass
class Capacity:
    """Prints the tables of docs/CAPACITY.md, measured anew."""

    def __call__(self) -> None:
        """Measures and prints."""
        print(page.page(uvloop.run(page.measure())))


@cappa.command(help="Let peers send without a pause, beside other clients.")
@dataclasses.dataclass
class Senders:
    """Prints a table of what a box and its clients bear."""

    form: Annotated[
        str, cappa.Arg(long=True, help="Part of a form's name; all if empty.")
    ] = ""
    count: Annotated[int, cappa.Arg(long=True, help="Senders at once.")] = 1
    clients: Annotated[int, cappa.Arg(long=True, help="Other clients.")] = 20
    seconds: Annotated[
        float, cappa.Arg(long=True, help="How long the others send.")
    ] = 3.5
    code: Annotated[
        pathlib.Path, cappa.Arg(long=True, help="Folder of the box's code.")
    ] = pathlib.Path()

    def __call__(self) -> None:
        """Plays one form after the other."""
        chosen = [form for n, form in forms.FORMS.items() if self.form in n]
        print(trial.headings())
        for form in [None, *chosen]:
            played = trial.Trial(
                form,
                self.count,
                self.clients,
                seconds=self.seconds,
                code=self.code,
            )
            print(trial.row(played, uvloop.run(trial.play(played))), flush=True)


@cappa.command(help="Let clients take streams up after boxes were killed.")
@dataclasses.dataclass
class StreamLosses:
    """Prints what became of streams after boxes lost what they knew."""

    names: Annotated[
        str, cappa.Arg(long="--trials", help="Trials, comma-separated.")
    ] = ",".join(trials.TRIALS)
    seeds: Annotated[str, cappa.Arg(long=True, help="Seeds, first..last.")] = (
        "1"
    )
    jobs: Annotated[int, cappa.Arg(long=True, help="Trials at once.")] = 1
    simulated: Annotated[
        bool, cappa.Arg(long=True, help="Play in simulated time.")
    ] = False
    plot: Annotated[
        pathlib.Path | None,
        cappa.Arg(long=True, help="Picture of the attempts over time."),
    ] = None
    logs: Annotated[
        pathlib.Path | None,
        cappa.Arg(long=True, help="Folder for the logs of boxes."),
    ] = None

    def __call__(self) -> None:
        """Plays each trial with each seed."""
        # Loads matplotlib, which other commands need not wait for.
        from martenjunction_lab.stream_losses import report

        played = series.Series(
            self.names.split(","),
            series.parse_seeds(self.seeds),
            self.jobs,
            self.simulated,
            self.logs,
        )
        seen = {}
        print(report.headings())
        for name, seed, outcome in played.play():
            print(report.row(name, seed, outcome), flush=True)
            seen[f"{name}, seed {seed}"] = outcome
        if self.plot is not None:
            report.plot(seen, self.plot)


@cappa.command(help="Play drawn pairs of behaviours and judge what was seen.")
@dataclasses.dataclass
class Pairs:
    """Plays pairs in simulated time; fails if a promise is broken."""

    seeds: Annotated[str, cappa.Arg(long=True, help="Seeds, first..last.")] = (
        "1"
    )
    jobs: Annotated[int, cappa.Arg(long=True, help="Plays at once.")] = 1
    kinds: Annotated[
        str,
        cappa.Arg(long=True, help="Kinds, comma-separated; all if empty."),
    ] = ""
    alone: Annotated[
        bool, cappa.Arg(long=True, help="Play each kind alone.")
    ] = False
    every: Annotated[
        bool,
        cappa.Arg(
            long="--all",
            help="Play each pair once, with one seed after the other.",
        ),
    ] = False
    among: Annotated[
        str,
        cappa.Arg(
            long="--with", help="Kinds of which each pair has one, with --all."
        ),
    ] = ""
    first: Annotated[
        int,
        cappa.Arg(long="--from", help="Number of the first pair, with --all."),
    ] = 0
    count: Annotated[
        int | None,
        cappa.Arg(long=True, help="How many pairs are played, with --all."),
    ] = None
    trace: Annotated[
        bool, cappa.Arg(long=True, help="Print all events of each play.")
    ] = False
    judge: Annotated[str, cappa.Arg(long=True, help="Module of the judge.")] = (
        play_pairs.JUDGE
    )
    failing: Annotated[
        pathlib.Path,
        cappa.Arg(long=True, help="File for the seeds that failed."),
    ] = pathlib.Path("out/failing-pairs.jsonl")

    def __call__(self) -> None:
        """Plays and prints."""
        played = play_pairs.Series(
            series.parse_seeds(self.seeds),
            _names(self.kinds),
            self.alone,
            self.jobs,
            self.judge,
            self.trace,
            self.every,
            _names(self.among),
            self.first,
            self.count,
        )
        print(pairs_report.headings())
        seen = []
        for outcome in played.play():
            print(pairs_report.row(outcome), flush=True)
            if outcome.broken or self.trace:
                print(pairs_report.details(outcome), flush=True)
            seen.append(dataclasses.replace(outcome, trace=()))
        table = pairs_report.results if self.every else pairs_report.table
        print(table(seen))
        sys.exit(bool(pairs_report.write_failing(played, seen, self.failing)))


def _names(listed: str) -> tuple[str, ...]:
    """Returns the names of a comma-separated list."""
    return tuple(name for name in listed.split(",") if name)


@cappa.command(help="Decode odd inputs and look for what decoders do wrong.")
@dataclasses.dataclass
class Fuzz:
    """Fuzzes the decoders of what comes from outside."""

    targets: Annotated[
        list[str], cappa.Arg(help="Names of targets; all if left out.")
    ] = dataclasses.field(default_factory=list)
    seconds: Annotated[
        float, cappa.Arg(long=True, help="Seconds for each target.")
    ] = 10.0
    count: Annotated[
        int | None,
        cappa.Arg(long=True, help="Inputs of each target, for any time."),
    ] = None
    seed: Annotated[int, cappa.Arg(long=True, help="Decides the inputs.")] = 1
    out: Annotated[
        pathlib.Path | None,
        cappa.Arg(long=True, help="Folder for lines, a plot and findings."),
    ] = None

    def __call__(self) -> None:
        """Fuzzes one target after the other; fails if a fault is found."""
        # Loads matplotlib, which other commands need not wait for.
        from martenjunction_lab.fuzz import session

        logging.disable(logging.ERROR)
        sys.exit(
            session.play(
                self.targets, self.seconds, self.count, self.seed, self.out
            )
        )


@cappa.command(
    name="martenjunction-lab", help="Stand-ins, load and experiments."
)
@dataclasses.dataclass
class Lab:
    """The command and its subcommands."""

    subcommand: cappa.Subcommands[
        Demo
        | Compare
        | Replay
        | Spread
        | Capacity
        | Senders
        | StreamLosses
        | Pairs
        | Fuzz
        | commands.Explore
    ]


def main() -> None:
    """Runs the command."""
    logging.basicConfig(level=logging.ERROR)
    cappa.invoke(Lab)
