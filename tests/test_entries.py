"""Tests the handling of foreign and malformed entries of the store."""

import json
from typing import Any

from hypothesis import given
from hypothesis import strategies as st
import pytest

from martenjunction import errors
from martenjunction import model
from martenjunction.platform import documents
from martenjunction_lab import boxes
from tests import gateway_requests as requests
from tests import routing_builders as builders

ENTRY: dict[str, Any] = {
    "service": builders.PLAIN,
    "address": "10.0.0.1:80",
    "zone": "zone-a",
    "version": "v1",
    "slots": 6,
    "state": "ready",
    "cold_left_ms": 0,
    "seq": 4,
    "born": 1767295651795,
}

INVALID_CHANGES = [
    *({"lacks": name} for name in ENTRY if name != "born"),
    {"state": "resting"},
    {"state": 1},
    {"seq": "4"},
    {"seq": -1},
    {"seq": 1.5},
    {"born": "soon"},
    {"born": 1.5},
    {"born": -1},
    {"address": ""},
    {"address": "nowhere"},
    {"address": "10.0.0.1"},
    {"address": "10.0.0.1:0"},
    {"address": "10.0.0.1:70000"},
    {"address": "10.0.0.300:80"},
    {"address": 7},
    {"cold_left_ms": -1},
    {"cold_left_ms": "0"},
    {"slots": 0},
    {"slots": "6"},
    {"service": ""},
    {"service": None},
    {"zone": 1},
]


def spec(**changes: Any) -> bytes:
    entry = {**ENTRY, **changes}
    entry.pop(entry.pop("lacks", ""), None)
    return json.dumps(entry).encode()


def test_entry_of_a_replica_is_decoded() -> None:
    found = documents.decode_endpoint("i-1", spec(phase="x", models=[{}]))
    assert (found.entry, found.address) == ("i-1", "10.0.0.1:80")
    assert found.state is model.EndpointState.READY
    old = documents.decode_endpoint("i-1", spec(lacks="born"))
    assert (old.id, old.entry) == ("i-1", "i-1")


@pytest.mark.parametrize("changes", INVALID_CHANGES, ids=str)
def test_invalid_entry_is_rejected(changes: Any) -> None:
    # Guards against treating an entry without a state, with the address
    # "nowhere" or with a negative time as a ready endpoint.
    with pytest.raises(errors.PlatformError):
        documents.decode_endpoint("i-1", spec(**changes))


anything = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=8), inner, max_size=3)
    ),
    max_leaves=8,
)
box_entry = {
    "box": "box-1",
    "zone": "zone-a",
    "callers": "10.0.0.1:1",
    "peers": "10.0.0.1:2",
    "incarnation": 5,
}
almost_valid = st.one_of(
    *(
        st.builds(lambda d, k, v: {**d, k: v}, st.just(known), keys, anything)
        for known in (ENTRY, box_entry, builders.config_document())
        for keys in [st.sampled_from(sorted(known))]
    )
)
decoders = st.sampled_from(
    [
        lambda data: documents.decode_endpoint("i-1", data),
        lambda data: documents.decode_box("box-1", data),
        documents.decode_config,
    ]
)


@given(
    decoders, st.binary(max_size=60) | (anything | almost_valid).map(json.dumps)
)
def test_decoders_reject_malformed_data_with_platform_error(
    decode: Any, data: Any
) -> None:
    try:
        decode(data if isinstance(data, bytes) else data.encode())
    except errors.PlatformError:
        return


def test_deeply_nested_data_is_rejected() -> None:
    with pytest.raises(errors.PlatformError):
        documents.decode_config(b'{"x":' + b"[" * 100_000)


@pytest.mark.parametrize(
    "changes",
    [
        {"box": "box-2"},
        {"callers": "nowhere"},
        {"peers": ""},
        {"incarnation": "5"},
        {"zone": None},
    ],
    ids=str,
)
def test_invalid_entry_of_a_box_is_rejected(changes: Any) -> None:
    data = json.dumps({**box_entry, **changes}).encode()
    with pytest.raises(errors.PlatformError):
        documents.decode_box("box-1", data)


