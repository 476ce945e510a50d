"""Runs the daemon of a box on the platform.

It imports only what the daemon needs because a box is restarted often.
"""

import asyncio
import atexit
import faulthandler
import gc
import logging
import os

from martenjunction import errors
from martenjunction import gateway
from martenjunction import logs
from martenjunction import process_memory
from martenjunction.cmd import early_signals
from martenjunction.cmd import signal_handlers
from martenjunction.platform import box_settings


async def serve(path: str) -> None:
    """Serves until a graceful shutdown has completed.

    SIGTERM starts a graceful shutdown; SIGHUP reloads the settings. What other
    signals do, `signal_handlers` says.

    Args:
        path: The settings file.

    Raises:
        SettingsError: If the settings are invalid.
    """
    settings = box_settings.read(path)
    atexit.register(logs.start_bounded(settings.box).finish)
    daemon = gateway.Gateway(settings)
    loop = asyncio.get_running_loop()
    stops: list[asyncio.Task[None]] = []

    def stop() -> None:
        stops.append(loop.create_task(daemon.leave()))

    def reload() -> None:
        try:
            daemon.reload(box_settings.read(path))
        except errors.SettingsError as error:
            daemon.log.write("reload-failed", why=str(error))

    signal_handlers.install(
        {
            signal_handlers.Effect.STOP: stop,
            signal_handlers.Effect.RELOAD: reload,
        },
        daemon.log,
    )
    await daemon.start()
    # A stop needs a daemon that was started completely.
    early_signals.release()
    await daemon.wait_stopped()


def run() -> int:
    """Runs the daemon; returns the exit code.

    A fatal signal prints the stacks of all threads to standard error; an error
    that ends the daemon is logged.
    """
    faulthandler.enable()
    # What the imports made stays: a collection of all of it takes a long turn
    # of the event loop.
    gc.freeze()
    process_memory.return_large_blocks()
    path = os.environ.get(box_settings.SETTINGS_VARIABLE, "")
    try:
        asyncio.run(serve(path))
    except errors.SettingsError as error:
        logging.getLogger(__name__).error("%s", error)
        return 1
    except BaseException:
        # The trace goes to standard error, which is not part of the log.
        logging.getLogger(__name__).critical("the daemon failed", exc_info=True)
        raise
    return 0
