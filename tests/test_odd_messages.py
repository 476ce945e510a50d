"""Odd messages of peers, which spoil neither their batch nor their link."""

import asyncio
from collections.abc import AsyncIterator
import dataclasses
import logging
import random

import cbor2
from hypothesis import given
from hypothesis import strategies as st
import pytest

from martenjunction import errors
from martenjunction import gateway
from martenjunction import revisions
from martenjunction.peers import codec
from martenjunction.peers import hub
from martenjunction.peers import messages
from martenjunction.peers import odd_messages
from martenjunction.routing.messages import peer_messages
from martenjunction_lab import boxes
from martenjunction_lab.fuzz import cbor_spans
from martenjunction_lab.fuzz import spans
from martenjunction_lab.fuzz.families import peers as fuzzed_peers
from tests import odd_frames
from tests import routing_builders as builders

HUGE = 10**400

COUNTER = "peer_messages_odd"
GRANT = (("kind", "rate-grant-answer"),)


@pytest.fixture
async def pair() -> AsyncIterator[boxes.Boxes]:
    made = boxes.Boxes()
    await made.start(builders.config_document(), boxes=2)
    yield made
    await made.stop()


async def until_linked(first: gateway.Gateway, box: str) -> None:
    async with asyncio.timeout(10.0):
        while not first.peers.is_connected(box):
            await asyncio.sleep(0.02)


@pytest.mark.parametrize("sender", [0, 1])
async def test_message_that_cannot_be_handled_is_left_out(
    pair: boxes.Boxes, sender: int
) -> None:
    first, second = pair.gateways[sender], pair.gateways[1 - sender]
    box = second.members.own.box
    await until_linked(first, box)
    own = first.members.own.box
    # Of two links that were opened at the same moment, one is closed.
    await asyncio.sleep(2.0 * hub.SIMULTANEOUS_S)
    [link] = second.peers._links[own]
    refused = second.peers.refused
    message = peer_messages.LimitReport("e-1", 1.0, HUGE)
    assert first.peers.send(box, peer_messages.GrantAnswer(1, message, 0))
    assert first.peers.send(box, peer_messages.EndpointsLeaving(("e-2",)))
    async with asyncio.timeout(10.0):
        while (COUNTER, GRANT, 1) not in list(second.metrics.counters()):
            await asyncio.sleep(0.02)
    await asyncio.sleep(0.5)
    assert second.peers._links[own] == [link]
    assert second.peers.refused == refused


ODD_ITEMS = [
    b"\x80",
    b"\xf6",
    cbor2.dumps(["no-such-kind", 1]),
    cbor2.dumps(["beat", "seven", 1, 0.5]),
    cbor2.dumps(["beat", 7]),
    cbor2.dumps(["leaving", [], 1]),
    b"\x82\x64beat\x62\xc3\x28",
    b"\xc0\x60",
    b"\x81" * 3000 + b"\x00",
]

neighbours = st.lists(st.sampled_from(odd_frames.SOUND), max_size=3)
mutated = st.builds(
    lambda seed, sound: spans.mutate(
        random.Random(seed), cbor_spans.of_encoded(sound)
    ),
    st.integers(0, 2**32),
    st.sampled_from(odd_frames.SOUND),
).filter(cbor_spans.is_one_item)


@given(neighbours, st.sampled_from(ODD_ITEMS) | mutated, neighbours)
async def test_neighbours_of_an_odd_message_are_taken(
    before: list[bytes], odd: bytes, after: list[bytes]
) -> None:
    with_odd, without = odd_frames.Receiver(), odd_frames.Receiver()
    await with_odd.receive(
        odd_frames.batch([*before, odd, *after]), odd_frames.batch(after)
    )
    await without.receive(
        odd_frames.batch([*before, *after]), odd_frames.batch(after)
    )
    assert not with_odd.ended
    if len(with_odd.taken) > len(without.taken):
        # It is sound, or rows of it are.
        del with_odd.taken[len(before)]
        assert len(with_odd.odd) <= 1
    else:
        assert len(with_odd.odd) == 1
    assert with_odd.taken == without.taken
    assert with_odd.acknowledged == 2


