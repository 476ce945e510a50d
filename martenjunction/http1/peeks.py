"""Peeks at the receive buffer of a socket."""

import enum
import socket


class PendingInput(enum.Enum):
    """Result that a read of a socket would have."""

    NOTHING = "nothing"
    BYTES = "bytes"
    END = "end"


def peek(sock: socket.socket | None) -> PendingInput:
    """Returns what a read of a socket would return, with one system call.

    The event loop sees pending data only in its next iteration, and not at all
    while it is blocked.

    Args:
        sock: A connected socket, or None if it was closed.
    """
    if sock is None:
        return PendingInput.END
    try:
        waiting = sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return PendingInput.NOTHING
    except OSError:
        # The connection was reset; a read would raise the same error.
        return PendingInput.END
    return PendingInput.BYTES if waiting else PendingInput.END
