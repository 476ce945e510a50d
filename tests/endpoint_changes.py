"""Arbitrary changes of a list of endpoints, for tests of its invariants."""

import copy
import operator
from typing import Any

from hypothesis import strategies as st

from martenjunction import model
from martenjunction.decisions.boxes import endpoint_list
from martenjunction.decisions.boxes import entry_states
from tests import routing_builders

# Attributes that a draft shares with its list, or that count the changes.
_NOT_DRAFTED = ("_contact", "_changes", "_drafted_at", "_digest")

IDS = st.sampled_from(["e1", "e2", "e3", "e4"])
STATES = st.sampled_from(list(model.EndpointState))
REVISIONS = st.builds(
    routing_builders.rev, st.integers(1, 30), st.integers(1, 3)
)
ENTRIES = st.lists(
    st.tuples(st.builds(routing_builders.endpoint, IDS, STATES), REVISIONS)
)
TIMES = st.floats(0.0, 20.0)
# Name of a method of the list, or of its contact, and the arguments.
CHANGES = st.one_of(
    st.tuples(st.just("apply_listing"), ENTRIES, REVISIONS, TIMES),
    st.tuples(
        st.just("apply_peer_view"),
        ENTRIES,
        st.sets(IDS),
        REVISIONS,
        TIMES,
        st.sets(IDS),
        st.sets(IDS),
    ),
    st.tuples(
        st.just("apply_report"),
        IDS,
        st.sampled_from(list(entry_states.RemovalCause)),
        REVISIONS,
        TIMES,
    ),
    st.tuples(st.just("begin_era"), REVISIONS, TIMES),
    st.tuples(
        st.just("apply_entry"),
        st.builds(routing_builders.endpoint, IDS, STATES),
        REVISIONS,
    ),
    st.tuples(st.just("apply_removal"), IDS, REVISIONS, TIMES),
    st.tuples(st.just("mark_draining"), IDS, REVISIONS),
    st.tuples(st.just("expire"), TIMES),
    st.tuples(st.just("mark_leaving"), IDS),
    st.tuples(st.just("contact.note_failed"), TIMES),
    st.tuples(st.just("contact.note_answered"), TIMES, TIMES),
)


def apply(
    listed: endpoint_list.EndpointList, change: tuple[object, ...]
) -> Any:
    """Makes one of `CHANGES`; returns what the method returns."""
    name, *arguments = change
    return operator.attrgetter(str(name))(listed)(*arguments)


def state(listed: endpoint_list.EndpointList) -> dict[str, Any]:
    """Returns a copy of all that a draft of a list has of its own."""
    kept = {k: v for k, v in vars(listed).items() if k not in _NOT_DRAFTED}
    return {
        name: copy.deepcopy(getattr(value, "__dict__", value))
        for name, value in kept.items()
    }
