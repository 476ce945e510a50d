"""Counts of the requests that began to run, by window and workspace.

Answers the load pattern of hundreds of boxes that each see a part of the
requests of all workspaces, may end at any moment, and of which one reports the
sum. What a box has counted in a window only grows, so it is a state that may be
told again, in any order and over any path: the larger number holds. A row
belongs to one start of one box.
"""

from collections.abc import Iterable
import dataclasses

import xxhash

# Maximum number of rows; those of the oldest windows are dropped.
MAX_ROWS = 65_536

# Windows after the one in progress that are accepted: another box's clock may
# be ahead.
MAX_AHEAD = 2


def source_key(box: str, incarnation: int) -> int:
    """Returns the 64-bit number that stands for one start of a box."""
    return xxhash.xxh3_64_intdigest(f"{box}/{incarnation}".encode())


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """What one start of a box has counted for a workspace in a window.

    Attributes:
        source: Identifies the start of the box.
        window: The window's number.
        workspace: The workspace.
        count: The requests.
    """

    source: int
    window: int
    workspace: str
    count: int


class UsageCounts:
    """The counts that one box knows, its own and those of other boxes."""

    def __init__(self, source: int) -> None:
        """Initializes empty counts.

        Args:
            source: Identifies this start of this box.
        """
        self._source = source
        self._windows: dict[int, dict[tuple[int, str], int]] = {}
        self._changed: set[tuple[int, int, str]] = set()
        self._settled = -1
        self._row_count = 0
        self._dropped = 0

    @property
    def settled(self) -> int:
        """The last window that needs no counts any more; -1 for none."""
        return self._settled

    @property
    def windows(self) -> list[int]:
        """The windows with counts, in order."""
        return sorted(self._windows)

    @property
    def dropped(self) -> int:
        """Number of rows that were dropped for lack of room."""
        return self._dropped

    def record(self, workspace: str, window: int) -> None:
        """Counts a request of this box."""
        rows = self._windows.get(window, {})
        count = rows.get((self._source, workspace), 0) + 1
        self._put(Row(self._source, window, workspace, count))

    def merge(self, rows: Iterable[Row], current_window: int) -> None:
        """Takes in what another box told.

        Args:
            rows: What it told.
            current_window: The window in progress.
        """
        for row in rows:
            if row.window <= current_window + MAX_AHEAD:
                self._put(row)

    def take_changes(self) -> list[Row]:
        """Returns the rows that changed since the last call."""
        taken = [
            Row(source, window, workspace, count)
            for source, window, workspace in sorted(self._changed)
            if (count := self._windows.get(window, {}).get((source, workspace)))
        ]
        self._changed.clear()
        return taken

    def take_own_changes(self) -> list[Row]:
        """Returns the rows of this box that changed since the last call."""
        return [
            row for row in self.take_changes() if row.source == self._source
        ]

    def mark_changed(self) -> None:
        """Lets the next call of `take_changes` return all rows."""
        self._changed = {
            (source, window, workspace)
            for window, rows in self._windows.items()
            for source, workspace in rows
        }

    def totals(self, window: int) -> dict[str, int]:
        """Returns the requests of each workspace in a window."""
        result: dict[str, int] = {}
        for (_, workspace), count in self._windows.get(window, {}).items():
            result[workspace] = result.get(workspace, 0) + count
        return dict(sorted(result.items()))

    def settle(self, window: int) -> None:
        """Drops the counts up to a window, which has been reported."""
        if window <= self._settled:
            return
        self._settled = window
        for old in [w for w in self._windows if w <= window]:
            self._drop(old)
        self._changed = {key for key in self._changed if key[1] > window}

    def _put(self, row: Row) -> None:
        if row.window <= self._settled:
            return
        rows = self._windows.setdefault(row.window, {})
        key = row.source, row.workspace
        known = rows.get(key, 0)
        if row.count <= known:
            return
        if not known:
            self._row_count += 1
        rows[key] = row.count
        self._changed.add((row.source, row.window, row.workspace))
        while self._row_count > MAX_ROWS and len(self._windows) > 1:
            oldest = min(self._windows)
            self._dropped += len(self._windows[oldest])
            self._drop(oldest)

    def _drop(self, window: int) -> None:
        self._row_count -= len(self._windows.pop(window))
