"""Runs the rows of trials that are given on the command line."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import logging
import sys


def main(run_row: Callable[[str, int], Awaitable[str]]) -> None:
    """Runs each row with each seed and prints its line.

    The command line arguments are the rows, separated by commas, the first seed
    and the last seed.

    Args:
        run_row: Runs a row with a seed and returns its line.
    """
    logging.disable(logging.CRITICAL)
    rows, first, last = sys.argv[1].split(","), *map(int, sys.argv[2:4])
    for row in rows:
        for seed in range(first, last + 1):
            print(asyncio.run(_run(run_row, row, seed)), flush=True)


async def _run(
    run_row: Callable[[str, int], Awaitable[str]], row: str, seed: int
) -> str:
    return await run_row(row, seed)
