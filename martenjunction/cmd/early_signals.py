"""Holds signals back until their handlers are installed.

The default action of these signals ends a process at once, and a program
imports its modules for some tenths of a second before it can install a handler.
Entry points import only the standard library before they call `hold`.
"""

import signal

HELD = frozenset({signal.SIGHUP, signal.SIGINT, signal.SIGQUIT, signal.SIGTERM})

# Signals that mean nothing to a box, sent by mistake, as by a tool that was
# meant for another program. They have no handler: frames of many handlers at
# once overflow the alternate stack of `faulthandler`. Signals of faults and of
# limits keep their actions; the interpreter itself ignores SIGPIPE and SIGXFSZ.
MEANINGLESS = frozenset(
    {
        signal.SIGUSR1,
        signal.SIGUSR2,
        signal.SIGALRM,
        signal.SIGVTALRM,
        signal.SIGPROF,
        signal.SIGIO,
        signal.SIGPWR,
        signal.SIGSTKFLT,
    }
)


def hold() -> None:
    """Blocks the signals; those that arrive stay pending.

    Threads and child processes started before `release` inherit the block.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, HELD)


def release() -> None:
    """Unblocks the signals; pending ones reach the installed handlers."""
    # One at a time: their handlers' frames would nest.
    for number in HELD:
        signal.pthread_sigmask(signal.SIG_UNBLOCK, {number})


def ignore_meaningless() -> None:
    """Ignores the signals that mean nothing to a box."""
    for number in MEANINGLESS:
        signal.signal(number, signal.SIG_IGN)
