"""Endpoints and callers that send without end, as fast as sockets take it."""

from collections.abc import Callable
import dataclasses
import socket
import threading

from martenjunction_lab import boxes
from tests import routing_builders as builders

# Bytes per write, so that what costs is not the sender's own loop.
WRITE_BYTES = 64 * 1024

HEALTH_PATH = b"/healthz"

# Headers with the id of a request, of a box and of a daemon.
_ID_HEADERS = (b"martenjunction-attempt-id:", b"x-request-id:")

# Id of a request that was never sent.
OTHER_ID = b"another"


def sealed_head(request_id: bytes, *lines: bytes) -> bytes:
    """Returns the head of a successful response."""
    return b"\r\n".join(
        [
            b"HTTP/1.1 200 OK",
            b"Martenjunction-Attempt-Id: " + request_id,
            b"X-Request-Id: " + request_id,
            b"Martenjunction-Replica-Seal: 3e1b",
            *lines,
            b"\r\n",
        ]
    )


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


CHUNKED = b"Transfer-Encoding: chunked"
LARGE_CHUNK = chunk(bytes(16 * 1024))


@dataclasses.dataclass(frozen=True)
class Form:
    """What an endpoint sends.

    Attributes:
        begin: Returns the first bytes; called with the id of the request.
        again: What follows again and again.
    """

    begin: Callable[[bytes], bytes]
    again: bytes


FORMS = {
    "tiny-chunks": Form(lambda name: sealed_head(name, CHUNKED), chunk(b"x")),
    "extensions": Form(
        lambda name: sealed_head(name, CHUNKED),
        b"1;" + b"e" * 512 + b"\r\nx\r\n",
    ),
    "chunk-size": Form(lambda name: sealed_head(name, CHUNKED), b"0"),
    "trailers": Form(
        lambda name: sealed_head(name, CHUNKED) + b"0\r\n", b"X: y\r\n"
    ),
    "interim": Form(lambda name: b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "status-line": Form(lambda name: b"HTTP/1.1 200 ", b"x"),
    "head": Form(lambda name: b"HTTP/1.1 200 OK\r\n", b"X: y\r\n"),
    "chunks": Form(lambda name: sealed_head(name, CHUNKED), LARGE_CHUNK),
    "length": Form(
        lambda name: sealed_head(name, b"Content-Length: 1099511627776"),
        bytes(1024),
    ),
    "until-close": Form(
        lambda name: sealed_head(name, b"Connection: close"), bytes(1024)
    ),
    "other-chunks": Form(
        lambda name: sealed_head(OTHER_ID, CHUNKED), LARGE_CHUNK
    ),
    "other-length": Form(
        lambda name: sealed_head(OTHER_ID, b"Content-Length: 1099511627776"),
        bytes(1024),
    ),
    "other-answers": Form(
        lambda name: b"", sealed_head(OTHER_ID, b"Content-Length: 1") + b"x"
    ),
    "noise": Form(lambda name: b"", b"\x00\xff"),
}

# The same on a route for streams: what is complete would be forwarded.
STREAM_FORMS = {
    name: FORMS[name]
    for name in ("tiny-chunks", "interim", "head", "other-chunks")
} | {
    "line": Form(
        lambda name: sealed_head(name, CHUNKED) + chunk(b"data: "),
        chunk(b"x" * 1024),
    ),
}


class EndlessEndpoint:
    """Answers each request without end; each connection has a thread."""

    def __init__(self, form: Form) -> None:
        self._form = form
        self.id = "i-endless"
        self._listener = socket.create_server(("127.0.0.1", 0))
        host, port = self._listener.getsockname()
        self.address = f"{host}:{port}"
        self.requests = 0
        self.sending = 0
        self.most_sent = 0
        # Cleared, it holds the answers back.
        self.release = threading.Event()
        self.release.set()
        self._stopped = False
        self._thread = threading.Thread(target=self._accept, daemon=True)
        self._thread.start()

    def stop(self) -> None:
        self._stopped = True
        self.release.set()
        self._listener.close()

    def record(self, fleet: boxes.Boxes, service: str) -> None:
        """Writes its entry to the store."""
        fleet.store.write(
            "servers",
            self.id,
            {
                "service": service,
                "address": self.address,
                "zone": "zone-a",
                "version": "v1",
                "slots": 64 if service == builders.ENGINE else 6,
                "state": "ready",
                "cold_left_ms": 0,
                "seq": 1,
            },
        )

    def _accept(self) -> None:
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(
                target=self._serve, args=(connection,), daemon=True
            ).start()

    def _serve(self, connection: socket.socket) -> None:
        try:
            head = b""
            while b"\r\n\r\n" not in head:
                received = connection.recv(64 * 1024)
                if not received:
                    return
                head += received
            self._answer(connection, head)
        except OSError:
            return
        finally:
            connection.close()

    def _answer(self, connection: socket.socket, head: bytes) -> None:
        name = b""
        for line in head.split(b"\r\n"):
            if line.lower().startswith(_ID_HEADERS):
                name = line.partition(b":")[2].strip()
        if HEALTH_PATH not in head.split(b"\r\n")[0]:
            self.requests += 1
        self.release.wait()
        again = self._form.again * (WRITE_BYTES // len(self._form.again))
        sent = 0
        self.sending += 1
        try:
            connection.sendall(self._form.begin(name))
            while not self._stopped:
                connection.sendall(again)
                sent += len(again)
        finally:
            self.sending -= 1
            self.most_sent = max(self.most_sent, sent)


class EndlessCaller:
    """Sends to a server without end, in a thread, and never reads.

    Attributes:
        sent: Bytes that the socket took after the first ones.
        ended: Set once the connection is closed.
    """

    def __init__(self, address: str, begin: bytes, again: bytes) -> None:
        host, _, port = address.partition(":")
        self.sent = 0
        self.ended = threading.Event()
        self._socket = socket.create_connection((host, int(port)))
        threading.Thread(
            target=self._send,
            args=(begin, again * max(1, WRITE_BYTES // len(again))),
            daemon=True,
        ).start()

    def stop(self) -> None:
        self._socket.close()

    def _send(self, begin: bytes, again: bytes) -> None:
        try:
            self._socket.sendall(begin)
            while True:
                self._socket.sendall(again)
                self.sent += len(again)
        except OSError:
            self.ended.set()
