"""Propagation of an endpoint's announcement that it is leaving."""

import asyncio

import msgspec
import pytest

from martenjunction import events
from martenjunction import model
from martenjunction.decisions.boxes import endpoint_list
from martenjunction.decisions.boxes import entry_table
from martenjunction.routing.limits import leaving_sync
from martenjunction.routing.log import decision_log
from tests import linked_boxes
from tests import routing_builders as builders

rev = builders.rev


def endpoint_start(number: int) -> model.Endpoint:
    return msgspec.structs.replace(builders.endpoint(f"e1/{number}"), name="e1")


def listed() -> endpoint_list.EndpointList:
    made = endpoint_list.EndpointList()
    made.apply_listing([(endpoint_start(1), rev(3))], rev(5), now=0.0)
    return made


def test_announcement_overrides_a_ready_entry() -> None:
    known = listed()
    assert known.mark_leaving("e1/1")
    assert not known.mark_leaving("e1/1")
    known.apply_entry(endpoint_start(1), rev(6))
    known.apply_listing([(endpoint_start(1), rev(7))], rev(8), now=1.0)
    known.apply_peer_view([(endpoint_start(1), rev(9))], {"e1/1"}, rev(9), 1.0)
    assert known.ready_ids() == []


def test_announcement_outlives_a_removed_and_restored_entry() -> None:
    known = listed()
    known.mark_leaving("e1/1")
    builders.lose_store(known.contact, 1.0, 9.0)
    known.apply_listing([], rev(6), now=9.0)
    known.apply_entry(endpoint_start(1), rev(7))
    assert known.ready_ids() == []


def test_announcement_applies_to_an_endpoint_listed_later() -> None:
    known = endpoint_list.EndpointList()
    assert known.mark_leaving("e1/1")
    known.apply_listing([(endpoint_start(1), rev(3))], rev(5), now=0.0)
    assert known.ready_ids() == []


def test_restarted_endpoint_is_available() -> None:
    known = listed()
    known.mark_leaving("e1/1")
    known.apply_entry(endpoint_start(2), rev(6))
    assert known.ready_ids() == ["e1/2"]


def test_endpoint_missing_from_a_peer_view_is_unavailable() -> None:
    known = listed()
    # Its entry is ready, but the sender of the view does not use it.
    known.apply_peer_view([(endpoint_start(1), rev(9))], set(), rev(9), 1.0)
    assert known.ready_ids() == []


def test_number_of_announcements_is_bounded() -> None:
    known = listed()
    for number in range(2 * entry_table.MAX_LEAVING):
        known.mark_leaving(f"e{number}")
    assert len(known._leaving) == entry_table.MAX_LEAVING


class Fleet:
    """87 boxes that exchange announcements of leaving endpoints."""

    def __init__(self) -> None:
        self.linked = linked_boxes.LinkedBoxes()
        self.lists = {name: listed() for name in self.linked.nodes}
        self.syncs = {}
        for name, node in self.linked.nodes.items():
            made = leaving_sync.LeavingSync(
                self.lists[name],
                node,  # type: ignore[arg-type]
                node,  # type: ignore[arg-type]
                decision_log.DecisionLog(lambda: 0.0),
            )
            made.start(node.emitter)
            self.syncs[name] = made


@pytest.mark.parametrize("tellers", [1, 20])
async def test_all_boxes_learn_of_it_with_few_messages(tellers: int) -> None:
    fleet = Fleet()
    for name in list(fleet.syncs)[:tellers]:
        fleet.syncs[name].report_leaving("e1/1")
    for _ in range(10):
        await asyncio.sleep(0)
    assert not any(known.ready_ids() for known in fleet.lists.values())
    # Each box broadcasts it once.
    assert fleet.linked.sent <= fleet.linked.links


async def test_newly_connected_box_is_notified() -> None:
    fleet = Fleet()
    fleet.lists["box-0"].mark_leaving("e1/1")
    fleet.linked.nodes["box-0"].emitter.emit(events.PEER_CONNECTED, "box-1")
    await asyncio.sleep(0)
    assert fleet.lists["box-1"].ready_ids() == []
