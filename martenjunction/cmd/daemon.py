"""`martenjunction daemon`: runs the application in an event loop."""

import asyncio
import dataclasses
import os
import signal
from typing import Annotated

import cappa
import uvloop

from martenjunction import application
from martenjunction import logs
from martenjunction.cmd import early_signals
from martenjunction.config import settings as daemon_settings


@cappa.command(help="Run a daemon: martenjunction daemon --config box.ini")
@dataclasses.dataclass
class Daemon:
    """Runs a daemon until it is told to stop."""

    config: Annotated[str, cappa.Arg(long=True, help="The daemon's INI file.")]

    def __call__(self) -> None:
        """Runs the daemon."""
        settings = daemon_settings.read_daemon(self.config)
        logs.start(settings.log, settings.box)
        run(settings)


def run(settings: daemon_settings.DaemonSettings) -> None:
    """Runs a daemon in a new event loop."""
    if settings.loop == "uvloop":
        # libuv must not use io_uring.
        os.environ["UV_USE_IO_URING"] = "0"
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(serve(settings))
    else:
        asyncio.run(serve(settings))


async def serve(settings: daemon_settings.DaemonSettings) -> None:
    """Serves until a graceful shutdown has completed.

    SIGTERM, SIGINT and SIGHUP start a graceful shutdown.
    """
    daemon = application.Application(settings)
    loop = asyncio.get_running_loop()
    stops: list[asyncio.Task[None]] = []

    def stop() -> None:
        stops.append(loop.create_task(daemon.drain()))

    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        loop.add_signal_handler(number, stop)
    await daemon.start()
    # A stop needs a daemon that was started completely.
    early_signals.release()
    await daemon.wait_drained()