@pytest.mark.parametrize("odd", ODD_ITEMS)
async def test_frame_of_odd_messages_alone_is_acknowledged(odd: bytes) -> None:
    receiver = odd_frames.Receiver()
    await receiver.receive(odd_frames.batch([odd]), codec.EMPTY_BATCH)
    assert (receiver.taken, receiver.ended) == ([], "")
    assert (len(receiver.odd), receiver.acknowledged) == (1, 1)


ROW_KINDS = [tag for tag, rows in codec._rows.items() if rows]


@pytest.mark.parametrize("tag", ROW_KINDS)
@given(st.data())
async def test_neighbours_of_an_odd_row_are_taken(
    tag: str, data: st.DataObject
) -> None:
    sound = codec.message_types.get(tag)
    message = fuzzed_peers.sample(sound)
    names = data.draw(st.sampled_from(codec._rows[tag]))
    changes, others = {}, {}
    odd_name = data.draw(st.sampled_from(names))
    for name in names:
        value = getattr(message, name)[0]
        odd = {"odd": None} if name == odd_name else value
        changes[name] = (value, odd, value)
        others[name] = (value, value)
    with_odd = dataclasses.replace(message, **changes)
    without = dataclasses.replace(message, **others)
    receiver = odd_frames.Receiver()
    await receiver.receive(
        codec.encode_batch([with_odd, messages.Leaving("box-1", 5)])
    )
    assert receiver.taken == [
        codec.Encoded(without).data,
        codec.Encoded(messages.Leaving("box-1", 5)).data,
    ]
    assert (receiver.odd, receiver.ended) == ([tag], "")


@pytest.mark.parametrize("tag", ROW_KINDS)
async def test_columns_with_an_odd_value_that_do_not_fit_are_left_out(
    tag: str,
) -> None:
    if max(map(len, codec._rows[tag])) == 1:
        return
    [names, *_] = codec._rows[tag]
    message = fuzzed_peers.sample(codec.message_types.get(tag))
    value = getattr(message, names[0])[0]
    odd = dataclasses.replace(message, **{names[0]: (value, ["odd"], value)})
    receiver = odd_frames.Receiver()
    await receiver.receive(codec.encode_batch([odd]))
    assert (receiver.taken, receiver.odd, receiver.ended) == ([], [tag], "")


@pytest.mark.parametrize(
    "odd", [(1.0, HUGE), (1.0, -1), (float("nan"), 5), (-1.0, 5)]
)
async def test_odd_limit_of_one_endpoint_is_left_out_alone(
    pair: boxes.Boxes, odd: tuple[float, int]
) -> None:
    first, second = pair.gateways
    await until_linked(first, second.members.own.box)
    limits = second.registry.table.limits
    columns = zip(("e-1", 2.0, 5), ("e-2", *odd), ("e-3", 3.0, 5), strict=True)
    message = peer_messages.EndpointLimits(*columns, 0)
    second.peers._handlers[type(message)](first.members.own.box, message)
    assert set(limits.reports) == {"e-1", "e-3"}
    kind = (("kind", "endpoint-limits"),)
    assert (COUNTER, kind, 1) in list(second.metrics.counters())


async def test_view_whose_columns_do_not_fit_is_asked_for_again(
    pair: boxes.Boxes,
) -> None:
    first, second = pair.gateways
    await until_linked(first, second.members.own.box)
    listed = second.endpoint_list
    before = listed.revision
    later = revisions.Revision(before.era, before.number + 5)
    names = ("e-1", "e-2")
    view = peer_messages.View(
        1, 5, 1, 5, later, True, names, (), (), names, (0, 0), (9, 9), (b"{}",)
    )
    with pytest.raises(ValueError, match="zip"):
        second.peers._handlers[type(view)](first.members.own.box, view)
    assert listed.revision == before


