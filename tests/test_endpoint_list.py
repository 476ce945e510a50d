"""Tests of the endpoint list: updates, grace periods and removals."""

from hypothesis import given
from hypothesis import strategies as st
import pytest
import xxhash

from martenjunction import model
from martenjunction.decisions.boxes import ended_endpoints
from martenjunction.decisions.boxes import endpoint_list
from martenjunction.decisions.boxes import entry_states
from martenjunction.decisions.boxes import store_contact
from tests import endpoint_changes
from tests import routing_builders as builders

DRAINING = model.EndpointState.DRAINING
rev = builders.rev


def listed(*ids: str) -> endpoint_list.EndpointList:
    made = endpoint_list.EndpointList()
    made.apply_listing(
        [(builders.endpoint(i), rev(1)) for i in ids], rev(5), now=0.0
    )
    return made


def test_draining_endpoint_gets_no_requests_at_once() -> None:
    known = listed("e1", "e2")
    left = known.apply_entry(builders.endpoint("e1", DRAINING), rev(6))
    assert left == ["e1"]
    assert not known.is_ready("e1")
    assert [e.id for e in known.ready(builders.PLAIN)] == ["e2"]


def test_draining_endpoint_does_not_become_ready_again() -> None:
    known = listed("e1")
    known.apply_entry(builders.endpoint("e1", DRAINING), rev(6))
    known.apply_entry(builders.endpoint("e1"), rev(7))
    assert not known.is_ready("e1")


def test_older_revision_does_not_restore_a_removed_entry() -> None:
    known = listed("e1")
    assert known.apply_removal("e1", rev(8), 1.0) == ["e1"]
    known.apply_entry(builders.endpoint("e1"), rev(7))
    assert not known.is_ready("e1")


def test_entry_missing_from_a_new_listing_is_removed() -> None:
    known = listed("e1", "e2")
    left = known.apply_listing(
        [(builders.endpoint("e2"), rev(1))], rev(9), now=1.0
    )
    assert left == ["e1"]


def test_outdated_listing_changes_nothing() -> None:
    known = listed("e1")
    known.apply_entry(builders.endpoint("e2"), rev(8))
    known.advance(rev(8))
    assert known.apply_listing([], rev(6), now=2.0) == []
    assert known.is_ready("e1") and known.is_ready("e2")


def test_entry_that_lapsed_in_an_outage_is_kept_until_its_grace_ends() -> None:
    known = listed("e1")
    builders.lose_store(known.contact, 10.0, 14.0)
    known.apply_listing([], rev(9), now=14.0)
    assert known.is_ready("e1")
    builders.answer_calls(known.contact, 14.0, 15.9)
    assert known.expire(15.9) == []
    builders.answer_calls(known.contact, 16.0, 16.1)
    assert known.expire(16.1) == ["e1"]
    assert not known.is_ready("e1")


def test_lapsed_entry_that_returns_in_time_stays() -> None:
    known = listed("e1")
    builders.lose_store(known.contact, 10.0, 14.0)
    known.apply_listing([], rev(9), now=14.0)
    known.apply_entry(builders.endpoint("e1"), rev(11))
    builders.answer_calls(known.contact, 14.0, 17.0)
    assert known.expire(17.0) == []
    assert known.is_ready("e1")


def test_draining_entry_has_no_grace() -> None:
    known = listed("e1")
    known.apply_entry(builders.endpoint("e1", DRAINING), rev(6))
    builders.lose_store(known.contact, 10.0, 14.0)
    assert known.apply_listing([], rev(9), now=14.0) == ["e1"]


def test_short_loss_of_the_store_gives_no_grace() -> None:
    known = listed("e1")
    builders.lose_store(known.contact, 10.0, 10.2)
    assert known.apply_listing([], rev(9), now=10.2) == ["e1"]


def test_box_updated_by_peers_gives_no_grace() -> None:
    # The store was unavailable to this box for long but responded to others.
    known = listed("e1")
    known.contact.note_answered(10.0, 10.0)
    known.contact.note_failed(15.0)
    known.contact.note_told(
        store_contact.ContactAges(-1, 19_000, 900, True), 19.9, 20.0
    )
    known.contact.note_answered(20.0, 20.0)
    assert known.apply_listing([], rev(9), now=20.0) == ["e1"]


def test_lapsed_entry_waits_while_the_store_is_lost_again() -> None:
    known = listed("e1")
    builders.lose_store(known.contact, 10.0, 14.0)
    known.apply_listing([], rev(9), now=14.0)
    known.contact.note_failed(15.0)
    assert known.expire(17.0) == []
    builders.answer_calls(known.contact, 18.0, 19.9)
    assert known.expire(19.9) == []
    builders.answer_calls(known.contact, 20.0, 20.1)
    assert known.expire(20.1) == ["e1"]


