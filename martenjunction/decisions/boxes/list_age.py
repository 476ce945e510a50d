"""How old the list of endpoints is that a box knows.

Load pattern: the store answers queries for the configuration, while the watch
that brings changes of endpoints is cut, or while a box hears of changes only
through others. What rests on the list then must not count it as current.

An answer of the store on one connection proves nothing of a watch on another
one, which may be dead: it proves the list only if it tells a revision up to
which the list is known to have all changes. A watch has to be open as well. The
revision rises with changes of other kinds too; a check that asks for changes
since the list and gets none then proves the list up to its own revision.
"""

from martenjunction import revisions

# Age in a message that stands for an age that is not known.
UNKNOWN_AGE_MS = 0xFFFF

# Upper bound of an age in a message.
MAX_AGE_MS = UNKNOWN_AGE_MS - 1

MS = 0.001


class ListAge:
    """When the list was last known to have all changes before.

    All times are in seconds on the steady clock. A confirmation counts from
    the time at which the query was sent.
    """

    def __init__(self) -> None:
        self._confirmed_at: float | None = None
        self._watched_since: float | None = None
        self._checked_revision = revisions.NONE

    def confirm(self, asked_at: float) -> None:
        """Records that the list has all changes before a given time."""
        if self._confirmed_at is None or asked_at > self._confirmed_at:
            self._confirmed_at = asked_at

    def begin_watch(self, now: float) -> None:
        """Records that a watch goes on from the list that is known."""
        self._watched_since = now

    def end_watch(self) -> None:
        """Records that no watch of the list is open."""
        self._watched_since = None

    def note_revision(
        self,
        store: revisions.Revision,
        listed: revisions.Revision,
        asked_at: float,
    ) -> None:
        """Records which revision the store had when it answered a query.

        Args:
            store: The store's revision.
            listed: The revision up to which changes were applied to the list.
            asked_at: Time at which the query was sent.
        """
        if self._watched_since is None or self._watched_since > asked_at:
            return
        if store <= max(listed, self._checked_revision):
            self.confirm(asked_at)

    def note_unchanged(
        self, store: revisions.Revision, asked_at: float
    ) -> None:
        """Records that a query for changes since the list found none.

        Args:
            store: The store's revision as it answered.
            asked_at: Time at which the query was sent.
        """
        self._checked_revision = max(self._checked_revision, store)
        self.confirm(asked_at)

    def note_told(self, age_ms: int, asked_at: float | None) -> None:
        """Records the age of the list of another box, which holds no more.

        Args:
            age_ms: The age that it told.
            asked_at: Time at which this box sent something that the other box
                had received before; None if unknown.
        """
        if asked_at is not None and 0 <= age_ms < UNKNOWN_AGE_MS:
            self.confirm(asked_at - age_ms * MS)

    def age_s(self, now: float) -> float | None:
        """Returns the seconds since the last confirmation, or None."""
        if self._confirmed_at is None:
            return None
        return now - self._confirmed_at

    def age_ms(self, now: float) -> int:
        """Returns what this box tells the others, rounded up."""
        age_s = self.age_s(now)
        if age_s is None or age_s >= MAX_AGE_MS * MS:
            return UNKNOWN_AGE_MS
        return int(max(0.0, age_s) / MS) + 1
