"""Pages of many objects that cannot be decoded, and the turns they take.

Guards against a page that holds the event loop until all its objects were
tried: each of them takes an error or two, which is slow.
"""

import asyncio

import pytest

from martenjunction.platform import store_answers

OBJECTS = 5000

# Objects after which other tasks have had a turn.
MAX_PER_TURN = 1000


@pytest.mark.parametrize(
    "item", [b"0", b'{"metadata":{"revision":1}}'], ids=["none", "nameless"]
)
async def test_page_of_unreadable_objects_shares_the_event_loop(
    monkeypatch: pytest.MonkeyPatch, item: bytes
) -> None:
    decode = store_answers._object
    in_turn = longest = 0

    async def counted(
        data: bytes, revision: int | None
    ) -> store_answers.WireObject:
        nonlocal in_turn, longest
        in_turn += 1
        longest = max(longest, in_turn)
        return await decode(data, revision)

    async def take_turns() -> None:
        nonlocal in_turn
        while True:
            in_turn = 0
            await asyncio.sleep(0)

    monkeypatch.setattr(store_answers, "_object", counted)
    other = asyncio.create_task(take_turns())
    items = b",".join([item] * OBJECTS)
    page = await store_answers.decode_page(
        b'{"current_rev":9,"entries":[' + items + b"]}"
    )
    other.cancel()
    assert page.unnamed == OBJECTS
    assert longest <= MAX_PER_TURN
