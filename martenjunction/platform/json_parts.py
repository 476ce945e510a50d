"""Splits JSON into its parts without decoding them.

Content that a decoder refuses, such as a deeply nested value, can be told apart
from what stands beside it. Only the structure is followed, without recursion:
brackets are counted and strings are skipped. A part need not be valid JSON.

The functions are generators that return the result and yield now and then, so
that `in_turns` can share the event loop while a large document is split.
"""

from collections.abc import Generator
import re
from typing import TypeVar

from martenjunction import decoding
from martenjunction import errors
from martenjunction import fair_turns

T = TypeVar("T")

Steps = Generator[None, None, T]

# Tokens of a value, and parts of a document, after which the event loop is
# shared.
TOKENS_PER_TURN = 1000
PARTS_PER_TURN = 25

_STRING = rb'"[^"\\]*+(?:\\.[^"\\]*+)*+"'
# What changes the depth, after what does not; a string without an end matches
# as a lone quote.
_TOKENS = re.compile(
    rb'(?:[^"\[\]{}]++|' + _STRING + rb')*+([\[{]++|[\]}]++|"|\Z)', re.DOTALL
)
_OPENING = frozenset({b"[", b"{"})
_CLOSING = frozenset({b"]", b"}"})
_SCALAR = re.compile(_STRING + rb'|[^\s,:"\[\]{}]++', re.DOTALL)
_SPACE = re.compile(rb"[ \t\r\n]*+")


async def in_turns(steps: Steps[T]) -> T:
    """Runs steps in turns of the event loop; returns their result."""
    while True:
        try:
            next(steps)
        except StopIteration as end:
            result: T = end.value
            return result
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
    at = _open(data, b"{")
    while data[at : at + 1] != b"}":
        end = yield from _end_of_value(data, at)
        key = _key(data[at:end])
        start = _after(data, end, b":")
        end = yield from _end_of_value(data, start)
        if key is not None:
            found[key] = data[start:end]
        at = _next(data, end, b"}")
    _check_end(data, at)
    return found


def items(data: bytes) -> Steps[list[bytes]]:
    """Splits an array.

    Args:
        data: The array's JSON.

    Returns:
        The JSON of each item.

    Raises:
        MalformedError: If it is not an array, or not complete.
    """
    found: list[bytes] = []
    at = _open(data, b"[")
    while data[at : at + 1] != b"]":
        end = yield from _end_of_value(data, at)
        found.append(data[at:end])
        at = _next(data, end, b"]")
        if len(found) % PARTS_PER_TURN == 0:
            yield
    _check_end(data, at)
    return found


def _key(data: bytes) -> str | None:
    try:
        return decoding.from_json(data, str)
    except errors.MalformedError:
        return None


def _skip_space(data: bytes, at: int) -> int:
    match = _SPACE.match(data, at)
    return at if match is None else match.end()


def _after(data: bytes, at: int, expected: bytes) -> int:
    """Returns the position after a character and the space around it.

    Raises:
        MalformedError: If there is another character.
    """
    at = _skip_space(data, at)
    if data[at : at + 1] != expected:
        raise errors.MalformedError(f"byte {at} is not {expected.decode()}")
    return _skip_space(data, at + 1)


def _open(data: bytes, opening: bytes) -> int:
    return _after(data, 0, opening)


def _next(data: bytes, at: int, closing: bytes) -> int:
    """Returns the position of the next part, or of the closing bracket."""
    at = _skip_space(data, at)
    if data[at : at + 1] == closing:
        return at
    return _after(data, at, b",")


def _check_end(data: bytes, at: int) -> None:
    if _skip_space(data, at + 1) != len(data):
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
    for number, token in enumerate(_TOKENS.finditer(data, start), start=1):
        begin, end = token.span(1)
        first = data[begin : begin + 1]
        if first in _OPENING:
            depth += end - begin
        elif first in _CLOSING and depth:
            if end - begin >= depth:
                return begin + depth
            depth -= end - begin
        else:
            break
        if number % TOKENS_PER_TURN == 0:
            yield
    raise errors.MalformedError(f"no value at byte {start}")
