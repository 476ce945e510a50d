"""Encoded documents whose values can be replaced where they stand.

Replacing a span of bytes is many times faster than a change of the document
and a new encoding, and gives texts that no encoder would write.
"""

from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import json
import random
from typing import Any

from martenjunction import registry

Span = tuple[int, int]
Edit = tuple[int, int, bytes]

# Most edits of one document.
MAX_EDITS = 3

# Share of documents that are damaged byte by byte, too.
BYTE_SHARE = 0.3


@dataclasses.dataclass(frozen=True, slots=True)
class Document:
    """An encoded document.

    Attributes:
        data: Its bytes.
        values: Spans of its values, nested ones as well.
        members: Spans of the members of its objects, without separators.
        names: Spans of the members' names.
        odd: Encoded values that are put in place of others.
        large: Those of them that take longer to decode; used less often.
        separator: What stands between members.
    """

    data: bytes
    values: tuple[Span, ...]
    members: tuple[Span, ...]
    names: tuple[Span, ...]
    odd: Sequence[bytes]
    large: Sequence[bytes]
    separator: bytes = b","


def json_document(
    value: Any, odd: Sequence[bytes], large: Sequence[bytes]
) -> Document:
    """Returns a value as JSON, with the spans of what it consists of."""
    parts: list[bytes] = []
    values: list[Span] = []
    members: list[Span] = []
    names: list[Span] = []
    size = 0

    def write(text: bytes) -> None:
        nonlocal size
        parts.append(text)
        size += len(text)

    def render(item: Any) -> None:
        start = size
        if isinstance(item, dict):
            write(b"{")
            for number, (name, inner) in enumerate(item.items()):
                if number:
                    write(b",")
                member = size
                write(json.dumps(name).encode())
                names.append((member, size))
                write(b":")
                render(inner)
                members.append((member, size))
            write(b"}")
        elif isinstance(item, list | tuple):
            write(b"[")
            for number, inner in enumerate(item):
                if number:
                    write(b",")
                render(inner)
            write(b"]")
        else:
            write(json.dumps(item).encode())
        values.append((start, size))

    render(value)
    return Document(
        b"".join(parts),
        tuple(values),
        tuple(members),
        tuple(names),
        odd,
        large,
    )


edits: registry.Registry[Callable[[random.Random, Document], Edit]] = (
    registry.Registry("edit of documents")
)


@edits.register("odd-value")
def _replace(rng: random.Random, document: Document) -> Edit:
    start, end = rng.choice(document.values)
    pool = document.odd if rng.random() < 0.95 else document.large
    return start, end, rng.choice(pool)


@edits.register("other-value")
def _swap(rng: random.Random, document: Document) -> Edit:
    start, end = rng.choice(document.values)
    first, last = rng.choice(document.values)
    return start, end, document.data[first:last]


@edits.register("dropped-member")
def _drop(rng: random.Random, document: Document) -> Edit:
    start, end = rng.choice(document.members or document.values)
    # The separator goes too, unless the member is the last one.
    if document.data[end : end + 1] == document.separator:
        end += 1
    elif document.data[start - 1 : start] == document.separator:
        start -= 1
    return start, end, b""


@edits.register("repeated-member")
def _repeat(rng: random.Random, document: Document) -> Edit:
    start, end = rng.choice(document.members or document.values)
    text = document.data[start:end]
    return end, end, document.separator + text


@edits.register("contradicting-member")
def _contradict(rng: random.Random, document: Document) -> Edit:
    if not document.names:
        return _replace(rng, document)
    start, end = rng.choice(document.names)
    name = document.data[start:end] + b":"
    return start, start, name + rng.choice(document.odd) + document.separator


@edits.register("renamed-member")
def _rename(rng: random.Random, document: Document) -> Edit:
    if not document.names:
        return _swap(rng, document)
    start, end = rng.choice(document.names)
    first, last = rng.choice(document.names)
    return start, end, document.data[first:last]


_EDITS = [edits.get(name) for name in edits]


def mutate(rng: random.Random, document: Document) -> bytes:
    """Returns a document with some edits, seldom none."""
    chosen = [
        rng.choice(_EDITS)(rng, document)
        for _ in range(rng.randint(0, MAX_EDITS))
    ]
    data = document.data
    before = len(data) + 1
    for start, end, text in sorted(chosen, reverse=True):
        if end <= before:
            data = data[:start] + text + data[end:]
            before = start
    return damage(rng, data) if rng.random() < BYTE_SHARE else data


def damage(rng: random.Random, data: bytes) -> bytes:
    """Returns bytes that are cut, flipped, joined or repeated somewhere."""
    at = rng.randint(0, len(data))
    other = rng.randint(0, len(data))
    kind = rng.randrange(6)
    if kind == 0:
        return data[:at]
    if kind == 1:
        return data[:at] + bytes([rng.randrange(256)]) + data[at + 1 :]
    if kind == 2:
        return data[:at] + data[other:]
    if kind == 3:
        return data[:at] + data[min(at, other) : max(at, other)] + data[at:]
    if kind == 4:
        return data[:at] + rng.choice(_ODD_BYTES) + data[at:]
    return data + data[other:]


_ODD_BYTES = (
    b"\0",
    b"\xff",
    b"\xed\xa0\x80",
    b"\xef\xbb\xbf",
    b"\r\n",
    b"\n",
    b"\\ud800",
    b" ",
    b"\x85",
    "\u0663".encode(),
)
