"""Spans of the items of encoded CBOR (RFC 8949)."""

import cbor2

from martenjunction_lab.fuzz import odd_values
from martenjunction_lab.fuzz import spans

# Sizes in bytes of the argument that follows the first byte of an item.
_ARGUMENT_BYTES = {24: 1, 25: 2, 26: 4, 27: 8}

_BYTES, _TEXT, _ARRAY, _MAP, _TAG = 2, 3, 4, 5, 6


def cbor_document(value: object) -> spans.Document:
    """Returns a value as CBOR, with the spans of what it consists of."""
    data = cbor2.dumps(value)
    return of_encoded(data)


def of_encoded(data: bytes) -> spans.Document:
    """Returns sound CBOR of definite lengths with its spans."""
    values: list[spans.Span] = []
    _scan(data, 0, values)
    return spans.Document(
        data,
        tuple(values),
        (),
        (),
        odd_values.CBOR,
        odd_values.LARGE_CBOR,
        separator=b"",
    )


def is_one_item(data: bytes) -> bool:
    """Returns whether data is one item whose end does not depend on others."""
    try:
        return _scan(data, 0, []) == len(data)
    except (IndexError, OverflowError, RecursionError, MemoryError):
        return False


def _scan(data: bytes, start: int, values: list[spans.Span]) -> int:
    """Records the spans of an item; returns the position after it."""
    major, argument = data[start] >> 5, data[start] & 31
    if argument > max(_ARGUMENT_BYTES):
        raise IndexError("an item of an unknown length")
    position = start + 1
    size = _ARGUMENT_BYTES.get(argument, 0)
    if size:
        argument = int.from_bytes(data[position : position + size], "big")
        position += size
    if major in (_BYTES, _TEXT):
        position += argument
    inner = {_ARRAY: argument, _MAP: 2 * argument, _TAG: 1}.get(major, 0)
    for _ in range(inner):
        position = _scan(data, position, values)
    values.append((start, position))
    return position
