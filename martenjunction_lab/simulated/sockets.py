"""TCP sockets in memory, with the outcomes that Linux gives over loopback.

What is sent has arrived when `send` returns, and so have ends and resets. No
limit holds for what a socket keeps unread, nothing is ever unacknowledged, and
the descriptors of closed sockets are not used again.
"""

from collections.abc import Callable
import errno
import itertools
import os
import select
import socket
import struct
from typing import Any
from typing import Protocol

Address = tuple[str, int]

_HOST = "127.0.0.1"

# The first descriptor, above all that the kernel gives to a process.
FIRST_DESCRIPTOR = 1 << 30
_FIRST_PORT = 40_000

_LINGER = struct.Struct("ii")


class Network(Protocol):
    """Makes sockets that reach each other."""

    def new(self) -> Any:
        """Returns a socket that is not connected."""

    def listen(self, port: int, backlog: int) -> Any:
        """Returns a listening, non-blocking socket; port 0 takes a free one."""

    def connect(self, address: Address) -> Any:
        """Returns a connected socket."""


class Loopback:
    """Sockets of the kernel over loopback."""

    def new(self) -> socket.socket:
        """Returns a socket that is not connected."""
        return socket.socket(socket.AF_INET, socket.SOCK_STREAM)

    def listen(self, port: int, backlog: int) -> socket.socket:
        """Returns a listening, non-blocking socket; port 0 takes a free one."""
        listening = socket.create_server((_HOST, port), backlog=backlog)
        listening.setblocking(False)
        return listening

    def connect(self, address: Address) -> socket.socket:
        """Returns a connected socket."""
        return socket.create_connection(address)


class Memory:
    """Sockets in memory.

    Attributes:
        changed: Sockets that may have become ready, in the order in which they
            did. A selector removes those that are not.
        sockets: The open sockets, by their descriptor.
    """

    def __init__(self) -> None:
        """Initializes a network without sockets."""
        self.changed: dict[MemorySocket, None] = {}
        self.sockets: dict[int, MemorySocket] = {}
        self._descriptors = itertools.count(FIRST_DESCRIPTOR)
        self._ports = itertools.count(_FIRST_PORT)
        self._listening: dict[int, MemorySocket] = {}

    def new(self) -> "MemorySocket":
        """Returns a socket that is not connected."""
        descriptor = next(self._descriptors)
        made = self.sockets[descriptor] = MemorySocket(self, descriptor)
        return made

    def listen(self, port: int, backlog: int) -> "MemorySocket":
        """Returns a listening socket; port 0 takes a free one."""
        listening = self.new()
        listening.listen_on(port or self.free_port(), backlog)
        self._listening[listening.getsockname()[1]] = listening
        return listening

    def connect(self, address: Address) -> "MemorySocket":
        """Returns a connected socket."""
        connected = self.new()
        try:
            connected.connect(address)
        except BlockingIOError:
            if number := connected.getsockopt(
                socket.SOL_SOCKET, socket.SO_ERROR
            ):
                raise OSError(number, os.strerror(int(number))) from None
        return connected

    def free_port(self) -> int:
        """Returns a port that was not used before."""
        return next(self._ports)

    def listener(self, port: int) -> "MemorySocket | None":
        """Returns the socket that listens on a port, if any."""
        found = self._listening.get(port)
        return None if found is None or found.closed else found


