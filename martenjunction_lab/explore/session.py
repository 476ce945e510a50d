"""Explores, or plays an order again, and prints what was found."""

import logging

from martenjunction_lab.explore import events
from martenjunction_lab.explore import plays
from martenjunction_lab.explore import search


def explore(
    depth: int,
    walks: int,
    seed: int,
    jobs: int,
    limit_s: float = float("inf"),
    begun_depth: int = 1,
    in_memory: bool = True,
) -> int:
    """Explores; returns 1 if an invariant was broken, otherwise 0.

    Args:
        depth: Steps of the longest orders that are enumerated.
        walks: Number of random walks.
        seed: Decides the walks, and what a box leaves to chance.
        jobs: Number of processes; 0 for as many as usual.
        limit_s: Real seconds after which it ends.
        begun_depth: Steps of the longest orders that are enumerated after each
            known situation.
        in_memory: Whether sockets are in memory at first.
    """
    logging.disable(logging.WARNING)
    jobs = jobs or search.usual_jobs()
    found = search.explore(
        depth,
        walks,
        seed,
        jobs,
        limit_s,
        begun_depth=begun_depth,
        in_memory=in_memory,
    )
    print(
        f"processes {jobs}, orders {found.orders}, "
        f"impossible {found.impossible}, states {len(found.states)}, "
        f"depth {found.depth}, {found.seconds:.1f} s, "
        f"{found.orders / found.seconds:.0f} orders a second, "
        f"counterexamples {len(found.broken)}"
    )
    for outcome in found.broken.values():
        _print(search.minimise(outcome, seed), seed)
    return int(bool(found.broken))


def replay(order: str, seed: int) -> int:
    """Plays one order; returns 1 if it broke an invariant, otherwise 0.

    Args:
        order: Its steps, separated by spaces.
        seed: Decides what a box leaves to chance.
    """
    logging.disable(logging.WARNING)
    steps = tuple(order.split())
    unknown = set(steps) - set(events.ALL_STEPS)
    if unknown:
        raise SystemExit(f"unknown steps: {' '.join(sorted(unknown))}")
    outcome = plays.play(steps, seed, traced=True)
    if not outcome.possible:
        raise SystemExit("an event of the order could not take place")
    _print(outcome, seed)
    return int(bool(outcome.broken))


def _print(outcome: plays.Outcome, seed: int) -> None:
    print(f'\n--seed {seed} --order "{" ".join(outcome.order)}"')
    for line in outcome.timeline:
        print(line)
    for text in outcome.broken or ("no invariant broken",):
        print(f"  {text}")
