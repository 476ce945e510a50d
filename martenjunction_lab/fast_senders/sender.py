"""The process of the fast senders.

    python -m martenjunction_lab.fast_senders.sender FORM COUNT BOX

Connects senders to a box, each with a thread of its own; endpoints listen and
have as many clients ask for their answers. Writes the endpoints' address on the
first line of its output, then one line of JSON for each connection that ended.
It runs until it is killed.
"""

import collections
import contextlib
import dataclasses
import json
import os
import select
import socket
import sys
import threading
import time

from martenjunction import addresses
from martenjunction_lab.fast_senders import forms

# Seconds between the end of a sender's connection and its next one.
REST_S = 0.25

# Bytes taken from a socket at once.
READ_BYTES = 64 * 1024

# Bytes in which the status of an answer is looked for.
STATUS_BYTES = 12

CLOSED = 0

# Connections that an endpoint may have waiting to be accepted: those of all its
# clients, whose threads keep it from accepting them. The kernel drops others
# for a second, in which the endpoint counts as not reached.
BACKLOG = 1024


@dataclasses.dataclass(frozen=True)
class End:
    """How a connection ended.

    Attributes:
        after_s: Seconds from its first bytes to its end.
        status: Status of the first answer, or 0 for none.
        size: Bytes that were sent, by an endpoint's client received.
    """

    after_s: float
    status: int
    size: int


def pump(sock: socket.socket, opening: bytes, repeated: bytes) -> End:
    """Sends until the peer ends the connection, and discards its answers."""
    sock.setblocking(False)
    began_at = time.monotonic()
    block = memoryview(opening or repeated)
    received = b""
    sent = 0
    with contextlib.suppress(ConnectionError):
        while True:
            readable, writable, _ = select.select([sock], [sock], [])
            if readable:
                data = sock.recv(READ_BYTES)
                if not data:
                    break
                received += data[: STATUS_BYTES - len(received)]
            if writable:
                taken = sock.send(block)
                sent += taken
                block = block[taken:] or memoryview(repeated)
    return End(time.monotonic() - began_at, _status(received), sent)


def _status(received: bytes) -> int:
    return int(received[9:12]) if len(received) >= STATUS_BYTES else CLOSED


def _connect(address: str) -> socket.socket:
    return socket.create_connection(addresses.split_address(address))


def ask(address: str, path: str, request_id: str) -> End:
    """Asks for an answer and reads it to its end."""
    request = forms.request_head(
        request_id,
        forms.KEY,
        path,
        b"Connection: close\r\nContent-Length: 5\r\n\r\nhello",
    )
    began_at = time.monotonic()
    start = b""
    size = 0
    with contextlib.suppress(OSError), _connect(address) as sock:
        sock.sendall(request)
        while data := sock.recv(READ_BYTES):
            start += data[: STATUS_BYTES - len(start)]
            size += len(data)
    return End(time.monotonic() - began_at, _status(start), size)


class Endpoint:
    """An endpoint that answers each request in a form."""

    def __init__(self, form: forms.Form) -> None:
        """Listens on a free loopback port."""
        self._form = form
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=BACKLOG)

    @property
    def address(self) -> str:
        """Where it listens."""
        host, port = self._listener.getsockname()
        return f"{host}:{port}"

    def serve(self) -> None:
        """Accepts connections, each with a thread of its own."""
        while True:
            sock, _ = self._listener.accept()
            threading.Thread(
                target=self._answer, args=(sock,), daemon=True
            ).start()

    def _answer(self, sock: socket.socket) -> None:
        with contextlib.suppress(OSError), sock:
            while True:
                head = self._read_request(sock)
                if not head:
                    return
                if head.startswith(b"POST"):
                    break
                sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            request_id = _field(head, b"martenjunction-attempt-id")
            pump(
                sock,
                self._form.opening_for(request_id),
                self._form.repeated_for(request_id),
            )

    def _read_request(self, sock: socket.socket) -> bytes:
        """Returns the head of a request, or empty bytes at the end."""
        data = b""
        while b"\r\n\r\n" not in data:
            part = sock.recv(READ_BYTES)
            if not part:
                return b""
            data += part
        head, _, body = data.partition(b"\r\n\r\n")
        left = int(_field(head, b"content-length") or 0) - len(body)
        while left > 0:
            left -= len(sock.recv(left)) or left
        return head


def _field(head: bytes, name: bytes) -> bytes:
    for line in head.split(b"\r\n"):
        found, _, value = line.partition(b":")
        if found.lower() == name:
            return value.strip()
    return b""


class Senders:
    """Some senders of a form that begin anew whenever they are ended."""

    def __init__(self, form: forms.Form, box: str) -> None:
        """Makes the senders.

        Args:
            form: What they send.
            box: The box's address for clients.
        """
        self._form = form
        self._box = box
        self._starts: collections.Counter[int] = collections.Counter()

    def run(self, number: int) -> None:
        """Has one sender send for ever."""
        while True:
            self._starts[number] += 1
            try:
                end = self._run_once(f"s{number}-{self._starts[number]}")
            except OSError:
                end = End(0.0, CLOSED, 0)
            # In one piece, since other senders write as well.
            os.write(
                sys.stdout.fileno(),
                json.dumps(dataclasses.asdict(end)).encode() + b"\n",
            )
            time.sleep(REST_S)

    def _run_once(self, request_id: str) -> End:
        if self._form.side is forms.Side.ENDPOINT:
            return ask(self._box, self._form.path, request_id)
        with _connect(self._box) as sock:
            return pump(sock, self._form.opening, self._form.repeated)


def main(name: str, count: int, box: str) -> None:
    """Runs until the process is killed."""
    form = forms.FORMS[name]
    endpoint = Endpoint(form)
    threading.Thread(target=endpoint.serve, daemon=True).start()
    print(endpoint.address, flush=True)
    # The other process has listed the endpoint by now.
    sys.stdin.readline()
    senders = Senders(form, box)
    threads = [
        threading.Thread(target=senders.run, args=(number,), daemon=True)
        for number in range(count)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


if __name__ == "__main__":
    main(sys.argv[1], int(sys.argv[2]), sys.argv[3])