class MemorySocket:
    """One end of a connection, or a listening socket.

    It has the methods of `socket.socket` that the box and the stand-ins use.
    """

    family = socket.AF_INET
    type = socket.SOCK_STREAM

    def __init__(self, network: Memory, descriptor: int) -> None:
        """Initializes a socket that is not connected."""
        self._network = network
        self._descriptor = descriptor
        self._address: Address = (_HOST, 0)
        self._peer: MemorySocket | None = None
        self._unread = bytearray()
        self._error = 0
        # Whether the peer's end has arrived, this side has sent its own, and
        # whether the connection is over: reset, or ended on both sides.
        self._peer_ended = False
        self._ended = False
        self._over = False
        self._connecting = False
        self._resets = False
        self._pending: list[MemorySocket] = []
        self._backlog: int | None = None
        self.closed = False

    @property
    def readable(self) -> bool:
        """Whether a read would not wait."""
        return bool(
            self._unread
            or self._peer_ended
            or self._over
            or self._error
            or self._pending
        )

    @property
    def writable(self) -> bool:
        """Whether a write would not wait."""
        return not self._connecting and self._backlog is None

    @property
    def peer_has_ended(self) -> bool:
        """Whether the peer ended its side, by an end or a reset."""
        return self._peer_ended or self._over or bool(self._error)

    def listen_on(self, port: int, backlog: int) -> None:
        """Begins to listen."""
        self._address = (_HOST, port)
        self._backlog = backlog

    def fileno(self) -> int:
        """Returns its descriptor, or -1 if it is closed."""
        return -1 if self.closed else self._descriptor

    def setblocking(self, blocking: bool) -> None:
        """Does nothing: no call waits."""

    def getsockname(self) -> Address:
        """Returns its address."""
        return self._address

    def getpeername(self) -> Address:
        """Returns the peer's address."""
        if self._peer is None or self._over:
            raise _failure(errno.ENOTCONN)
        return self._peer.getsockname()

    def setsockopt(self, level: int, option: int, value: int | bytes) -> None:
        """Notes whether closing resets; has no effect otherwise."""
        self._check_open()
        if (level, option) == (socket.SOL_SOCKET, socket.SO_LINGER):
            assert isinstance(value, bytes)
            self._resets = _LINGER.unpack(value) == (1, 0)

    def getsockopt(self, level: int, option: int, size: int = 0) -> int | bytes:
        """Returns the pending error, once, and nothing else of any option."""
        self._check_open()
        if (level, option) == (socket.SOL_SOCKET, socket.SO_ERROR):
            number, self._error = self._error, 0
            return number
        return bytes(size) if size else 0

    def connect(self, address: Address) -> None:
        """Connects; the outcome is known once it raises `BlockingIOError`."""
        self._check_open()
        listening = self._network.listener(address[1])
        if listening is None:
            self._error = errno.ECONNREFUSED
            self._over = True
        elif not listening.take(self):
            self._connecting = True
        self._changed()
        raise BlockingIOError(errno.EINPROGRESS, os.strerror(errno.EINPROGRESS))

    def take(self, connecting: "MemorySocket") -> bool:
        """Queues a connection, as a listening socket; returns whether it did.

        A connect waits while the queue is full, here for ever.
        """
        assert self._backlog is not None
        if len(self._pending) > self._backlog:
            return False
        accepted = self._network.new()
        accepted._address = self._address
        accepted._peer, connecting._peer = connecting, accepted
        connecting._address = (_HOST, self._network.free_port())
        self._pending.append(accepted)
        self._changed()
        return True

    def accept(self) -> "tuple[MemorySocket, Address]":
        """Returns the next connection and the address of its peer."""
        self._check_open()
        if not self._pending:
            raise _failure(errno.EAGAIN)
        accepted = self._pending.pop(0)
        assert accepted._peer is not None
        return accepted, accepted._peer.getsockname()

    def send(self, data: bytes | memoryview, flags: int = 0) -> int:
        """Sends all of the data; returns its size in bytes."""
        self._check_open()
        if self._error or self._ended or self._over:
            raise _failure(self._take_error() or errno.EPIPE)
        if self._peer is None:
            raise _failure(errno.ENOTCONN)
        size = len(data)
        if self._peer.closed:
            self._meet_reset()
        else:
            self._peer._unread += data
            self._peer._changed()
        return size

    def recv(self, size: int, flags: int = 0) -> bytes:
        """Returns what has arrived; with `MSG_PEEK` it stays unread."""
        available = self._available()
        data = bytes(self._unread[: min(size, available)])
        if not flags & socket.MSG_PEEK:
            del self._unread[: len(data)]
        return data

    def recv_into(self, buffer: Any, size: int = 0, flags: int = 0) -> int:
        """Reads into a buffer; `MSG_TRUNC` only drops what has arrived."""
        size = min(size or len(buffer), self._available())
        if not flags & socket.MSG_TRUNC:
            buffer[:size] = self._unread[:size]
        del self._unread[:size]
        return size

    def shutdown(self, how: int) -> None:
        """Ends the sending side."""
        self._check_open()
        if self._peer is None or self._over:
            raise _failure(errno.ENOTCONN)
        assert how == socket.SHUT_WR
        self._end()

    def close(self) -> None:
        """Closes it, by a reset if anything is unread or its linger time is 0.

        Otherwise what was sent before is still delivered, and the end after it.
        """
        if self.closed:
            return
        self.closed = True
        self._network.changed.pop(self, None)
        del self._network.sockets[self._descriptor]
        for accepted in self._pending:
            accepted._resets = True
            accepted.close()
        if self._peer is None or self._over:
            return
        if self._resets or self._unread:
            self._over = True
            self._peer._meet_reset()
        else:
            self._end()

    def _end(self) -> None:
        assert self._peer is not None
        if self._ended:
            return
        self._ended = True
        self._over = self._peer_ended
        self._peer._meet_end()

    def _meet_end(self) -> None:
        self._peer_ended = True
        self._over = self._over or self._ended
        self._changed()

    def _meet_reset(self) -> None:
        if self._over or self.closed:
            return
        self._error = errno.EPIPE if self._peer_ended else errno.ECONNRESET
        self._over = True
        self._changed()

    def _available(self) -> int:
        """Returns the unread bytes, 0 at the end; raises if it is neither."""
        self._check_open()
        # Behind the peer's end there is no error to read (tcp_recvmsg).
        if not self._unread and not self._peer_ended:
            if self._error:
                raise _failure(self._take_error())
            if not self._over:
                connected = self._peer is not None or self._connecting
                raise _failure(errno.EAGAIN if connected else errno.ENOTCONN)
        return len(self._unread)

    def _take_error(self) -> int:
        number, self._error = self._error, 0
        return number

    def _check_open(self) -> None:
        if self.closed:
            raise _failure(errno.EBADF)

    def _changed(self) -> None:
        if not self.closed:
            self._network.changed[self] = None


