"""What waits in a socket, without taking it."""

import enum
import socket


class Waiting(enum.Enum):
    """What a read of a socket would bring."""

    NOTHING = "nothing"
    BYTES = "bytes"
    END = "end"


def peek(sock: socket.socket | None) -> Waiting:
    """Returns what waits in a socket; it takes one system call.

    The event loop learns of it only in its next pass, and not at all while it
    is held up.

    Args:
        sock: A connected socket, or None for one that was closed.
    """
    if sock is None:
        return Waiting.END
    try:
        waiting = sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return Waiting.NOTHING
    except OSError:
        # The connection was reset: a read would tell so.
        return Waiting.END
    return Waiting.BYTES if waiting else Waiting.END
