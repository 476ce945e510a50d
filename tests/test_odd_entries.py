"""Objects of the store that a decoder can't read, among sound ones.

One entry that was nested too deep, or that held a lone surrogate, kept all
boxes from following the list of endpoints: the store's answer was decoded in
one call, which failed for all its objects. Of 27 odd entries, those of 5 kinds
did so: 2 s later the new endpoint was unused and the removed one was used.
"""

import asyncio

import pytest

from martenjunction import errors
from martenjunction.platform import documents
from martenjunction.platform import store
from martenjunction.routing.log import decision_log
from martenjunction.routing.store import box_entries
from martenjunction.routing.store import unreadable_entries
from martenjunction_lab import boxes
from martenjunction_lab import platform
from tests import gateway_requests as requests
from tests import odd_entries
from tests import routing_builders as builders

KIND = documents.ENDPOINT_KIND
ODD = odd_entries.ODD

# Calls of a reader in the time of a test, far fewer than a loop makes.
MAX_LISTS = 12


@pytest.mark.parametrize("odd", odd_entries.CONTENT)
@pytest.mark.parametrize("sound", [3, platform.PAGE, platform.PAGE + 20])
async def test_list_has_all_objects_beside_an_odd_one(
    stand_in: platform.Platform, odd: str, sound: int
) -> None:
    names = odd_entries.fill(stand_in, "k", sound)
    stand_in.write("k", "z-odd", odd_entries.raw(odd))
    api = store.StoreClient(stand_in.address)
    listing = await api.list("k")
    found = await api.get("k", "z-odd")
    api.close()
    assert [o.name for o in listing.objects] == [*names, "z-odd"]
    assert listing.objects[-1].spec == odd_entries.CONTENT[odd]
    assert listing.objects[-1].revision == listing.revision
    assert found == listing.objects[-1]


@pytest.mark.parametrize("odd", odd_entries.CONTENT)
async def test_watch_reports_an_odd_change_among_others(
    stand_in: platform.Platform, odd: str
) -> None:
    api = store.StoreClient(stand_in.address)
    listing = await api.list("k")
    stand_in.write("k", "before", 1)
    stand_in.write("k", "odd", odd_entries.raw(odd))
    stand_in.write("k", "before", None)
    answer = await api.watch("k", listing.revision, 1.0)
    api.close()
    assert [(c.object.name, c.deleted) for c in answer.changes] == [
        ("before", False),
        ("odd", False),
        ("before", True),
    ]
    numbers = [c.object.revision.number for c in answer.changes]
    assert numbers == sorted(numbers)
    assert answer.changes[1].object.spec == odd_entries.CONTENT[odd]


@pytest.mark.parametrize("odd", odd_entries.METADATA)
async def test_list_keeps_an_object_with_odd_metadata(
    stand_in: platform.Platform, monkeypatch: pytest.MonkeyPatch, odd: str
) -> None:
    stand_in.write("k", "a", 1)
    stand_in.write("k", "b", 2)
    odd_entries.set_metadata(monkeypatch, "a", odd_entries.METADATA[odd])
    api = store.StoreClient(stand_in.address)
    listing = await api.list("k")
    api.close()
    assert [(o.name, o.spec) for o in listing.objects] == [
        ("a", b"1"),
        ("b", b"2"),
    ]
    # An unreadable revision counts as that of the page.
    readable = ("deep finalizers", "surrogate label", "surrogate key")
    known = 1 if odd in readable else 2
    assert listing.objects[0].revision.number == known


