"""Decodes answers of the store, which hold content that others wrote.

An answer is decoded in one call. If that fails, it is split into its objects,
and each is decoded by itself, so that content that a decoder refuses concerns
no other object. Such content is handed on as it is: the decoder of its kind
refuses it as well, and the object then counts as one that is unreadable.

Where the metadata of an object cannot be decoded as a whole, its name and its
revision are read by themselves.
"""

from collections.abc import Iterator
import dataclasses
from typing import Annotated
from typing import Any

import msgspec

from martenjunction import decoding
from martenjunction import errors
from martenjunction.platform import json_parts

# A larger revision would outrank all that follow.
_MAX_REVISION = 2**63 - 1

_Revision = Annotated[int, msgspec.Meta(ge=0, le=_MAX_REVISION)]

_NO_CONTENT = b"null"


class Metadata(msgspec.Struct):
    """What the store tells of an object."""

    name: str
    revision: _Revision = 0


class WireObject(msgspec.Struct):
    """An object in an answer; its content is not decoded."""

    metadata: Metadata
    spec: msgspec.Raw = msgspec.Raw(_NO_CONTENT)


class Event(msgspec.Struct):
    """A change or deletion of an object."""

    object: WireObject
    deleted: bool = False


class Events(msgspec.Struct):
    """An answer to a watch."""

    current_rev: _Revision
    events: list[Event] = []


class _Page(msgspec.Struct):
    current_rev: _Revision
    entries: list[WireObject] = []
    has_more: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Page:
    """A page of a list.

    Attributes:
        current_rev: The store's revision.
        entries: The objects.
        has_more: Whether another page follows.
        unnamed: The number of objects that were left out because their names
            cannot be read.
    """

    current_rev: int
    entries: list[WireObject]
    has_more: bool
    unnamed: int = 0


async def decode_object(body: bytes) -> WireObject:
    """Decodes one object.

    Its revision is 0 if it cannot be read: a conditional write then fails.

    Raises:
        MalformedError: If it has no readable name.
    """
    try:
        return decoding.from_json(body, WireObject)
    except errors.MalformedError:
        return await _split_object(body, revision=0)


async def decode_page(body: bytes) -> Page:
    """Decodes a page of a list.

    A revision that cannot be read is replaced by that of the page, at which the
    object had the given content. Objects without a readable name are left out.

    Raises:
        MalformedError: If the answer is no page, or if another page follows and
            no object tells after which name.
    """
    try:
        page = decoding.from_json(body, _Page)
    except errors.MalformedError:
        return await _split_page(body)
    return Page(page.current_rev, page.entries, page.has_more)


async def decode_events(body: bytes) -> Events:
    """Decodes the answer to a watch.

    Raises:
        UnreadableChangeError: If the name or revision of an object cannot be
            read. The revision of the answer does not replace it, as the answer
            may lack changes before that.
        MalformedError: If the answer is malformed otherwise.
    """
    try:
        return decoding.from_json(body, Events)
    except errors.MalformedError:
        return await _split_events(body)


async def _split_page(body: bytes) -> Page:
    parts = await json_parts.in_turns(json_parts.members(body))
    current_rev = _member(parts, "current_rev", _Revision)
    has_more = _member(parts, "has_more", bool, b"false")
    entries: list[WireObject] = []
    unnamed = 0
    for item in _items(parts, "entries"):
        if item is None:
            await json_parts.next_turn()
            continue
        if not item.startswith(b"{"):
            # Spares the errors of two decoders.
            unnamed += 1
            continue
        try:
            entries.append(await _object(item, current_rev))
        except errors.MalformedError:
            unnamed += 1
    if has_more and unnamed and not entries:
        raise errors.MalformedError("a page without a readable name")
    return Page(current_rev, entries, has_more, unnamed)


async def _split_events(body: bytes) -> Events:
    parts = await json_parts.in_turns(json_parts.members(body))
    current_rev = _member(parts, "current_rev", _Revision)
    events = []
    for item in _items(parts, "events"):
        if item is None:
            await json_parts.next_turn()
            continue
        try:
            events.append(await _event(item))
        except errors.MalformedError as error:
            raise errors.UnreadableChangeError(
                f"a change that cannot be read: {error}"
            ) from error
    return Events(current_rev, events)


async def _event(data: bytes) -> Event:
    parts = await json_parts.in_turns(json_parts.members(data))
    found = await _object(_part(parts, "object"), revision=None)
    return Event(found, _member(parts, "deleted", bool, b"false"))


async def _object(data: bytes, revision: int | None) -> WireObject:
    try:
        return decoding.from_json(data, WireObject)
    except errors.MalformedError:
        return await _split_object(data, revision)


async def _split_object(data: bytes, revision: int | None) -> WireObject:
    """Decodes an object that cannot be decoded as a whole.

    Args:
        data: Its JSON.
        revision: Its revision if it cannot be read; None if it has to be.

    Raises:
        MalformedError: If its name or revision cannot be read.
    """
    parts = await json_parts.in_turns(json_parts.members(data))
    metadata = await json_parts.in_turns(
        json_parts.members(_part(parts, "metadata"))
    )
    name = _member(metadata, "name", str)
    try:
        revision = _member(metadata, "revision", _Revision)
    except errors.MalformedError:
        if revision is None:
            raise
    spec = msgspec.Raw(parts.get("spec", _NO_CONTENT))
    return WireObject(Metadata(name, revision), spec)


def _items(parts: dict[str, bytes], key: str) -> Iterator[bytes | None]:
    return json_parts.items(parts.get(key, b"[]"))


def _part(parts: dict[str, bytes], key: str) -> bytes:
    if key not in parts:
        raise errors.MalformedError(f"no {key}")
    return parts[key]


def _member(
    parts: dict[str, bytes],
    key: str,
    expected_type: Any,
    default: bytes | None = None,
) -> Any:
    data = _part(parts, key) if default is None else parts.get(key, default)
    return decoding.from_json(data, expected_type)
