"""Responses of endpoints, in any pieces."""

import contextlib
import dataclasses
import random

import h11

from martenjunction import errors
from martenjunction.http1 import messages
from martenjunction.http1 import response_parser
from martenjunction_lab.fuzz import http_messages
from martenjunction_lab.fuzz import pieces
from martenjunction_lab.fuzz import targets

_METHODS = (b"GET", b"HEAD", b"POST")


@dataclasses.dataclass(frozen=True, slots=True)
class Read:
    """What was read of one response.

    Attributes:
        status: Its status; 0 if there was no final head.
        headers: Names and values.
        body: What arrived of its body.
        complete: Whether it ended.
        error: Name of the error that ended it, or empty.
        reusable: Whether its connection may carry another one.
        length: The length that its head tells.
    """

    status: int = 0
    headers: tuple[tuple[bytes, bytes], ...] = ()
    body: bytes = b""
    complete: bool = False
    error: str = ""
    reusable: bool = False
    length: int | None = None


class _Connection:
    """The receiving side of a connection to an endpoint."""

    def __init__(self, method: bytes, received: list[bytes]) -> None:
        self._parser = response_parser.ResponseParser()
        self._parser.frame(
            h11.Request(method=method, target=b"/", headers=[(b"Host", b"a")]),
            b"",
        )
        self._received = received[::-1]

    def read(self) -> Read:
        """Returns what the client of endpoints would read."""
        head: messages.ResponseHead | None = None
        body = bytearray()
        complete = reusable = False
        error = ""
        try:
            while not complete:
                event = self._next()
                if isinstance(event, h11.Response):
                    head = self._parser.take_head(event)
                elif isinstance(event, h11.Data):
                    body += event.data
                elif isinstance(event, h11.EndOfMessage):
                    self._parser.end_body()
                    complete = True
                elif not isinstance(event, h11.InformationalResponse):
                    break
            if complete:
                for piece in self._received[::-1]:
                    self._parser.receive(piece)
                reusable = self._parser.may_carry_another()
        except errors.TransportError as failure:
            error = type(failure).__name__
        if head is None:
            return Read(error=error)
        return Read(
            head.status,
            tuple(head.headers),
            bytes(body),
            complete,
            error,
            reusable,
            head.length,
        )

    def _next(self) -> object:
        while True:
            event = self._parser.next_event()
            if event is not h11.NEED_DATA:
                self._parser.note_event(event)
                return event
            self._parser.receive(
                self._received.pop() if self._received else b""
            )


def _read_plainly(method: bytes, data: bytes) -> tuple[int, bytes, bool]:
    """Returns status, body and completeness as h11 reads them."""
    parser = h11.Connection(h11.CLIENT)
    parser.send(
        h11.Request(method=method, target=b"/", headers=[(b"Host", b"a")])
    )
    parser.send(h11.EndOfMessage())
    parser.receive_data(data)
    parser.receive_data(b"")
    status, body, complete = 0, bytearray(), False
    with contextlib.suppress(h11.ProtocolError):
        while not complete:
            event = parser.next_event()
            if isinstance(event, h11.Response):
                status = event.status_code
            elif isinstance(event, h11.Data):
                body += event.data
            elif isinstance(event, h11.EndOfMessage):
                complete = True
            elif not isinstance(event, h11.InformationalResponse):
                break
    return status, bytes(body), complete


@targets.registered.register("http-responses")
class HttpResponses(targets.Target):
    """A response and what follows it; the first byte tells the method."""

    def generate(self, rng: random.Random) -> bytes:
        """Returns what an endpoint sends."""
        method = rng.randrange(len(_METHODS))
        return bytes([method]) + http_messages.responses(rng)

    def check(self, data: bytes) -> None:
        """Reads a response; pieces and h11's plain reading do not differ."""
        method = _METHODS[(data[:1] or b"\0")[0] % len(_METHODS)]
        data = data[1:]
        if not data:
            return
        whole = _Connection(method, [data]).read()
        for cut in pieces.ways(data):
            if _Connection(method, cut).read() != whole:
                raise targets.OracleError("pieces change what is read")
        plain = _read_plainly(method, data)
        if whole.complete and plain != (whole.status, whole.body, True):
            raise targets.OracleError("a response is read otherwise")
        if whole.reusable and whole.error:
            raise targets.OracleError("a failed connection is kept")
        told = whole.length if whole.complete and whole.body else None
        if told is not None and told != len(whole.body):
            raise targets.OracleError("a cut body counts as complete")
