"""Pages of many objects that cannot be decoded, and the turns they take.

Guards against a page that holds the event loop until all its objects were
tried: each of them takes an error or two, which is slow. The same holds for the
members of one object, and for the changes of a watch.
"""

from collections.abc import Iterator
import contextlib

import pytest

from martenjunction import errors
from martenjunction import fair_turns
from martenjunction.platform import json_parts
from martenjunction.platform import store_answers
from tests import turn_counts

OBJECTS = 5000

# Objects, or members of one, after which other tasks have had a turn.
MAX_PER_TURN = 1000

# Bytes of a value after which they have.
MAX_BYTES_PER_TURN = 512 * 1024

NAMELESS = b'{"metadata":{"revision":1}}'


@contextlib.contextmanager
def counted(
    monkeypatch: pytest.MonkeyPatch,
) -> Iterator[turn_counts.TurnCount]:
    """Counts items, the objects that are tried, and the keys of members."""
    turns = turn_counts.TurnCount()
    decode, key = store_answers._object, json_parts._key
    split = json_parts.items

    def counted_items(data: bytes) -> Iterator[bytes | None]:
        for item in split(data):
            if item is not None:
                turns.add()
            yield item

    async def counted_object(
        data: bytes, revision: int | None
    ) -> store_answers.WireObject:
        turns.add()
        return await decode(data, revision)

    monkeypatch.setattr(store_answers, "_object", counted_object)
    monkeypatch.setattr(json_parts, "_key", turns.counting(key))
    monkeypatch.setattr(json_parts, "items", counted_items)
    with turns.start():
        yield turns


def page(items: list[bytes]) -> bytes:
    return b'{"current_rev":9,"entries":[' + b",".join(items) + b"]}"


def watch(objects: list[bytes]) -> bytes:
    events = b",".join(b'{"object":%s}' % each for each in objects)
    return b'{"current_rev":9,"events":[' + events + b"]}"


def stored(number: int, spec: bytes) -> bytes:
    metadata = b'{"name":"e-%d","revision":%d}' % (number, number)
    return b'{"metadata":%s,"spec":%s}' % (metadata, spec)


@pytest.mark.parametrize("item", [b"0", NAMELESS], ids=["none", "nameless"])
async def test_page_of_unreadable_objects_shares_the_event_loop(
    monkeypatch: pytest.MonkeyPatch, item: bytes
) -> None:
    with counted(monkeypatch) as turns:
        found = await store_answers.decode_page(page([item] * OBJECTS))
    assert found.unnamed == OBJECTS
    assert turns.total >= OBJECTS
    assert turns.longest <= MAX_PER_TURN


@pytest.mark.parametrize("key", [rb"k%d", rb"\ud800%d"], ids=["sound", "odd"])
@pytest.mark.parametrize("where", ["object", "metadata"])
async def test_object_of_many_members_shares_the_event_loop(
    monkeypatch: pytest.MonkeyPatch, key: bytes, where: str
) -> None:
    many = b",".join(b'"%s":1' % (key % i) for i in range(OBJECTS))
    odd = b'"odd":"\\ud800",' + many
    parts = {"object": b"1},%s" % odd, "metadata": b"1,%s}" % odd}
    item = b'{"metadata":{"name":"a","revision":%s}' % parts[where]
    with counted(monkeypatch) as turns:
        found = await store_answers.decode_page(page([item]))
    assert [each.metadata.name for each in found.entries] == ["a"]
    assert turns.total >= OBJECTS
    assert turns.longest <= MAX_PER_TURN


async def test_watch_beside_an_odd_change_shares_the_event_loop(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    objects = [stored(number, b"1") for number in range(OBJECTS)]
    objects[-1] = stored(OBJECTS - 1, b'"\\ud800"')
    with counted(monkeypatch) as turns:
        found = await store_answers.decode_events(watch(objects))
    assert len(found.events) == OBJECTS
    assert turns.total >= OBJECTS
    assert turns.longest <= MAX_PER_TURN


@pytest.mark.parametrize("item", [b"0", NAMELESS], ids=["none", "nameless"])
async def test_watch_ends_at_the_first_unreadable_change(
    monkeypatch: pytest.MonkeyPatch, item: bytes
) -> None:
    with (
        counted(monkeypatch) as turns,
        pytest.raises(errors.UnreadableChangeError),
    ):
        await store_answers.decode_events(watch([item] * OBJECTS))
    assert turns.total < 10


@pytest.mark.parametrize(
    "unit",
    [
        b'"",',
        b'"' + rb"\"" * 8000 + b'",',
        b"[],",
        b"[" + b"1," * 9000 + b"1],",
    ],
    ids=["strings", "long strings", "lists", "long lists"],
)
async def test_long_value_shares_the_event_loop(unit: bytes) -> None:
    value = unit * (4 * 1024 * 1024 // len(unit))
    before = fair_turns.current_queue().waits
    found = await json_parts.in_turns(
        json_parts.members(b'{"spec":[' + value + b"1]}")
    )
    waits = fair_turns.current_queue().waits - before
    assert len(found["spec"]) == len(value) + 3
    assert len(value) / (waits + 1) <= MAX_BYTES_PER_TURN
