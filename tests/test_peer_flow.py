"""Tests the outbox, flow control and queries to peers."""

import dataclasses
import random
from typing import Any

import pytest

from martenjunction import errors
from martenjunction import mailbox
from martenjunction.decisions.boxes import peer_queries
from martenjunction.peers import codec
from martenjunction.peers import flow
from martenjunction.peers import messages
from martenjunction.peers import outbox
from martenjunction.routing.messages import peer_messages
from tests import routing_builders as builders

URGENT = peer_messages.ConfigUpdate(8, 7, 1, b"")


def status(**changes: Any) -> peer_messages.BoxStatus:
    empty: tuple[Any, ...] = ()
    initial = peer_messages.BoxStatus(
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
    return dataclasses.replace(initial, **changes)


def with_loads(endpoint: str, engine: str, sent: int) -> Any:
    return status(
        has_loads=True,
        endpoints=(endpoint,),
        urgencies=(0,),
        long=(False,),
        running=(1,),
        unread=(5,),
        engines=(engine,),
        sent=(sent,),
    )


def values(queue: outbox.Outbox) -> list[Any]:
    return [message.value for message in queue.take_all()]


class Clock:
    """A clock that is advanced by the test."""

    def __init__(self) -> None:
        self.now = 0.0

    def __call__(self) -> float:
        return self.now


def control(clock: Clock | None = None) -> flow.FlowControl:
    return flow.FlowControl(clock or Clock())


def stalled_control() -> flow.FlowControl:
    """Returns flow control whose peer acknowledges no frames."""
    stalled = control()
    for _ in range(flow.MAX_UNACKED):
        stalled.begin_frame(True)
    return stalled


def test_urgent_messages_are_first_and_only_the_last_status_is_kept() -> None:
    queue = outbox.Outbox(control())
    leaving = messages.Leaving("box-1", 5)
    for message in (status(version=1), leaving, status(version=2), URGENT):
        queue.put(codec.Encoded(message))
    assert values(queue) == [URGENT, leaving, status(version=2)]


def test_other_messages_keep_their_order_and_are_not_merged() -> None:
    queue = outbox.Outbox(stalled_control())
    pulls = [messages.PullObjects(3), messages.PullObjects(4)]
    for pull in pulls:
        queue.put(codec.Encoded(pull))
    assert values(queue) == pulls


def test_replaced_status_is_merged_into_the_new_one() -> None:
    queue = outbox.Outbox(control())
    queue.put(codec.Encoded(with_loads("e1", "e1", 10)))
    queue.put(codec.Encoded(with_loads("e2", "e2", 20)))
    queue.put(codec.Encoded(status(version=3)))
    [merged] = values(queue)
    assert (merged.version, merged.has_loads) == (3, True)
    assert merged.endpoints == ("e2",)
    assert dict(zip(merged.engines, merged.sent, strict=True)) == {
        "e1": 10,
        "e2": 20,
    }


def test_stalled_peer_gets_urgent_messages_but_no_status() -> None:
    queue = outbox.Outbox(stalled_control())
    queue.put(codec.Encoded(status(version=1)))
    queue.put(codec.Encoded(URGENT))
    assert values(queue) == [URGENT]
    assert len(queue) == 1


def test_status_is_sent_after_an_acknowledgment() -> None:
    own, other = stalled_control(), control()
    queue = outbox.Outbox(own)
    queue.put(codec.Encoded(status(version=1)))
    other.record_processed()
    own.receive_frame(other.begin_frame(True))
    assert values(queue) == [status(version=1)]


def test_late_acknowledgment_limits_the_peer_to_one_frame() -> None:
    clock = Clock()
    own, other = control(clock), control(clock)
    own.begin_frame(True)
    other.record_processed()
    clock.now = flow.LATE_ACK_S + 0.1
    own.receive_frame(other.begin_frame(True))
    own.begin_frame(True)
    assert not own.is_open


def test_acknowledgment_of_unsent_frames_is_rejected() -> None:
    other = control()
    other.record_processed()
    with pytest.raises(errors.PeerError):
        control().receive_frame(other.begin_frame(True))
    with pytest.raises(errors.PeerError):
        control().receive_frame(b"abc")


@pytest.mark.parametrize("seed", range(20))
def test_two_sides_that_both_wait_do_not_deadlock(seed: int) -> None:
    draw = random.Random(seed)
    clock = Clock()
    sides = [control(clock), control(clock)]
    wires: list[list[tuple[bytes, bool]]] = [[], []]
    sent = [0, 0]
    for _ in range(4000):
        clock.now += 0.05
        one = draw.randrange(2)
        own = sides[one]
        if draw.random() < 0.5 and (own.is_open or own.needs_ack):
            counts = own.is_open
            sent[one] += counts
            wires[one].append((own.begin_frame(counts), counts))
        elif wires[1 - one]:
            frame, counts = wires[1 - one].pop(0)
            own.receive_frame(frame)
            if counts:
                own.record_processed()
    assert min(sent) > 150


async def test_writer_waits_until_an_acknowledgment_is_due() -> None:
    own = stalled_control()
    queue = outbox.Outbox(own)
    queue.put(codec.Encoded(status()))
    for _ in range(flow.ACK_AFTER_FRAMES):
        own.record_processed()
    assert await queue.get_all() == []


def test_full_outbox_rejects_messages() -> None:
    queue = outbox.Outbox(control(), limit=3)
    for _ in range(3):
        queue.put(codec.Encoded(URGENT))
    with pytest.raises(mailbox.MailboxFullError):
        queue.put(codec.Encoded(URGENT))


def test_outbox_rejects_more_bytes_than_a_frame_may_have() -> None:
    # Guards against 20,000 large messages that wait for a peer that is slow.
    queue = outbox.Outbox(control())
    large = codec.Encoded(URGENT)
    large.data = bytes(codec.MAX_MESSAGE // 4)
    for _ in range(2):
        for _ in range(4):
            queue.put(large)
        with pytest.raises(mailbox.MailboxFullError):
            queue.put(large)
        assert len(queue.take_all()) == 4


# Queries to peers.


def test_queries_in_flight_are_bounded_for_any_answer_time() -> None:
    # Guards against a late box that queries all peers every 0.3 s but remembers
    # only the last 64 queries, and so discards answers after some 0.5 s.
    for answer_s in (0.05, 0.5, 1.0, 3.0):
        queries = peer_queries.PeerQueries()
        in_flight: list[tuple[float, int]] = []
        asked = answered = 0
        for step in range(1000):
            now = step * 0.01
            for due, number in [q for q in in_flight if q[0] <= now]:
                in_flight.remove((due, number))
                answered += queries.complete_query(number) is not None
            for peer in range(36):
                number = queries.begin_query(f"box-{peer}", now)
                if number is not None:
                    asked += 1
                    in_flight.append((now + answer_s, number))
        assert answered == asked - len(in_flight)
        most, wait_s = (
            peer_queries.MAX_IN_FLIGHT,
            peer_queries.INITIAL_TIMEOUT_S,
        )
        assert asked <= most * (10.0 / min(answer_s, wait_s) + 1)
        assert len(in_flight) <= most * (answer_s / wait_s + 1)


def test_peer_has_at_most_one_query_in_flight() -> None:
    queries = peer_queries.PeerQueries()
    assert queries.begin_query("box-1", 0.0) is not None
    assert queries.begin_query("box-1", 0.1) is None
    assert queries.unresponsive_peers(0.1) == {"box-1"}
    queries.drop_peer("box-1")
    assert queries.begin_query("box-1", 0.2) is not None
