"""Tests that the traffic between boxes is bounded as the fleet grows."""

import collections
import dataclasses
import itertools
import math
from typing import Any

from martenjunction import events
from martenjunction import timers
from martenjunction.decisions.boxes import endpoint_loads
from martenjunction.peers import codec
from martenjunction.peers import hub
from martenjunction.peers import membership
from martenjunction.peers import topology
from martenjunction.routing.messages import peer_messages
from tests import routing_builders as builders

ZONES = ("zone-a", "zone-b", "zone-c")


@dataclasses.dataclass
class FakeLink:
    """A fake link that records sent messages."""

    box: str
    member: membership.Member
    last_received_at: float = math.inf
    sent: list[Any] = dataclasses.field(default_factory=list)

    def send(self, message: Any) -> bool:
        self.sent.append(message)
        return True

    def flush_ack(self) -> None:
        pass


class Clock:
    def __init__(self) -> None:
        self.now = 0.0

    def __call__(self) -> float:
        return self.now


def box(number: int) -> membership.Member:
    zone = ZONES[number % len(ZONES)]
    return membership.Member(f"box-{number:02}", zone, "", "", "", 1)


def status() -> peer_messages.BoxStatus:
    empty: tuple[Any, ...] = ()
    return peer_messages.BoxStatus(
        True,
        True,
        1,
        builders.rev(1),
        True,
        0,
        0,
        False,
        *(empty for _ in range(12)),
    )


def hub_of(count: int, own: int, clock: Clock) -> hub.PeerHub:
    """Returns the hub of one box in a fleet of the given size."""
    service = timers.Timers(clock)
    members = membership.Membership(box(own), service, lambda: None)
    for number in range(count):
        if number != own:
            members.record_connected(box(number))
    return hub.PeerHub(
        members, "key", service, events.Events(), status, "127.0.0.1:0"
    )


def test_links_to_other_zones_are_spread_over_their_boxes() -> None:
    # Guards against a few boxes of a fleet of 87 that have some 86 links and
    # use twice the processor time of others, which happens if each box selects
    # the first two boxes by name of each other availability zone.
    connections: collections.Counter[str] = collections.Counter()
    for own in range(87):
        targets = hub_of(87, own, Clock())._targets()
        others = [m for m in targets if m.zone != box(own).zone]
        assert len(others) == 2 * topology.LINKS_PER_REMOTE_ZONE
        connections.update(member.box for member in others)
    assert max(connections.values()) < 4 * topology.LINKS_PER_REMOTE_ZONE * 2


def links_of(peers: hub.PeerHub, count: int) -> list[FakeLink]:
    links = [FakeLink(box(n).box, box(n)) for n in range(1, count)]
    for link in links:
        peers._links[link.box] = [link]  # type: ignore[list-item]
    return links


def removed(endpoint_id: str, revision: int) -> peer_messages.EndpointsRemoved:
    return peer_messages.EndpointsRemoved(
        (endpoint_id,), ("missing",), builders.rev(revision)
    )


def test_broadcast_message_is_encoded_once() -> None:
    peers = hub_of(30, 0, Clock())
    links = links_of(peers, 30)
    peers.broadcast(removed("e1", 7))
    first = links[0].sent[0]
    assert isinstance(first, codec.Encoded)
    assert all(link.sent == [first] for link in links)


def test_status_broadcast_replaces_the_heartbeat() -> None:
    clock = Clock()
    peers = hub_of(6, 0, clock)
    links = links_of(peers, 6)
    peers._send_heartbeat()
    clock.now = 0.45
    peers.broadcast(status())
    clock.now = 0.5
    peers._send_heartbeat()
    assert [len(link.sent) for link in links] == [2] * 5
    clock.now = 1.0
    peers._send_heartbeat()
    assert [len(link.sent) for link in links] == [3] * 5


def test_gap_between_messages_to_a_box_is_bounded() -> None:
    # A status broadcast between two checks may replace a heartbeat. The longest
    # gap must stay well below the time after which a box counts as silent.
    for status_at in range(1, 50):
        clock = Clock()
        peers = hub_of(6, 0, clock)
        [link, *_] = links_of(peers, 6)
        times: list[float] = []
        link.send = lambda _, c=clock, t=times: t.append(c.now)  # type: ignore[method-assign,assignment,misc]
        for step in range(200):
            clock.now = step * 0.01
            if step == status_at:
                peers.broadcast(status())
            if step % round(hub.HEARTBEAT_CHECK_S * 100) == 0:
                peers._send_heartbeat()
        gaps = [b - a for a, b in itertools.pairwise(times)]
        assert max(gaps) < 0.75
        assert len(times) <= 6


def test_other_messages_do_not_replace_the_heartbeat() -> None:
    clock = Clock()
    peers = hub_of(6, 0, clock)
    links = links_of(peers, 6)
    peers._send_heartbeat()
    clock.now = 0.45
    peers.broadcast(removed("e1", 7))
    clock.now = 0.5
    peers._send_heartbeat()
    kinds = [message.tag for message in links[0].sent]
    assert kinds == ["box-status", "endpoints-left", "box-status"]


def test_batches_of_any_size_round_trip() -> None:
    for count in (1, 23, 24, 255, 256):
        batch = [removed(f"e{n}", n) for n in range(count)]
        assert codec.decode_batch(codec.encode_batch(batch)) == batch


def test_short_streams_are_scaled_to_boxes_without_reports() -> None:
    # Guards against too few engines being reserved for short prompts in a
    # fleet of more than 32 boxes, if this sum is not scaled to all boxes.
    loads = endpoint_loads.EndpointLoads()
    loads.scale = 2.5
    loads.add(endpoint_loads.LoadKey(0, False), 4, 0)
    assert loads.short_running(0.0) == 10
