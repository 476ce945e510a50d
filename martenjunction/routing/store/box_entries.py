"""Decodes the boxes' entries in the store."""

from martenjunction import errors
from martenjunction.peers import membership
from martenjunction.platform import documents
from martenjunction.platform import store
from martenjunction.routing.log import decision_log
from martenjunction.routing.store import unreadable_entries


class BoxEntryDecoder:
    """Decodes boxes' entries, and logs each that cannot be decoded."""

    def __init__(self, log: decision_log.DecisionLog) -> None:
        """Initializes the decoder.

        Args:
            log: Gets a line for each change of an unreadable entry.
        """
        self._unreadable = unreadable_entries.UnreadableEntries(log)

    def note_list(self, listing: store.Listing) -> None:
        """Records how many entries of a list have no name."""
        self._unreadable.note_unnamed(listing.unnamed)

    def decode(self, found: store.StoredObject) -> documents.BoxEntry | None:
        """Returns a box's entry; None if it cannot be decoded."""
        try:
            entry = documents.decode_box(found.name, found.spec)
        except errors.PlatformError as error:
            self._unreadable.add(found.name, found.spec, error)
            return None
        self._unreadable.remove(found.name)
        return entry


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
