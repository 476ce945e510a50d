"""Reports of other boxes that the box's own reading has not borne out yet."""

# Seconds for which a box that reads from the store goes by another box's report
# that an entry is missing, before it reads all entries anew.
REPORT_CHECK_S = 1.0

# Maximum number of reports that are kept.
MAX_REPORTS = 256


class UncheckedReports:
    """Entries that other boxes reported as missing, by the time of the report.

    A box that reads from the store learns of the removal of an entry itself, at
    about the same time as the others. If it does not, either the report or its
    own reading is wrong, and only the store can tell.
    """

    def __init__(self) -> None:
        self._reported_at: dict[str, float] = {}

    def copy(self) -> "UncheckedReports":
        """Returns a copy that changes independently."""
        made = UncheckedReports()
        made._reported_at = dict(self._reported_at)
        return made

    def add(self, entry: str, now: float) -> None:
        """Records that another box reported an entry as missing."""
        if len(self._reported_at) < MAX_REPORTS:
            self._reported_at.setdefault(entry, now)

    def settle(self, entry: str) -> None:
        """Records that this box knows of the entry by itself."""
        self._reported_at.pop(entry, None)

    def settle_all(self) -> None:
        """Records that this box reads all entries."""
        self._reported_at.clear()

    def begin_check(self, now: float) -> bool:
        """Returns whether the store should be read again.

        All reports then count as checked, so that a reading that takes long is
        not begun anew.
        """
        is_due = any(
            now - reported_at >= REPORT_CHECK_S
            for reported_at in self._reported_at.values()
        )
        if is_due:
            self.settle_all()
        return is_due
