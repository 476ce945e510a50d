"""Typed messages in CBOR: a list of the tag and the fields in order."""

import dataclasses
from typing import Any
from typing import TypeVar

import cbor2
import msgspec

from martenjunction import errors
from martenjunction import registry

T = TypeVar("T")

# The version of the messages; daemons of unlike versions do not talk.
PROTOCOL = 8

# The largest message that is read, in bytes.
MAX_MESSAGE = 4 * 1024 * 1024

message_types: registry.Registry[type[Any]] = registry.Registry("message")
_tags: dict[type[Any], str] = {}
_urgent: set[str] = set()
_replacing: set[str] = set()


def message(tag: str, urgent: bool = False, replaces: bool = False) -> Any:
    """Returns a decorator that makes a data class a message.

    Args:
        tag: Names the message on the wire.
        urgent: Whether it goes before others that wait for a connection.
        replaces: Whether it takes the place of an earlier one that was not
            sent yet; its method `after` returns what then is to be sent.
    """

    def decorate(cls: type[T]) -> type[T]:
        message_types.register(tag)(cls)
        _tags[cls] = tag
        if urgent:
            _urgent.add(tag)
        if replaces:
            _replacing.add(tag)
        return cls

    return decorate


class Encoded:
    """A message as bytes, so that one for many peers is encoded once."""

    __slots__ = ("data", "tag", "value")

    def __init__(self, value: Any) -> None:
        self.value = value
        self.tag = _tags[type(value)]
        self.data: bytes = cbor2.dumps([self.tag, *_fields(value)])

    @property
    def urgent(self) -> bool:
        """Whether it goes before others that wait for a connection."""
        return self.tag in _urgent

    @property
    def replaces(self) -> bool:
        """Whether it takes the place of one that was not sent yet."""
        return self.tag in _replacing


def join(messages: list[Encoded]) -> bytes:
    """Returns the bytes of some messages."""
    # An array of the messages, whose number its head gives (RFC 8949, 3.1).
    head = cbor2.dumps([None] * len(messages))[: -len(messages) or None]
    return b"".join((head, *(message.data for message in messages)))


def encode_batch(values: list[Any]) -> bytes:
    """Returns the bytes of some messages."""
    return join([Encoded(value) for value in values])


def decode_batch(data: bytes) -> list[Any]:
    """Returns the messages in some bytes from a peer.

    Raises:
        PeerError: If they hold none, or one with fields of a wrong type.
    """
    try:
        batch = cbor2.loads(data)
    except Exception as error:
        # The decoder raises several kinds of error on rubbish.
        raise errors.PeerError(f"not CBOR: {error}") from error
    if not isinstance(batch, list):
        raise errors.PeerError("not a list of messages")
    return [_decode(parts) for parts in batch]


def _decode(parts: Any) -> Any:
    if not isinstance(parts, list) or not parts:
        raise errors.PeerError("not a message")
    tag = parts[0]
    if not isinstance(tag, str) or tag not in message_types:
        raise errors.PeerError(f"unknown message {tag!r}")
    cls = message_types.get(tag)
    names = _shape(cls).names
    if len(names) != len(parts) - 1:
        raise errors.PeerError(f"{tag} has {len(parts) - 1} fields")
    try:
        return msgspec.convert(
            _as_mapping(cls, names, parts[1:]), cls, builtin_types=(bytes,)
        )
    except msgspec.ValidationError as error:
        raise errors.PeerError(f"{tag} is not valid") from error


def _fields(value: Any) -> list[Any]:
    return [
        _fields(item) if dataclasses.is_dataclass(item) else item
        for item in (getattr(value, name) for name in _shape(type(value)).names)
    ]


@dataclasses.dataclass(frozen=True, slots=True)
class _Shape:
    """The fields of a data class.

    Attributes:
        names: Their names in order.
        inner: Those that hold a data class themselves.
    """

    names: tuple[str, ...]
    inner: dict[str, type[Any]]


_shapes: dict[type[Any], _Shape] = {}


def _shape(cls: type[Any]) -> _Shape:
    """Returns the fields of a data class, looked up once a class."""
    if cls not in _shapes:
        fields = dataclasses.fields(cls)
        inner = {
            field.name: field.type
            for field in fields
            if isinstance(field.type, type)
            and dataclasses.is_dataclass(field.type)
        }
        _shapes[cls] = _Shape(tuple(field.name for field in fields), inner)
    return _shapes[cls]


def _as_mapping(
    cls: type[Any], names: tuple[str, ...], values: list[Any]
) -> dict[str, Any]:
    mapping = dict(zip(names, values, strict=True))
    for name, inner in _shape(cls).inner.items():
        inner_names = _shape(inner).names
        items = mapping[name]
        if not isinstance(items, list) or len(items) != len(inner_names):
            raise errors.PeerError(f"{name} is not valid")
        mapping[name] = _as_mapping(inner, inner_names, items)
    return mapping
