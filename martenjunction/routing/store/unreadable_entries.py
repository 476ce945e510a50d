"""Entries of the store that cannot be decoded, each logged once per change."""

from collections.abc import Sequence
from collections.abc import Set

import xxhash

from martenjunction import errors
from martenjunction import revisions
from martenjunction.decisions import bounded
from martenjunction.routing.log import decision_log

# Maximum number of unreadable entries remembered, so that each is logged once.
MAX_UNREADABLE = 256

# Name, revision and document of an entry.
Row = tuple[str, revisions.Revision, bytes]


class UnreadableEntries:
    """Logs and counts unreadable entries."""

    def __init__(self, log: decision_log.DecisionLog) -> None:
        """Initializes an empty record.

        Args:
            log: Gets a line for each unreadable entry.
        """
        self._log = log
        # A digest of each document, which may be large, by its entry's name.
        self._digests: dict[str, bytes] = {}
        self._unnamed = 0
        self._beyond = 0
        self._count = 0

    @property
    def count(self) -> int:
        """Number of unreadable entries so far."""
        return self._count

    def add(self, name: str, spec: bytes, error: errors.PlatformError) -> None:
        """Logs and counts an entry once per change.

        Args:
            name: The entry's name.
            spec: Its document.
            error: Why it cannot be decoded.
        """
        digest = xxhash.xxh3_128_digest(spec)
        if self._digests.get(name) == digest:
            return
        bounded.put(self._digests, name, digest, MAX_UNREADABLE)
        self._count += 1
        self._log.write("entry-unreadable", entry=name, why=str(error))

    def note_unnamed(self, count: int) -> None:
        """Records how many entries of a list have no name that can be read.

        A larger number is logged and counted.
        """
        self._note_number(count, self._unnamed, "without a name")
        self._unnamed = count

    def remove(self, name: str) -> None:
        """Records that an entry is readable or gone."""
        self._digests.pop(name, None)

    def update(
        self,
        names: Set[str],
        unreadable: Sequence[tuple[Row, errors.PlatformError]],
    ) -> None:
        """Records which of some entries are unreadable.

        Args:
            names: The names of all of them.
            unreadable: Those that cannot be decoded, each with the reason.
        """
        readable = names - {name for (name, _, _), _ in unreadable}
        for name in self._digests.keys() & readable:
            del self._digests[name]
        for (name, _, spec), error in unreadable:
            self.add(name, spec, error)

    def note_list(
        self,
        names: Set[str],
        unreadable: Sequence[tuple[Row, errors.PlatformError]],
    ) -> None:
        """Records which entries of a whole list are unreadable.

        Of those that are too many to be remembered, a larger number than in the
        list before is logged and counted.

        Args:
            names: The names of all its entries.
            unreadable: Those that cannot be decoded, each with the reason.
        """
        listed = {name for (name, _, _), _ in unreadable}
        if len(self._digests.keys() | listed) > MAX_UNREADABLE:
            for name in self._digests.keys() - listed:
                del self._digests[name]
        known = [row for row in unreadable if row[0][0] in self._digests]
        new = [row for row in unreadable if row[0][0] not in self._digests]
        room = MAX_UNREADABLE - len(known)
        self.update(names, known + new[:room])
        beyond = max(0, len(new) - room)
        self._note_number(beyond, self._beyond, "more that cannot be decoded")
        self._beyond = beyond

    def _note_number(self, count: int, before: int, what: str) -> None:
        """Logs and counts a number of entries that is larger than before."""
        if count > before:
            self._count += count - before
            self._log.write("entry-unreadable", entry="", why=f"{count} {what}")
