"""Peeks at the receive buffer of a socket."""

import enum
import os
import select
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
    return peek_with_error(sock)[0]


def peek_with_error(
    sock: socket.socket | None,
) -> tuple[PendingInput, OSError | None]:
    """Returns what `peek` does, and the error that ended the connection.

    The kernel reports an error once: the next read finds an orderly end.

    Args:
        sock: A connected socket, or None if it was closed.
    """
    if sock is None:
        return PendingInput.END, None
    try:
        waiting = sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return PendingInput.NOTHING, None
    except OSError as error:
        return PendingInput.END, error
    return PendingInput.BYTES if waiting else PendingInput.END, None


def has_sent_all(sock: socket.socket | None) -> bool:
    """Returns whether the peer ended its sending side.

    Bytes that it sent before may be unread, where `peek` finds them first.

    Args:
        sock: A connected socket, or None if it was closed.
    """
    if sock is None:
        return True
    poll = select.poll()
    poll.register(sock, select.POLLRDHUP)
    return bool(poll.poll(0))


def take_error(sock: socket.socket | None) -> OSError | None:
    """Returns the error that ended a connection, which is reported once.

    It is found behind unread bytes as well.

    Args:
        sock: A connected socket, or None if it was closed.
    """
    if sock is None:
        return None
    number = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    return OSError(number, os.strerror(number)) if number else None


def has_connected_or_failed(sock: socket.socket | None) -> bool:
    """Returns whether the outcome of a pending connect is known.

    Args:
        sock: A socket that was told to connect, or None if it was closed.
    """
    if sock is None:
        return True
    poll = select.poll()
    poll.register(sock, select.POLLOUT)
    return bool(poll.poll(0))
