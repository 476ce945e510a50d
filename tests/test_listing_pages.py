"""Lists of several pages, and the watch that goes on from them.

A change between two pages was missed where the watch went on from the revision
of the last page: an endpoint that said then that it is leaving got requests
until its entry was gone.
"""

import asyncio
from collections.abc import Callable
from typing import Any

import pytest

from martenjunction import errors
from martenjunction.objects import client as object_client
from martenjunction.platform import documents
from martenjunction.platform import store
from martenjunction_lab import boxes
from martenjunction_lab import platform
from tests import routing_builders as builders

PAGE = platform.PAGE


def name_of(number: int) -> str:
    return f"n{number:05d}"


def after_page(
    monkeypatch: pytest.MonkeyPatch,
    stand_in: platform.Platform,
    kind: str,
    act: Callable[[int], object],
) -> None:
    """Calls a function with the number of each page, after it was answered."""
    entries = stand_in.entries
    pages = iter(range(1, 10_000))

    def acting(listed: str, after: str) -> Any:
        found = entries(listed, after)
        if listed == kind:
            asyncio.get_running_loop().call_soon(act, next(pages))
        return found

    monkeypatch.setattr(stand_in, "entries", acting)


async def changed_names(
    api: store.StoreClient, kind: str, listing: store.Listing
) -> set[str]:
    """Returns the names that a watch reports which goes on from a list."""
    answer = await api.watch(kind, listing.revision, 1.0)
    return {change.object.name for change in answer.changes}


# Guards against a watch that skips what changed between the pages of a list.
@pytest.mark.parametrize("entries", [PAGE + 20, 4 * PAGE])
async def test_changes_between_all_pages_are_reported(
    stand_in: platform.Platform,
    monkeypatch: pytest.MonkeyPatch,
    entries: int,
) -> None:
    api = store.StoreClient(stand_in.address)
    for number in range(entries):
        stand_in.write("k", name_of(number), "before")
    pages = -(-entries // PAGE)

    def change(page: int) -> None:
        # An entry of the first page, which the list has already passed.
        if page < pages:
            stand_in.write("k", name_of(page), "after")
            stand_in.write("k", name_of(PAGE - page), None)

    after_page(monkeypatch, stand_in, "k", change)
    listing = await api.list("k")
    changed = await changed_names(api, "k", listing)
    api.close()
    assert changed >= {name_of(page) for page in range(1, pages)}
    assert changed >= {name_of(PAGE - page) for page in range(1, pages)}


async def test_page_after_a_deleted_name_misses_no_entry(
    stand_in: platform.Platform, monkeypatch: pytest.MonkeyPatch
) -> None:
    api = store.StoreClient(stand_in.address)
    for number in range(PAGE + 2):
        stand_in.write("k", name_of(number), 0)

    def delete_last_of_page(page: int) -> None:
        if page == 1:
            stand_in.write("k", name_of(PAGE - 1), None)

    after_page(monkeypatch, stand_in, "k", delete_last_of_page)
    listing = await api.list("k")
    changed = await changed_names(api, "k", listing)
    api.close()
    assert len(listing.objects) == PAGE + 2
    assert changed == {name_of(PAGE - 1)}


async def test_list_that_is_cut_off_is_no_list(
    stand_in: platform.Platform, monkeypatch: pytest.MonkeyPatch
) -> None:
    api = store.StoreClient(stand_in.address)
    for number in range(PAGE + 1):
        stand_in.write("k", name_of(number), 0)

    def fail(page: int) -> None:
        stand_in.faults = platform.PlatformFaults(resets=True)

    after_page(monkeypatch, stand_in, "k", fail)
    with pytest.raises(errors.PlatformUnavailableError):
        await api.list("k")
    api.close()


async def test_own_daemons_see_changes_between_pages(
    stand_in: platform.Platform, monkeypatch: pytest.MonkeyPatch
) -> None:
    client = object_client.ObjectClient(f"http://{stand_in.address}")
    kind, _ = object_client.split_key("config/")
    for number in range(PAGE + 1):
        stand_in.write(kind, name_of(number), {})

    def change(page: int) -> None:
        if page == 1:
            stand_in.write(kind, name_of(0), {"values": {}})

    after_page(monkeypatch, stand_in, kind, change)
    listed = await client.list_objects("config/")
    changed = await client.watch("config/", listed.version, 1.0)
    client.close()
    assert changed is not None
    assert [item.key for item in changed.objects] == [f"config/{name_of(0)}"]


async def test_endpoint_that_drains_between_pages_gets_no_more_work(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    fleet = boxes.Boxes()
    await fleet.start(builders.config_document())
    made = await fleet.add_replica(builders.PLAIN)
    await fleet.until_listed()
    kind = documents.ENDPOINT_KIND
    kept = fleet.store.find(kind, made.id)
    assert kept is not None
    for number in range(PAGE):
        fleet.store.write(kind, f"j-{number}", kept.spec)

    def drain(page: int) -> None:
        if page == 1:
            fleet.record(made, builders.PLAIN, state="draining")

    [box] = fleet.gateways
    await boxes.until(lambda: len(box.endpoint_list.entries) == PAGE + 1)
    after_page(monkeypatch, fleet.store, kind, drain)
    box.follower._restart_watches()
    try:
        await boxes.until(lambda: not box.endpoint_list.is_ready(made.id))
    finally:
        await fleet.stop()
