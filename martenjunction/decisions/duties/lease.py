"""Which box holds the duties of the fleet, by one record in the store.

Answers the load pattern of a few calls a minute that exactly one of hundreds of
boxes may make, while boxes are killed, suspended and cut off and the store is
away for seconds. The record is changed only under its revision. No clock is
compared with that of another box, and the record is not renewed:

- The holder makes a call only shortly after the store has confirmed that the
  record is still its own; `CALL_BEGIN_S` and `CALL_TIMEOUT_S` bound how long
  such a call may take.
- Other boxes hear heartbeats of the holder from each other. One that hears
  none for a lease, and then finds the record unchanged, takes the record over
  with a higher fence.
- The new holder waits for `TAKEOVER_WAIT_S` before its first call. Calls of the
  former holder have ended by then, as the store no longer confirms new ones.

A box that was suspended, or has an old response of the store, compares the time
right before each call.
"""

import dataclasses
import enum

from martenjunction import revisions

# Seconds after the request to the store that confirmed the record, within which
# a call of a duty may begin, and time-out of such a call in seconds.
CALL_BEGIN_S = 0.5
CALL_TIMEOUT_S = 0.7

# Seconds that a new holder waits for the calls of the former one to end; longer
# than both of the above together.
TAKEOVER_WAIT_S = 1.5

# Seconds by which a lease is longer than the time in which the platform lets no
# holder return.
LEASE_MARGIN_S = 0.2

# Seconds by which the boxes of each rank take over later than those of the rank
# before, and the same for reading the record at a start.
RANK_DELAY_S = 0.5

# Maximum rank that is considered: all others wait equally long.
MAX_RANK = 20

# Bits of the fence that count takeovers within one era of the store.
FENCE_BITS = 32


class Phase(enum.Enum):
    """What a box does about the duties.

    Attributes:
        FOLLOWING: Another box holds the duties, or none does.
        WAITING: This box has taken over, and waits for calls of the former
            holder to end.
        HOLDING: This box performs the duties.
        RELEASED: This box is being stopped and takes no duties.
    """

    FOLLOWING = "following"
    WAITING = "waiting"
    HOLDING = "holding"
    RELEASED = "released"


@dataclasses.dataclass(frozen=True, slots=True)
class Tenure:
    """Who holds the duties.

    Attributes:
        holder: The box.
        incarnation: The start of the box's daemon.
        fence: Rises with each takeover.
        released: Whether the holder has given the duties up.
    """

    holder: str
    incarnation: int
    fence: int
    released: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class SeenRecord:
    """The record as last read from the store or told by the holder.

    Attributes:
        tenure: Who holds the duties.
        revision: The revision of the record.
    """

    tenure: Tenure
    revision: revisions.Revision


