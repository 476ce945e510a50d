"""Entries of the store that cannot be decoded, each logged once per change."""

from collections.abc import Sequence
from collections.abc import Set

import xxhash

from martenjunction import errors
from martenjunction import revisions
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
        if len(self._digests) >= MAX_UNREADABLE:
            self._digests.clear()
        self._digests[name] = digest
        self._count += 1
        self._log.write("entry-unreadable", entry=name, why=str(error))

    def note_unnamed(self, count: int) -> None:
        """Records how many entries of a list have no name that can be read.

        A larger number is logged and counted.
        """
        if count > self._unnamed:
            self._count += count - self._unnamed
            self._log.write(
                "entry-unreadable", entry="", why=f"{count} without a name"
            )
        self._unnamed = count

    def remove(self, name: str) -> None:
        """Records that an entry is readable or gone."""
        self._digests.pop(name, None)

    def update(
        self,
        names: Set[str],
        unreadable: Sequence[tuple[Row, errors.PlatformError]],
    ) -> None:
        """Records which entries of a list are unreadable.

        Args:
            names: The names of all its entries.
            unreadable: Those that cannot be decoded, each with the reason.
        """
        readable = names - {name for (name, _, _), _ in unreadable}
        for name in self._digests.keys() & readable:
            del self._digests[name]
        for (name, _, spec), error in unreadable:
            self.add(name, spec, error)
