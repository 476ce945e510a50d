"""Checks that framing is unambiguous, and bounds that of chunked bodies."""

import enum
import re

import h11

from martenjunction.http1 import messages
from martenjunction.http1 import request_errors

# Bytes by which the framing of a chunked body may outweigh its data.
MAX_EXCESS_BYTES = 16 * 1024

# Bytes of framing that the shortest chunk has.
MIN_CHUNK_FRAMING_BYTES = len(b"1\r\n") + len(b"\r\n")

# Maximum number of header fields of a message, or of its trailer.
MAX_FIELDS = 100

# The first empty line of a message, as h11 finds it.
_END_OF_HEAD = re.compile(rb"\n\r?\n")

# The line before a chunk, after what is unread of the end of the one before.
# A size of 0 is followed by the trailer.
_CHUNK_LINE = re.compile(rb"\r?\n?([0-9A-Fa-f]+)(?:[ \t;][^\n]*)?\r\n")

# A chunk that is outweighed by its framing.
_TINY_CHUNK_SIZES = range(1, MIN_CHUNK_FRAMING_BYTES)
_TINY_CHUNK = b"(?:%b)\\r\\n" % b"|".join(
    b"%d\\r\\n[\\x00-\\xff]{%d}" % (size, size) for size in _TINY_CHUNK_SIZES
)

# Such chunks that follow each other, after what is unread of the end of the one
# before, and the size of each.
_TINY_CHUNKS = re.compile(rb"\r?\n?((?:%b)++)" % _TINY_CHUNK)
_TINY_CHUNK_SIZE = re.compile(b"(?=(.))" + _TINY_CHUNK)

_WITH_FIELDS = (
    h11.Request,
    h11.InformationalResponse,
    h11.Response,
    h11.EndOfMessage,
)


def has_too_many_fields(event: object) -> bool:
    """Returns whether a part of a message has too many header fields.

    Parsing them takes longer than their bytes suggest.
    """
    return isinstance(event, _WITH_FIELDS) and len(event.headers) > MAX_FIELDS


def begins_with_too_many_lines(received: bytes) -> bool:
    """Returns whether the head of a message has too many header fields.

    Unlike `has_too_many_fields`, it can be told before the head is parsed, or
    complete. A line that continues a field counts as another one.

    Args:
        received: What was received of the message.
    """
    if received.count(b"\n") <= MAX_FIELDS + 1:
        return False
    end = _END_OF_HEAD.search(received)
    if end is None:
        return True
    # The last line of the head ends with the match.
    return received.count(b"\n", 0, end.start()) > MAX_FIELDS


def lets_persist(head: h11.Request) -> bool:
    """Returns whether a request lets its connection carry another one."""
    if head.http_version < b"1.1":
        return False
    return not any(
        name == b"connection" and b"close" in value.lower()
        for name, value in head.headers
    )


class _Place(enum.Enum):
    """What is parsed next of a chunked body."""

    CHUNK_LINE = "chunk-line"
    DATA = "data"
    TRAILER = "trailer"


class ChunkedBody:
    """Compares the framing of a chunked body with its data.

    Tiny chunks and chunk extensions cost processor time without bringing data,
    and a limit of the body's size does not count them. A trailer of very many
    fields is told before it is parsed.
    """

    def __init__(self, received: int) -> None:
        """Initializes a body.

        Args:
            received: Bytes of it that were received together with its head.
        """
        self._received = received
        self._data = 0
        self._parsed_framing = 0
        self._next = _Place.CHUNK_LINE
        self._is_scanned = False
        self._unparsed_excess = 0

    @property
    def unparsed_excess(self) -> int:
        """Bytes of data in the chunks that `scan` found, or 0."""
        return self._unparsed_excess

    def scan(self, unparsed: bytes) -> None:
        """Looks for chunks that make the framing outweigh the data.

        Very many chunks are parsed in many turns of the event loop, which may
        take longer than the request. Call it before each part is parsed.

        Args:
            unparsed: What was received and is not parsed yet.
        """
        if self._is_scanned or self._next is not _Place.CHUNK_LINE:
            return
        self._is_scanned = True
        if (chunks := _TINY_CHUNKS.match(unparsed)) is None:
            return
        sizes = b"".join(_TINY_CHUNK_SIZE.findall(chunks[1]))
        data = sum(n * sizes.count(b"%d" % n) for n in _TINY_CHUNK_SIZES)
        framing = MIN_CHUNK_FRAMING_BYTES * len(sizes)
        if _outweighs(self._parsed_framing + framing, self._data + data):
            self._unparsed_excess = data

    def has_too_many_lines(self, unparsed: bytes) -> bool:
        """Returns whether a trailer with too many fields is parsed next.

        Call it before each part is parsed.

        Args:
            unparsed: What was received and is not parsed yet.
        """
        if not unparsed:
            return False
        start = 0
        if self._next is _Place.CHUNK_LINE:
            line = _CHUNK_LINE.match(unparsed)
            if line is not None:
                is_last = not line[1].strip(b"0")
                self._next = _Place.TRAILER if is_last else _Place.DATA
                start = line.end()
        # A trailer is like a head whose first line is empty.
        return self._next is _Place.TRAILER and begins_with_too_many_lines(
            b"\n" + unparsed[start:]
        )

    def is_excessive(self, parsed: bool) -> bool:
        """Returns whether the framing outweighs the data.

        Args:
            parsed: Whether all that was received is parsed. Otherwise only the
                least framing of the parsed and scanned chunks counts.
        """
        framing = (
            self._received - self._data if parsed else self._parsed_framing
        )
        return bool(self._unparsed_excess) or _outweighs(framing, self._data)

    def note_received(self, size: int) -> None:
        """Counts bytes that were received."""
        self._received += size
        self._is_scanned = False

    def note_data(self, size: int, ends_chunk: bool = False) -> None:
        """Counts bytes of data that were parsed."""
        self._data += size
        if ends_chunk:
            self._next = _Place.CHUNK_LINE
            self._parsed_framing += MIN_CHUNK_FRAMING_BYTES


def _outweighs(framing: int, data: int) -> bool:
    return framing > data + MAX_EXCESS_BYTES


def check(request: messages.Request, max_body_bytes: int) -> int | None:
    """Rejects framing that two parsers could interpret differently.

    Args:
        request: The request, with its head read.
        max_body_bytes: Maximum size of the body.

    Returns:
        The length of the body in bytes, or None if it is chunked.

    Raises:
        RequestSyntaxError: If the framing is ambiguous, the body too large, or
            the request for a tunnel.
    """
    if request.method == b"CONNECT":
        # What follows it would be no request.
        raise request_errors.RequestSyntaxError(501, "a tunnel is requested")
    names = [name.lower() for name, _ in request.headers]
    coded = names.count(b"transfer-encoding")
    lengths = names.count(b"content-length")
    if coded > 1 or lengths > 1 or (coded and lengths):
        raise request_errors.RequestSyntaxError(400, "ambiguous framing")
    if coded:
        return None
    length = int(messages.header(request.headers, b"content-length") or 0)
    if length > max_body_bytes:
        raise request_errors.RequestSyntaxError(413, "request body too large")
    return length
