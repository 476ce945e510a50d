"""List of the endpoints, with a grace period for entries that lapse."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Set
import dataclasses

import xxhash

from martenjunction import model
from martenjunction import revisions

# Seconds for which an entry that disappeared during an outage of the store is
# kept after the store returns: its endpoint may have been unable to write.
LAPSE_GRACE_S = 2.0

# Seconds after the store is restored from a copy for which restored entries of
# ended endpoints stay unconfirmed. Endpoints write about every 1.2 s and the
# store drops an entry after three missed writes, so an entry that exists for
# longer is being written by its endpoint.
CONFIRMATION_S = 5.0

# Minimum length in seconds of a store outage, as seen by all boxes, after which
# entries may have lapsed. Endpoints write about every 1.2 s and their entries
# are dropped after three missed writes, so no entry lapses in an outage of less
# than 2.4 s. A box that takes over as reader has waited for at most 1.7 s.
MIN_LAPSE_OUTAGE_S = 2.2

# Limits on the remembered state: removed entries with their last revision, so
# that late updates do not add them again; ended endpoints, so that a restored
# copy of the store does not add them again; restarted endpoints; and endpoints
# that announced that they are leaving.
MAX_REMOVED = 1024
MAX_ENDED = 1024
MAX_RESTARTED = 256
MAX_LEAVING = 1024


@dataclasses.dataclass(slots=True)
class Listed:
    """An entry of the list.

    Attributes:
        endpoint: The endpoint as described by its entry.
        revision: The store's revision of the entry.
        lapsed: Whether the entry is missing and only kept for the grace period.
    """

    endpoint: model.Endpoint
    revision: revisions.Revision
    lapsed: bool = False


class EndpointList:
    """The endpoints of all services, as known to one box.

    An endpoint that restarts under the same name is a new incarnation with its
    own id. Incarnations are ordered by the store's revision of the entry rather
    than by their clocks: a clock that jumps back must not make a new
    incarnation look older for good.
    """

    def __init__(self) -> None:
        self._listed: dict[str, Listed] = {}
        self._current_ids: dict[str, str] = {}
        self._restarted: dict[str, None] = {}
        self._leaving: dict[str, None] = {}
        self._removed: dict[str, revisions.Revision] = {}
        self._ended: dict[str, revisions.Revision] = {}
        self._unconfirmed: dict[str, Listed] = {}
        self._unconfirmed_until = 0.0
        self._revision = revisions.NONE
        # The first known revision of the store's current era.
        self._era_start = revisions.NONE
        self._store_lost = False
        self._grace_until = 0.0
        self._restore_grace_until = 0.0
        self._digest: int | None = None

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

    def restarted(self, endpoint_id: str) -> bool:
        """Returns whether an endpoint was lost because it restarted."""
        return endpoint_id in self._restarted

    @property
    def leaving(self) -> list[str]:
        """Ids of the listed endpoints that announced that they are leaving."""
        return [i for i in self._leaving if i in self._listed]

    def ready(self, service: str) -> list[model.Endpoint]:
        """Returns the endpoints of a service that may receive new requests."""
        return [
            listed.endpoint
            for listed in self._listed.values()
            if listed.endpoint.service == service
            and listed.endpoint.state is model.EndpointState.READY
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
        listed = self._listed.get(endpoint_id)
        return (
            listed is not None
            and listed.endpoint.state is model.EndpointState.READY
        )

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
        return self._take_all(
            entries,
            set(),
            revision,
            lambda i: self._handle_missing(i, revision, now),
        )

    def apply_peer_view(
        self,
        changed: Iterable[tuple[model.Endpoint, revisions.Revision]],
        ready: Set[str],
        revision: revisions.Revision,
        now: float,
    ) -> list[str]:
        """Applies the view of another box.

        That box has already waited for the grace period of lapsed entries, so
        entries that it does not have are removed. Shortly after a restore of
        the store, such entries get the grace period instead, because that box
        may have started since.

        Args:
            changed: Endpoints whose entries changed, with their revisions.
            ready: Ids of all endpoints that may receive requests.
            revision: The store's revision up to which that box has applied
                changes.
            now: The current time.

        Returns:
            Ids of endpoints that may no longer receive requests as a result.
        """

        def handle_missing(endpoint_id: str) -> list[str]:
            if now < self._restore_grace_until:
                return self._handle_missing(endpoint_id, revision, now)
            return self._drop(endpoint_id, revision)

        reported = [
            (_as_reported_by_box(e, ready), entry_revision)
            for e, entry_revision in changed
        ]
        return self._take_all(reported, ready, revision, handle_missing)

    def begin_era(self, revision: revisions.Revision, now: float) -> None:
        """Handles a restore of the store from an older copy.

        Entries that are missing from the copy are kept for a grace period, and
        restored entries of ended endpoints stay unconfirmed for a while.

        Args:
            revision: The first known revision of the new era.
            now: The current time.
        """
        self._era_start = revision
        self._restore_grace_until = now + LAPSE_GRACE_S
        self._grace_until = max(self._grace_until, self._restore_grace_until)
        self._unconfirmed_until = now + CONFIRMATION_S
        self._unconfirmed.clear()

    def apply_entry(
        self, endpoint: model.Endpoint, revision: revisions.Revision
    ) -> list[str]:
        """Applies an entry; returns the ids that may no longer get requests."""
        if self._is_unconfirmed(endpoint.id, revision):
            self._unconfirmed[endpoint.id] = Listed(endpoint, revision)
            return []
        current = self._listed.get(self._current_ids.get(endpoint.entry, ""))
        if revision <= self._removed.get(endpoint.entry, revisions.NONE):
            return []
        if current is not None and current.revision > revision:
            return []
        removed = self._remove_previous(endpoint, current, revision)
        self._ended.pop(endpoint.id, None)
        self._unconfirmed.pop(endpoint.id, None)
        listed = self._listed.get(endpoint.id)
        was_ready = self.is_ready(endpoint.id)
        known_to_leave = listed is not None and not was_ready
        if known_to_leave or endpoint.id in self._leaving:
            # Leaving is final: later states of the entry do not undo it.
            endpoint = dataclasses.replace(
                endpoint, state=model.EndpointState.DRAINING
            )
        is_ready = endpoint.state is model.EndpointState.READY
        if is_ready != was_ready:
            self._digest = None
        self._listed[endpoint.id] = Listed(endpoint, revision)
        self._current_ids[endpoint.entry] = endpoint.id
        return (
            [*removed, endpoint.id] if was_ready and not is_ready else removed
        )

    def _is_unconfirmed(
        self, endpoint_id: str, revision: revisions.Revision
    ) -> bool:
        """Returns whether an entry of an ended endpoint was merely restored."""
        ended_at = self._ended.get(endpoint_id)
        return (
            ended_at is not None
            and ended_at.era < revision.era
            and revision <= self._era_start
        )

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
        for endpoint_id, unconfirmed in list(self._unconfirmed.items()):
            if unconfirmed.endpoint.entry == entry:
                del self._unconfirmed[endpoint_id]
        return self._handle_missing(
            self._current_ids.get(entry, ""), revision, now
        )

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
        endpoint_id = self._current_ids.get(entry)
        return [] if endpoint_id is None else self._drop(endpoint_id, revision)

    def _remove_previous(
        self,
        endpoint: model.Endpoint,
        current: Listed | None,
        revision: revisions.Revision,
    ) -> list[str]:
        """Removes a previous incarnation; returns its id in a list, if any."""
        if current is None or current.endpoint.id == endpoint.id:
            return []
        previous = current.endpoint.id
        self._remove(previous, revision)
        while len(self._restarted) >= MAX_RESTARTED:
            del self._restarted[next(iter(self._restarted))]
        self._restarted[previous] = None
        self._restarted.pop(endpoint.id, None)
        return [previous]

    def _handle_missing(
        self, endpoint_id: str, revision: revisions.Revision, now: float
    ) -> list[str]:
        listed = self._listed.get(endpoint_id)
        if listed is None or listed.revision > revision:
            return []
        in_grace = self._store_lost or now < self._grace_until
        if in_grace and self.is_ready(endpoint_id):
            listed.lapsed = True
            return []
        return self._drop(endpoint_id, revision)

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
        listed = self._listed.get(endpoint_id)
        if not self.is_ready(endpoint_id) or listed is None:
            return False
        if listed.revision > revision and not self._unchanged_since_restore(
            listed.revision, revision
        ):
            return False
        self._set_draining(listed)
        return True

    def _unchanged_since_restore(
        self, listed: revisions.Revision, reported: revisions.Revision
    ) -> bool:
        """Returns whether an entry has not been written since the restore.

        A revision of an earlier era then counts as newer than the entry.

        Args:
            listed: The revision of the listed entry.
            reported: The revision that another box reports.
        """
        return reported.era < listed.era and listed <= self._era_start

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
        while len(self._leaving) >= MAX_LEAVING:
            del self._leaving[next(iter(self._leaving))]
        self._leaving[endpoint_id] = None
        listed = self._listed.get(endpoint_id)
        if listed is not None:
            self._set_draining(listed)
        return True

    def _set_draining(self, listed: Listed) -> None:
        listed.endpoint = dataclasses.replace(
            listed.endpoint, state=model.EndpointState.DRAINING
        )
        self._digest = None

    def advance(self, revision: revisions.Revision) -> None:
        """Records that all changes up to a revision have been applied."""
        self._revision = max(self._revision, revision)

    def store_lost(self) -> None:
        """Records that the store does not respond."""
        self._store_lost = True

    def store_returned(self, now: float, away_s: float) -> None:
        """Records that the store responds again.

        Args:
            now: The current time.
            away_s: Seconds since the store is last known to have responded to
                any box.
        """
        self._store_lost = False
        if away_s >= MIN_LAPSE_OUTAGE_S:
            self._grace_until = now + LAPSE_GRACE_S

    def grace_left_s(self, now: float) -> float:
        """Returns the seconds for which lapsed entries are still kept."""
        return max(0.0, self._grace_until - now)

    def expire(self, now: float) -> list[str]:
        """Removes lapsed entries after the grace period; returns their ids.

        Also accepts unconfirmed entries once `CONFIRMATION_S` has passed.
        """
        if self._store_lost:
            return []
        if now >= self._unconfirmed_until:
            self._accept_unconfirmed()
        if now < self._grace_until:
            return []
        lapsed = [i for i, listed in self._listed.items() if listed.lapsed]
        for endpoint_id in lapsed:
            self._remove(endpoint_id, self._revision)
        return lapsed

    def _accept_unconfirmed(self) -> None:
        unconfirmed, self._unconfirmed = self._unconfirmed, {}
        for endpoint_id, entry in unconfirmed.items():
            self._ended.pop(endpoint_id, None)
            if entry.endpoint.entry not in self._current_ids:
                self.apply_entry(entry.endpoint, entry.revision)

    def _take_all(
        self,
        entries: Iterable[tuple[model.Endpoint, revisions.Revision]],
        others: Set[str],
        revision: revisions.Revision,
        handle_missing: Callable[[str], list[str]],
    ) -> list[str]:
        """Applies entries and removes all endpoints that are not present.

        Args:
            entries: Endpoints with the revisions of their entries.
            others: Ids of other endpoints that are present.
            revision: The store's revision of the entries.
            handle_missing: Handles a missing endpoint; returns the ids that
                were removed.

        Returns:
            Ids of endpoints that may no longer receive requests as a result.
        """
        if revision < self._revision:
            return []
        present = set(others)
        removed: list[str] = []
        for endpoint, entry_revision in entries:
            present.add(endpoint.id)
            removed += self.apply_entry(endpoint, entry_revision)
        for missing in [i for i in self._listed if i not in present]:
            removed += handle_missing(missing)
        for missing in [i for i in self._unconfirmed if i not in present]:
            del self._unconfirmed[missing]
        self._revision = revision
        return removed

    def _remove(self, endpoint_id: str, revision: revisions.Revision) -> None:
        if self.is_ready(endpoint_id):
            self._digest = None
        while len(self._ended) >= MAX_ENDED:
            del self._ended[next(iter(self._ended))]
        self._ended[endpoint_id] = revision
        entry = self._listed.pop(endpoint_id).endpoint.entry
        if self._current_ids.get(entry) == endpoint_id:
            del self._current_ids[entry]

    def _drop(
        self, endpoint_id: str, revision: revisions.Revision
    ) -> list[str]:
        listed = self._listed[endpoint_id]
        if listed.revision > revision:
            return []
        self._remove(endpoint_id, revision)
        while len(self._removed) >= MAX_REMOVED:
            del self._removed[next(iter(self._removed))]
        self._removed[listed.endpoint.entry] = revision
        return [endpoint_id]


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
