"""References from one section of the configuration to another."""

from collections.abc import Callable
from collections.abc import Mapping
import dataclasses
from typing import Any

# Returns the sections of a kind by name.
Table = Callable[[str], Mapping[str, Any]]

# Which field of which kind of section names a section of which other kind.
_REFERENCES = (
    ("endpoint", "service", "service"),
    ("workspace", "default_class", "class"),
    ("binding", "workspace", "workspace"),
    ("binding", "service_class", "class"),
)


@dataclasses.dataclass(frozen=True)
class Problem:
    """A reference from one section to another that is not there.

    Attributes:
        kind: The kind of the section.
        name: Its name.
        field: Which of its fields refers to the other section.
        message: What is wrong.
    """

    kind: str
    name: str
    field: str
    message: str


def find_problems(table: Table) -> list[Problem]:
    """Returns references that lead nowhere."""
    problems = []
    for kind, field, target in _REFERENCES:
        targets = table(target)
        for value in table(kind).values():
            name = getattr(value, field)
            if name not in targets:
                message = f"there is no {target} {name!r}"
                problems.append(Problem(kind, value.name, field, message))
    return problems
