"""Sets scenarios up and tears their processes down."""

import asyncio
import threading
from typing import Any


class LoopThread:
    """An event loop in a thread of its own, for the asynchronous world."""

    def __init__(self) -> None:
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(
            target=self._loop.run_forever, daemon=True
        )
        self._thread.start()

    def start(self, work: Any) -> Any:
        """Starts some work; returns its future."""
        return asyncio.run_coroutine_threadsafe(work, self._loop)

    def run(self, work: Any, limit: float = 120.0) -> Any:
        """Runs some work to its end."""
        return self.start(work).result(limit)

    def call(self, function: Any) -> Any:
        """Calls a function inside the loop."""

        async def work() -> Any:
            return function()

        return self.run(work())


def before_all(context: Any) -> None:
    context.loop = LoopThread()


def before_scenario(context: Any, scenario: Any) -> None:
    context.cluster = None
    context.load = None
    context.traffic = None
    context.notes = {}


def after_scenario(context: Any, scenario: Any) -> None:
    if context.traffic is not None:
        context.traffic.cancel()
    if context.cluster is not None:
        if scenario.status == "failed":
            _show_logs(context)
        context.loop.run(context.cluster.stop())
    if context.load is not None:
        context.loop.call(context.load.close)


def _show_logs(context: Any) -> None:
    for daemon in context.cluster.daemons.values():
        text = daemon.log_file.read_text()
        lines = [
            line
            for line in text.splitlines()
            if '"level": "error"' in line or "Traceback" in line
        ]
        print(daemon.settings.box, *lines[-5:], sep="\n")
