"""Decodes data that other processes wrote.

The errors that decoders raise for malformed input are known here alone; callers
see one of them.
"""

import json
from typing import Any
from typing import TypeVar

import cbor2
import msgspec

from martenjunction import errors

T = TypeVar("T")

# Errors of the decoder of JSON: its own, and those of Python for invalid
# Unicode, too long numbers and excessive nesting.
_JSON_ERRORS = (
    msgspec.MsgspecError,
    ValueError,
    OverflowError,
    RecursionError,
)


def from_json(data: bytes, expected_type: type[T]) -> T:
    """Decodes JSON into a type.

    Raises:
        MalformedError: If it is no JSON, not of the type, or beyond what the
            decoder can read: nested too deep, or with invalid Unicode.
    """
    try:
        return msgspec.json.decode(data, type=expected_type)
    except _JSON_ERRORS as error:
        raise errors.MalformedError(str(error)) from error


def value_from_json(data: bytes) -> Any:
    """Decodes JSON of any type, as `from_json` does."""
    any_type: Any = Any
    return from_json(data, any_type)


def lenient_value_from_json(data: bytes) -> Any:
    """Decodes JSON that may hold lone surrogates, as models write them.

    Raises:
        MalformedError: If it is no JSON, or nested too deep.
    """
    try:
        return json.loads(data)
    except (ValueError, RecursionError) as error:
        raise errors.MalformedError(str(error)) from error


def from_cbor(data: bytes) -> Any:
    """Decodes CBOR.

    Raises:
        MalformedError: If it is no CBOR, or beyond what the decoder can read.
    """
    try:
        return cbor2.loads(data)
    except Exception as error:
        # The decoders of tags raise errors of many modules.
        raise errors.MalformedError(f"malformed CBOR: {error}") from error
