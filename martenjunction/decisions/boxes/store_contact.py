"""When the store last answered any box, and how long it was away before that.

Answers the load pattern of an outage in which the store drops the entries of
live endpoints, while each box measures the outage by its own calls and by what
others tell it. The store is available or away for all boxes together, so their
observations are merged: an outage is a time in which no box got an answer, and
it ends with the first answer that any box got. A box that regains the store
later, is turned away by it, or starts meanwhile, learns the same from the
others.

Merging is idempotent and independent of order. Told times are only estimates,
so the end of an outage is rounded up and the last answer is rounded down; what
comes back from other boxes then changes neither.
"""

import dataclasses
import math

# Seconds for which the store has to answer after an outage until an entry that
# is still missing is taken as removed: live endpoints have written theirs again
# by then.
LAPSE_GRACE_S = 2.0

# Minimum length in seconds of an outage in which entries may have lapsed.
# Endpoints write about every 1.2 s and their entries are dropped after three
# missed writes, so no entry lapses in an outage of less than 2.4 s.
MIN_LAPSE_OUTAGE_S = 2.2

# Minimum seconds without an answer that separate two periods of contact. A
# reader calls every 0.6 s and the others hear of its answers with some delay.
MIN_GAP_S = 1.0

# The same if no box saw a call fail. A box with a thin link calls every 3 s.
MIN_UNSEEN_GAP_S = 3.5

MS = 0.001

# Age in a message that stands for a time that is not known.
UNKNOWN_AGE_MS = -1

# Upper bound of an age in a message.
MAX_AGE_MS = 2**31 - 1


@dataclasses.dataclass(frozen=True, slots=True)
class Contact:
    """A period in which the store answered calls of some box.

    All times are in seconds on the steady clock of this box.

    Attributes:
        lost_at: Beginning of the outage before the period; None if no call
            is known to have failed.
        since: Beginning of the period, at the latest.
        until: Time of the last known answer, at the earliest.
        is_settled: Whether live endpoints have had the time to write their
            entries. A box that calls the store knows that better than these
            times tell others.
    """

    lost_at: float | None
    since: float
    until: float
    is_settled: bool = False

    @property
    def settled_until(self) -> float:
        """Time up to which live endpoints are known to have written."""
        if self.is_settled or self.lost_at is None:
            return self.until
        return self.lost_at


@dataclasses.dataclass(frozen=True, slots=True)
class ContactAges:
    """A period of contact as told to another box, in milliseconds ago.

    Attributes:
        lost_ms: Age of the beginning of the outage before; -1 if unknown.
        since_ms: Age of the beginning of the period; -1 for no contact.
        until_ms: Age of the last known answer.
        is_settled: Whether live endpoints have had the time to write their
            entries.
    """

    lost_ms: int
    since_ms: int
    until_ms: int
    is_settled: bool


NO_CONTACT = ContactAges(UNKNOWN_AGE_MS, UNKNOWN_AGE_MS, UNKNOWN_AGE_MS, False)


def merge(one: Contact, other: Contact) -> Contact:
    """Returns the period of contact that follows from two observations."""
    earlier, later = sorted(
        (one, other),
        key=lambda c: (c.since, c.lost_at is None, c.lost_at or 0.0),
    )
    gap_s = later.since - earlier.until
    lost_at = earlier.settled_until
    if later.lost_at is not None:
        lost_at = max(lost_at, later.lost_at)
    elif gap_s < MIN_UNSEEN_GAP_S:
        return _join(earlier, later)
    if gap_s < MIN_GAP_S or later.since - lost_at < MIN_LAPSE_OUTAGE_S:
        return _join(earlier, later)
    return dataclasses.replace(later, lost_at=lost_at)


def _join(earlier: Contact, later: Contact) -> Contact:
    """Returns the period of which both observations are parts."""
    until = max(earlier.until, later.until)
    return Contact(
        earlier.lost_at,
        earlier.since,
        until,
        earlier.is_settled
        or later.is_settled
        or until - earlier.since >= LAPSE_GRACE_S,
    )


class StoreContact:
    """Contact with the store as known to one box, by its calls and by peers."""

    def __init__(self) -> None:
        self._contact: Contact | None = None
        self._failed_at: float | None = None
        # Time of the last call of this box that was answered.
        self._own_asked_at = -math.inf

    @property
    def is_lost(self) -> bool:
        """Whether a call of this box failed and no box got an answer since."""
        return self._failed_at is not None

    @property
    def in_grace(self) -> bool:
        """Whether live endpoints may still have to write their entries."""
        return (
            self._contact is not None
            and self._contact.lost_at is not None
            and not self._contact.is_settled
        )

    @property
    def outage_s(self) -> float:
        """Length of the last known outage in seconds; 0 for none."""
        if self._contact is None or self._contact.lost_at is None:
            return 0.0
        return self._contact.since - self._contact.lost_at

    def note_answered(self, asked_at: float, now: float) -> None:
        """Records that the store answered a call of this box.

        Args:
            asked_at: Time at which the call was sent.
            now: The current time.
        """
        known = self._contact
        if known is None:
            self._add(Contact(None, now, asked_at))
        elif self.is_lost or self._follows_gap(known, asked_at):
            self._add(Contact(known.settled_until, now, asked_at))
        else:
            self._add(dataclasses.replace(known, until=asked_at))
        self._failed_at = None
        self._own_asked_at = asked_at

    def note_failed(self, now: float) -> None:
        """Records that a call of this box failed.

        Args:
            now: The current time.
        """
        self._failed_at = now

    def note_told(
        self, ages: ContactAges, asked_at: float | None, now: float
    ) -> None:
        """Records what another box knows.

        Args:
            ages: The times that it told.
            asked_at: Time at which this box sent something that the other box
                had received before; None if unknown.
            now: The current time.
        """
        if ages.since_ms == UNKNOWN_AGE_MS:
            return
        lost_at = None
        if ages.lost_ms != UNKNOWN_AGE_MS:
            lost_at = now - ages.lost_ms * MS
        since = now - ages.since_ms * MS
        until = since if asked_at is None else asked_at - ages.until_ms * MS
        self._add(Contact(lost_at, since, until, ages.is_settled))
        if self._failed_at is not None and until > self._failed_at:
            self._failed_at = None

    def ages(self, now: float) -> ContactAges:
        """Returns what this box tells the others.

        Args:
            now: The current time.
        """
        if self._contact is None:
            return NO_CONTACT
        lost_at = self._contact.lost_at
        return ContactAges(
            UNKNOWN_AGE_MS if lost_at is None else _age_ms(lost_at, now),
            _age_ms(self._contact.since, now),
            # Rounded up, as the time of the last answer is a lower bound.
            _age_ms(self._contact.until, now) + 1,
            self._contact.is_settled,
        )

    def _follows_gap(self, known: Contact, asked_at: float) -> bool:
        """Returns whether the store may have been away again in the grace.

        The box that called it before this one may have seen that, and may have
        ended since. Gaps between calls of one box only show how often it calls.

        Args:
            known: The last known contact.
            asked_at: Time at which this box sent the call that was answered.
        """
        return (
            self.in_grace
            and known.until > self._own_asked_at
            and asked_at - known.until >= MIN_GAP_S
        )

    def _add(self, contact: Contact) -> None:
        if self._contact is not None:
            contact = merge(self._contact, contact)
        self._contact = contact


def _age_ms(at: float, now: float) -> int:
    return min(max(0, int((now - at) / MS)), MAX_AGE_MS - 1)
