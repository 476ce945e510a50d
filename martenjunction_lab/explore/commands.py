"""The command that explores orders of events."""

import dataclasses
import sys
from typing import Annotated

import cappa


@cappa.command(help="Play every order of events on one client connection.")
@dataclasses.dataclass
class Connection:
    """Explores what happens to the requests of one connection."""

    depth: Annotated[
        int, cappa.Arg(long=True, help="Steps of orders that are enumerated.")
    ] = 2
    walks: Annotated[
        int, cappa.Arg(long=True, help="Number of random walks.")
    ] = 500
    seed: Annotated[
        int, cappa.Arg(long=True, help="Decides walks and boxes' chances.")
    ] = 1
    jobs: Annotated[
        int,
        cappa.Arg(
            long=True, help="Number of processes; by default by processors."
        ),
    ] = 0
    seconds: Annotated[
        float, cappa.Arg(long=True, help="Real seconds at most.")
    ] = float("inf")
    situation_depth: Annotated[
        int,
        cappa.Arg(long=True, help="Steps of orders after known situations."),
    ] = 1
    loopback: Annotated[
        bool, cappa.Arg(long=True, help="Use no sockets in memory.")
    ] = False
    order: Annotated[
        str, cappa.Arg(long=True, help="Steps to play instead, with spaces.")
    ] = ""

    def __call__(self) -> None:
        """Explores; fails if an invariant is broken."""
        # Loads a whole box, which other commands need not wait for.
        from martenjunction_lab.explore import session

        if self.order:
            sys.exit(session.replay(self.order, self.seed))
        sys.exit(
            session.explore(
                self.depth,
                self.walks,
                self.seed,
                self.jobs,
                self.seconds,
                self.situation_depth,
                not self.loopback,
            )
        )


@cappa.command(help="Play every order of events, up to a depth.")
@dataclasses.dataclass
class Explore:
    """Explores orders of events."""

    subcommand: cappa.Subcommands[Connection]
