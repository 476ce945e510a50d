"""Delta encoding of documents against a base that the peer has.

A configuration change touches few routes or keys. As a delta it takes a few
hundred bytes instead of 15 kB (48 routes) or 368 kB (1,460 routes).
"""

from typing import Any
import zlib

import cbor2

from martenjunction import decoding
from martenjunction import errors

# Documents are split at this byte, so that each object of a JSON array is a
# separate piece.
_SEPARATOR = b"}"

# Maximum size of a document and of a decompressed delta in bytes. The store
# accepts values of up to 1 MB.
MAX_BYTES = 4 * 1024 * 1024

# The fastest level compresses 368 kB of JSON to 27 kB in 2.6 ms.
_LEVEL = 1


def encode(base: bytes, target: bytes) -> bytes:
    """Returns the compressed delta from `base` to `target`.

    Args:
        base: The document that the peer has, or empty if it has none.
        target: The document to send.
    """
    index_by_piece: dict[bytes, int] = {}
    pieces = base.split(_SEPARATOR)
    for number, piece in enumerate(pieces):
        index_by_piece.setdefault(piece, number)
    # Each part is either a run of pieces of the base, as the first index and
    # the count, or literal bytes of the target.
    parts: list[Any] = []
    literals: list[bytes] = []

    def flush_literals() -> None:
        if literals:
            parts.append(_SEPARATOR.join(literals))
            literals.clear()

    for piece in target.split(_SEPARATOR):
        run = parts[-1] if parts and not literals else None
        if (
            isinstance(run, list)
            and _piece_at(pieces, run[0] + run[1]) == piece
        ):
            run[1] += 1
            continue
        index = index_by_piece.get(piece)
        if index is None or not base:
            literals.append(piece)
            continue
        flush_literals()
        parts.append([index, 1])
    flush_literals()
    return zlib.compress(cbor2.dumps(parts), _LEVEL)


def apply(base: bytes, delta: bytes) -> bytes:
    """Returns the document that results from applying a delta.

    Args:
        base: The document that the delta was encoded against.
        delta: The delta as returned by `encode`.

    Raises:
        PeerError: If the delta is malformed, does not fit the base, or results
            in a document of more than `MAX_BYTES`.
    """
    pieces = base.split(_SEPARATOR)
    result: list[bytes] = []
    size = 0
    for part in _parts(delta):
        added = [part] if isinstance(part, bytes) else _run(pieces, part)
        size += sum(len(piece) + 1 for piece in added)
        if size > MAX_BYTES + 1:
            raise errors.PeerError("the document is too large")
        result += added
    return _SEPARATOR.join(result)


def _piece_at(pieces: list[bytes], number: int) -> bytes | None:
    return pieces[number] if number < len(pieces) else None


def _parts(delta: bytes) -> list[Any]:
    decompressor = zlib.decompressobj()
    try:
        parts = decoding.from_cbor(decompressor.decompress(delta, MAX_BYTES))
    except (zlib.error, errors.MalformedError) as error:
        raise errors.PeerError(f"malformed delta: {error}") from error
    if not isinstance(parts, list):
        raise errors.PeerError("a delta is not a list of parts")
    return parts


def _run(pieces: list[bytes], part: Any) -> list[bytes]:
    if not isinstance(part, list) or len(part) != 2:
        raise errors.PeerError("a part of a delta is not a run of pieces")
    first, count = part
    if type(first) is not int or type(count) is not int:
        raise errors.PeerError("a run of pieces is not a pair of integers")
    if first < 0 or count < 1 or first + count > len(pieces):
        raise errors.PeerError("a run of pieces exceeds the base document")
    return pieces[first : first + count]
