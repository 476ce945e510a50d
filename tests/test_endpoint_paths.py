"""Decisions on the own paths to endpoints, and on boxes named to clients."""

import random

import pytest

from martenjunction.decisions.boxes import endpoint_paths
from martenjunction.decisions.boxes import entry_choice
from martenjunction.decisions.boxes import tunnel_choice

State = endpoint_paths.PathState


def paths(*endpoints: str) -> endpoint_paths.EndpointPaths:
    made = endpoint_paths.EndpointPaths()
    for endpoint in endpoints:
        made.note_connected(endpoint, 0.0)
    return made


def cut(made: endpoint_paths.EndpointPaths, endpoint: str, now: float) -> None:
    made.note_failed(endpoint, False, now)
    made.note_peer_reached(endpoint, now)


def heal(
    made: endpoint_paths.EndpointPaths, endpoint: str, now: float
) -> float:
    """Lets a path work again; returns the time at which it is used."""
    made.note_connected(endpoint, now)
    while not made.hold_returned(now):
        now += 0.05
    return now


def test_failure_that_no_peer_contradicts_is_the_endpoints() -> None:
    made = paths("a", "b", "c")
    made.note_failed("a", True, 1.0)
    assert made.state("a") is State.FAILED
    assert made.plan("a").direct
    assert not made.is_cut_off()


@pytest.mark.parametrize("peer_first", [False, True])
def test_failure_that_a_peer_contradicts_is_the_paths(peer_first: bool) -> None:
    made = paths("a", "b")
    if peer_first:
        made.note_peer_reached("a", 1.0)
    made.note_failed("a", False, 1.1)
    if not peer_first:
        made.note_peer_reached("a", 1.2)
    assert made.state("a") is State.CUT
    assert not made.plan("a").direct
    assert not made.is_trusted("a")


def test_peer_that_reached_an_endpoint_long_ago_proves_nothing() -> None:
    made = paths("a")
    made.note_peer_reached("a", 1.0)
    made.note_failed("a", False, 1.1 + endpoint_paths.EVIDENCE_S)
    assert made.state("a") is State.FAILED


def test_box_is_cut_off_only_if_nothing_is_heard_any_more() -> None:
    made = paths("a", "b", "c", "d")
    cut(made, "a", 1.0)
    assert not made.is_cut_off()
    cut(made, "b", 1.1)
    assert made.is_cut_off()
    made.note_heard("c", 1.2)
    assert not made.is_cut_off()


def test_service_that_is_down_is_no_cut_while_another_answers() -> None:
    made = paths("a1", "a2", "a3", "b1", "b2")
    for number, endpoint in enumerate(("a1", "a2", "a3")):
        made.note_failed(endpoint, True, 1.0 + number / 100)
    made.note_heard("b1", 1.05)
    assert not made.is_cut_off()


def test_open_connections_are_used_only_while_they_may_work() -> None:
    made = paths("refusing", "hanging", "late")
    made.note_failed("refusing", True, 1.0)
    made.note_failed("hanging", False, 1.0)
    made.note_doubt("late", 1.0)
    assert made.allows_open_connections("refusing")
    assert not made.allows_open_connections("hanging")
    assert not made.allows_open_connections("late")
    made.note_heard("late", 1.1)
    assert made.allows_open_connections("late")


def test_path_that_returns_must_work_for_a_while() -> None:
    made = paths("a")
    cut(made, "a", 1.0)
    made.note_connected("a", 2.0)
    assert not made.plan("a").direct
    assert not made.hold_returned(2.0 + endpoint_paths.FIRST_HOLD_S / 2)
    assert made.hold_returned(2.0 + endpoint_paths.FIRST_HOLD_S) == ["a"]
    assert made.plan("a").direct


def test_path_that_comes_and_goes_is_left_alone_for_longer() -> None:
    made = paths("a")
    now, waits = 0.0, []
    for _ in range(8):
        cut(made, "a", now)
        began = now + 1.0
        now = heal(made, "a", began)
        waits.append(now - began)
    assert waits == sorted(waits)
    assert waits[-1] > 8 * waits[0]
    assert waits[-1] <= endpoint_paths.MAX_HOLD_S + 0.1
    now += endpoint_paths.RELAPSE_S + 1.0
    cut(made, "a", now)
    assert heal(made, "a", now + 1.0) - now - 1.0 <= waits[0] + 0.1


def peer(box: str, **changes: object) -> tunnel_choice.TunnelPeer:
    values = {
        "box": box,
        "zone": "zone-a",
        "address": "10.0.0.1:1",
        "reaches": True,
        **changes,
    }
    return tunnel_choice.TunnelPeer(**values)  # type: ignore[arg-type]


def test_peers_that_reach_endpoints_are_asked_first_and_evenly() -> None:
    choice = tunnel_choice.TunnelPeers("zone-a", random.Random(1))
    peers = [
        peer("cut-off", reaches=False),
        peer("far", zone="zone-b"),
        peer("near-1"),
        peer("near-2"),
        peer("silent", address=""),
    ]
    for _ in range(10):
        first = choice.select(peers, 0.0)[0]
        choice.add(first.box, 1)
    boxes = [one.box for one in choice.select(peers, 0.0)]
    assert sorted(boxes[:2]) == ["near-1", "near-2"]
    assert boxes[2] == "far"
    assert choice._open == {"near-1": 5, "near-2": 5}


def test_peer_that_failed_is_left_out_for_a_moment() -> None:
    choice = tunnel_choice.TunnelPeers("zone-a", random.Random(1))
    choice.note_failed("a", 5.0)
    assert choice.select([peer("a")], 5.5) == []
    assert choice.select([peer("a")], 5.0 + tunnel_choice.PENALTY_S)


def entries(*reaching: bool) -> list[entry_choice.EntryBox]:
    return [
        entry_choice.EntryBox(str(number), "zone-a", reaches)
        for number, reaches in enumerate(reaching)
    ]


@pytest.mark.parametrize(
    ("boxes", "named"),
    [
        (entries(True, True, False), {"0", "1"}),
        (entries(True, False, False, False), {"0"}),
        (entries(False, False), {"0", "1"}),
        (entries(True, *[False] * 5), {"0", "1", "2", "3", "4", "5"}),
        ([], set()),
    ],
)
def test_boxes_that_reach_no_endpoint_are_left_out_while_enough_are_left(
    boxes: list[entry_choice.EntryBox], named: set[str]
) -> None:
    chosen = entry_choice.select(boxes, "zone-a", random.Random(1))
    assert set(chosen) == named
