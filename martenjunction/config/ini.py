"""Reads INI files and turns every mistake into one clear line."""

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
    """One section of a file.

    Attributes:
        file: The file as the operator named it.
        title: The text between the brackets.
        values: Key to text, as written.
    """

    file: str
    title: str
    values: dict[str, str]


def read(path: str) -> list[Section]:
    """Reads a file.

    Raises:
        SettingsError: If it cannot be read or is not an INI file.
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
    """Makes a checked value of a section.

    Args:
        kind: A data class whose field types say what is valid.
        section: Where the values come from.
        **extra: Values that are not written in the file, such as the name.

    Raises:
        SettingsError: Names the first key that is wrong.
    """
    adapter = pydantic.TypeAdapter(kind)
    try:
        return adapter.validate_python({**section.values, **extra})
    except pydantic.ValidationError as error:
        first = error.errors()[0]
        key = ".".join(str(part) for part in first["loc"][:1])
        raise errors.SettingsError(
            _explain(first["type"], first["msg"]),
            section.file,
            section.title,
            key,
        ) from error


# Messages of the validation library that say too little to an operator.
_EXPLANATIONS = {
    "missing": "this key is required",
    "unexpected_keyword_argument": "unknown key",
}


def _explain(kind: str, message: str) -> str:
    return _EXPLANATIONS.get(kind, message.removeprefix("Value error, "))
