"""Finds where the items of an encoded CBOR array end (RFC 8949)."""

from martenjunction import errors

# Maximum number of items that are walked over, nested ones included.
MAX_ITEMS = 32_768

_ARGUMENT_BYTES = {24: 1, 25: 2, 26: 4, 27: 8}
_FIRST_RESERVED = 28
_BYTES, _TEXT, _ARRAY, _MAP, _TAG = 2, 3, 4, 5, 6


def split_array(data: bytes) -> list[bytes]:
    """Returns the encoding of each item of an array, without decoding it.

    An item of an indefinite length, which no peer writes, has no known end.

    Raises:
        MalformedError: If the data is not one array of items with known ends,
            or has too many items.
    """
    position, children = _read_head(data, 0)
    if data[0] >> 5 != _ARRAY:
        raise errors.MalformedError("not an array")
    count, walked = children, 0
    spans: list[bytes] = []
    while len(spans) < count:
        start, open_items = position, 1
        while open_items:
            walked += 1
            if walked > MAX_ITEMS:
                raise errors.MalformedError("too many items")
            position, children = _read_head(data, position)
            open_items += children - 1
        spans.append(data[start:position])
    if position != len(data):
        raise errors.MalformedError("an array of another length than its data")
    return spans


def _read_head(data: bytes, position: int) -> tuple[int, int]:
    """Returns the position after an item's own bytes, and its inner items."""
    if position >= len(data):
        raise errors.MalformedError("an item is missing")
    major, argument = data[position] >> 5, data[position] & 31
    if argument >= _FIRST_RESERVED:
        raise errors.MalformedError("an item without a known end")
    position += 1
    size = _ARGUMENT_BYTES.get(argument, 0)
    if size:
        argument = int.from_bytes(data[position : position + size], "big")
        position += size
    if major in (_BYTES, _TEXT):
        position += argument
    if position > len(data):
        raise errors.MalformedError("an item is cut off")
    if major in (_ARRAY, _MAP):
        return position, argument * (major - _ARRAY + 1)
    return position, int(major == _TAG)
