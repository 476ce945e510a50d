"""Plays second attempts beside other trouble, with one seed after the other.

    python -m tests.troubled_table FIRST_SEED LAST_SEED SECONDS

Prints what was seen of each play, and the invariants that it broke.
"""

import logging
import sys
from typing import Any

from martenjunction_lab import troubled_attempts
from martenjunction_lab.simulated import loop as simulated_loop
from tests import routing_builders as builders


def config() -> dict[str, Any]:
    """Returns a configuration whose limits do not hide a second run."""
    made = builders.relaxed_config_document()
    for route in made["routes"]:
        route["timeout_ms"] = 9000
        route["max_attempts"] = 3
    return made


def main() -> None:
    """Plays the seeds of the command line."""
    logging.disable(logging.CRITICAL)
    first, last = map(int, sys.argv[1:3])
    for seed in range(first, last + 1):
        fleet = troubled_attempts.TroubledFleet(seed)
        work = fleet.play(config(), float(sys.argv[3]))
        found = simulated_loop.run(work, seed)
        print(
            f"seed {seed}: {len(found.seen.asked)} requests,"
            f" {found.second} second attempts,"
            f" {dict(sorted(found.seen.outcomes().items()))},"
            f" {dict(sorted(found.played.items()))}",
            flush=True,
        )
        for broken in found.broken:
            print(f"  broken: {broken}", flush=True)


if __name__ == "__main__":
    main()