# End-to-end tests.


@pytest.mark.parametrize("foreign", ["{}", '"?"', "7", "[]"])
async def test_malformed_entry_does_not_affect_others(
    fleet: boxes.Boxes, foreign: str
) -> None:
    replicas = await requests.two_plain(fleet)
    for number in range(54):
        fleet.record(
            replicas[0], builders.PLAIN, address=f"127.0.0.1:{number + 1}"
        )
        entry = fleet.store.find(documents.ENDPOINT_KIND, replicas[0].id)
        assert entry is not None
        fleet.store.write(
            documents.ENDPOINT_KIND, f"more-{number}", dict(entry.spec)
        )
    fleet.record(replicas[0], builders.PLAIN)
    box = fleet.gateways[0]
    await boxes.until(lambda: len(box.endpoint_list.entries) == 56)
    fleet.store.write(documents.ENDPOINT_KIND, "more-7", json.loads(foreign))
    await boxes.until(lambda: not box.endpoint_list.is_ready("more-7"))
    await boxes.until(lambda: box.endpoint_list.is_ready(replicas[0].id))
    assert len(box.endpoint_list.ready_ids()) == 55
    assert box.store_cache.unreadable == 1
    fleet.store.forget_history()
    calls = box.store.calls["list"]
    await boxes.until(lambda: box.store.calls["list"] > calls)
    assert len(box.endpoint_list.ready_ids()) == 55
    assert box.store_cache.unreadable == 1


async def test_endpoint_is_removed_when_its_entry_becomes_malformed(
    fleet: boxes.Boxes,
) -> None:
    # Guards against ignoring the malformed change and still sending requests
    # to the endpoint, whose state is unknown.
    replicas = await requests.two_plain(fleet)
    box = fleet.gateways[0]
    fleet.record(replicas[0], builders.PLAIN, address="nowhere")
    await boxes.until(lambda: not box.endpoint_list.is_ready(replicas[0].id))
    for number in range(6):
        head, _ = await requests.ask(fleet, "/safe/", f"r{number}")
        assert head.status == 200
    assert not replicas[0].received
    fleet.record(replicas[0], builders.PLAIN)
    await boxes.until(lambda: box.endpoint_list.is_ready(replicas[0].id))


async def test_malformed_entry_of_a_box_does_not_affect_others() -> None:
    # Guards against one malformed entry that aborts every listing of boxes, so
    # that no box is found.
    fleet = boxes.Boxes()
    fleet.store.start()
    fleet.store.write(documents.BOX_KIND, "a-first", {"box": 7})
    fleet.configure(builders.config_document())
    await fleet.add_box("box-1")
    await fleet.add_box("box-2")
    one = fleet.gateways[0]
    await boxes.until(lambda: "box-2" in one.members.members)
    await fleet.stop()


async def test_malformed_configuration_does_not_count_as_store_loss(
    fleet: boxes.Boxes,
) -> None:
    box = fleet.gateways[0]
    await boxes.until(lambda: box.store_cache.version == 7)
    fleet.configure({"version": "eight"})
    await requests.until_config_read(box, 3)
    assert box.store_cache.version == 7
    assert box.store_cache.store_answers
    fleet.configure(builders.config_document(9))
    await boxes.until(lambda: box.store_cache.version == 9)


async def test_entry_that_others_removed_is_written_again(
    fleet: boxes.Boxes,
) -> None:
    # Beyond a cut of 12 s a live box counts as dead, and the reader removes its
    # entry. It hears that it was called silent once the cut has healed.
    box = fleet.gateways[0]
    name = box.members.own.box
    await boxes.until(
        lambda: fleet.store.find(documents.BOX_KIND, name) is not None
    )
    fleet.store.write(documents.BOX_KIND, name, None)
    box.box_states._on_contradicted()
    await boxes.until(
        lambda: fleet.store.find(documents.BOX_KIND, name) is not None
    )