@pytest.mark.parametrize("odd", odd_entries.NAMELESS)
@pytest.mark.parametrize("at", [0, platform.PAGE - 1, platform.PAGE + 3])
async def test_list_leaves_out_an_object_without_a_name(
    stand_in: platform.Platform,
    monkeypatch: pytest.MonkeyPatch,
    odd: str,
    at: int,
) -> None:
    names = odd_entries.fill(stand_in, "k", platform.PAGE + 20)
    odd_entries.set_metadata(monkeypatch, names[at], odd_entries.NAMELESS[odd])
    api = store.StoreClient(stand_in.address)
    listing = await api.list("k")
    api.close()
    del names[at]
    # The page that follows begins after the last name that was read.
    assert sorted({o.name for o in listing.objects}) == names
    assert listing.unnamed >= 1


async def test_page_without_any_name_is_an_error(
    stand_in: platform.Platform, monkeypatch: pytest.MonkeyPatch
) -> None:
    stand_in.write("k", "a", 1)
    odd_entries.set_metadata(monkeypatch, "a", b'{"x":%s,"revision":%d}')
    monkeypatch.setattr(platform, "PAGE", 1)
    stand_in.write("k", "b", 1)
    api = store.StoreClient(stand_in.address)
    with pytest.raises(errors.PlatformUnavailableError):
        await api.list("k")
    api.close()


@pytest.mark.parametrize(
    "template", [*odd_entries.NAMELESS.values(), b'{"name":%s,"revision":%d.5}']
)
async def test_change_that_names_no_object_loses_the_history(
    stand_in: platform.Platform,
    monkeypatch: pytest.MonkeyPatch,
    template: bytes,
) -> None:
    api = store.StoreClient(stand_in.address)
    listing = await api.list("k")
    stand_in.write("k", "a", 1)
    odd_entries.set_metadata(monkeypatch, "a", template)
    with pytest.raises(errors.HistoryLostError):
        await api.watch("k", listing.revision, 1.0)
    # The next list is past the change.
    listing = await api.list("k")
    answer = await api.watch("k", listing.revision, 0.05)
    api.close()
    assert not answer.changes


async def test_refused_write_over_odd_content_is_a_conflict(
    stand_in: platform.Platform,
) -> None:
    stand_in.write("k", "a", odd_entries.raw("deep alone"))
    api = store.StoreClient(stand_in.address)
    with pytest.raises(errors.VersionConflictError) as raised:
        await api.create("k", "a", 1)
    api.close()
    assert raised.value.current == 1


