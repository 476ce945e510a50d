"""What fast senders send."""

import dataclasses
import enum

# Size in bytes of what a sender hands to its socket at once.
BLOCK_BYTES = 64 * 1024

KEY = "key-of-one"
UNKNOWN_KEY = "key-of-nobody"

PLAIN_PATH = "/sender/x"
STREAM_PATH = "/sender-stream/x"

# Milliseconds that a sender gives its request.
DEADLINE_MS = 4000

# Stands for the id of a request in the bytes of an answer.
ID_MARK = b"{id}"


class Side(enum.StrEnum):
    """Which peer of a box sends."""

    CLIENT = "client"
    ENDPOINT = "endpoint"


@dataclasses.dataclass(frozen=True)
class Form:
    """What a sender sends.

    Attributes:
        name: Its name.
        side: Which peer sends it.
        opening: The first bytes.
        repeated: What follows, again and again.
        path: For an endpoint, the path of the requests that it answers.
    """

    name: str
    side: Side
    opening: bytes
    repeated: bytes
    path: str = PLAIN_PATH

    def opening_for(self, request_id: bytes) -> bytes:
        """Returns the first bytes of an answer to a request."""
        return self.opening.replace(ID_MARK, request_id)

    def repeated_for(self, request_id: bytes) -> bytes:
        """Returns what follows in an answer to a request."""
        return self.repeated.replace(ID_MARK, request_id)


def chunk(data: bytes) -> bytes:
    """Returns data as a chunk of a body."""
    return b"%x\r\n%s\r\n" % (len(data), data)


def request_head(request_id: str, key: str, path: str, framing: bytes) -> bytes:
    """Returns the head of a request.

    Args:
        request_id: Its id.
        key: The API key.
        path: Its path.
        framing: Header lines for its body.
    """
    return (
        f"POST {path} HTTP/1.1\r\nHost: api.example\r\n"
        f"Martenjunction-Attempt-Id: {request_id}\r\n"
        f"Martenjunction-Deadline-Ms: {DEADLINE_MS}\r\n"
        f"Authorization: Bearer {key}\r\n"
        "Martenjunction-Model: m\r\n"
        "Martenjunction-Token-Counts: 500,80\r\n"
        "Martenjunction-Prefix-Hash: aa:100,bb:400\r\n"
    ).encode() + framing


def _fill(unit: bytes) -> bytes:
    """Repeats a unit so that it makes a block."""
    return unit * max(1, BLOCK_BYTES // len(unit))


_CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
_SIZED = b"Content-Length: 5\r\n\r\nhello"
_KEYS = {"": KEY, ", unknown key": UNKNOWN_KEY}

_PIECES = {
    "chunks of 1 byte": chunk(b"x"),
    "chunks of 16 bytes": chunk(b"x" * 16),
    "chunks of 16 KB": chunk(b"x" * 16 * 1024),
}


def _client_forms() -> list[Form]:
    made = []
    for suffix, key in _KEYS.items():
        head = request_head("sender", key, "/safe/x", b"")
        bodies = {
            "head without end": (head, _fill(b"X-Field: value\r\n")),
            **{
                f"body in {name}": (head + _CHUNKED, _fill(piece))
                for name, piece in _PIECES.items()
            },
            "whole requests": (b"", _fill(head + _SIZED)),
            "bytes after a body": (head + _SIZED, _fill(b"x")),
        }
        made += [
            Form(name + suffix, Side.CLIENT, opening, repeated)
            for name, (opening, repeated) in bodies.items()
        ]
    return made


_STATUS = (
    b"HTTP/1.1 200 OK\r\n"
    b"Martenjunction-Attempt-Id: " + ID_MARK + b"\r\n"
    b"Martenjunction-Replica-Seal: seal-of-sender\r\n"
)
_EVENT = b"id: 1\ndata: token\n\n"
_STALE = _STATUS.replace(ID_MARK, b"foreign")

_ANSWERS = {
    "head without end": (_STATUS, _fill(b"X-Field: value\r\n")),
    **{
        name: (_STATUS + _CHUNKED, _fill(piece))
        for name, piece in _PIECES.items()
    },
    "one endless line": (
        _STATUS + _CHUNKED + chunk(b"data: "),
        chunk(b"x" * BLOCK_BYTES),
    ),
    "tiny events": (_STATUS + _CHUNKED, _fill(chunk(_EVENT))),
    "tiny events in chunks of 64 KB": (
        _STATUS + _CHUNKED,
        chunk(_fill(_EVENT)),
    ),
    "whole answers": (b"", _fill(_STATUS + _SIZED)),
    "stale answers": (b"", _fill(_STALE + _SIZED)),
    "interim answers": (b"", _fill(b"HTTP/1.1 103 Early Hints\r\n\r\n")),
}

_ROUTES = {"plain": PLAIN_PATH, "stream": STREAM_PATH}


def _endpoint_forms() -> list[Form]:
    return [
        Form(f"{name}, {route}", Side.ENDPOINT, opening, repeated, path)
        for route, path in _ROUTES.items()
        for name, (opening, repeated) in _ANSWERS.items()
    ]


FORMS: dict[str, Form] = {
    f"{form.side}: {form.name}": form
    for form in [*_client_forms(), *_endpoint_forms()]
}
