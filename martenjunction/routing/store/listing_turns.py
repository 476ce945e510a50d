"""Decodes and applies a list of endpoints in turns of the event loop.

Load pattern: a list of ten thousand endpoints and more, which a box reads when
it starts to read from the store, and when the store has lost its history. The
list is applied to a draft, so that others see either the state before or the
one after, and a change that arrives meanwhile is not overtaken.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import itertools
import sys

from martenjunction import errors
from martenjunction import fair_turns
from martenjunction import model
from martenjunction import revisions
from martenjunction.decisions.boxes import endpoint_list
from martenjunction.platform import documents
from martenjunction.routing.store import unreadable_entries

# Entries that are decoded, or applied, in one turn.
ENTRIES_PER_TURN = 200

# How often a list is applied to a new draft because of changes that arrived
# meanwhile, before it is applied in one turn.
MAX_DRAFTS = 5

Row = unreadable_entries.Row


@dataclasses.dataclass(frozen=True, slots=True)
class DecodedList:
    """A decoded list of endpoints.

    Attributes:
        entries: The endpoints with the revisions of their entries.
        unreadable: The entries that cannot be decoded, each with the reason.
        rows: Revision and document of each entry by its name.
    """

    entries: list[tuple[model.Endpoint, revisions.Revision]]
    unreadable: list[tuple[Row, errors.PlatformError]]
    rows: dict[str, tuple[revisions.Revision, bytes]]

    def add(self, row: Row) -> None:
        """Decodes one more entry."""
        name, revision, spec = row
        self.rows[name] = (revision, spec)
        try:
            endpoint = documents.decode_endpoint(name, spec)
        except errors.PlatformError as error:
            self.unreadable.append((row, error))
        else:
            self.entries.append((endpoint, revision))


def decode_at_once(rows: Sequence[Row]) -> DecodedList:
    """Decodes a list in one turn."""
    decoded = DecodedList([], [], {})
    for row in rows:
        decoded.add(row)
    return decoded


async def decode(rows: Sequence[Row]) -> DecodedList:
    """Decodes a list in turns."""
    decoded = DecodedList([], [], {})
    async for row in fair_turns.in_turns(rows, ENTRIES_PER_TURN):
        decoded.add(row)
    return decoded


@dataclasses.dataclass(frozen=True, slots=True)
class AppliedList:
    """What a list changed.

    Attributes:
        removed: Ids of endpoints that may no longer receive requests.
        known: The revision of the endpoints before.
        replaced: Holds the entries before.
    """

    removed: list[str]
    known: revisions.Revision
    replaced: endpoint_list.EndpointList


async def apply(
    listed: endpoint_list.EndpointList,
    decoded: DecodedList,
    revision: revisions.Revision,
    now: Callable[[], float],
) -> AppliedList | None:
    """Applies a list in turns, unless a newer one was applied.

    Args:
        listed: The endpoints; they change in the last turn, all at once.
        decoded: The list.
        revision: The store's revision of the list.
        now: Returns the current time.

    Returns:
        What changed; None if the endpoints are known to a newer revision.
    """
    # The last draft is applied in one turn, so that changes that go on cannot
    # keep the list out.
    for per_turn in [ENTRIES_PER_TURN] * MAX_DRAFTS + [sys.maxsize]:
        known = listed.revision
        if revision < known:
            return None
        draft = listed.draft()
        if draft.is_new_era(revision):
            draft.begin_era(revision, now())
        removed: list[str] = []
        steps = itertools.chain(
            (
                draft.apply_unparsable(name, entry_revision)
                for (name, entry_revision, _), _ in decoded.unreadable
            ),
            draft.listing_steps(decoded.entries, revision, now()),
        )
        async for removed_now in fair_turns.in_turns(steps, per_turn):
            removed += removed_now
        if listed.adopt(draft):
            return AppliedList(removed, known, draft)
    raise AssertionError("a draft was changed in one turn")


def release_later(*held: object) -> None:
    """Releases each of some objects in a callback of the event loop of its own.

    The entries that a list replaced, and its documents, take milliseconds.
    """
    for each in held:
        asyncio.get_running_loop().call_soon(_release, each)


def _release(held: object) -> None:
    """Does nothing: its argument is released after it."""
