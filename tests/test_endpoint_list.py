"""The list of endpoints: what is taken in, what lapses, what is gone."""

from martenjunction.decisions import endpoint_list
from martenjunction.routing import model
from tests import routing_builders as builders

DRAINING = model.EndpointState.DRAINING


def listed(*ids: str) -> endpoint_list.EndpointList:
    made = endpoint_list.EndpointList()
    made.take_listing([(builders.endpoint(i), 1) for i in ids], 5, now=0.0)
    return made


def test_draining_endpoint_gets_no_work_at_once() -> None:
    known = listed("e1", "e2")
    left = known.take_change(builders.endpoint("e1", DRAINING), 6)
    assert left == ["e1"]
    assert not known.may_send("e1")
    assert [e.id for e in known.ready(builders.PLAIN)] == ["e2"]


def test_endpoint_that_leaves_does_not_come_back() -> None:
    known = listed("e1")
    known.take_change(builders.endpoint("e1", DRAINING), 6)
    known.take_change(builders.endpoint("e1"), 7)
    assert not known.may_send("e1")


def test_deleted_entry_is_gone_and_an_old_one_does_not_bring_it_back() -> None:
    known = listed("e1")
    assert known.take_end("e1", 8, 1.0) == ["e1"]
    known.take_change(builders.endpoint("e1"), 7)
    assert not known.may_send("e1")


def test_entry_missing_from_a_new_list_is_gone() -> None:
    known = listed("e1", "e2")
    left = known.take_listing([(builders.endpoint("e2"), 1)], 9, now=1.0)
    assert left == ["e1"]


def test_list_older_than_what_is_known_changes_nothing() -> None:
    known = listed("e1")
    known.take_change(builders.endpoint("e2"), 8)
    known.advance(8)
    assert known.take_listing([], 6, now=2.0) == []
    assert known.may_send("e1") and known.may_send("e2")


def test_entry_that_lapsed_in_an_outage_is_kept_until_its_grace_ends() -> None:
    known = listed("e1")
    known.store_lost()
    known.store_returned(14.0, away_s=4.0)
    known.take_listing([], 9, now=14.0)
    assert known.may_send("e1")
    assert known.expire(15.9) == []
    assert known.expire(16.1) == ["e1"]
    assert not known.may_send("e1")


def test_lapsed_entry_that_returns_in_time_stays() -> None:
    known = listed("e1")
    known.store_lost()
    known.store_returned(14.0, away_s=4.0)
    known.take_listing([], 9, now=14.0)
    known.take_change(builders.endpoint("e1"), 11)
    assert known.expire(17.0) == []
    assert known.may_send("e1")


def test_draining_entry_has_no_grace() -> None:
    known = listed("e1")
    known.take_change(builders.endpoint("e1", DRAINING), 6)
    known.store_lost()
    known.store_returned(14.0, away_s=4.0)
    assert known.take_listing([], 9, now=14.0) == ["e1"]


def test_short_loss_of_the_store_gives_no_grace() -> None:
    known = listed("e1")
    known.store_lost()
    known.store_returned(10.2, away_s=0.2)
    assert known.take_listing([], 9, now=10.2) == ["e1"]


def test_box_that_others_kept_informed_gives_no_grace() -> None:
    # The store turned this box away for long, while it served others.
    known = listed("e1")
    known.store_lost()
    known.store_returned(20.0, away_s=0.9)
    assert known.take_listing([], 9, now=20.0) == ["e1"]


def test_lapsed_entry_waits_while_the_store_is_lost_again() -> None:
    known = listed("e1")
    known.store_returned(14.0, away_s=4.0)
    known.take_listing([], 9, now=14.0)
    known.store_lost()
    assert known.expire(17.0) == []
    known.store_returned(18.0, away_s=3.0)
    assert known.expire(19.9) == []
    assert known.expire(20.1) == ["e1"]


def test_endpoint_that_another_box_does_not_have_is_gone_at_once() -> None:
    known = listed("e1", "e2")
    known.store_lost()
    assert known.take_view([], {"e2"}, 9) == ["e1"]
    assert not known.may_send("e1") and known.may_send("e2")


def test_view_brings_what_changed_and_keeps_the_rest() -> None:
    known = listed("e1", "e2")
    changed = [
        (builders.endpoint("e2", DRAINING), 7),
        (builders.endpoint("e3"), 8),
    ]
    assert known.take_view(changed, {"e1", "e3"}, 8) == ["e2"]
    assert known.ready_ids() == ["e1", "e3"]
    assert known.revision == 8


def test_older_view_changes_nothing() -> None:
    known = listed("e1")
    assert known.take_view([], set(), 4) == []
    assert known.may_send("e1")


def test_digest_tells_lists_apart() -> None:
    known, other = listed("e1", "e2"), listed("e2", "e1")
    assert known.digest() == other.digest()
    other.leave("e1", 6)
    assert known.digest() != other.digest()


def test_what_is_remembered_of_gone_endpoints_is_bounded() -> None:
    known = listed()
    for number in range(endpoint_list.MAX_GONE + 50):
        gone = builders.endpoint(f"e{number}")
        known.take_change(gone, 6 + 2 * number)
        known.take_end(gone.id, 7 + 2 * number, 1.0)
    assert len(known._gone) == endpoint_list.MAX_GONE


def test_peer_can_tell_that_an_endpoint_leaves() -> None:
    known = listed("e1")
    assert known.leave("e1", 6)
    assert not known.may_send("e1")
    assert not known.leave("e1", 7)
