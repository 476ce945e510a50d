"""Tests of the endpoint list: updates, grace periods and removals."""

from hypothesis import given
from hypothesis import strategies as st
import pytest
import xxhash

from martenjunction import model
from martenjunction.decisions.boxes import endpoint_list
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
    known.store_lost()
    known.store_returned(14.0, away_s=4.0)
    known.apply_listing([], rev(9), now=14.0)
    assert known.is_ready("e1")
    assert known.expire(15.9) == []
    assert known.expire(16.1) == ["e1"]
    assert not known.is_ready("e1")


def test_lapsed_entry_that_returns_in_time_stays() -> None:
    known = listed("e1")
    known.store_lost()
    known.store_returned(14.0, away_s=4.0)
    known.apply_listing([], rev(9), now=14.0)
    known.apply_entry(builders.endpoint("e1"), rev(11))
    assert known.expire(17.0) == []
    assert known.is_ready("e1")


def test_draining_entry_has_no_grace() -> None:
    known = listed("e1")
    known.apply_entry(builders.endpoint("e1", DRAINING), rev(6))
    known.store_lost()
    known.store_returned(14.0, away_s=4.0)
    assert known.apply_listing([], rev(9), now=14.0) == ["e1"]


def test_short_loss_of_the_store_gives_no_grace() -> None:
    known = listed("e1")
    known.store_lost()
    known.store_returned(10.2, away_s=0.2)
    assert known.apply_listing([], rev(9), now=10.2) == ["e1"]


def test_box_updated_by_peers_gives_no_grace() -> None:
    # The store was unavailable to this box for long but responded to others.
    known = listed("e1")
    known.store_lost()
    known.store_returned(20.0, away_s=0.9)
    assert known.apply_listing([], rev(9), now=20.0) == ["e1"]


def test_lapsed_entry_waits_while_the_store_is_lost_again() -> None:
    known = listed("e1")
    known.store_returned(14.0, away_s=4.0)
    known.apply_listing([], rev(9), now=14.0)
    known.store_lost()
    assert known.expire(17.0) == []
    known.store_returned(18.0, away_s=3.0)
    assert known.expire(19.9) == []
    assert known.expire(20.1) == ["e1"]


def test_endpoint_missing_from_a_peer_view_is_removed_at_once() -> None:
    known = listed("e1", "e2")
    known.store_lost()
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


IDS = st.sampled_from(["e1", "e2", "e3", "e4"])
STATES = st.sampled_from(list(model.EndpointState))
REVISIONS = st.builds(rev, st.integers(1, 30), st.integers(1, 3))
ENTRIES = st.lists(
    st.tuples(st.builds(builders.endpoint, IDS, STATES), REVISIONS)
)
TIMES = st.floats(0.0, 20.0)
CHANGES = st.one_of(
    st.tuples(st.just("apply_listing"), ENTRIES, REVISIONS, TIMES),
    st.tuples(
        st.just("apply_peer_view"), ENTRIES, st.sets(IDS), REVISIONS, TIMES
    ),
    st.tuples(st.just("begin_era"), REVISIONS, TIMES),
    st.tuples(
        st.just("apply_entry"),
        st.builds(builders.endpoint, IDS, STATES),
        REVISIONS,
    ),
    st.tuples(st.just("apply_removal"), IDS, REVISIONS, TIMES),
    st.tuples(st.just("mark_draining"), IDS, REVISIONS),
    st.tuples(st.just("expire"), TIMES),
    st.tuples(st.just("store_lost")),
    st.tuples(st.just("store_returned"), TIMES, st.just(4.0)),
)


@given(st.lists(CHANGES, max_size=30))
def test_digest_matches_a_recomputed_one_after_any_changes(
    changes: list[tuple[object, ...]],
) -> None:
    known = listed("e1", "e2")
    for name, *arguments in changes:
        getattr(known, str(name))(*arguments)
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
    for number in range(endpoint_list.MAX_REMOVED + 50):
        gone = builders.endpoint(f"e{number}")
        known.apply_entry(gone, rev(6 + 2 * number))
        known.apply_removal(gone.id, rev(7 + 2 * number), 1.0)
    assert len(known._removed) == endpoint_list.MAX_REMOVED


def test_peer_can_report_a_draining_endpoint() -> None:
    known = listed("e1")
    assert known.mark_draining("e1", rev(6))
    assert not known.is_ready("e1")
    assert not known.mark_draining("e1", rev(7))
