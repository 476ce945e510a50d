"""Holds signals back until their handlers are installed.

The default action of SIGHUP and SIGTERM ends a process at once, and a program
imports its modules for some tenths of a second before it can install a handler.
Entry points import only the standard library before they call `hold`.
"""

import signal

HELD = frozenset({signal.SIGHUP, signal.SIGINT, signal.SIGTERM})


def hold() -> None:
    """Blocks the signals; those that arrive stay pending.

    Threads and child processes started before `release` inherit the block.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, HELD)


def release() -> None:
    """Unblocks the signals; pending ones reach the installed handlers."""
    signal.pthread_sigmask(signal.SIG_UNBLOCK, HELD)
