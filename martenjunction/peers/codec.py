"""Encodes typed messages in CBOR as a list of the tag and the fields."""

from collections.abc import Callable
import dataclasses
from typing import Any
from typing import TypeVar

import cbor2
import msgspec

from martenjunction import decoding
from martenjunction import errors
from martenjunction import registry
from martenjunction.peers import cbor_items
from martenjunction.peers import odd_rows

T = TypeVar("T")

# Version of the protocol. Daemons with different versions do not connect.
PROTOCOL = 16

# Characters of an unknown message type that an error shows.
MAX_SHOWN = 80

# Maximum size of a received message in bytes.
MAX_MESSAGE = 4 * 1024 * 1024

# The kind of messages whose type is not known.
UNKNOWN = "unknown"

# Called with the kind of a message that is left out, or rows of it, and why.
OnOdd = Callable[[str, str], None]

message_types: registry.Registry[type[Any]] = registry.Registry("message")
_tags: dict[type[Any], str] = {}
_urgent: set[str] = set()
_replacing: set[str] = set()
_rows: dict[str, tuple[odd_rows.Columns, ...]] = {}


def message(
    tag: str,
    urgent: bool = False,
    replaces: bool = False,
    rows: tuple[odd_rows.Columns, ...] = (),
) -> Any:
    """Returns a decorator that registers a data class as a message type.

    Args:
        tag: Identifies the message type on the wire.
        urgent: Whether the message is sent before other queued messages.
        replaces: Whether the message replaces a queued message of the same
            type. Its method `after` then returns the merged message.
        rows: The fields that have an item for each row, for each kind of rows
            of which one can be left out alone.
    """

    def decorate(cls: type[T]) -> type[T]:
        message_types.register(tag)(cls)
        _tags[cls] = tag
        if urgent:
            _urgent.add(tag)
        if replaces:
            _replacing.add(tag)
        _rows[tag] = rows
        return cls

    return decorate


class Encoded:
    """An encoded message; a broadcast message is encoded only once."""

    __slots__ = ("data", "tag", "value")

    def __init__(self, value: Any) -> None:
        self.value = value
        self.tag = _tags[type(value)]
        self.data: bytes = cbor2.dumps([self.tag, *_fields(value)])

    @property
    def urgent(self) -> bool:
        """Whether the message is sent before other queued messages."""
        return self.tag in _urgent

    @property
    def replaces(self) -> bool:
        """Whether the message replaces a queued message of its type."""
        return self.tag in _replacing


def join(messages: list[Encoded]) -> bytes:
    """Returns the CBOR encoding of a batch of encoded messages."""
    # The array's head gives the number of its items (RFC 8949, 3.1).
    head = cbor2.dumps([None] * len(messages))[: -len(messages) or None]
    return b"".join((head, *(message.data for message in messages)))


# A batch without messages.
EMPTY_BATCH = join([])


def encode_batch(values: list[Any]) -> bytes:
    """Returns the CBOR encoding of a batch of messages."""
    return join([Encoded(value) for value in values])


def tag_of(value: Any) -> str:
    """Returns the tag of a message."""
    return _tags[type(value)]


def decode_batch(data: bytes, on_odd: OnOdd | None = None) -> list[Any]:
    """Decodes a batch of messages from a peer.

    A message is odd if it is unknown or has fields of the wrong number or type.

    Args:
        data: The batch.
        on_odd: Called for each odd message, which is left out. If left out
            itself, an odd message is an error.

    Raises:
        PeerError: If the data is not a batch of messages, or if the end of an
            odd message is not known.
    """
    try:
        batch = decoding.from_cbor(data)
    except errors.MalformedError as error:
        if on_odd is None:
            raise errors.PeerError(str(error)) from error
        return _decode_apart(data, on_odd)
    if not isinstance(batch, list):
        raise errors.PeerError("a batch is not a list of messages")
    try:
        return [_decode(parts) for parts in batch]
    except errors.PeerError:
        if on_odd is None:
            raise
    # The data after an odd message may be a part of it.
    _split(data)
    return _decode_others(batch, on_odd)


def _split(data: bytes) -> list[bytes]:
    try:
        return cbor_items.split_array(data)
    except errors.MalformedError as error:
        raise errors.PeerError(f"not a batch of messages: {error}") from error