class Poll:
    """`select.poll` for sockets in memory."""

    def __init__(self) -> None:
        """Initializes it without sockets."""
        self._asked: list[tuple[MemorySocket, int]] = []

    def register(self, sock: MemorySocket, events: int) -> None:
        """Adds a socket."""
        self._asked.append((sock, events))

    def poll(self, timeout: float) -> list[tuple[int, int]]:
        """Returns the descriptors that are ready, each with its events."""
        return [
            (sock.fileno(), events)
            for sock, events in self._asked
            if _READY[events](sock)
        ]


_READY: dict[int, Callable[[MemorySocket], bool]] = {
    select.POLLRDHUP: lambda sock: sock.peer_has_ended,
    select.POLLOUT: lambda sock: sock.writable,
}


class PollModule:
    """What `select` has for sockets in memory."""

    POLLRDHUP = select.POLLRDHUP
    POLLOUT = select.POLLOUT
    poll = Poll


class ControlModule:
    """What `fcntl` has for sockets in memory."""

    @staticmethod
    def ioctl(sock: MemorySocket, request: int, value: bytes) -> bytes:
        """Tells that the peer has all that was sent."""
        return bytes(len(value))


def _failure(number: int) -> OSError:
    """Returns an error, of the class that belongs to its number."""
    return OSError(number, os.strerror(number))
