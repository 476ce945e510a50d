"""Content of the store that some decoders can't read, and how to write it."""

import json
from typing import Any

import msgspec
import pytest

from martenjunction_lab import boxes
from martenjunction_lab import platform
from martenjunction_lab import platform_objects
from martenjunction_lab import replica
from tests import routing_builders as builders

# Far beyond the depth that any stack lets a decoder read.
DEPTH = 200_000

_ENTRY = (
    b'{"service":"plain-service","address":"10.0.0.1:80","zone":"zone-a",'
    b'"version":"v1","slots":6,"state":"ready","cold_left_ms":0,"seq":4,'
    b'"models":%s}'
)

# JSON of an entry, or in place of one, by what is odd about it.
CONTENT = {
    "deep lists": _ENTRY % (b"[" * DEPTH + b"]" * DEPTH),
    "deep objects": _ENTRY % (b'{"a":' * DEPTH + b"0" + b"}" * DEPTH),
    "deep alone": b"[" * DEPTH + b"]" * DEPTH,
    "surrogate": _ENTRY % rb'"\ud800"',
    "surrogate alone": rb'"\ud800 \" ]}"',
    "no number": _ENTRY % b"NaN",
    "digits": _ENTRY.replace(b":6,", b":" + b"9" * 5000 + b",") % b"0",
    "exponent": _ENTRY.replace(b":6,", b":1e400,") % b"0",
    "port": _ENTRY.replace(b":80", b":99999") % b"0",
    "bytes": _ENTRY % b'"\xff\xfe"',
}

# JSON of an object's metadata, given its name and revision.
METADATA: dict[str, bytes] = {
    "revision 1e3": b'{"name":%s,"revision":%d.0e0}',
    "revision text": b'{"name":%s,"revision":"%d"}',
    "deep finalizers": b'{"name":%s,"finalizers":'
    + b"[" * DEPTH
    + b"]" * DEPTH
    + b',"revision":%d}',
    "surrogate label": rb'{"name":%s,"label":"\ud800","revision":%d}',
    "surrogate key": rb'{"\ud800":1,"name":%s,"revision":%d}',
}

# The same, but without a name that can be read.
NAMELESS: dict[str, bytes] = {
    "surrogate name": rb'{"name":"\ud800","x":%s,"revision":%d}',
    "no name": b'{"x":%s,"revision":%d}',
}

ODD = "h-odd"


def raw(odd: str) -> msgspec.Raw:
    """Returns odd content as the stand-in of the store takes it."""
    return msgspec.Raw(CONTENT[odd])


def set_metadata(
    monkeypatch: pytest.MonkeyPatch, name: str, template: bytes
) -> None:
    """Has the stand-in of the store tell other metadata of some objects."""
    as_json = platform_objects.Kept.as_json

    def odd_as_json(kept: platform_objects.Kept) -> dict[str, Any]:
        told = as_json(kept)
        if kept.name == name:
            text = json.dumps(name).encode()
            told["metadata"] = msgspec.Raw(template % (text, kept.revision))
        return told

    monkeypatch.setattr(platform_objects.Kept, "as_json", odd_as_json)


def fill(stand_in: platform.Platform, kind: str, entries: int) -> list[str]:
    """Writes sound objects; returns their names in order."""
    names = [f"n{number:05d}" for number in range(entries)]
    for name in names:
        stand_in.write(kind, name, {"of": name})
    return names


async def replace_replica(fleet: boxes.Boxes) -> replica.Replica:
    """Adds an endpoint and removes the oldest; waits until boxes follow."""
    made = await fleet.add_replica(builders.PLAIN)
    gone = fleet.replicas[0]
    fleet.forget(gone)
    await boxes.until(
        lambda: all(
            box.endpoint_list.is_ready(made.id)
            and not box.endpoint_list.is_ready(gone.id)
            for box in fleet.gateways
        )
    )
    return made


def number(value: int) -> msgspec.Raw:
    """Returns a number of any size as the stand-in of the store takes it."""
    return msgspec.Raw(str(value).encode())