def test_endpoint_missing_from_a_peer_view_is_removed_at_once() -> None:
    known = listed("e1", "e2")
    known.contact.note_failed(0.5)
    assert known.apply_peer_view([], {"e2"}, rev(9), 1.0) == ["e1"]
    assert not known.is_ready("e1") and known.is_ready("e2")


def test_peer_view_updates_changed_entries_only() -> None:
    known = listed("e1", "e2")
    changed = [
        (builders.endpoint("e2", DRAINING), rev(7)),
        (builders.endpoint("e3"), rev(8)),
    ]
    assert known.apply_peer_view(changed, {"e1", "e3"}, rev(8), 1.0) == ["e2"]
    assert known.ready_ids() == ["e1", "e3"]
    assert known.revision == rev(8)


def test_outdated_peer_view_changes_nothing() -> None:
    known = listed("e1")
    assert known.apply_peer_view([], set(), rev(4), 1.0) == []
    assert known.is_ready("e1")


def test_digest_differs_between_lists() -> None:
    known, other = listed("e1", "e2"), listed("e2", "e1")
    assert known.digest() == other.digest()
    other.mark_draining("e1", rev(6))
    assert known.digest() != other.digest()


@given(st.lists(endpoint_changes.CHANGES, max_size=30))
def test_digest_matches_a_recomputed_one_after_any_changes(
    changes: list[tuple[object, ...]],
) -> None:
    known = listed("e1", "e2")
    for change in changes:
        endpoint_changes.apply(known, change)
        ids = ",".join(known.ready_ids())
        assert known.digest() == xxhash.xxh3_64_intdigest(ids.encode())


