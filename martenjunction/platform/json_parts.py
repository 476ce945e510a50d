"""Splits JSON into its parts without decoding them.

Content that a decoder refuses, such as a deeply nested value, can be told apart
from what stands beside it. Only the structure is followed, without recursion:
brackets are counted and strings are skipped. A part need not be valid JSON.

The functions are generators, which pause now and then, so that the event loop
can be shared while a large document is split. Items are found one by one, so
that what is done with each of them falls into the same turns.
"""

from collections.abc import Generator
from collections.abc import Iterator
import re
from typing import TypeVar

from martenjunction import decoding
from martenjunction import errors
from martenjunction import fair_turns

T = TypeVar("T")

Steps = Generator[None, None, T]

# Tokens and bytes of a value, items of an array, and bytes of parts, after
# which the event loop is shared. What is done with an item may take two errors,
# which are slow, and splitting its members takes a time that grows with its
# size.
TOKENS_PER_TURN = 1000
VALUE_BYTES_PER_TURN = 256 * 1024
ITEMS_PER_TURN = 100
PART_BYTES_PER_TURN = 8 * 1024

_STRING = rb'"[^"\\]*+(?:\\.[^"\\]*+)*+"'
# What changes the depth, after what does not: opening or closing brackets. A
# token that ends before a string has as many strings as a token may have. A
# string without an end matches as a lone quote.
_OTHER = rb'[^"\[\]{}]*+'
_TOKENS = re.compile(
    _OTHER
    + rb"(?:"
    + _STRING
    + _OTHER
    + rb"){0,16}+(?:([\[{]++)|([\]}]++)|(?=("
    + _STRING
    + rb'))|"|\Z)',
    re.DOTALL,
)
_OPENING = 1
_CLOSING = 2
_BEFORE_STRING = 3
_SCALAR = re.compile(_STRING + rb'|[^\s,:"\[\]{}]++', re.DOTALL)
# A scalar and the comma after it, with the space around that.
_SCALAR_ITEM = re.compile(
    rb"(" + _SCALAR.pattern + rb")[ \t\r\n]*+,[ \t\r\n]*+", re.DOTALL
)
_SPACE = re.compile(rb"[ \t\r\n]*+")
# A character between parts, with the space around it.
_SEPARATOR = re.compile(rb"[ \t\r\n]*+([\[\]{}:,])[ \t\r\n]*+")


async def in_turns(steps: Steps[T]) -> T:
    """Runs steps in turns of the event loop; returns their result."""
    while True:
        try:
            next(steps)
        except StopIteration as end:
            result: T = end.value
            return result
        await next_turn()


async def next_turn() -> None:
    """Waits for the next turn, after `items` has paused."""
    await fair_turns.current_queue().wait()


def members(data: bytes) -> Steps[dict[str, bytes]]:
    """Splits an object.

    Args:
        data: The object's JSON.

    Returns:
        The JSON of each value by its key. Members whose keys cannot be decoded
        are left out; of several with the same key, the last one counts.

    Raises:
        MalformedError: If it is not an object, or not complete.
    """
    found: dict[str, bytes] = {}
    at = paused_at = _open(data, b"{")
    while data[at : at + 1] != b"}":
        end = yield from _end_of_value(data, at)
        key = _key(data[at:end])
        start = _after(data, end, b":")
        end = yield from _end_of_value(data, start)
        if key is not None:
            found[key] = data[start:end]
        at = _next(data, end, b"}")
        if at - paused_at >= PART_BYTES_PER_TURN:
            paused_at = at
            yield
    _check_end(data, at)
    return found


def items(data: bytes) -> Iterator[bytes | None]:
    """Splits an array.

    Args:
        data: The array's JSON.

    Yields:
        The JSON of each item; None where `next_turn` is to be awaited.

    Raises:
        MalformedError: If it is not an array, or not complete.
    """
    at = paused_at = _open(data, b"[")
    count = 0
    while data[at : at + 1] != b"]":
        scalar = _SCALAR_ITEM.match(data, at)
        if scalar is not None:
            yield scalar[1]
            at = scalar.end()
        else:
            end = yield from _end_of_value(data, at)
            yield data[at:end]
            at = _next(data, end, b"]")
        count += 1
        if count >= ITEMS_PER_TURN or at - paused_at >= PART_BYTES_PER_TURN:
            count = 0
            paused_at = at
            yield None
    _check_end(data, at)


def _key(data: bytes) -> str | None:
    try:
        return decoding.from_json(data, str)
    except errors.MalformedError:
        return None


def _after(data: bytes, at: int, expected: bytes) -> int:
    """Returns the position after a character and the space around it.

    Raises:
        MalformedError: If there is another character.
    """
    found = _SEPARATOR.match(data, at)
    if found is None or found[1] != expected:
        raise errors.MalformedError(f"no {expected.decode()} at byte {at}")
    return found.end()


def _open(data: bytes, opening: bytes) -> int:
    return _after(data, 0, opening)


def _next(data: bytes, at: int, closing: bytes) -> int:
    """Returns the position of the next part, or of the closing bracket.

    Raises:
        MalformedError: If neither follows.
    """
    found = _SEPARATOR.match(data, at)
    if found is not None and found[1] == b",":
        return found.end()
    if found is None or found[1] != closing:
        raise errors.MalformedError(f"no comma at byte {at}")
    return found.start(1)


def _check_end(data: bytes, at: int) -> None:
    if not _SPACE.fullmatch(data, at + 1):
        raise errors.MalformedError(f"more data after byte {at}")


def _end_of_value(data: bytes, start: int) -> Steps[int]:
    """Returns the position after a value.

    Raises:
        MalformedError: If there is no value, or if it has no end.
    """
    scalar = _SCALAR.match(data, start)
    if scalar is not None:
        return scalar.end()
    depth = 0
    paused_at = start
    for number, token in enumerate(_TOKENS.finditer(data, start), start=1):
        kind = token.lastindex
        at = token.end()
        if kind == _OPENING:
            depth += at - token.start(_OPENING)
        elif kind == _CLOSING and depth:
            closed = at - token.start(_CLOSING)
            if closed >= depth:
                return at - closed + depth
            depth -= closed
        elif kind != _BEFORE_STRING:
            break
        if (
            number % TOKENS_PER_TURN == 0
            or at - paused_at >= VALUE_BYTES_PER_TURN
        ):
            paused_at = at
            yield
    raise errors.MalformedError(f"no value at byte {start}")
