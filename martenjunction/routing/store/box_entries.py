"""Decodes the boxes' entries in the store."""

from martenjunction import errors
from martenjunction import revisions
from martenjunction.peers import membership
from martenjunction.platform import documents
from martenjunction.platform import store
from martenjunction.routing.log import decision_log


class BoxEntryDecoder:
    """Decodes boxes' entries, and logs each that cannot be decoded."""

    def __init__(self, log: decision_log.DecisionLog) -> None:
        """Initializes the decoder.

        Args:
            log: Gets a line for each change of an unreadable entry.
        """
        self._log = log
        self._unreadable_entries: dict[str, revisions.Revision] = {}

    def decode(self, found: store.StoredObject) -> documents.BoxEntry | None:
        """Returns a box's entry; None if it cannot be decoded."""
        try:
            return documents.decode_box(found.name, found.spec)
        except errors.PlatformError as error:
            if self._unreadable_entries.get(found.name) != found.revision:
                self._unreadable_entries[found.name] = found.revision
                self._log.write(
                    "entry-unreadable", entry=found.name, why=str(error)
                )
            return None


def to_member(entry: documents.BoxEntry) -> membership.Member:
    """Returns the member of the fleet that an entry tells of."""
    return membership.Member(
        entry.box,
        entry.zone,
        entry.callers,
        "",
        entry.peers,
        entry.incarnation,
        link_kb=entry.link_kb,
        tunnels=entry.tunnels,
    )
