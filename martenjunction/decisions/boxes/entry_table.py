"""Table of the endpoints that a box holds, and of those that have ended."""

from collections.abc import Set
import copy
from typing import Self

import msgspec
import xxhash

from martenjunction import model
from martenjunction import revisions
from martenjunction.decisions import bounded
from martenjunction.decisions.boxes import ended_endpoints
from martenjunction.decisions.boxes import entry_states
from martenjunction.decisions.boxes import list_age
from martenjunction.decisions.boxes import restored_entries
from martenjunction.decisions.boxes import store_contact
from martenjunction.decisions.boxes import unchecked_reports

# Maximum number of endpoints that announced that they are leaving.
MAX_LEAVING = 1024

Listed = entry_states.Listed
EntryState = entry_states.EntryState
EntryNews = entry_states.EntryNews
RemovalCause = entry_states.RemovalCause


class EntryTable:
    """Entries by endpoint id, and endpoints that are leaving or have ended."""

    def __init__(self) -> None:
        self._listed: dict[str, Listed] = {}
        self._current_ids: dict[str, str] = {}
        self._leaving: dict[str, None] = {}
        self._ended = ended_endpoints.EndedEndpoints()
        self._restored = restored_entries.RestoredEntries()
        self._digest: int | None = None
        self._contact = store_contact.StoreContact()
        self._age = list_age.ListAge()
        self._unchecked = unchecked_reports.UncheckedReports()
        self._revision = revisions.NONE
        # The number of changes so far, and that of the table that this one is a
        # draft of when it was copied.
        self._changes = 0
        self._drafted_at = 0
        self._versions: set[tuple[str, str]] = set()
        self._has_gap = False

    @property
    def contact(self) -> store_contact.StoreContact:
        """When the store answered any box, and was away."""
        return self._contact

    @property
    def age(self) -> list_age.ListAge:
        """When the list was last known to have all changes."""
        return self._age

    @property
    def changes(self) -> int:
        """A number that rises with each change of the entries."""
        return self._changes

    @property
    def revision(self) -> revisions.Revision:
        """Revision of the store up to which changes have been applied."""
        return self._revision

    @property
    def has_listing(self) -> bool:
        """Whether a full listing was ever applied."""
        return self._revision > revisions.NONE

    @property
    def entries(self) -> dict[str, Listed]:
        """All entries by endpoint id; read-only."""
        return self._listed

    @property
    def entry_names(self) -> Set[str]:
        """The names of all entries; read-only."""
        return self._current_ids.keys()

    @property
    def leaving(self) -> list[str]:
        """Ids of the listed endpoints that announced that they are leaving."""
        return [i for i in self._leaving if i in self._listed]

    @property
    def lapsed(self) -> list[str]:
        """Ids of the endpoints whose entries are missing for the moment."""
        return [i for i, listed in self._listed.items() if listed.lapsed]

    def note_version(self, endpoint: model.Endpoint) -> None:
        """Records that an endpoint was listed, however briefly."""
        self._versions.add((endpoint.service, endpoint.version))

    def note_gap(self) -> None:
        """Records that entries may have come and gone unseen until now."""
        self._has_gap = True

    def take_gap(self) -> bool:
        """Returns whether there was a gap since the last call."""
        taken, self._has_gap = self._has_gap, False
        return taken

    def take_versions(self) -> set[tuple[str, str]]:
        """Returns services and versions listed since the last call."""
        taken = set(self._versions)
        self._versions.clear()
        return taken

    def is_new_era(self, revision: revisions.Revision) -> bool:
        """Returns whether the store was restored before a later revision."""
        return self.has_listing and revision.era > self._revision.era

    def ready(self, service: str) -> list[model.Endpoint]:
        """Returns the endpoints of a service that may receive new requests."""
        return [
            listed.endpoint
            for listed in self._listed.values()
            if listed.endpoint.service == service
            and entry_states.gets_requests(listed.state)
        ]

    def ready_ids(self) -> list[str]:
        """Returns the sorted ids of endpoints that may receive new requests."""
        return sorted(i for i in self._listed if self.is_ready(i))

    def digest(self) -> int:
        """Returns a digest of the ids of ready endpoints."""
        if self._digest is None:
            ids = ",".join(self.ready_ids())
            self._digest = xxhash.xxh3_64_intdigest(ids.encode())
        return self._digest

    def is_ready(self, endpoint_id: str) -> bool:
        """Returns whether an endpoint may receive new requests now."""
        return entry_states.gets_requests(self.state(endpoint_id))

    def state(self, endpoint_id: str) -> EntryState:
        """Returns what is held of an endpoint's entry."""
        listed = self._listed.get(endpoint_id)
        return EntryState.UNLISTED if listed is None else listed.state

    def current(self, entry: str) -> Listed | None:
        """Returns the endpoint that is listed under an entry's name."""
        return self._listed.get(self._current_ids.get(entry, ""))

    def restarted(self, endpoint_id: str) -> bool:
        """Returns whether an endpoint was lost because it restarted."""
        return self._ended.restarted(endpoint_id)

    def removal_cause(self, endpoint_id: str) -> RemovalCause:
        """Returns why an endpoint may get no more requests."""
        if self.state(endpoint_id) is EntryState.LEAVING:
            return RemovalCause.LEAVING
        removed = self._ended.removal(endpoint_id)
        return RemovalCause.MISSING if removed is None else removed.cause

    def draft(self) -> Self:
        """Returns a copy to change in several steps; see `adopt`.

        It shares the contact with the store and the age, which it only reads.
        """
        made = copy.copy(self)
        made._listed = dict(self._listed)
        made._current_ids = dict(self._current_ids)
        made._leaving = dict(self._leaving)
        made._ended = self._ended.copy()
        made._restored = self._restored.copy()
        made._unchecked = self._unchecked.copy()
        made._versions = set(self._versions)
        made._drafted_at = self._changes
        return made

    def adopt(self, draft: Self) -> bool:
        """Takes the state of a draft over, which must not be used any more.

        The draft keeps the entries that it replaces: to release many of them
        takes some milliseconds.

        Args:
            draft: A draft of this table.

        Returns:
            Whether it was taken over. It is not if this table has changed
            since it was copied.
        """
        if draft._drafted_at != self._changes:
            return False
        self._changes += 1
        self._listed, draft._listed = draft._listed, self._listed
        self._current_ids = draft._current_ids
        self._leaving = draft._leaving
        self._ended = draft._ended
        self._restored = draft._restored
        self._unchecked = draft._unchecked
        self._revision = draft._revision
        self._digest = draft._digest
        self._versions |= draft._versions
        return True

    def mark_leaving(self, endpoint_id: str) -> bool:
        """Records that an endpoint itself announced that it is leaving.

        This is final for this incarnation, whatever its entry says.

        Args:
            endpoint_id: The endpoint; it need not be listed.

        Returns:
            Whether this was unknown before.
        """
        if endpoint_id in self._leaving:
            return False
        self._changes += 1
        bounded.put(self._leaving, endpoint_id, None, MAX_LEAVING)
        listed = self._listed.get(endpoint_id)
        if listed is not None:
            self._store(listed.endpoint, listed.revision, EntryNews.LEAVING)
        return True

    def _is_current(
        self, endpoint_id: str, reported: revisions.Revision
    ) -> bool:
        """Returns whether a box that reports an endpoint knows its entry.

        Args:
            endpoint_id: The endpoint.
            reported: The revision that the report rests on.
        """
        listed = self.entries.get(endpoint_id)
        if listed is None:
            return False
        return listed.revision <= reported or self._restored.is_unwritten(
            listed.revision, reported
        )

    def _apply_entry(
        self, endpoint: model.Endpoint, revision: revisions.Revision
    ) -> None:
        """Lists an endpoint as its entry describes it."""
        leaves = endpoint.state is not model.EndpointState.READY
        if leaves or endpoint.id in self._leaving:
            self._store(endpoint, revision, EntryNews.LEAVING)
            self.mark_leaving(endpoint.id)
        else:
            self._store(endpoint, revision, EntryNews.PRESENT)

    def _set_lapsed(self, listed: Listed, reported: bool) -> None:
        """Records that an entry is missing and kept for the grace period."""
        self._listed[listed.endpoint.id] = msgspec.structs.replace(
            listed,
            state=entry_states.next_state(
                listed.state, EntryNews.MISSING_IN_GRACE
            ),
            reported=reported and (listed.reported or not listed.lapsed),
        )

    def _end_reported_lapse(self, listed: Listed) -> None:
        """Handles an entry that one box reports as missing and another has."""
        if listed.reported:
            self._listed[listed.endpoint.id] = msgspec.structs.replace(
                listed,
                state=entry_states.next_state(listed.state, EntryNews.PRESENT),
            )

    def _pop(self, endpoint_id: str) -> Listed:
        """Removes an endpoint that is listed."""
        if self.is_ready(endpoint_id):
            self._digest = None
        listed = self._listed.pop(endpoint_id)
        entry = listed.endpoint.entry
        if self._current_ids.get(entry) == endpoint_id:
            del self._current_ids[entry]
        return listed

    def _store(
        self,
        endpoint: model.Endpoint,
        revision: revisions.Revision,
        news: EntryNews,
    ) -> None:
        """Lists an endpoint in the state that follows from news of it."""
        before = self.state(endpoint.id)
        state = entry_states.next_state(before, news)
        if state is EntryState.LEAVING:
            endpoint = msgspec.structs.replace(
                endpoint, state=model.EndpointState.DRAINING
            )
        if entry_states.gets_requests(before) != entry_states.gets_requests(
            state
        ):
            self._digest = None
        self._listed[endpoint.id] = Listed(endpoint, revision, state)
        self.note_version(endpoint)
        self._current_ids[endpoint.entry] = endpoint.id

    def _remove(
        self,
        endpoint_id: str,
        revision: revisions.Revision,
        news: EntryNews,
        reported: bool = False,
    ) -> list[str]:
        """Removes an endpoint if news ends it; returns its id in a list."""
        if not self._is_current(endpoint_id, revision):
            return []
        state = entry_states.next_state(self.state(endpoint_id), news)
        if state is not EntryState.UNLISTED:
            return []
        self._pop(endpoint_id)
        cause = entry_states.removal_cause(news)
        self._ended.note_ended(
            endpoint_id, ended_endpoints.Removal(revision, cause, reported)
        )
        return [endpoint_id]

    def in_grace(self, now: float) -> bool:
        """Returns whether live endpoints may still have to write entries."""
        return self._contact.in_grace or self._restored.in_grace(now)

    def _apply_missing(
        self,
        endpoint_id: str,
        revision: revisions.Revision,
        reported: bool,
        now: float,
    ) -> list[str]:
        """Handles an entry that the store does not have.

        Args:
            endpoint_id: The endpoint; it need not be listed.
            revision: The store's revision at which it is missing.
            reported: Whether only another box reported it.
            now: The current time.

        Returns:
            The id in a list if the endpoint was removed.
        """
        listed = self.entries.get(endpoint_id)
        if listed is None or not self._is_current(endpoint_id, revision):
            return []
        if reported and not listed.lapsed:
            self._unchecked.add(listed.endpoint.entry, now)
        in_grace = self.in_grace(now)
        news = EntryNews.MISSING_IN_GRACE if in_grace else EntryNews.MISSING
        if entry_states.next_state(listed.state, news) is EntryState.LAPSED:
            self._set_lapsed(listed, reported)
            return []
        if not reported:
            self._ended.note_entry_removed(listed.endpoint.entry, revision)
        return self._remove(endpoint_id, revision, news, reported)

    def _remove_previous(
        self,
        endpoint: model.Endpoint,
        current: entry_states.Listed | None,
        revision: revisions.Revision,
    ) -> list[str]:
        """Removes a previous incarnation; returns its id in a list, if any."""
        if current is None or current.endpoint.id == endpoint.id:
            return []
        previous = current.endpoint.id
        self._ended.note_restarted(previous, endpoint.id)
        return self._remove(previous, revision, EntryNews.WITHDRAWN)
