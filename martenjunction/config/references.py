"""Validates references between sections of the configuration."""

from collections.abc import Callable
from collections.abc import Mapping
import dataclasses
from typing import Any

# Returns the sections of a kind by name.
Table = Callable[[str], Mapping[str, Any]]

# Kind of section, its field, and the kind of section that the field names.
_REFERENCES = (
    ("endpoint", "service", "service"),
    ("workspace", "default_class", "class"),
    ("binding", "workspace", "workspace"),
    ("binding", "service_class", "class"),
)


@dataclasses.dataclass(frozen=True)
class InvalidReference:
    """A reference to a section that does not exist.

    Attributes:
        kind: The kind of the section.
        name: Its name.
        field: The field that holds the reference.
        message: Description of the error.
    """

    kind: str
    name: str
    field: str
    message: str


def find_invalid_references(table: Table) -> list[InvalidReference]:
    """Returns references to sections that do not exist."""
    invalid = []
    for kind, field, target in _REFERENCES:
        targets = table(target)
        for value in table(kind).values():
            name = getattr(value, field)
            if name not in targets:
                message = f"there is no {target} {name!r}"
                invalid.append(
                    InvalidReference(kind, value.name, field, message)
                )
    return invalid
