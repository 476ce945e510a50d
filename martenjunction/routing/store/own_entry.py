"""Keeps this box's own entry in the store."""

from collections.abc import Callable
from collections.abc import Container
import time

from martenjunction import errors
from martenjunction.platform import documents
from martenjunction.platform import store
from martenjunction.routing.log import decision_log

# Maximum staleness in seconds of a list of entries. Until that time has passed
# since this box wrote its own entry, a list without the entry proves nothing.
MAX_LIST_AGE_S = 10.0

# Era in which no entry was ever checked.
UNCHECKED_ERA = -1


class OwnEntry:
    """This box's own entry in the store."""

    def __init__(
        self,
        client: store.StoreClient,
        own: documents.BoxEntry,
        decode: Callable[[store.StoredObject], documents.BoxEntry | None],
        log: decision_log.DecisionLog,
    ) -> None:
        """Initializes an entry that was not written yet.

        Args:
            client: The store's client.
            own: What the entry holds.
            decode: Decodes an entry; returns None if it cannot be decoded.
            log: Records an entry that was reverted or is not removed.
        """
        self._client = client
        self._own = own
        self._decode = decode
        self._log = log
        self._written = False
        self._written_at = 0.0
        self._leaving = False
        self._era = 0

    @property
    def era(self) -> int:
        """The store's era in which it was last checked or written."""
        return self._era

    def check_again(self) -> None:
        """Has it checked at the next call of `ensure`."""
        self._era = UNCHECKED_ERA

    def note_list(self, present: Container[str]) -> None:
        """Has it written again if a list of entries proves that it is gone.

        Args:
            present: The boxes whose entries are in the list.
        """
        age_s = time.monotonic() - self._written_at
        if self._own.box not in present and age_s > MAX_LIST_AGE_S:
            self._written = False

    async def remove(self) -> None:
        """Removes this box's entry; a failure is logged but not retried."""
        self._leaving = True
        try:
            await self._client.delete(
                documents.BOX_KIND, self._own.box, revision=None
            )
        except errors.PlatformError as error:
            self._log.write("own-entry-kept", why=str(error))

    async def ensure(self, is_new: bool) -> None:
        """Writes the own entry if the store lacks it or holds another version.

        A restored store may lack the entry or hold one from an earlier start.
        A box that is being stopped removes a restored entry instead.

        Args:
            is_new: Whether the store has no entry of an earlier start.
        """
        era = self._client.era
        known = self._written or self._leaving
        if known and era != self._era:
            found = await self._client.get(documents.BOX_KIND, self._own.box)
            if self._leaving:
                await self._client.delete(
                    documents.BOX_KIND, self._own.box, revision=None
                )
            elif found is None or self._decode(found) != self._own:
                self._log.write("own-entry-reverted", present=found is not None)
                self._written = False
            self._era = era
        if not self._written and not self._leaving:
            await self._write(is_new)

    async def _write(self, is_new: bool) -> None:
        """Writes the own entry over that of an earlier start of this box."""
        spec = documents.encode_box(self._own)
        box = self._own.box
        try:
            if is_new:
                await self._client.create(documents.BOX_KIND, box, spec)
            else:
                await self._client.replace(
                    documents.BOX_KIND, box, spec, revision=None
                )
        except errors.ObjectMissingError:
            await self._client.create(documents.BOX_KIND, box, spec)
        except errors.VersionConflictError:
            await self._client.replace(
                documents.BOX_KIND, box, spec, revision=None
            )
        self._written = True
        self._written_at = time.monotonic()
        self._era = self._client.era
