"""Tests the messages between daemons and the view of the fleet."""

import cbor2
from hypothesis import given
from hypothesis import strategies as st
import pytest

from martenjunction import errors
from martenjunction import timers
from martenjunction.cells import messages as cell_messages
from martenjunction.peers import codec
from martenjunction.peers import handshake
from martenjunction.peers import membership
from martenjunction.peers import messages
from tests import builders

MESSAGES = [
    messages.Heartbeat(7, 2**63, 0.25),
    messages.Leaving("box-1", 5),
    messages.Objects(("config/class/a",), (3,), ({"tier": "1"},)),
    messages.Objects(("config/class/a",), (4,), (None,)),
    cell_messages.from_ask(builders.ask(), "cell", 1.0),
    cell_messages.AnnounceRun(
        cell_messages.from_ask(builders.ask(), "cell", 1.0), "e1", 0.5
    ),
    cell_messages.Summary("cell", 3, (0, 10, 20, 30)),
]


@pytest.mark.parametrize("message", MESSAGES, ids=lambda m: type(m).__name__)
def test_messages_round_trip(message: object) -> None:
    assert codec.decode_batch(codec.encode_batch([message])) == [message]


@given(st.binary(max_size=200))
def test_malformed_data_is_rejected(data: bytes) -> None:
    try:
        codec.decode_batch(data)
    except errors.PeerError:
        return


@given(
    st.recursive(
        st.none() | st.integers() | st.text(max_size=5) | st.binary(max_size=5),
        lambda inner: st.lists(inner, max_size=4),
        max_leaves=20,
    )
)
def test_well_formed_data_of_wrong_types_is_rejected(value: object) -> None:
    data = cbor2.dumps([["beat", value], value])
    with pytest.raises(errors.PeerError):
        codec.decode_batch(data)


def test_field_of_a_wrong_type_is_rejected() -> None:
    data = cbor2.dumps([["beat", "seven", 1, 0.5]])
    with pytest.raises(errors.PeerError, match="beat"):
        codec.decode_batch(data)


def test_proofs_differ_by_side_and_key() -> None:
    nonce = b"n" * 16
    assert handshake.proof("k", "hello", nonce, "b") != handshake.proof(
        "k", "welcome", nonce, "b"
    )
    assert handshake.proof("k", "hello", nonce, "b") != handshake.proof(
        "other", "hello", nonce, "b"
    )


class Clock:
    def __init__(self) -> None:
        self.now = 100.0

    def __call__(self) -> float:
        return self.now


def view(clock: Clock) -> membership.Membership:
    return membership.Membership(
        member("own"), timers.Timers(clock), lambda: None
    )


def member(box: str, incarnation: int = 1) -> membership.Member:
    return membership.Member(box, "zone", "", "", "", incarnation)


def believed(members: membership.Membership) -> set[str]:
    return {m.box for m in members.live_members()}


def test_listed_daemon_is_live_until_it_leaves() -> None:
    members = view(Clock())
    members.update_listed(member("other", 0), live=True, leaving=False)
    assert believed(members) == {"own", "other"}
    members.update_listed(member("other", 0), live=True, leaving=True)
    assert believed(members) == {"own"}


def test_connected_daemon_is_live_although_not_listed() -> None:
    clock = Clock()
    members = view(clock)
    members.record_connected(member("other"))
    assert believed(members) == {"own", "other"}
    clock.now += membership.HEARTBEAT_LIFETIME_S + 1
    assert believed(members) == {"own"}


def test_leaving_mark_ends_with_a_new_incarnation() -> None:
    members = view(Clock())
    members.record_connected(member("other", 1))
    assert members.mark_leaving("other", 1)
    assert not members.mark_leaving("other", 1)
    assert believed(members) == {"own"}
    members.record_connected(member("other", 2))
    assert believed(members) == {"own", "other"}


def test_late_leaving_mark_does_not_apply_to_the_next_incarnation() -> None:
    members = view(Clock())
    members.record_connected(member("other", 2))
    assert not members.mark_leaving("other", 1)
    assert "other" in believed(members)


def two_zone_view(count: int) -> membership.Membership:
    """Returns the view of a box with this many others in two zones."""
    members = view(Clock())
    for number in range(count):
        other = member(f"box-{number}")
        other.zone = ("zone", "far-zone")[number % 2]
        members.update_listed(other, live=True, leaving=False)
    return members


def test_small_fleet_monitors_all_boxes() -> None:
    members = two_zone_view(6)
    others = [m for m in members.live_members() if m.box != "own"]
    assert members.monitored_peers() == others
    assert len(others) == 6


def test_large_fleet_does_not_monitor_boxes_of_other_zones() -> None:
    members = two_zone_view(60)
    members._timers._clock.now += 60.0  # type: ignore[attr-defined]
    silent = set(members.silent_boxes(12.0))
    assert silent == {f"box-{number}" for number in range(0, 60, 2)}


def test_dead_boxes_of_all_zones_lose_their_entries() -> None:
    # One box reads for a large fleet, so it has to remove the entries of boxes
    # of other zones too, if these are called silent.
    members = two_zone_view(60)
    for number in range(60):
        other = member(f"box-{number}")
        other.zone = ("zone", "far-zone")[number % 2]
        members.update_told(other, silent=number < 2)
    members._timers._clock.now += 60.0  # type: ignore[attr-defined]
    assert set(members.silent_boxes(12.0)) == {"box-0", "box-1"}
