"""When a box may act on the duties of the fleet, decision by decision.

Guards against two boxes that act at a time, where one mechanism that keeps a
former holder from acting is missing and seeded faults draw its moment rarely.
"""

import pytest

from martenjunction import revisions
from martenjunction.decisions.duties import lease

LEASE_S = 3.2
MAX_UNCHANGED_S = 5.0

OWN = "own"
INCARNATION = 7
FENCE = 5


def seen(
    fence: int = FENCE, holder: str = OWN, number: int = 10
) -> lease.SeenRecord:
    return lease.SeenRecord(
        lease.Tenure(holder, INCARNATION, fence),
        revisions.Revision(1, number),
    )


def follower(now: float = 0.0) -> lease.DutyLease:
    return lease.DutyLease(OWN, INCARNATION, LEASE_S, now)


def acting_holder(now: float = 1.0) -> lease.DutyLease:
    """Returns the lease of a box that acts, confirmed just now."""
    made = follower()
    made.note_taken(seen(), False, now)
    confirm(made, now, now)
    assert made.may_call(now)
    return made


def confirm(made: lease.DutyLease, asked_at: float, now: float) -> None:
    made.note_record(seen(), MAX_UNCHANGED_S, asked_at, now)


@pytest.mark.parametrize("took_s", [0.1, 2.0])
def test_confirmation_counts_from_its_request(took_s: float) -> None:
    # The record may have changed hands while the answer was under way.
    made = acting_holder()
    confirm(made, 3.0, 3.0 + took_s)
    assert made.may_call(3.0 + took_s) is (took_s <= lease.CALL_BEGIN_S)
    assert not made.may_call(3.0 + max(took_s, lease.CALL_BEGIN_S) + 0.01)


def test_own_write_confirms_from_its_request() -> None:
    made = acting_holder()
    made.note_written(seen(number=11), 3.0, 5.0)
    assert not made.may_call(5.0)


def test_conflict_ends_the_confirmation() -> None:
    made = acting_holder()
    made.note_conflict()
    assert not made.may_call(1.0)
    confirm(made, 1.1, 1.1)
    assert made.may_call(1.1)


def test_heartbeat_of_a_later_holder_ends_the_tenure() -> None:
    made = acting_holder()
    made.note_heartbeat(seen(FENCE + 1, "other", 11), 1.1)
    assert not made.holds
    assert not made.may_call(1.1)


def test_heartbeat_of_a_former_holder_delays_no_takeover() -> None:
    made = follower()
    made.note_heartbeat(seen(FENCE, "other"), 1.0)
    made.note_heartbeat(seen(FENCE - 1, "former", 9), 3.0)
    assert not made.wants_duties(0, 1.0 + LEASE_S - 0.01)
    assert made.wants_duties(0, 1.0 + LEASE_S)


def test_heartbeat_of_a_former_holder_ends_no_tenure() -> None:
    made = acting_holder()
    made.note_heartbeat(seen(FENCE - 1, "former", 9), 1.1)
    assert made.may_call(1.1)


def test_box_that_gave_the_duties_up_takes_none() -> None:
    made = acting_holder()
    made.release()
    assert not made.may_call(1.0)
    # Neither an answer of the store that comes late nor a lease without a
    # heartbeat changes that.
    confirm(made, 1.1, 1.1)
    assert not made.may_call(1.1)
    made.note_taken(seen(FENCE + 1, number=11), False, 1.2)
    assert not made.may_act(1.2)
    assert not made.wants_duties(0, 1.2 + 10 * LEASE_S)
    assert made.phase is lease.Phase.RELEASED


def test_record_that_is_gone_ends_the_tenure() -> None:
    made = acting_holder()
    made.note_record(None, MAX_UNCHANGED_S, 1.1, 1.1)
    assert not made.holds
    assert not made.may_call(1.1)


@pytest.mark.parametrize(
    ("fence", "holder"), [(FENCE, "other"), (FENCE + 1, OWN)]
)
def test_record_of_another_tenure_ends_the_tenure(
    fence: int, holder: str
) -> None:
    made = acting_holder()
    found = lease.SeenRecord(
        lease.Tenure(holder, INCARNATION + 1, fence), revisions.Revision(1, 11)
    )
    made.note_record(found, MAX_UNCHANGED_S, 1.1, 1.1)
    assert not made.may_call(1.1)


def test_new_holder_waits_for_the_calls_of_the_former_one() -> None:
    made = follower()
    made.note_taken(seen(), True, 1.0)
    confirm(made, 1.0 + lease.TAKEOVER_WAIT_S, 1.0 + lease.TAKEOVER_WAIT_S)
    assert not made.may_call(1.0 + lease.TAKEOVER_WAIT_S - 0.01)
    assert made.may_call(1.0 + lease.TAKEOVER_WAIT_S)
