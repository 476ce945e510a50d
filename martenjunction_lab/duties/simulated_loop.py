"""An event loop in simulated time, for the daemons' own tasks."""

import asyncio
from collections.abc import Coroutine
import selectors
from typing import Any
from typing import TypeVar

T = TypeVar("T")


class _Jump(selectors.DefaultSelector):
    """Advances the time in place of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout: float | None = None) -> list[Any]:
        if timeout is None:
            raise RuntimeError("nothing would ever happen")
        self.now += max(0.0, timeout)
        return []


class SimulatedLoop(asyncio.SelectorEventLoop):
    """Runs tasks as fast as it can; sleeping takes no time."""

    def __init__(self) -> None:
        """Initializes a loop at time 0."""
        self._jump = _Jump()
        super().__init__(self._jump)

    def time(self) -> float:
        """Returns the simulated time in seconds."""
        return self._jump.now


def run(main: Coroutine[Any, Any, T]) -> T:
    """Runs a coroutine in simulated time, and ends what it leaves running."""
    with asyncio.Runner(loop_factory=SimulatedLoop) as runner:
        return runner.run(main)
