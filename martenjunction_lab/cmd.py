"""Entry point of the `martenjunction-lab` command."""

import dataclasses
import logging
import sys
from typing import Annotated

import cappa
import uvloop

from martenjunction_lab import demo


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


@cappa.command(
    name="martenjunction-lab", help="Stand-ins, load and experiments."
)
@dataclasses.dataclass
class Lab:
    """The command and its subcommands."""

    subcommand: cappa.Subcommands[Demo]


def main() -> None:
    """Runs the command."""
    logging.basicConfig(level=logging.ERROR)
    cappa.invoke(Lab)
