"""Rules that find broken promises in a history, by their names."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
import enum

from martenjunction import registry
from martenjunction_lab.promises import events


class Section(enum.StrEnum):
    """Sections of docs/notes/promises.md that have rules, in its order."""

    REQUESTS = "Requests and responses"
    ONCE = "At most once, and true statuses"
    LIMITS = "Retries, time limits and clients that leave"
    CONNECTIONS = "Connections of clients"
    KEYS = "Tenants and keys"
    CONFIGURATION = "Configuration"
    ENDPOINTS = "Endpoints come, leave and end"
    STREAMS = "Streams"
    BOXES = "Boxes and machines"


@dataclasses.dataclass(frozen=True)
class Broken:
    """A promise that was broken.

    Attributes:
        promise: Its name.
        at: When it was broken, in seconds.
        about: Id of the request, or name of the endpoint, service or version.
        trace: All events about it, in the order of their times.
    """

    promise: str
    at: float
    about: str
    trace: tuple[events.Event, ...]

    def __str__(self) -> str:
        """Returns a line on the promise and one for each event."""
        lines = [f"{self.promise}: {self.about} at {self.at:.3f} s"]
        return "\n".join(lines + [_line(event) for event in self.trace])


RuleFunction = Callable[[events.History], Iterable[Broken]]


@dataclasses.dataclass(frozen=True)
class Rule:
    """A rule.

    Attributes:
        name: Name of the promise.
        section: The section of the promise.
        find: Returns what breaks it in a history.
    """

    name: str
    section: Section
    find: RuleFunction


_rules: registry.Registry[Rule] = registry.Registry("rule")


def rule(name: str, section: Section) -> Callable[[RuleFunction], RuleFunction]:
    """Returns a decorator that registers a function as the rule `name`."""

    def decorate(find: RuleFunction) -> RuleFunction:
        _rules.register(name)(Rule(name, section, find))
        return find

    return decorate


def in_order() -> Iterator[Rule]:
    """Returns all rules in the order of their sections, then of their names."""
    for section in Section:
        for name in _rules:
            if _rules.get(name).section is section:
                yield _rules.get(name)


def _line(event: events.Event) -> str:
    """Returns an event's time, kind and the fields that say something."""
    told = []
    for field in dataclasses.fields(event)[1:]:
        value = getattr(event, field.name)
        if value not in ("", None):
            text = value if isinstance(value, str) else repr(value)
            told.append(f"{field.name}={text}")
    return f"  {event.at:.3f} {type(event).__name__} {' '.join(told)}"
