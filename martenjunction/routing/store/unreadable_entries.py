"""Entries of the store that cannot be decoded, each logged once per change."""

from collections.abc import Sequence
from collections.abc import Set

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
        self._entries: dict[str, bytes] = {}
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
        if self._entries.get(name) == spec:
            return
        if len(self._entries) >= MAX_UNREADABLE:
            self._entries.clear()
        self._entries[name] = spec
        self._count += 1
        self._log.write("entry-unreadable", entry=name, why=str(error))

    def remove(self, name: str) -> None:
        """Records that an entry is readable or gone."""
        self._entries.pop(name, None)

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
        for name in self._entries.keys() & readable:
            del self._entries[name]
        for (name, _, spec), error in unreadable:
            self.add(name, spec, error)
