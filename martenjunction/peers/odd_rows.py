"""Leaves out the rows of a message that have a value of a wrong type."""

from collections.abc import Callable
import typing
from typing import Any

# Maximum number of rows of a message that are checked one by one.
MAX_ROWS = 8192

# Converts a value to a type, or raises an error.
Convert = Callable[[Any, Any], Any]

# Names of fields that have an item for each row.
Columns = tuple[str, ...]


def drop(
    cls: type[Any],
    fields: dict[str, Any],
    groups: tuple[Columns, ...],
    convert: Convert,
    error: type[Exception],
) -> tuple[dict[str, Any], int]:
    """Returns the fields without odd rows, and the number of these rows.

    A group whose columns do not fit together is returned as it is: which items
    belong together is not known.

    Args:
        cls: The class of the message.
        fields: The fields by name.
        groups: The columns of each kind of row.
        convert: Converts a value to a type.
        error: Raised by `convert` for a value of another type.
    """
    found = dict(fields)
    dropped = 0
    for names in groups:
        columns = [fields[name] for name in names]
        if not _fit(columns):
            continue
        kind = _row_type(cls, names)
        kept = []
        for row in zip(*columns, strict=True):
            try:
                convert(row, kind)
            except error:
                dropped += 1
            else:
                kept.append(row)
        found.update(
            (name, [row[place] for row in kept])
            for place, name in enumerate(names)
        )
    return found, dropped


def _fit(columns: list[Any]) -> bool:
    if not all(isinstance(column, list) for column in columns):
        return False
    lengths = {len(column) for column in columns}
    return len(lengths) == 1 and max(lengths) <= MAX_ROWS


def _row_type(cls: type[Any], names: Columns) -> Any:
    hints = typing.get_type_hints(cls)
    kinds = tuple(typing.get_args(hints[name])[0] for name in names)
    return tuple[kinds]  # type: ignore[valid-type]
