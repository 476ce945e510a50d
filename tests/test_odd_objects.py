"""Odd objects and messages that the product's own daemons read.

One object that could not be decoded failed the list of all objects, and that of
the boxes: no daemon followed the configuration while it stood. One that held a
number in place of text ended the links to the daemons that were told of it.
"""

from typing import Any

import pytest

from martenjunction import errors
from martenjunction import timers
from martenjunction.config import store as config_store
from martenjunction.objects import client as object_client
from martenjunction.objects import feed
from martenjunction.objects import model
from martenjunction.peers import codec
from martenjunction_lab import platform
from tests import odd_entries

PREFIX = "config/"
KIND, _ = object_client.split_key(PREFIX)
ODD = ["deep alone", "deep objects", "surrogate alone", "no number"]


def listed_box(name: str) -> model.ListedBox:
    return model.ListedBox(name, model.BoxRole.DAEMON, model.BoxState.LIVE)


@pytest.mark.parametrize("odd", ODD)
async def test_daemon_follows_objects_beside_an_odd_one(
    stand_in: platform.Platform, odd: str
) -> None:
    client = object_client.ObjectClient(f"http://{stand_in.address}")
    stand_in.write(KIND, "class/a", {"values": {"x": "1"}})
    stand_in.write(KIND, "class/odd", odd_entries.raw(odd))
    listed = await client.list_objects(PREFIX)
    assert [item.key for item in listed.objects] == ["config/class/a"]
    stand_in.write(KIND, "class/odd", None)
    stand_in.write(KIND, "class/odder", odd_entries.raw(odd))
    stand_in.write(KIND, "class/b", {"values": {}})
    changed = await client.watch(PREFIX, listed.version, 1.0)
    assert changed is not None
    assert {(i.key, i.value is None) for i in changed.objects} == {
        ("config/class/odd", True),
        ("config/class/b", False),
    }
    assert changed.version == stand_in.version
    with pytest.raises(errors.PlatformUnavailableError):
        await client.get("config/class/odder")
    client.close()


@pytest.mark.parametrize("odd", [*ODD, "port"])
async def test_daemon_follows_boxes_beside_an_odd_one(
    stand_in: platform.Platform, odd: str
) -> None:
    client = object_client.ObjectClient(f"http://{stand_in.address}")
    stand_in.set_box(listed_box("a"))
    stand_in.write(object_client.LISTED_KIND, "odd", odd_entries.raw(odd))
    listed = await client.boxes(0)
    stand_in.set_box(listed_box("b"))
    later = await client.boxes(listed.version)
    client.close()
    assert [box.name for box in listed.boxes] == ["a"]
    assert [box.name for box in later.boxes] == ["b"]


@pytest.mark.parametrize(
    "value", [5, "text", [], {"values": 5}, {"values": {"slots": 10**18}}]
)
async def test_object_that_holds_no_text_is_not_passed_on(
    stand_in: platform.Platform, value: Any
) -> None:
    # The daemon that reads would tell the others, whose decoder refuses it.
    found: list[config_store.ConfigObject] = []
    client = object_client.ObjectClient(f"http://{stand_in.address}")
    reader = feed.PlatformFeed(
        client, timers.Timers(), lambda: True, found.extend, lambda boxes: None
    )
    reader._apply(
        model.ObjectList(
            2,
            [
                model.PlatformObject("config/class/odd", 1, value),
                model.PlatformObject(
                    "config/class/a", 2, {"values": {"x": "1"}}
                ),
            ],
        )
    )
    client.close()
    assert [item.key for item in found] == ["config/class/a"]


@pytest.mark.parametrize(
    "data",
    [
        b"\x81" * odd_entries.DEPTH,
        b"\x81\x63\xed\xa0\x80",
        b"\x81\xa1\x80\x01",
        b"\x81\x5b\x7f\xff\xff\xff\xff\xff\xff\xff",
    ],
    ids=["deep", "surrogate", "unhashable", "length"],
)
def test_malformed_batch_is_a_violation_and_no_crash(data: bytes) -> None:
    with pytest.raises(errors.PeerError):
        codec.decode_batch(data)
