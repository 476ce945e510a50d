"""What a signal does to a running box."""

import asyncio
from collections.abc import Callable
from collections.abc import Mapping
import enum
import functools
import signal

from martenjunction.routing.log import decision_log


class Effect(enum.StrEnum):
    """What a signal does.

    Attributes:
        STOP: Starts a graceful shutdown.
        RELOAD: Reads the settings again.
    """

    STOP = "stop"
    RELOAD = "reload"


# SIGINT and SIGQUIT come from a terminal, by someone who wants the process to
# end. Their default actions would end what it has under way as well.
EFFECTS = {
    signal.SIGTERM: Effect.STOP,
    signal.SIGINT: Effect.STOP,
    signal.SIGQUIT: Effect.STOP,
    signal.SIGHUP: Effect.RELOAD,
}


def install(
    actions: Mapping[Effect, Callable[[], None]], log: decision_log.DecisionLog
) -> None:
    """Installs the handlers in the running event loop.

    Args:
        actions: What to call for each effect.
        log: Receives a line for each signal.
    """
    loop = asyncio.get_running_loop()

    def handle(number: signal.Signals, effect: Effect) -> None:
        log.write("signal", signal=number.name, effect=effect.value)
        actions[effect]()

    for number, effect in EFFECTS.items():
        loop.add_signal_handler(
            number, functools.partial(handle, number, effect)
        )
