"""Field types for durations, sizes, addresses and lists in INI files."""

import re
from typing import Annotated
from typing import Any

import pydantic

_DURATION = re.compile(r"^(\d+(?:\.\d+)?)\s*(ms|s|min|h)$")
_DURATION_UNITS = {"ms": 0.001, "s": 1.0, "min": 60.0, "h": 3600.0}
_SIZE = re.compile(r"^(\d+)\s*(B|KiB|MiB|GiB)$")
_SIZE_UNITS = {"B": 1, "KiB": 1024, "MiB": 1024**2, "GiB": 1024**3}
_ADDRESS = re.compile(r"^(\[[0-9a-fA-F:]+\]|[0-9.]+):(\d{1,5})$")


def parse_duration(value: Any) -> Any:
    """Converts a duration such as `650ms` or `5min` to seconds."""
    if not isinstance(value, str):
        return value
    match = _DURATION.match(value.strip())
    if match is None:
        raise ValueError(
            f"{value!r} is not a duration; write a number and ms, s, min or h"
        )
    return float(match[1]) * _DURATION_UNITS[match[2]]


def parse_size(value: Any) -> Any:
    """Converts a size such as `64KiB` to bytes."""
    if not isinstance(value, str):
        return value
    match = _SIZE.match(value.strip())
    if match is None:
        raise ValueError(
            f"{value!r} is not a size; write a number and B, KiB, MiB or GiB"
        )
    return int(match[1]) * _SIZE_UNITS[match[2]]


def parse_words(value: Any) -> Any:
    """Splits a comma-separated list into a tuple of words."""
    if not isinstance(value, str):
        return value
    return tuple(word.strip() for word in value.split(",") if word.strip())


MARGIN = "|"


def parse_source(value: Any) -> Any:
    """Removes the margin from a program that is embedded in an INI file.

    The INI format drops leading white space, so every line of a program begins
    with a vertical bar and a space.
    """
    if not isinstance(value, str):
        return value
    lines = value.strip("\n").split("\n")
    if not all(line.startswith(MARGIN) for line in lines if line.strip()):
        return value
    return "\n".join(
        line.removeprefix(MARGIN).removeprefix(" ") for line in lines
    )


def add_margin(source: str) -> str:
    """Returns a program with the margin that `parse_source` removes."""
    lines = source.split("\n")
    return "\n" + "\n".join(f"{MARGIN} {line}" for line in lines)


def check_address(value: str) -> str:
    """Validates an IP address and port, such as `127.0.0.1:8080`."""
    match = _ADDRESS.match(value)
    if match is None or not 0 < int(match[2]) < 65536:
        raise ValueError(f"{value!r} is not an IP address and a port")
    return value


Seconds = Annotated[
    float, pydantic.BeforeValidator(parse_duration), pydantic.Field(ge=0)
]
Bytes = Annotated[
    int, pydantic.BeforeValidator(parse_size), pydantic.Field(ge=1)
]
Source = Annotated[str, pydantic.BeforeValidator(parse_source)]
Words = Annotated[tuple[str, ...], pydantic.BeforeValidator(parse_words)]
Address = Annotated[str, pydantic.AfterValidator(check_address)]
