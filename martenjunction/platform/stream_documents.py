"""Encodes origins of streams as objects of the store, and decodes them."""

import base64
from collections.abc import Iterable
from collections.abc import Sequence
from typing import Annotated
from typing import Any
from typing import Literal
from typing import TypeVar

import msgspec

from martenjunction import decoding
from martenjunction import errors
from martenjunction.decisions.boxes import origin_archive
from martenjunction.decisions.boxes import settled_services
from martenjunction.decisions.boxes import stream_table

# Kind of the objects. Each box has one under its own name, and one tells which
# services have a single version.
STREAM_KIND = "martenjunction-streams"
SETTLED_NAME = "settled"

# Maximum size of an object that is decoded, in bytes, and maximum length of
# names in it.
MAX_BYTES = 1024 * 1024
MAX_NAME = 256

# Maximum lifetime of a record; longer ones are cut.
MAX_LIFETIME_MS = 600_000

# Sizes of the digests in bytes.
CALLER_BYTES = 8
STREAM_BYTES = 16

# In place of the index of an origin if two were reported.
CONTRADICTED = -1

T = TypeVar("T")

_Name = Annotated[str, msgspec.Meta(max_length=MAX_NAME)]
_Index = Annotated[int, msgspec.Meta(ge=CONTRADICTED)]
_LeftMs = Annotated[int, msgspec.Meta(ge=0, le=MAX_LIFETIME_MS)]


class _Records(msgspec.Struct):
    """Records in columns; digests are concatenated and in base64."""

    format: Literal[1]
    origins: list[tuple[_Name, _Name]]
    callers: str
    streams: str
    caller_of: list[_Index]
    origin_of: list[_Index]
    left_ms: list[_LeftMs]


class _Settled(msgspec.Struct):
    format: Literal[1]
    # Changes with each write, so that each write has an effect.
    number: Annotated[int, msgspec.Meta(ge=0)]
    config_version: int
    era: Annotated[int, msgspec.Meta(ge=0)]
    # The version by service.
    services: dict[_Name, _Name]


def encode_records(
    records: Iterable[origin_archive.ArchivedRecord],
) -> dict[str, Any]:
    """Returns a box's object as a mapping for the store."""
    callers: dict[bytes, int] = {}
    origins: dict[stream_table.StreamOrigin, int] = {}
    streams: list[bytes] = []
    caller_of: list[int] = []
    origin_of: list[int] = []
    left_ms: list[int] = []
    for record in records:
        key, origin = record.key, record.origin
        streams.append(key.stream)
        caller_of.append(callers.setdefault(key.caller, len(callers)))
        origin_of.append(
            CONTRADICTED
            if origin is None
            else origins.setdefault(origin, len(origins))
        )
        left_ms.append(min(max(0, record.left_ms), MAX_LIFETIME_MS))
    return {
        "format": 1,
        "origins": [(origin.service, origin.version) for origin in origins],
        "callers": _text(callers),
        "streams": _text(streams),
        "caller_of": caller_of,
        "origin_of": origin_of,
        "left_ms": left_ms,
    }


def decode_records(spec: bytes) -> list[origin_archive.ArchivedRecord]:
    """Decodes a box's object.

    Args:
        spec: The object's JSON.

    Raises:
        PlatformError: If it is malformed, too large or of another format.
    """
    wire: _Records = _decode(spec, _Records)
    try:
        callers = _digests(wire.callers, CALLER_BYTES)
        streams = _digests(wire.streams, STREAM_BYTES)
        origins = [stream_table.StreamOrigin(*row) for row in wire.origins]
        rows = zip(
            streams, wire.caller_of, wire.origin_of, wire.left_ms, strict=True
        )
        return [
            origin_archive.ArchivedRecord(
                stream_table.StreamKey(_at(callers, caller), stream),
                None if origin == CONTRADICTED else _at(origins, origin),
                left_ms,
            )
            for stream, caller, origin, left_ms in rows
        ]
    except (ValueError, IndexError) as error:
        raise errors.PlatformError(
            f"malformed origins of streams: {error}"
        ) from error


def encode_settled(
    settled: settled_services.Settled, number: int, era: int
) -> dict[str, Any]:
    """Returns the object about settled services as a mapping.

    Args:
        settled: The services.
        number: A number that differs from that of the last write.
        era: The era of the store.
    """
    return {
        "format": 1,
        "number": number,
        "era": era,
        "config_version": settled.config_version,
        "services": dict(settled.versions),
    }


def decode_settled(spec: bytes) -> tuple[settled_services.Settled, int, int]:
    """Decodes the object about settled services, with its number and era.

    Args:
        spec: The object's JSON.

    Raises:
        PlatformError: If it is malformed, too large or of another format.
    """
    wire: _Settled = _decode(spec, _Settled)
    settled = settled_services.Settled(wire.config_version, wire.services)
    return settled, wire.number, wire.era


def _decode(spec: bytes, expected_type: Any) -> Any:
    if len(spec) > MAX_BYTES:
        raise errors.PlatformError(f"an object of {len(spec)} bytes")
    try:
        return decoding.from_json(spec, expected_type)
    except errors.MalformedError as error:
        raise errors.PlatformError(f"malformed object: {error}") from error


def _text(digests: Iterable[bytes]) -> str:
    return base64.b64encode(b"".join(digests)).decode("ascii")


def _digests(text: str, size: int) -> Sequence[bytes]:
    """Returns the digests in a text.

    Raises:
        ValueError: If it is not base64 of whole digests.
    """
    joined = base64.b64decode(text, validate=True)
    if len(joined) % size:
        raise ValueError(f"digests of {len(joined)} bytes in all")
    return [joined[at : at + size] for at in range(0, len(joined), size)]


def _at(table: Sequence[T], index: int) -> T:
    """Returns a row; a negative index raises IndexError."""
    if index < 0:
        raise IndexError(f"index {index}")
    return table[index]
