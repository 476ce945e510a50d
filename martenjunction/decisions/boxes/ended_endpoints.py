"""Bounded memory of endpoints and entries that were removed from the list.

Late news must not list an endpoint again that has ended, but an endpoint whose
entry only seemed to be missing has to come back. Revisions tell the two apart:
an entry that was written after the removal is listed again, and so is one that
the store, or a box that did not hold it as missing, still has at a later
revision than that of the removal.
"""

import dataclasses

from martenjunction import model
from martenjunction import revisions
from martenjunction.decisions import bounded
from martenjunction.decisions.boxes import entry_states

# Maximum number of removed entries, ended endpoints, and restarted endpoints
# that are remembered.
MAX_REMOVED = 1024
MAX_ENDED = 1024
MAX_RESTARTED = 256


@dataclasses.dataclass(frozen=True, slots=True)
class Removal:
    """The removal of an endpoint from the list.

    Attributes:
        revision: The store's revision at which the entry was found to be gone.
        cause: Why it was removed.
        reported: Whether only another box reported it.
    """

    revision: revisions.Revision
    cause: entry_states.RemovalCause
    reported: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Evidence:
    """How a box came to know that an entry exists.

    Attributes:
        revision: The store's revision at which the entry existed; later than
            that of the entry unless the entry was just written.
        reported: Whether another box reported it.
    """

    revision: revisions.Revision
    reported: bool


class EndedEndpoints:
    """Removed entries by name, and ended endpoints by id."""

    def __init__(self) -> None:
        self._entries: dict[str, revisions.Revision] = {}
        self._endpoints: dict[str, Removal] = {}
        self._restarted: dict[str, None] = {}

    def copy(self) -> "EndedEndpoints":
        """Returns a copy that changes independently."""
        made = EndedEndpoints()
        made._entries = dict(self._entries)
        made._endpoints = dict(self._endpoints)
        made._restarted = dict(self._restarted)
        return made

    def note_ended(self, endpoint_id: str, removal: Removal) -> None:
        """Records that an endpoint was removed from the list."""
        bounded.put(self._endpoints, endpoint_id, removal, MAX_ENDED)

    def note_entry_removed(
        self, entry: str, revision: revisions.Revision
    ) -> None:
        """Records that the store does not have an entry any more."""
        bounded.put(self._entries, entry, revision, MAX_REMOVED)

    def note_restarted(self, previous: str, current: str) -> None:
        """Records that one start of an endpoint replaced another one."""
        bounded.put(self._restarted, previous, None, MAX_RESTARTED)
        self._restarted.pop(current, None)

    def note_listed(self, endpoint_id: str) -> None:
        """Records that an endpoint is listed again."""
        self._endpoints.pop(endpoint_id, None)

    def restarted(self, endpoint_id: str) -> bool:
        """Returns whether an endpoint was lost because it restarted."""
        return endpoint_id in self._restarted

    def removal(self, endpoint_id: str) -> Removal | None:
        """Returns the removal of an endpoint, or None if it did not end."""
        return self._endpoints.get(endpoint_id)

    def supersedes(
        self,
        endpoint: model.Endpoint,
        revision: revisions.Revision,
        evidence: Evidence,
    ) -> bool:
        """Returns whether a known removal is newer than an entry.

        Args:
            endpoint: The endpoint as described by the entry.
            revision: The revision of the entry.
            evidence: How this box came to know of the entry.
        """
        removed = self._endpoints.get(endpoint.id)
        if removed is not None and revision <= removed.revision:
            is_binding = evidence.reported and not removed.reported
            if is_binding or evidence.revision < removed.revision:
                return True
        gone_at = self._entries.get(endpoint.entry)
        if gone_at is None or revision > gone_at:
            return False
        return evidence.reported or evidence.revision < gone_at
