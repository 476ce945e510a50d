"""Documents as what differs from one that the other side has.

A change of the configuration touches few routes or keys. Sent as a difference
it takes some hundred bytes in place of 15 kB (48 routes) or 368 kB (1,460).
"""

from typing import Any
import zlib

import cbor2

from martenjunction import errors

# Documents are parted behind this byte, so that each object of a JSON array is
# a piece of its own.
_SEPARATOR = b"}"

# The largest document and difference, in bytes: the store takes values of up
# to 1 MB.
MAX_BYTES = 4 * 1024 * 1024

# The fastest level: 368 kB of JSON take 2.6 ms and become 27 kB.
_LEVEL = 1


def encode(base: bytes, target: bytes) -> bytes:
    """Returns what `target` is beside `base`.

    Args:
        base: The document that the other side has; empty for none.
        target: The document that it is to have.
    """
    places: dict[bytes, int] = {}
    pieces = base.split(_SEPARATOR)
    for number, piece in enumerate(pieces):
        places.setdefault(piece, number)
    # Runs of the base's pieces, as first and count, and bytes of the target.
    parts: list[Any] = []
    fresh: list[bytes] = []

    def end_fresh() -> None:
        if fresh:
            parts.append(_SEPARATOR.join(fresh))
            fresh.clear()

    for piece in target.split(_SEPARATOR):
        run = parts[-1] if parts and not fresh else None
        if isinstance(run, list) and _at(pieces, run[0] + run[1]) == piece:
            run[1] += 1
            continue
        place = places.get(piece)
        if place is None or not base:
            fresh.append(piece)
            continue
        end_fresh()
        parts.append([place, 1])
    end_fresh()
    return zlib.compress(cbor2.dumps(parts), _LEVEL)


def apply(base: bytes, difference: bytes) -> bytes:
    """Returns the document that a difference leads to.

    Args:
        base: The document that it starts from.
        difference: What `encode` returned.

    Raises:
        PeerError: If it is no difference from this document.
    """
    pieces = base.split(_SEPARATOR)
    made: list[bytes] = []
    size = 0
    for part in _parts(difference):
        found = [part] if isinstance(part, bytes) else _run(pieces, part)
        size += sum(len(piece) + 1 for piece in found)
        if size > MAX_BYTES + 1:
            raise errors.PeerError("a document is too large")
        made += found
    return _SEPARATOR.join(made)


def _at(pieces: list[bytes], number: int) -> bytes | None:
    return pieces[number] if number < len(pieces) else None


def _parts(difference: bytes) -> list[Any]:
    unpacking = zlib.decompressobj()
    try:
        parts = cbor2.loads(unpacking.decompress(difference, MAX_BYTES))
    except Exception as error:
        # The decoders raise several kinds of error on rubbish.
        raise errors.PeerError(f"not a difference: {error}") from error
    if not isinstance(parts, list):
        raise errors.PeerError("not a difference")
    return parts


def _run(pieces: list[bytes], part: Any) -> list[bytes]:
    if not isinstance(part, list) or len(part) != 2:
        raise errors.PeerError("not a run of pieces")
    first, count = part
    if type(first) is not int or type(count) is not int:
        raise errors.PeerError("not a run of pieces")
    if first < 0 or count < 1 or first + count > len(pieces):
        raise errors.PeerError("a run beyond the document")
    return pieces[first : first + count]
