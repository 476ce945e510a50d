"""List of the endpoints, with a grace period for entries that lapse."""

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Sequence
from collections.abc import Set
import itertools

import msgspec

from martenjunction import model
from martenjunction import revisions
from martenjunction.decisions.boxes import ended_endpoints
from martenjunction.decisions.boxes import entry_states
from martenjunction.decisions.boxes import entry_table

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

    def begin_report_check(self, now: float) -> bool:
        """Returns whether a box that reads has to list all entries again.

        The next call returns that only after further reports.
        """
        is_due = self._unchecked.begin_check(now)
        self._changes += is_due
        return is_due

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
        steps = self.listing_steps(entries, revision, now)
        return list(itertools.chain.from_iterable(steps))

    def listing_steps(
        self,
        entries: Iterable[tuple[model.Endpoint, revisions.Revision]],
        revision: revisions.Revision,
        now: float,
    ) -> Iterator[list[str]]:
        """Applies a full listing in steps, one for each entry.

        Args:
            entries: Endpoints with the revisions of their entries.
            revision: The store's revision of the listing.
            now: The current time.

        Yields:
            Ids of endpoints that may no longer receive requests as a result of
            the step.
        """
        if revision < self._revision:
            return
        self._changes += 1
        self._unchecked.settle_all()
        yield from self._take_steps(
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
        self._changes += 1
        reported = [
            (_as_reported_by_box(e, ready), entry_revision)
            for e, entry_revision in changed
            if e.id not in lapsed
        ]
        steps = self._take_steps(
            reported,
            (ready | leaving) - lapsed,
            ended_endpoints.Evidence(revision, reported=True),
            now,
        )
        removed = list(itertools.chain.from_iterable(steps))
        for endpoint, entry_revision in changed:
            if endpoint.id in lapsed and self.in_grace(now):
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
        self._changes += 1
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
        self._changes += 1
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
        self._changes += 1
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
        self._changes += 1
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
        self._changes += 1
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
        if revision > self._revision:
            self._changes += 1
            self._revision = revision

    def expire(self, now: float) -> list[str]:
        """Removes lapsed entries after the grace period; returns their ids.

        Also accepts unconfirmed entries once `CONFIRMATION_S` has passed.
        """
        if self._contact.is_lost:
            return []
        for restored in self._restored.pop_confirmed(now):
            self._changes += 1
            self._ended.note_listed(restored.endpoint.id)
            if restored.endpoint.entry not in self.entry_names:
                self.apply_entry(restored.endpoint, restored.revision)
        if self.in_grace(now):
            return []
        removed: list[str] = []
        for endpoint_id in self.lapsed:
            self._changes += 1
            listed = self.entries[endpoint_id]
            removed += self._remove(
                endpoint_id,
                max(self._revision, listed.revision),
                EntryNews.GRACE_ENDED,
                listed.reported,
            )
        return removed

    def _take_steps(
        self,
        entries: Iterable[tuple[model.Endpoint, revisions.Revision]],
        others: Set[str],
        evidence: ended_endpoints.Evidence,
        now: float,
    ) -> Iterator[list[str]]:
        """Applies entries and handles all endpoints that are not present.

        Args:
            entries: Endpoints with the revisions of their entries.
            others: Ids of other endpoints that are present.
            evidence: How this box came to know of the entries.
            now: The current time.

        Yields:
            Ids of endpoints that may no longer receive requests as a result of
            one entry.
        """
        present = set(others)
        for endpoint, revision in entries:
            present.add(endpoint.id)
            yield self.apply_entry(endpoint, revision, evidence)
        for missing in [i for i in self.entries if i not in present]:
            yield self._apply_missing(
                missing, evidence.revision, evidence.reported, now
            )
        self._restored.keep_only(present)
        self._revision = evidence.revision

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


def _as_reported_by_box(
    endpoint: model.Endpoint, ready: Set[str]
) -> model.Endpoint:
    """Returns an endpoint in the state reported by another box.

    The box may know that the endpoint is leaving although its entry does not
    say so.
    """
    if endpoint.id in ready:
        return endpoint
    return msgspec.structs.replace(endpoint, state=model.EndpointState.DRAINING)
