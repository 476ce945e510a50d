"""Runs a box and records the long turns of its event loop.

    python PATH/probed_box.py FILE

The box's code comes from the working folder. Each line of the file has the
steady time, the kind of a turn and its processor time in seconds. Time in which
the process did not run does not count, so that the machine's load does not
matter.
"""

import asyncio
from collections.abc import Callable
import functools
import os
import runpy
import sys
import time
from typing import Any

# Turns that take less processor time are not recorded, in seconds.
LEAST_S = 0.004

ITERATION = "iteration"
CALLBACK = "callback"


def _recorded(kind: str, call: Callable[[Any], None], file: Any) -> Any:
    """Wraps a method of the event loop that runs callbacks."""

    @functools.wraps(call)
    def run(its: Any) -> None:
        began_at = time.thread_time()
        call(its)
        spent = time.thread_time() - began_at
        if spent >= LEAST_S:
            file.write(f"{time.monotonic()} {kind} {spent}\n")

    return run


def main(path: str) -> None:
    """Runs the box until it ends."""
    # The interpreter puts the folder of this file first.
    sys.path[0] = os.getcwd()
    file = open(path, "w", buffering=1)  # noqa: SIM115
    handle: Any = asyncio.Handle
    loop: Any = asyncio.BaseEventLoop
    handle._run = _recorded(CALLBACK, handle._run, file)
    loop._run_once = _recorded(ITERATION, loop._run_once, file)
    runpy.run_module("martenjunction.cmd.box", run_name="__main__")


if __name__ == "__main__":
    main(sys.argv[1])