def test_unreadable_entries_are_told_once_a_change(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    told: list[str] = []
    log = decision_log.DecisionLog(lambda: 0.0)
    monkeypatch.setattr(log, "write", lambda kind, **of: told.append(of["why"]))
    decoder = box_entries.BoxEntryDecoder(log)
    for number, odd in enumerate(["deep alone", "surrogate", "surrogate"]):
        spec = odd_entries.CONTENT[odd]
        found = store.StoredObject("a", builders.rev(number), spec)
        for _ in range(3):
            assert decoder.decode(found) is None
    assert len(told) == 2
    for unnamed in (0, 2, 2, 1, 1, 0):
        decoder.note_list(store.Listing((), builders.rev(9), unnamed))
    assert told[2:] == ["2 without a name"]


@pytest.mark.parametrize("beyond", [1, unreadable_entries.MAX_UNREADABLE])
def test_many_unreadable_entries_are_told_once_a_change(
    monkeypatch: pytest.MonkeyPatch, beyond: int
) -> None:
    told: list[tuple[str, str]] = []
    log = decision_log.DecisionLog(lambda: 0.0)
    monkeypatch.setattr(
        log, "write", lambda kind, **of: told.append((of["entry"], of["why"]))
    )
    found = unreadable_entries.UnreadableEntries(log)
    most = unreadable_entries.MAX_UNREADABLE
    names = [f"e{number:05d}" for number in range(most + beyond)]

    def note_list(names: list[str], spec: bytes) -> None:
        error = errors.PlatformError("odd")
        rows = [((name, builders.rev(1), spec), error) for name in names]
        found.note_list({*names, "sound"}, rows)

    for _ in range(3):
        note_list(names, b"1")
    assert [entry for entry, _ in told] == [*names[:most], ""]
    assert told[-1][1] == f"{beyond} more that cannot be decoded"
    assert found.count == most + beyond
    # Others take the place of those that are listed no longer.
    note_list(names[most:], b"1")
    note_list(names[most:], b"2")
    assert found.count == most + 3 * beyond
    assert len(told) == most + 1 + 2 * beyond


# End-to-end tests.

SOME = ["deep lists", "deep alone", "surrogate", "no number", "digits", "port"]


@pytest.mark.parametrize("odd", SOME)
async def test_boxes_follow_the_list_beside_an_odd_entry(
    fleet: boxes.Boxes, odd: str
) -> None:
    await requests.two_plain(fleet)
    [box] = fleet.gateways
    fleet.store.write(KIND, ODD, odd_entries.raw(odd))
    await odd_entries.replace_replica(fleet)
    # A list has the odd entry as well.
    fleet.store.forget_history()
    await odd_entries.replace_replica(fleet)
    await fleet.add_box("box-2")
    await odd_entries.replace_replica(fleet)
    assert not box.endpoint_list.is_ready(ODD)
    assert box.store_cache.unreadable == 1
    assert box.store.calls["list"] < MAX_LISTS
    head, _ = await requests.ask(fleet, "/safe/")
    assert head.status == 200


@pytest.mark.parametrize("odd", SOME)
async def test_endpoint_whose_entry_becomes_odd_gets_no_more_work(
    fleet: boxes.Boxes, odd: str
) -> None:
    # The same rule as for an entry that only its own decoder refuses.
    made, _ = await requests.two_plain(fleet)
    [box] = fleet.gateways
    fleet.store.write(KIND, made.id, odd_entries.raw(odd))
    await boxes.until(lambda: not box.endpoint_list.is_ready(made.id))
    fleet.record(made, builders.PLAIN)
    await boxes.until(lambda: box.endpoint_list.is_ready(made.id))


async def test_watch_without_a_name_does_not_list_in_a_loop(
    fleet: boxes.Boxes, monkeypatch: pytest.MonkeyPatch
) -> None:
    await requests.two_plain(fleet)
    [box] = fleet.gateways
    odd_entries.set_metadata(
        monkeypatch, ODD, odd_entries.NAMELESS["surrogate name"]
    )
    fleet.store.write(KIND, ODD, {})
    await odd_entries.replace_replica(fleet)
    before = box.store.calls["list"]
    await asyncio.sleep(1.0)
    assert box.store.calls["list"] <= before + 1
    await odd_entries.replace_replica(fleet)
    assert box.store_cache.unreadable == 1


@pytest.mark.parametrize("odd", SOME)
async def test_boxes_find_each_other_beside_an_odd_entry(odd: str) -> None:
    fleet = boxes.Boxes()
    fleet.store.start()
    fleet.store.write(documents.BOX_KIND, ODD, odd_entries.raw(odd))
    fleet.store.write(documents.BOX_KIND, "box-2", odd_entries.raw(odd))
    fleet.configure(builders.config_document())
    await fleet.add_box("box-1")
    await fleet.add_box("box-2")
    one, _ = fleet.gateways
    try:
        await boxes.until(lambda: "box-2" in one.members.members)
    finally:
        await fleet.stop()


@pytest.mark.parametrize("odd", SOME)
async def test_odd_configuration_does_not_end_the_list_of_endpoints(
    fleet: boxes.Boxes, odd: str
) -> None:
    await requests.two_plain(fleet)
    [box] = fleet.gateways
    fleet.store.write(
        documents.CONFIG_KIND, documents.CONFIG_NAME, odd_entries.raw(odd)
    )
    await requests.until_config_read(box, 3)
    assert box.store_cache.store_answers
    await odd_entries.replace_replica(fleet)
    fleet.configure(builders.config_document(9))
    await boxes.until(lambda: box.store_cache.version == 9)
