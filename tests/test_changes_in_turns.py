"""Many changes in one answer of the store leave the event loop to others.

Guards against a box that applies all changes of a watch, or decodes all entries
of boxes, in one turn: those that cannot be decoded take an error each.
"""

from typing import Any

import pytest

from martenjunction.platform import documents
from martenjunction.routing.store import listing_turns
from martenjunction_lab import boxes
from tests import gateway_requests as requests
from tests import odd_entries
from tests import routing_builders as builders
from tests import turn_counts

ENTRIES = 2 * listing_turns.ENTRIES_PER_TURN + 30

SPECS = {"odd": "nowhere", "sound": "10.0.0.1:80"}


def _spec(address: str, **changes: Any) -> dict[str, Any]:
    return {
        "service": builders.PLAIN,
        "address": address,
        "zone": "zone-a",
        "version": "v1",
        "slots": 6,
        "state": "draining",
        "cold_left_ms": 0,
        "seq": 1,
        **changes,
    }


@pytest.mark.parametrize("kind", list(SPECS))
async def test_changes_of_a_watch_are_applied_in_several_turns(
    fleet: boxes.Boxes, monkeypatch: pytest.MonkeyPatch, kind: str
) -> None:
    await requests.two_plain(fleet)
    [box] = fleet.gateways
    # The watch is there.
    await odd_entries.replace_replica(fleet)
    applied = turn_counts.TurnCount()
    monkeypatch.setattr(
        documents,
        "decode_endpoint",
        applied.counting(documents.decode_endpoint),
    )
    lists = box.store.calls["list"]
    with applied.start():
        for number in range(ENTRIES):
            name = f"e{number:05d}"
            spec = _spec(SPECS[kind])
            fleet.store.write(documents.ENDPOINT_KIND, name, spec)
        await boxes.until(lambda: applied.total >= ENTRIES)
    assert box.store.calls["list"] == lists
    assert applied.longest <= listing_turns.ENTRIES_PER_TURN
    # What comes after the changes is followed as well.
    await odd_entries.replace_replica(fleet)


async def test_entries_of_boxes_are_decoded_in_several_turns(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    decoded = turn_counts.TurnCount()
    monkeypatch.setattr(
        documents, "decode_box", decoded.counting(documents.decode_box)
    )
    fleet = boxes.Boxes()
    fleet.store.start()
    for number in range(ENTRIES):
        fleet.store.write(documents.BOX_KIND, f"x{number:05d}", {"box": 1})
    fleet.configure(builders.config_document())
    try:
        with decoded.start():
            await fleet.add_box("box-1")
            await boxes.until(lambda: decoded.total >= ENTRIES)
    finally:
        await fleet.stop()
    assert decoded.longest <= listing_turns.ENTRIES_PER_TURN
