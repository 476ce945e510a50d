"""Stand-ins of endpoints that act on a run when they are told, or by a time."""

import asyncio
import dataclasses
import enum
import math
import re
import socket

from martenjunction_lab.explore import client
from martenjunction_lab.simulated import sockets

_BACKLOG = 64
_RECEIVE_BYTES = 65536
_LENGTH = re.compile(rb"\r\ncontent-length: *(\d+)", re.IGNORECASE)
_ID = re.compile(rb"\r\nmartenjunction-attempt-id: *(\S+)", re.IGNORECASE)

# Paths whose answers are streams.
_STREAMS = (b"/chat/", b"/talk/")

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
        due_at: Time at which its endpoint answers by itself.
        ended_at: Time at which the endpoint ended its work on it.
        sent: Bytes of the answer that were sent.
    """

    request_id: str
    streams: bool
    connection: "Connection"
    at: float
    state: RunState = RunState.OPEN
    done_at: float | None = None
    due_at: float = math.inf
    ended_at: float = math.inf
    sent: int = 0

    @property
    def waits(self) -> bool:
        """Whether its answer is not complete."""
        return self.state in (RunState.OPEN, RunState.PARTLY)

    def end(self, state: RunState) -> None:
        """Records that its endpoint does not work on it any more."""
        self.state = state
        self.ended_at = asyncio.get_running_loop().time()

    def answer(self) -> None:
        """Completes its answer."""
        if self.connection.send(self.whole[self.sent :]):
            self.end(RunState.ANSWERED)
            self.done_at = self.ended_at

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
        self.owner = owner
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
        for run in self.owner.runs:
            if run.connection is self and run.waits:
                run.end(state)
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
            path = head.split(b" ", 2)[1]
            self.owner.take(
                Run(name, path.startswith(_STREAMS), self, self._loop.time())
            )


class Endpoint:
    """An endpoint that listens on a loopback port.

    Attributes:
        runs: The requests that arrived, in order.
        connections: All connections that it accepted.
        silent: Whether it sends nothing any more.
        answer_after_s: Seconds after which it answers by itself, or None.
    """

    def __init__(self, network: sockets.Network) -> None:
        """Starts to listen."""
        self._network = network
        self._loop = asyncio.get_running_loop()
        self.answer_after_s: float | None = None
        self._pauses_until = 0.0
        self.silent = False
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

    @property
    def answers_by_itself(self) -> bool:
        """Whether it answers, or never will, without being told."""
        return self.silent or self.answer_after_s is not None

    def answer_after(self, seconds: float) -> None:
        """From now on it answers each run after a time, in seconds."""
        self.answer_after_s = seconds
        for run in self.runs:
            if run.waits and run.due_at == math.inf:
                self._plan(run)

    def pause(self, seconds: float) -> None:
        """Answers nothing by itself for a time, in seconds."""
        self._pauses_until = self._loop.time() + seconds
        for run in self.runs:
            if run.waits and run.due_at < self._pauses_until:
                run.due_at = self._pauses_until

    def fall_silent(self) -> None:
        """Answers nothing any more."""
        self.silent = True
        for run in self.runs:
            if run.waits:
                run.due_at = math.inf

    def take(self, run: Run) -> None:
        """Takes in a request that arrived."""
        self.runs.append(run)
        self._plan(run)

    def _plan(self, run: Run) -> None:
        if self.silent or self.answer_after_s is None:
            return
        run.due_at = max(
            self._loop.time() + self.answer_after_s, self._pauses_until
        )
        self._loop.call_at(run.due_at, self._answer_due, run)

    def _answer_due(self, run: Run) -> None:
        if self.silent or not run.waits:
            return
        if self._loop.time() < run.due_at:
            self._loop.call_at(run.due_at, self._answer_due, run)
        else:
            run.answer()

    def listen(self) -> None:
        """Accepts connections."""
        if self._listening is None:
            sock = self._network.listen(self._port, _BACKLOG)
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
