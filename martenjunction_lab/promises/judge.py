"""Finds the promises that were broken in a trial."""

from martenjunction_lab.promises import answer_rules
from martenjunction_lab.promises import change_rules
from martenjunction_lab.promises import events
from martenjunction_lab.promises import limit_rules
from martenjunction_lab.promises import rules
from martenjunction_lab.promises import service_rules
from martenjunction_lab.promises import silences
from martenjunction_lab.promises import stream_rules

# Importing a module registers its rules.
FAMILIES = (
    answer_rules,
    limit_rules,
    change_rules,
    stream_rules,
    service_rules,
    silences,
)


def broken(history: events.History) -> list[rules.Broken]:
    """Returns what broke a promise, in the order of docs/notes/promises.md.

    Within a section, by the names of the promises, then by time.
    """
    found: list[rules.Broken] = []
    for rule in rules.in_order():
        found += sorted(
            rule.find(history), key=lambda made: (made.at, made.about)
        )
    return found