def _decode_apart(data: bytes, on_odd: OnOdd) -> list[Any]:
    """Decodes a batch with a message that is not sound CBOR."""
    items = []
    for item in _split(data):
        try:
            items.append(decoding.from_cbor(item))
        except errors.MalformedError as error:
            on_odd(UNKNOWN, repr(str(error))[:MAX_SHOWN])
    return _decode_others(items, on_odd)


def _decode_others(batch: list[Any], on_odd: OnOdd) -> list[Any]:
    """Decodes messages, or the sound rows of one; leaves out odd ones."""
    messages = []
    for parts in batch:
        try:
            messages.append(_decode(parts, on_odd))
        except errors.TooManyOddMessagesError:
            raise
        except errors.PeerError as error:
            on_odd(_kind(parts), str(error))
    return messages


def _kind(parts: Any) -> str:
    tag = parts[0] if isinstance(parts, list) and parts else None
    known = isinstance(tag, str) and tag in message_types
    return str(tag) if known else UNKNOWN


def _decode(parts: Any, on_odd: OnOdd | None = None) -> Any:
    if not isinstance(parts, list) or not parts:
        raise errors.PeerError("a message is not a list that starts with a tag")
    tag = parts[0]
    if not isinstance(tag, str) or tag not in message_types:
        shown = tag[:MAX_SHOWN] if isinstance(tag, str) else type(tag).__name__
        raise errors.PeerError(f"unknown message type {shown!r}")
    cls = message_types.get(tag)
    names = _shape(cls).names
    if len(names) != len(parts) - 1:
        raise errors.PeerError(
            f"{tag} has an unexpected number of fields: {len(parts) - 1}"
        )
    fields = _as_mapping(cls, names, parts[1:])
    try:
        return _to_message(tag, cls, fields)
    except errors.PeerError:
        if on_odd is None or not _rows[tag]:
            raise
    sound, dropped = odd_rows.drop(
        cls, fields, _rows[tag], _convert, msgspec.ValidationError
    )
    value = _to_message(tag, cls, sound)
    on_odd(tag, f"{dropped} rows with values of the wrong type")
    return value


def _to_message(tag: str, cls: type[Any], fields: dict[str, Any]) -> Any:
    try:
        return _convert(fields, cls)
    except msgspec.ValidationError as error:
        raise errors.PeerError(
            f"{tag} has a field of the wrong type"
        ) from error


def _convert(value: Any, kind: Any) -> Any:
    return msgspec.convert(value, kind, builtin_types=(bytes,))


def _fields(value: Any) -> list[Any]:
    return [
        _fields(item) if _has_shape(type(item)) else item
        for item in (getattr(value, name) for name in _shape(type(value)).names)
    ]


@dataclasses.dataclass(frozen=True, slots=True)
class _Shape:
    """The fields of a data class, or of a struct.

    Attributes:
        names: The field names in order.
        inner: The class of each field that holds another one of them.
    """

    names: tuple[str, ...]
    inner: dict[str, type[Any]]


_shapes: dict[type[Any], _Shape] = {}


def _has_shape(cls: Any) -> bool:
    """Returns whether an annotation or a type is a data class or a struct."""
    return isinstance(cls, type) and (
        issubclass(cls, msgspec.Struct) or dataclasses.is_dataclass(cls)
    )


def _types_by_name(cls: type[Any]) -> dict[str, Any]:
    if issubclass(cls, msgspec.Struct):
        return {f.name: f.type for f in msgspec.structs.fields(cls)}
    return {f.name: f.type for f in dataclasses.fields(cls)}


def _shape(cls: type[Any]) -> _Shape:
    """Returns the fields of a class from a cache."""
    if cls not in _shapes:
        types = _types_by_name(cls)
        inner = {name: kind for name, kind in types.items() if _has_shape(kind)}
        _shapes[cls] = _Shape(tuple(types), inner)
    return _shapes[cls]


def _as_mapping(
    cls: type[Any], names: tuple[str, ...], values: list[Any]
) -> dict[str, Any]:
    mapping = dict(zip(names, values, strict=True))
    for name, inner in _shape(cls).inner.items():
        inner_names = _shape(inner).names
        items = mapping[name]
        if not isinstance(items, list) or len(items) != len(inner_names):
            raise errors.PeerError(f"{name} has the wrong number of fields")
        mapping[name] = _as_mapping(inner, inner_names, items)
    return mapping
