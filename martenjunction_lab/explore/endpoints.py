"""Stand-ins of endpoints that act on a run only when they are told."""

import asyncio
import dataclasses
import enum
import re
import socket

from martenjunction_lab.explore import client

_BACKLOG = 64
_RECEIVE_BYTES = 65536
_LENGTH = re.compile(rb"\r\ncontent-length: *(\d+)", re.IGNORECASE)
_ID = re.compile(rb"\r\nmartenjunction-attempt-id: *(\S+)", re.IGNORECASE)

# An event of a stream, and the one that ends it.
_CHUNK = b"id: %d\ndata: %s\n\n"
_LAST_CHUNK = b"0\r\n\r\n"


class RunState(enum.StrEnum):
    """What an endpoint has made of a run."""

    OPEN = "open"
    PARTLY = "partly-answered"
    ANSWERED = "answered"
    FAILED = "failed"
    REJECTED = "rejected"
    BROKEN = "broken"
    CUT = "cut"


@dataclasses.dataclass(eq=False)
class Run:
    """A request that arrived at an endpoint completely.

    Attributes:
        request_id: The client's id of the request.
        streams: Whether a stream is to be sent.
        connection: The connection on which it arrived.
        at: Time of its last byte.
        state: What became of it.
        done_at: Time at which the answer was complete, or None.
        done_in_turn: Number of the turn in which it was.
        sent: Bytes of the answer that were sent.
    """

    request_id: str
    streams: bool
    connection: "Connection"
    at: float
    state: RunState = RunState.OPEN
    done_at: float | None = None
    done_in_turn: int = -1
    sent: int = 0

    @property
    def waits(self) -> bool:
        """Whether its answer is not complete."""
        return self.state in (RunState.OPEN, RunState.PARTLY)

    @property
    def whole(self) -> bytes:
        """The complete answer."""
        name = self.request_id.encode()
        head = (
            b"HTTP/1.1 200 OK\r\nMartenjunction-Replica-Seal: seal\r\n"
            b"Martenjunction-Attempt-Id: %s\r\n" % name
        )
        if not self.streams:
            body = b"answer to " + name
            return head + b"Content-Length: %d\r\n\r\n" % len(body) + body
        chunks = b"".join(
            b"%x\r\n%s\r\n" % (len(data), data)
            for data in (_CHUNK % (1, name), _CHUNK % (2, name))
        )
        return (
            head + b"Content-Type: text/event-stream\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n" + chunks + _LAST_CHUNK
        )


class Connection:
    """A connection that an endpoint has accepted."""

    def __init__(self, owner: "Endpoint", sock: socket.socket) -> None:
        """Begins to read from it."""
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._owner = owner
        self._socket = sock
        self._received = b""
        self._loop = asyncio.get_running_loop()
        self._loop.add_reader(sock, self.receive)
        self.closed = False

    def receive(self) -> None:
        """Takes in what has arrived."""
        while not self.closed:
            try:
                data = self._socket.recv(_RECEIVE_BYTES)
            except BlockingIOError:
                return
            except OSError:
                data = b""
            if not data:
                self.end(False, RunState.CUT)
                return
            self._received += data
            self._take_requests()

    def send(self, data: bytes) -> bool:
        """Sends bytes; returns whether the connection took them."""
        if self.closed:
            return False
        try:
            return self._socket.send(data) == len(data)
        except OSError:
            self.end(False, RunState.CUT)
            return False

    def end(self, by_reset: bool, state: RunState) -> None:
        """Closes it; its runs without an answer get a state."""
        if self.closed:
            return
        self.closed = True
        self._loop.remove_reader(self._socket)
        for run in self._owner.runs:
            if run.connection is self and run.waits:
                run.state = state
        if by_reset:
            client.reset(self._socket)
        else:
            self._socket.close()

    def _take_requests(self) -> None:
        while True:
            head, ends, rest = self._received.partition(b"\r\n\r\n")
            length = _LENGTH.search(head)
            size = 0 if length is None else int(length[1])
            if not ends or len(rest) < size:
                return
            self._received = rest[size:]
            found = _ID.search(head)
            name = "" if found is None else found[1].decode()
            self._owner.runs.append(
                Run(name, b" /chat/" in head, self, self._loop.time())
            )


class Endpoint:
    """An endpoint that listens on a loopback port.

    Attributes:
        runs: The requests that arrived, in order.
        connections: All connections that it accepted.
    """

    def __init__(self) -> None:
        """Starts to listen."""
        self._loop = asyncio.get_running_loop()
        self._listening: socket.socket | None = None
        self._port = 0
        self.runs: list[Run] = []
        self.connections: list[Connection] = []
        self.listen()

    @property
    def address(self) -> str:
        """Its IP address and port."""
        return f"127.0.0.1:{self._port}"

    @property
    def listens(self) -> bool:
        """Whether connections are accepted."""
        return self._listening is not None

    def listen(self) -> None:
        """Accepts connections."""
        if self._listening is None:
            sock = socket.create_server(
                ("127.0.0.1", self._port), backlog=_BACKLOG
            )
            sock.setblocking(False)
            self._port = sock.getsockname()[1]
            self._listening = sock
            self._loop.add_reader(sock, self._accept)

    def refuse(self) -> None:
        """Refuses further connections."""
        if self._listening is not None:
            self._loop.remove_reader(self._listening)
            self._listening.close()
            self._listening = None

    def close(self) -> None:
        """Closes everything."""
        self.refuse()
        for connection in self.connections:
            connection.end(True, RunState.BROKEN)

    def _accept(self) -> None:
        while self._listening is not None:
            try:
                sock, _ = self._listening.accept()
            except BlockingIOError:
                return
            self.connections.append(Connection(self, sock))
