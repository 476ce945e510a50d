"""A client of one connection, which reads and writes when it is told."""

import asyncio
import dataclasses
import math
import re
import socket
import struct

from martenjunction_lab.simulated import sockets

# Value of SO_LINGER by which closing a socket resets it (socket(7)).
_NO_LINGER = struct.pack("ii", 1, 0)

_RECEIVE_BYTES = 65536
_TIMEOUT = re.compile(rb"timeout=(\d+)", re.IGNORECASE)
_LENGTH = re.compile(rb"\r\ncontent-length: *(\d+)", re.IGNORECASE)
_CLOSES = re.compile(rb"\r\nconnection: *close", re.IGNORECASE)
_CHUNKED = re.compile(rb"\r\ntransfer-encoding: *chunked", re.IGNORECASE)


def reset(sock: socket.socket) -> None:
    """Closes a socket so that its peer sees a reset."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)
    sock.close()


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """A complete response.

    Attributes:
        status: HTTP status.
        body: The body, without its transfer coding.
        closes: Whether it announces the close of the connection.
        told_s: Idle seconds that it announces, or None.
        at: Time of its last byte.
    """

    status: int
    body: bytes
    closes: bool
    told_s: int | None
    at: float


class Client:
    """A client's socket and what was received on it.

    Attributes:
        responses: The complete responses in order.
        opened_at: Time at which it connected.
        ended_at: Time at which the server's end was seen, or None.
        left: Whether the client ended its side in any way.
        left_at: Time at which it did.
        gone: Whether it can receive nothing any more.
    """

    def __init__(
        self, network: sockets.Network, address: sockets.Address
    ) -> None:
        """Connects to a server that listens."""
        self._loop = asyncio.get_running_loop()
        self._socket = network.connect(address)
        self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._socket.setblocking(False)
        self._rest = b""
        self.responses: list[Response] = []
        self.opened_at = self._loop.time()
        self.ended_at: float | None = None
        self.left = False
        self.left_at = math.inf
        self.gone = False
        self._loop.add_reader(self._socket, self.receive)

    @property
    def rest(self) -> bytes:
        """What was received of a response that is not complete."""
        return self._rest

    @property
    def is_open(self) -> bool:
        """Whether no end of the connection was seen on either side."""
        return not self.left and self.ended_at is None

    def send(self, data: bytes) -> bool:
        """Sends bytes; returns whether the server's side was open before."""
        self.receive()
        if not self.is_open:
            return False
        try:
            return bool(self._socket.send(data) == len(data))
        except OSError:
            self._end()
            return False

    def receive(self) -> None:
        """Takes in what has arrived."""
        while not self.gone and self.ended_at is None:
            try:
                data = self._socket.recv(_RECEIVE_BYTES)
            except BlockingIOError:
                break
            except OSError:
                data = b""
            if not data:
                self._end()
                break
            self._rest += data
            self._parse()

    def half_close(self) -> None:
        """Ends the sending side."""
        self.receive()
        self._leave()
        try:
            self._socket.shutdown(socket.SHUT_WR)
        except OSError:
            self._end()

    def close(self, by_reset: bool) -> None:
        """Closes the connection."""
        if self.gone:
            return
        self.receive()
        self._leave()
        self.gone = True
        self._loop.remove_reader(self._socket)
        if by_reset:
            reset(self._socket)
        else:
            self._socket.close()

    def _leave(self) -> None:
        if not self.left:
            self.left = True
            self.left_at = self._loop.time()

    def _end(self) -> None:
        if self.ended_at is None:
            self.ended_at = self._loop.time()
            self._loop.remove_reader(self._socket)

    def _parse(self) -> None:
        while (size := _complete_bytes(self._rest)) is not None:
            whole, self._rest = self._rest[:size], self._rest[size:]
            head, _, body = whole.partition(b"\r\n\r\n")
            status = int(head.split(b" ", 2)[1])
            if status < 200:
                continue
            told = _TIMEOUT.search(head)
            if _CHUNKED.search(head):
                body = _unchunk(body)
            self.responses.append(
                Response(
                    status,
                    body,
                    _CLOSES.search(head) is not None,
                    None if told is None else int(told[1]),
                    self._loop.time(),
                )
            )


def _complete_bytes(data: bytes) -> int | None:
    """Returns the size of the response that data begins with, or None."""
    end = data.find(b"\r\n\r\n")
    if end < 0:
        return None
    head = data[:end]
    begin = end + 4
    if _CHUNKED.search(head):
        last = data.find(b"0\r\n\r\n", begin)
        return None if last < 0 else last + 5
    length = _LENGTH.search(head)
    size = begin + (0 if length is None else int(length[1]))
    return size if len(data) >= size else None


def _unchunk(data: bytes) -> bytes:
    parts = []
    while data:
        size, _, data = data.partition(b"\r\n")
        parts.append(data[: int(size, 16)])
        data = data[int(size, 16) + 2 :]
    return b"".join(parts)
