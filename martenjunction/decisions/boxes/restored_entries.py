"""Entries that came back with a store that was restored from an older copy."""

from collections.abc import Set
import copy

from martenjunction import revisions
from martenjunction.decisions.boxes import ended_endpoints
from martenjunction.decisions.boxes import entry_states
from martenjunction.decisions.boxes import store_contact

# Seconds after the store is restored from a copy for which restored entries of
# ended endpoints stay unconfirmed. Endpoints write about every 1.2 s and the
# store drops an entry after three missed writes, so an entry that exists for
# longer is being written by its endpoint.
CONFIRMATION_S = 5.0


class RestoredEntries:
    """Holds back restored entries of endpoints that had ended before."""

    def __init__(self) -> None:
        self._unconfirmed: dict[str, entry_states.Listed] = {}
        self._unconfirmed_until = 0.0
        # The first known revision of the store's current era.
        self._era_start = revisions.NONE
        self._grace_until = 0.0

    def copy(self) -> "RestoredEntries":
        """Returns a copy that changes independently."""
        made = copy.copy(self)
        made._unconfirmed = dict(self._unconfirmed)
        return made

    def begin_era(self, revision: revisions.Revision, now: float) -> None:
        """Handles a restore of the store.

        Args:
            revision: The first known revision of the new era.
            now: The current time.
        """
        self._era_start = revision
        self._grace_until = now + store_contact.LAPSE_GRACE_S
        self._unconfirmed_until = now + CONFIRMATION_S
        self._unconfirmed.clear()

    def in_grace(self, now: float) -> bool:
        """Returns whether entries that the copy lacks are kept."""
        return now < self._grace_until

    def is_unwritten(
        self, revision: revisions.Revision, reported: revisions.Revision
    ) -> bool:
        """Returns whether an entry has not been written since the restore.

        It is then no newer than what a box reports of an earlier era.

        Args:
            revision: The revision of the entry.
            reported: The revision that the report rests on.
        """
        return reported.era < revision.era and revision <= self._era_start

    def hold_back(
        self,
        entry: entry_states.Listed,
        removal: ended_endpoints.Removal | None,
    ) -> bool:
        """Holds back an entry that was merely restored.

        Args:
            entry: The entry.
            removal: The removal of its endpoint, or None if it did not end.

        Returns:
            Whether the entry is held back.
        """
        if removal is None or not self.is_unwritten(
            entry.revision, removal.revision
        ):
            return False
        self._unconfirmed[entry.endpoint.id] = entry
        return True

    def pop_confirmed(self, now: float) -> list[entry_states.Listed]:
        """Returns the entries that existed for long enough, and drops them."""
        if now < self._unconfirmed_until:
            return []
        confirmed = list(self._unconfirmed.values())
        self._unconfirmed.clear()
        return confirmed

    def keep_only(self, present: Set[str]) -> None:
        """Drops the entries of endpoints that are not among those listed."""
        for endpoint_id in [i for i in self._unconfirmed if i not in present]:
            del self._unconfirmed[endpoint_id]

    def drop(self, endpoint_id: str) -> None:
        """Drops an endpoint whose entry was written."""
        self._unconfirmed.pop(endpoint_id, None)

    def drop_entry(self, name: str) -> None:
        """Drops the endpoints of an entry that was removed."""
        self.keep_only(
            {
                endpoint_id
                for endpoint_id, entry in self._unconfirmed.items()
                if entry.endpoint.entry != name
            }
        )