@pytest.mark.parametrize(
    "error",
    [
        errors.PeerError("columns"),
        OverflowError("int too large"),
        KeyError("e-1"),
        ValueError("zip"),
    ],
)
async def test_neighbours_of_a_message_that_cannot_be_handled_are_taken(
    error: Exception,
) -> None:
    receiver = odd_frames.Receiver()
    receiver.fail_at(messages.PullObjects, error)
    sound = [messages.Leaving("box-1", 5), messages.Heartbeat(1, 2, 0.5)]
    data = codec.encode_batch([sound[0], messages.PullObjects(7), sound[1]])
    await receiver.receive(data, data)
    assert receiver.taken == [codec.Encoded(m).data for m in sound] * 2
    assert receiver.odd == ["pull"] * 2
    assert (receiver.ended, receiver.acknowledged) == ("", 2)


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"\x00",
        b"\x9f\x80\xff",
        # A field that claims the next message, or leaves a part of itself.
        b"\x82\x82\x64beat\x43\x80" + odd_frames.SOUND[0][:1],
        b"\x82\x81\x00\x00" + odd_frames.SOUND[0],
        b"\x81" * 3,
        b"\x81\x5b\x7f\xff\xff\xff\xff\xff\xff\xff",
        b"\x9b" + b"\xff" * 8,
    ],
)
async def test_batch_without_known_ends_of_messages_ends_its_link(
    data: bytes,
) -> None:
    receiver = odd_frames.Receiver()
    sound = odd_frames.batch(odd_frames.SOUND[:1])
    await receiver.receive(data, sound)
    assert receiver.ended
    assert not receiver.taken


async def test_too_many_odd_messages_end_their_link() -> None:
    receiver = odd_frames.Receiver()
    odd = cbor2.dumps(["leaving", [], 1])
    at_once = int(odd_messages.MAX_AT_ONCE)
    data = [odd_frames.batch([odd] * 100)] * (2 * at_once // 100)
    await receiver.receive(*data)
    assert "leaving" in receiver.ended
    assert "compare the software" in receiver.ended
    assert at_once < len(receiver.odd) < at_once + 50


def test_peer_whose_odd_messages_are_few_a_second_stays_connected() -> None:
    now, kinds = [0.0], []
    account = odd_messages.OddMessages(lambda: now[0], kinds.append)
    for _ in range(2000):
        now[0] += 1.5 / odd_messages.MAX_PER_S
        account.note("box-1", "beat", "odd")
    assert len(kinds) == 2000


def test_bound_on_odd_messages_holds_for_each_peer_and_its_next_link() -> None:
    account = odd_messages.OddMessages(lambda: 0.0, lambda kind: None)
    with pytest.raises(errors.TooManyOddMessagesError):
        for _ in range(int(odd_messages.MAX_AT_ONCE) + 1):
            account.note("box-1", "beat", "odd")
    account.note("box-2", "beat", "odd")
    with pytest.raises(errors.TooManyOddMessagesError):
        account.note("box-1", "beat", "odd")


def test_odd_messages_are_logged_once_a_kind_and_box(
    caplog: pytest.LogCaptureFixture,
) -> None:
    now = [0.0]
    account = odd_messages.OddMessages(lambda: now[0], lambda kind: None)
    with caplog.at_level(logging.WARNING):
        for box, kind in [("box-1", "beat"), ("box-1", "view")] * 20:
            account.note(box, kind, "odd")
        account.note("box-2", "beat", "odd")
        now[0] += odd_messages.LOG_INTERVAL_S
        account.note("box-2", "beat", "odd")
    lines = [record.getMessage() for record in caplog.records]
    assert len(lines) == 4
    assert "beat message of box-1" in lines[0]
