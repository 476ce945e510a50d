"""List of the endpoints, with a grace period for entries that lapse."""

from collections.abc import Iterable
from collections.abc import Sequence
from collections.abc import Set
import dataclasses

from martenjunction import model
from martenjunction import revisions
from martenjunction.decisions.boxes import ended_endpoints
from martenjunction.decisions.boxes import entry_states
from martenjunction.decisions.boxes import entry_table
from martenjunction.decisions.boxes import store_contact
from martenjunction.decisions.boxes import unchecked_reports

EntryState = entry_states.EntryState
EntryNews = entry_states.EntryNews
RemovalCause = entry_states.RemovalCause


class EndpointList(entry_table.EntryTable):
    """The endpoints of all services, as known to one box.

    An endpoint that restarts under the same name is a new incarnation with its
    own id. Incarnations are ordered by the store's revision of the entry rather
    than by their clocks: a clock that jumps back must not make a new
    incarnation look older for good.
    """

    def __init__(self) -> None:
        super().__init__()
        self._contact = store_contact.StoreContact()
        self._unchecked = unchecked_reports.UncheckedReports()
        self._revision = revisions.NONE

    @property
    def contact(self) -> store_contact.StoreContact:
        """When the store answered any box, and was away."""
        return self._contact

    @property
    def revision(self) -> revisions.Revision:
        """Revision of the store up to which changes have been applied."""
        return self._revision

    @property
    def has_listing(self) -> bool:
        """Whether a full listing was ever applied."""
        return self._revision > revisions.NONE

    def begin_report_check(self, now: float) -> bool:
        """Returns whether a box that reads has to list all entries again.

        The next call returns that only after further reports.
        """
        return self._unchecked.begin_check(now)

    def apply_listing(
        self,
        entries: Iterable[tuple[model.Endpoint, revisions.Revision]],
        revision: revisions.Revision,
        now: float,
    ) -> list[str]:
        """Applies a full listing.

        Args:
            entries: Endpoints with the revisions of their entries.
            revision: The store's revision of the listing.
            now: The current time.

        Returns:
            Ids of endpoints that may no longer receive requests as a result.
        """
        if revision < self._revision:
            return []
        self._unchecked.settle_all()
        return self._take_all(
            entries,
            set(),
            ended_endpoints.Evidence(revision, reported=False),
            now,
        )

    def apply_peer_view(
        self,
        changed: Sequence[tuple[model.Endpoint, revisions.Revision]],
        ready: Set[str],
        revision: revisions.Revision,
        now: float,
        lapsed: Set[str] = frozenset(),
        leaving: Set[str] = frozenset(),
    ) -> list[str]:
        """Applies the view of another box.

        Args:
            changed: Endpoints whose entries changed, with their revisions.
            ready: Ids of all endpoints that may receive requests.
            revision: The store's revision up to which that box has applied
                changes.
            now: The current time.
            lapsed: Ids of those of them whose entries are missing.
            leaving: Ids of the endpoints that announced that they are leaving.

        Returns:
            Ids of endpoints that may no longer receive requests as a result.
        """
        if revision < self._revision:
            return []
        reported = [
            (_as_reported_by_box(e, ready), entry_revision)
            for e, entry_revision in changed
            if e.id not in lapsed
        ]
        removed = self._take_all(
            reported,
            (ready | leaving) - lapsed,
            ended_endpoints.Evidence(revision, reported=True),
            now,
        )
        for endpoint, entry_revision in changed:
            if endpoint.id in lapsed and self._in_grace(now):
                self._add_lapsed(endpoint, entry_revision)
        for endpoint_id in self.lapsed:
            if endpoint_id in ready and endpoint_id not in lapsed:
                self._end_reported_lapse(self.entries[endpoint_id])
        return removed + [i for i in leaving if self.mark_draining(i, revision)]

    def begin_era(self, revision: revisions.Revision, now: float) -> None:
        """Handles a restore of the store from an older copy.

        Entries that are missing from the copy are kept for a grace period, and
        restored entries of ended endpoints stay unconfirmed for a while.

        Args:
            revision: The first known revision of the new era.
            now: The current time.
        """
        self._restored.begin_era(revision, now)

    def apply_entry(
        self,
        endpoint: model.Endpoint,
        revision: revisions.Revision,
        evidence: ended_endpoints.Evidence | None = None,
    ) -> list[str]:
        """Applies an entry.

        Args:
            endpoint: The endpoint as described by the entry.
            revision: The revision of the entry.
            evidence: How this box came to know of it; by default, from the
                store as it was written.

        Returns:
            Ids of endpoints that may no longer receive requests as a result.
        """
        removal = self._ended.removal(endpoint.id)
        listed = entry_states.Listed(endpoint, revision)
        if self._restored.hold_back(listed, removal):
            return []
        current = self.current(endpoint.entry)
        if current is not None and current.revision > revision:
            return []
        known_by = evidence or ended_endpoints.Evidence(revision, False)
        if self._ended.supersedes(endpoint, revision, known_by):
            return []
        removed = self._remove_previous(endpoint, current, revision)
        self._unchecked.settle(endpoint.entry)
        self._restored.drop(endpoint.id)
        self._ended.note_listed(endpoint.id)
        was_ready = self.is_ready(endpoint.id)
        self._apply_entry(endpoint, revision)
        if was_ready and not self.is_ready(endpoint.id):
            removed.append(endpoint.id)
        return removed

    def apply_removal(
        self, entry: str, revision: revisions.Revision, now: float
    ) -> list[str]:
        """Applies the removal of an entry.

        Args:
            entry: The entry's name.
            revision: The store's revision of the removal.
            now: The current time.

        Returns:
            Ids of endpoints that may no longer receive requests as a result.
        """
        self._restored.drop_entry(entry)
        self._unchecked.settle(entry)
        current = self.current(entry)
        if current is None:
            self._ended.note_entry_removed(entry, revision)
            return []
        return self._apply_missing(current.endpoint.id, revision, False, now)

    def apply_unparsable(
        self, entry: str, revision: revisions.Revision
    ) -> list[str]:
        """Handles an entry that no longer describes an endpoint.

        Args:
            entry: The entry's name.
            revision: The store's revision of the change.

        Returns:
            Ids of endpoints that may no longer receive requests as a result.
        """
        current = self.current(entry)
        if current is None:
            return []
        self._ended.note_entry_removed(entry, revision)
        return self._remove(current.endpoint.id, revision, EntryNews.WITHDRAWN)

    def apply_report(
        self,
        endpoint_id: str,
        cause: RemovalCause,
        revision: revisions.Revision,
        now: float,
    ) -> bool:
        """Applies another box's report that an endpoint is not available.

        Args:
            endpoint_id: The endpoint.
            cause: Why it is not.
            revision: The store's revision that the report rests on.
            now: The current time.

        Returns:
            Whether the state of the entry changed.
        """
        if cause is RemovalCause.LEAVING:
            return self.mark_draining(endpoint_id, revision)
        if not self._is_current(endpoint_id, revision):
            return False
        before = self.state(endpoint_id)
        if cause is RemovalCause.MISSING:
            self._apply_missing(endpoint_id, revision, True, now)
        else:
            self._remove(
                endpoint_id, revision, EntryNews.WITHDRAWN, reported=True
            )
        return self.state(endpoint_id) is not before

    def mark_draining(
        self, endpoint_id: str, revision: revisions.Revision
    ) -> bool:
        """Marks an endpoint as draining.

        Args:
            endpoint_id: The endpoint.
            revision: The store's revision at which it was found to be draining.

        Returns:
            Whether the endpoint's state changed.
        """
        if not self.is_ready(endpoint_id):
            return False
        if not self._is_current(endpoint_id, revision):
            return False
        return self.mark_leaving(endpoint_id)

    def advance(self, revision: revisions.Revision) -> None:
        """Records that all changes up to a revision have been applied."""
        self._revision = max(self._revision, revision)

    def expire(self, now: float) -> list[str]:
        """Removes lapsed entries after the grace period; returns their ids.

        Also accepts unconfirmed entries once `CONFIRMATION_S` has passed.
        """
        if self._contact.is_lost:
            return []
        for restored in self._restored.pop_confirmed(now):
            self._ended.note_listed(restored.endpoint.id)
            if restored.endpoint.entry not in self.entry_names:
                self.apply_entry(restored.endpoint, restored.revision)
        if self._in_grace(now):
            return []
        removed: list[str] = []
        for endpoint_id in self.lapsed:
            listed = self.entries[endpoint_id]
            removed += self._remove(
                endpoint_id,
                max(self._revision, listed.revision),
                EntryNews.GRACE_ENDED,
                listed.reported,
            )
        return removed

    def _in_grace(self, now: float) -> bool:
        return self._contact.in_grace or self._restored.in_grace(now)

    def _take_all(
        self,
        entries: Iterable[tuple[model.Endpoint, revisions.Revision]],
        others: Set[str],
        evidence: ended_endpoints.Evidence,
        now: float,
    ) -> list[str]:
        """Applies entries and handles all endpoints that are not present.

        Args:
            entries: Endpoints with the revisions of their entries.
            others: Ids of other endpoints that are present.
            evidence: How this box came to know of the entries.
            now: The current time.

        Returns:
            Ids of endpoints that may no longer receive requests as a result.
        """
        present = set(others)
        removed: list[str] = []
        for endpoint, revision in entries:
            present.add(endpoint.id)
            removed += self.apply_entry(endpoint, revision, evidence)
        for missing in [i for i in self.entries if i not in present]:
            removed += self._apply_missing(
                missing, evidence.revision, evidence.reported, now
            )
        self._restored.keep_only(present)
        self._revision = evidence.revision
        return removed

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
        in_grace = self._in_grace(now)
        news = EntryNews.MISSING_IN_GRACE if in_grace else EntryNews.MISSING
        if entry_states.next_state(listed.state, news) is EntryState.LAPSED:
            self._set_lapsed(listed, reported)
            return []
        if not reported:
            self._ended.note_entry_removed(listed.endpoint.entry, revision)
        return self._remove(endpoint_id, revision, news, reported)

    def _add_lapsed(
        self, endpoint: model.Endpoint, revision: revisions.Revision
    ) -> None:
        """Lists an endpoint whose entry another box holds as lapsed."""
        if self.current(endpoint.entry) is not None:
            return
        evidence = ended_endpoints.Evidence(revision, reported=True)
        self.apply_entry(endpoint, revision, evidence)
        listed = self.entries.get(endpoint.id)
        if listed is not None and listed.state is EntryState.READY:
            self._set_lapsed(listed, reported=True)

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


def _as_reported_by_box(
    endpoint: model.Endpoint, ready: Set[str]
) -> model.Endpoint:
    """Returns an endpoint in the state reported by another box.

    The box may know that the endpoint is leaving although its entry does not
    say so.
    """
    if endpoint.id in ready:
        return endpoint
    return dataclasses.replace(endpoint, state=model.EndpointState.DRAINING)
