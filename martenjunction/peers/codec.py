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
PROTOCOL = 3

# The largest message that is read, in bytes.
MAX_MESSAGE = 4 * 1024 * 1024

message_types: registry.Registry[type[Any]] = registry.Registry("message")
_tags: dict[type[Any], str] = {}


def message(tag: str) -> Any:
    """Returns a decorator that makes a data class a message.

    Args:
        tag: Names the message on the wire.
    """

    def decorate(cls: type[T]) -> type[T]:
        message_types.register(tag)(cls)
        _tags[cls] = tag
        return cls

    return decorate


def tag_of(value: Any) -> str:
    """Returns the tag of a message."""
    return _tags[type(value)]


def encode_batch(values: list[Any]) -> bytes:
    """Returns the bytes of some messages."""
    return cbor2.dumps([[_tags[type(v)], *_fields(v)] for v in values])


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
    names = [field.name for field in dataclasses.fields(cls)]
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
        for item in (
            getattr(value, field.name) for field in dataclasses.fields(value)
        )
    ]


def _as_mapping(
    cls: type[Any], names: list[str], values: list[Any]
) -> dict[str, Any]:
    mapping = dict(zip(names, values, strict=True))
    for field in dataclasses.fields(cls):
        inner = field.type
        if isinstance(inner, type) and dataclasses.is_dataclass(inner):
            inner_names = [f.name for f in dataclasses.fields(inner)]
            items = mapping[field.name]
            if not isinstance(items, list) or len(items) != len(inner_names):
                raise errors.PeerError(f"{field.name} is not valid")
            mapping[field.name] = _as_mapping(inner, inner_names, items)
    return mapping