class DutyLease:
    """The view that one box has of who holds the duties."""

    def __init__(
        self, box: str, incarnation: int, lease_s: float, now: float
    ) -> None:
        """Initializes the view of a box that has just started.

        Args:
            box: The box.
            incarnation: The start of its daemon.
            lease_s: Seconds without a heartbeat after which the duties are
                taken over.
            now: The current time on the monotonic clock.
        """
        self._box = box
        self._incarnation = incarnation
        self._lease_s = lease_s
        self._phase = Phase.FOLLOWING
        self._seen: SeenRecord | None = None
        self._fence = 0
        self._has_read = False
        self._is_vacant = False
        self._heard_at = now
        self._timeout_s = lease_s
        self._acts_from = now
        self._confirmed_at: float | None = None

    @property
    def phase(self) -> Phase:
        """What this box does about the duties."""
        return self._phase

    @property
    def seen(self) -> SeenRecord | None:
        """The record as last seen, or None."""
        return self._seen

    @property
    def fence(self) -> int:
        """The highest fence that this box has seen; 0 for none.

        The record of a restored store may have a lower one.
        """
        return self._fence

    @property
    def holds(self) -> bool:
        """Whether the record is this box's as far as it knows."""
        return self._phase in (Phase.WAITING, Phase.HOLDING)

    def note_heartbeat(self, told: SeenRecord, now: float) -> None:
        """Records a heartbeat of a holder, told by another box.

        Args:
            told: The record as its holder last saw it.
            now: The current time.
        """
        if told.tenure.fence < self._fence:
            return
        if told.tenure.fence > self._fence and self.holds:
            self._follow()
        if self.holds:
            return
        if self._seen is None or told.revision > self._seen.revision:
            self._note_seen(told)
        self._heard_at = now
        self._timeout_s = self._lease_s

    def note_record(
        self,
        found: SeenRecord | None,
        max_unchanged_s: float,
        asked_at: float,
        now: float,
    ) -> None:
        """Records what the store says.

        Args:
            found: The record; None if there is none.
            max_unchanged_s: Longest time in seconds for which a working holder
                leaves the record unchanged.
            asked_at: When the request to the store was sent.
            now: The current time.
        """
        self._has_read = True
        self._is_vacant = found is None
        if self._phase is Phase.RELEASED:
            return
        if found is None:
            if self.holds:
                self._follow()
            return
        is_new = self._seen is None or found.revision > self._seen.revision
        if is_new and self._seen is not None and not self.holds:
            # The holder works, although no box tells of it.
            self._timeout_s = self._lease_s + max_unchanged_s
        if is_new:
            self._note_seen(found)
            self._heard_at = now
        if not self._is_own(found.tenure):
            if self.holds:
                self._follow()
        elif not self.holds and not found.tenure.released:
            # A write that took effect without a response.
            self._hold(asked_at, now)
        elif self.holds:
            self._confirmed_at = asked_at

    def wants_record(self, rank: int, now: float) -> bool:
        """Returns whether this box should read the record for the first time.

        Args:
            rank: The rank of this box; 0 goes first.
            now: The current time.
        """
        if self._phase is not Phase.FOLLOWING or self._has_read:
            return False
        if self._seen is not None:
            return False
        return now - self._heard_at >= _rank_delay_s(rank + 1)

    def wants_duties(self, rank: int, now: float) -> bool:
        """Returns whether this box should take the duties over.

        The record has to be read once more before: it may have changed.

        Args:
            rank: The rank of this box; 0 goes first.
            now: The current time.
        """
        if self._phase is not Phase.FOLLOWING:
            return False
        return now - self._heard_at >= self._takeover_s(rank)

    def next_tenure(self, era: int) -> Tenure:
        """Returns the tenure to write in order to take the duties over.

        Args:
            era: The era of the store. A store that was restored may hold a
                record with a lower fence than one in use.
        """
        fence = max(self.fence + 1, era << FENCE_BITS)
        return Tenure(self._box, self._incarnation, fence)

    def note_taken(self, written: SeenRecord, waits: bool, now: float) -> None:
        """Records that this box has taken the duties over.

        Args:
            written: The record as written.
            waits: Whether a former holder may have calls in flight.
            now: The current time.
        """
        if self._phase is not Phase.FOLLOWING:
            return
        self._note_seen(written)
        self._hold(None, now)
        if not waits:
            self._acts_from = now

    def note_written(
        self, written: SeenRecord, asked_at: float, now: float
    ) -> None:
        """Records that the store took a new version of the own record."""
        self._note_seen(written)
        if self.holds:
            self._heard_at = now
            self._confirmed_at = asked_at

    def note_conflict(self) -> None:
        """Records that the record was not at the revision last seen."""
        self._confirmed_at = None

    def release(self) -> None:
        """Gives the duties up for good, as this box is being stopped."""
        self._phase = Phase.RELEASED
        self._confirmed_at = None

    def may_act(self, now: float) -> bool:
        """Returns whether this box may perform duties, once confirmed."""
        if self._phase is Phase.WAITING and now >= self._acts_from:
            self._phase = Phase.HOLDING
        return self._phase is Phase.HOLDING

    def may_call(self, now: float) -> bool:
        """Returns whether a call may begin now.

        It has to be asked right before the call, without waiting in between.
        """
        return (
            self.may_act(now)
            and self._confirmed_at is not None
            and now - self._confirmed_at <= CALL_BEGIN_S
        )

    def _takeover_s(self, rank: int) -> float:
        delay_s = _rank_delay_s(rank)
        if self._seen is None:
            return delay_s if self._is_vacant else self._timeout_s + delay_s
        tenure = self._seen.tenure
        if tenure.holder == self._box:
            # The earlier daemon of this box has ended.
            return 0.0
        return delay_s if tenure.released else self._timeout_s + delay_s

    def _is_own(self, tenure: Tenure) -> bool:
        return (
            tenure.holder == self._box
            and tenure.incarnation == self._incarnation
            and tenure.fence == self._fence
        )

    def _note_seen(self, seen: SeenRecord) -> None:
        self._seen = seen
        self._fence = max(self._fence, seen.tenure.fence)

    def _hold(self, confirmed_at: float | None, now: float) -> None:
        self._phase = Phase.WAITING
        self._acts_from = now + TAKEOVER_WAIT_S
        self._confirmed_at = confirmed_at
        self._heard_at = now

    def _follow(self) -> None:
        self._phase = Phase.FOLLOWING
        self._confirmed_at = None


def _rank_delay_s(rank: int) -> float:
    return RANK_DELAY_S * min(rank, MAX_RANK)
