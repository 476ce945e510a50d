"""Reads INI files and reports each error on a single line."""

import configparser
import dataclasses
import pathlib
from typing import Any
from typing import TypeVar

import pydantic

from martenjunction import errors

T = TypeVar("T")


@dataclasses.dataclass(frozen=True)
class Section:
    """A section of an INI file.

    Attributes:
        file: The path that the operator gave.
        title: The text between the brackets.
        values: Unparsed text by key.
    """

    file: str
    title: str
    values: dict[str, str]


def read(path: str) -> list[Section]:
    """Reads the sections of an INI file.

    Raises:
        SettingsError: If the file cannot be read or parsed.
    """
    parser = configparser.ConfigParser(
        interpolation=None, default_section="", strict=True
    )
    parser.optionxform = str  # type: ignore[assignment,method-assign]
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
        parser.read_string(text, source=path)
    except OSError as error:
        reason = error.strerror or str(error)
        raise errors.SettingsError(reason, path) from error
    except (configparser.Error, UnicodeDecodeError) as error:
        line = str(error).replace("\n", " ")
        raise errors.SettingsError(line, path) from error
    return [
        Section(path, title, dict(parser.items(title)))
        for title in parser.sections()
    ]


def validate(kind: type[T], section: Section, **extra: Any) -> T:
    """Validates a section and converts it to a data class.

    Args:
        kind: A data class whose field types define the valid values.
        section: The section to validate.
        **extra: Values that are not in the file, such as the name.

    Raises:
        SettingsError: For the first invalid key, which it names.
    """
    adapter = pydantic.TypeAdapter(kind)
    try:
        return adapter.validate_python({**section.values, **extra})
    except pydantic.ValidationError as error:
        first = error.errors()[0]
        key = ".".join(str(part) for part in first["loc"][:1])
        raise errors.SettingsError(
            _error_message(first["type"], first["msg"]),
            section.file,
            section.title,
            key,
        ) from error


# Clearer texts for Pydantic's error types, for operators.
_EXPLANATIONS = {
    "missing": "this key is required",
    "unexpected_keyword_argument": "unknown key",
}


def _error_message(kind: str, message: str) -> str:
    return _EXPLANATIONS.get(kind, message.removeprefix("Value error, "))