def test_digest_is_cached_until_the_ready_endpoints_change(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    known = listed("e1", "e2")
    made: list[list[str]] = []
    ready_ids = known.ready_ids

    def counted() -> list[str]:
        made.append(ready_ids())
        return made[-1]

    monkeypatch.setattr(known, "ready_ids", counted)
    known.digest()
    known.apply_entry(builders.endpoint("e1"), rev(6))
    known.digest()
    assert made == [["e1", "e2"]]
    known.mark_draining("e1", rev(7))
    known.digest()
    known.digest()
    assert made == [["e1", "e2"], ["e2"]]


def test_removed_entries_are_bounded() -> None:
    known = listed()
    for number in range(ended_endpoints.MAX_REMOVED + 50):
        gone = builders.endpoint(f"e{number}")
        known.apply_entry(gone, rev(6 + 2 * number))
        known.apply_removal(gone.id, rev(7 + 2 * number), 1.0)
    assert len(known._ended._entries) == ended_endpoints.MAX_REMOVED
    assert len(known._ended._endpoints) == ended_endpoints.MAX_ENDED


def test_peer_can_report_a_draining_endpoint() -> None:
    known = listed("e1")
    assert known.mark_draining("e1", rev(6))
    assert not known.is_ready("e1")
    assert not known.mark_draining("e1", rev(7))


# Reports of other boxes.


MISSING = entry_states.RemovalCause.MISSING
WITHDRAWN = entry_states.RemovalCause.WITHDRAWN


@pytest.mark.parametrize("cause", [MISSING, WITHDRAWN])
def test_reported_removal_ends_with_the_next_write_of_the_entry(
    cause: entry_states.RemovalCause,
) -> None:
    # Guards against a report that takes an endpoint out of use for good.
    known = listed("e1")
    assert known.apply_report("e1", cause, rev(6), 1.0)
    assert not known.is_ready("e1")
    known.apply_entry(builders.endpoint("e1"), rev(6))
    known.apply_entry(builders.endpoint("e1"), rev(7))
    assert known.is_ready("e1")


def test_reported_leave_is_final() -> None:
    known = listed("e1")
    cause = entry_states.RemovalCause.LEAVING
    assert known.apply_report("e1", cause, rev(6), 1.0)
    known.apply_entry(builders.endpoint("e1"), rev(7))
    known.apply_listing([(builders.endpoint("e1"), rev(7))], rev(8), now=2.0)
    known.apply_removal("e1", rev(9), 3.0)
    known.apply_entry(builders.endpoint("e1"), rev(10))
    assert not known.is_ready("e1")


def test_report_older_than_the_entry_changes_nothing() -> None:
    known = listed("e1")
    known.apply_entry(builders.endpoint("e1"), rev(8))
    assert not known.apply_report("e1", MISSING, rev(7), 1.0)
    assert known.is_ready("e1")


def test_reported_removal_is_obeyed_at_once_while_the_store_is_stable() -> None:
    known = listed("e1")
    # This box alone is turned away by the store.
    builders.answer_calls(known.contact, 10.0, 14.0)
    known.contact.note_failed(14.0)
    assert known.apply_report("e1", MISSING, rev(6), 14.1)
    assert not known.is_ready("e1")


def test_reported_removal_waits_for_the_end_of_the_grace() -> None:
    known = listed("e1")
    builders.lose_store(known.contact, 10.0, 14.0)
    known.apply_report("e1", MISSING, rev(6), 14.1)
    assert known.is_ready("e1")
    builders.answer_calls(known.contact, 14.0, 16.1)
    assert known.expire(16.1) == ["e1"]


def test_view_of_a_box_that_started_in_the_grace_ends_no_endpoint() -> None:
    # That box never knew of entries that lapsed before it started.
    known = listed("e1", "e2")
    builders.lose_store(known.contact, 10.0, 14.0)
    assert known.apply_peer_view([], {"e2"}, rev(9), 14.1) == []
    assert known.ready_ids() == ["e1", "e2"]


def test_box_that_starts_in_the_grace_uses_lapsed_endpoints() -> None:
    known = endpoint_list.EndpointList()
    builders.lose_store(known.contact, 10.0, 14.0)
    known.apply_peer_view(
        [(builders.endpoint("e1"), rev(1))], {"e1"}, rev(9), 14.1, {"e1"}
    )
    assert known.is_ready("e1")
    builders.answer_calls(known.contact, 14.0, 16.1)
    assert known.expire(16.1) == ["e1"]


def test_lapsed_entry_of_another_box_is_no_evidence_of_an_entry() -> None:
    # Guards against an endpoint that this box knows to have ended and that
    # another box, cut off meanwhile, still keeps.
    known = listed("e1")
    known.apply_removal("e1", rev(6), 1.0)
    changed = [(builders.endpoint("e1"), rev(1))]
    known.apply_peer_view(changed, {"e1"}, rev(9), 2.0, {"e1"})
    assert not known.is_ready("e1")


def test_own_reading_of_a_removal_binds_against_other_views() -> None:
    known = listed("e1")
    known.apply_removal("e1", rev(6), 1.0)
    known.apply_peer_view(
        [(builders.endpoint("e1"), rev(1))], {"e1"}, rev(9), 2
    )
    assert not known.is_ready("e1")
    known.apply_peer_view(
        [(builders.endpoint("e1"), rev(10))], {"e1"}, rev(10), 3.0
    )
    assert known.is_ready("e1")


def test_false_report_ends_with_the_view_of_a_box_that_has_the_entry() -> None:
    known = listed("e1")
    known.apply_report("e1", MISSING, rev(6), 1.0)
    assert not known.is_ready("e1")
    known.apply_peer_view(
        [(builders.endpoint("e1"), rev(1))], {"e1"}, rev(6), 2
    )
    assert known.is_ready("e1")


def test_false_report_in_the_grace_ends_with_such_a_view_too() -> None:
    known = listed("e1")
    builders.lose_store(known.contact, 10.0, 14.0)
    known.apply_report("e1", MISSING, rev(6), 14.1)
    known.apply_peer_view([], {"e1"}, rev(7), 14.2)
    builders.answer_calls(known.contact, 14.0, 16.1)
    assert known.expire(16.1) == []
    assert known.is_ready("e1")


def test_own_listing_ends_a_false_report() -> None:
    known = listed("e1")
    known.apply_report("e1", MISSING, rev(6), 1.0)
    known.apply_listing([(builders.endpoint("e1"), rev(1))], rev(6), now=2.0)
    assert known.is_ready("e1")


def test_report_that_the_own_watch_does_not_bear_out_is_checked() -> None:
    # Guards against a wrong report that only another outage would end.
    known = listed("e1", "e2")
    known.apply_report("e1", MISSING, rev(6), 1.0)
    known.apply_report("e2", MISSING, rev(7), 1.0)
    assert not known.begin_report_check(1.9)
    known.apply_removal("e1", rev(6), 1.1)
    assert known.begin_report_check(2.0)
    # The reading that began may take longer than the next look at it.
    assert not known.begin_report_check(3.0)


def test_report_that_the_own_watch_bears_out_needs_no_check() -> None:
    known = listed("e1")
    known.apply_report("e1", MISSING, rev(6), 1.0)
    known.apply_removal("e1", rev(6), 1.1)
    assert not known.begin_report_check(9.0)


def test_draining_endpoint_whose_entry_lapses_stays_unavailable() -> None:
    known = listed("e1")
    known.apply_entry(builders.endpoint("e1", DRAINING), rev(6))
    builders.lose_store(known.contact, 10.0, 14.0)
    known.apply_listing([], rev(9), now=14.0)
    known.apply_entry(builders.endpoint("e1"), rev(11))
    assert not known.is_ready("e1")
