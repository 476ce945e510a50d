"""Requests as the server of a box reads them, in any pieces."""

import asyncio
from collections.abc import Callable
import contextlib
import dataclasses
import random
import re
import socket
from typing import Any

import h11
from tornado import iostream

from martenjunction import errors
from martenjunction.http1 import body_gate
from martenjunction.http1 import close_reports
from martenjunction.http1 import discarding
from martenjunction.http1 import messages
from martenjunction.http1 import request_errors
from martenjunction.http1 import request_ledger
from martenjunction.http1 import server_connection
from martenjunction_lab.fuzz import http_messages
from martenjunction_lab.fuzz import pieces
from martenjunction_lab.fuzz import targets

# Most requests of a connection that are read.
_MAX_REQUESTS = 8

_LIMITS = messages.ClientLimits()

_CODING = re.compile(rb"^transfer-encoding[ \t]*:", re.I | re.M)
_LENGTH = re.compile(rb"^content-length[ \t]*:[ \t]*([^\r\n]*)", re.I | re.M)
_END_OF_HEAD = re.compile(rb"\n\r?\n")

# Where a field goes on in the next line (RFC 9112, section 5.2).
_FOLD = re.compile(rb"\r?\n[ \t]+")


class _Stream:
    """Stands for an accepted stream on which pieces of bytes arrive."""

    error = None
    before_close: Callable[[], None] | None = None

    def __init__(self, received: list[bytes], sock: socket.socket) -> None:
        self.socket = sock
        self._received = received[::-1]
        self._closed = False

    def read_bytes(
        self, size: int, partial: bool = False
    ) -> "asyncio.Future[bytes]":
        """Returns the next piece, or raises at the end."""
        if not self._received:
            raise iostream.StreamClosedError
        return _done(self._received.pop())

    def write(self, data: object) -> "asyncio.Future[None]":
        """Takes all."""
        return _done(None)

    def send_last(self, data: bytes) -> bool:
        """Takes all, as the stream is closed."""
        return True

    def closed(self) -> bool:
        """Returns whether it was closed by the server."""
        return self._closed

    def close(self) -> None:
        """Closes it."""
        callback, self.before_close = self.before_close, None
        if callback is not None:
            callback()
        self._closed = True


def _done(value: Any) -> "asyncio.Future[Any]":
    future: asyncio.Future[Any] = asyncio.get_running_loop().create_future()
    future.set_result(value)
    return future


@dataclasses.dataclass(frozen=True, slots=True)
class Taken:
    """A request that was read completely.

    Attributes:
        method: HTTP method.
        target: Path and query.
        headers: Names and values.
        body: The whole body.
    """

    method: bytes
    target: bytes
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """What became of a connection.

    Attributes:
        taken: The requests that were read.
        refused: Status of the refusal that ended it; 0 if there was none.
    """

    taken: tuple[Taken, ...]
    refused: int


async def read_as_box(received: list[bytes], sock: socket.socket) -> Outcome:
    """Reads what a client sends as a box does.

    Args:
        received: The pieces that arrive.
        sock: Any socket.
    """
    connection = server_connection.ServerConnection(
        _Stream(received, sock),  # type: ignore[arg-type]
        lambda: _LIMITS,
        body_gate.OpenGate(),
        discarding.Discarder(),
        request_ledger.RequestLedger(),
    )
    taken: list[Taken] = []
    refused = 0
    try:
        while len(taken) < _MAX_REQUESTS:
            request = await connection.read_request()
            if request is None:
                break
            taken.append(_taken(request))
            await connection.answer(200, [], b"")
            connection.release(request)
            if not connection.prepare_next_request():
                break
    except request_errors.RequestSyntaxError as error:
        refused = error.status
    except errors.ConnectionLostError:
        pass
    finally:
        connection._stream.close()
        with contextlib.suppress(errors.ConnectionLostError):
            connection.abort(close_reports.CloseReason.CLIENT)
    return Outcome(tuple(taken), refused)


def _taken(request: messages.Request) -> Taken:
    return Taken(
        request.method,
        request.target,
        tuple(request.headers),
        bytes(request.body),
    )


def read_plainly(data: bytes) -> list[tuple[Taken, bytes]]:
    """Returns the requests that h11 reads, each with its bytes."""
    parser = h11.Connection(h11.SERVER)
    parser.receive_data(data)
    parser.receive_data(b"")
    found: list[tuple[Taken, bytes]] = []
    start = 0
    head: h11.Request | None = None
    body = bytearray()
    with contextlib.suppress(h11.ProtocolError):
        while True:
            event = parser.next_event()
            if isinstance(event, h11.Request):
                head, body = event, bytearray()
            elif isinstance(event, h11.Data):
                body += event.data
            elif isinstance(event, h11.EndOfMessage) and head is not None:
                end = len(data) - len(parser.trailing_data[0])
                fields = head.headers.raw_items()
                taken = Taken(
                    bytes(head.method),
                    bytes(head.target),
                    tuple((bytes(n), bytes(v)) for n, v in fields),
                    bytes(body),
                )
                found.append((taken, data[start:end]))
                start = end
                parser.send(h11.Response(status_code=200, headers=[]))
                parser.send(h11.EndOfMessage())
                if parser.our_state is not h11.DONE:
                    break
                if parser.their_state is not h11.DONE:
                    break
                parser.start_next_cycle()
            else:
                break
    return found


def is_ambiguous(received: bytes) -> bool:
    """Returns whether two parsers may find different ends of a request.

    Args:
        received: The bytes of the request.
    """
    end = _END_OF_HEAD.search(received.lstrip(b"\r\n"))
    head = received.lstrip(b"\r\n")[: end.start()] if end else received
    head = _FOLD.sub(b" ", head)
    codings = len(_CODING.findall(head))
    lengths = {value.strip() for value in _LENGTH.findall(head)}
    parts = {part.strip() for v in lengths for part in v.split(b",")}
    return codings > 1 or len(parts) > 1 or bool(codings and parts)


@targets.registered.register("http-requests")
class HttpRequests(targets.Target):
    """Requests over one connection, pipelined."""

    def __init__(self) -> None:
        self._loop = asyncio.new_event_loop()
        self._socket = socket.socket()

    def __del__(self) -> None:
        self._loop.close()
        self._socket.close()

    def generate(self, rng: random.Random) -> bytes:
        """Returns what a client sends."""
        return http_messages.requests(rng)

    def check(self, data: bytes) -> None:
        """Reads requests; pieces and h11's plain reading do not differ."""
        self._loop.run_until_complete(self._check(data))

    async def read(self, received: list[bytes]) -> Outcome:
        """Returns what becomes of a connection."""
        return await read_as_box(received, self._socket)

    async def _check(self, data: bytes) -> None:
        whole = await self.read([data])
        for cut in pieces.ways(data):
            if await self.read(cut) != whole:
                raise targets.OracleError("pieces change what is read")
        plain = read_plainly(data)
        for number, taken in enumerate(whole.taken):
            if number >= len(plain) or plain[number][0] != taken:
                raise targets.OracleError("a request is read otherwise")
            if is_ambiguous(plain[number][1]):
                raise targets.OracleError("ambiguous framing is taken")
        if not whole.refused and len(plain) < len(whole.taken):
            raise targets.OracleError("more requests are read")
