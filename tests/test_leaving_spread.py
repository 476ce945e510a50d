"""Propagation of an endpoint's announcement that it is leaving."""

import asyncio
import dataclasses

import pytest

from martenjunction import events
from martenjunction import model
from martenjunction.decisions.boxes import endpoint_list
from martenjunction.routing import decision_log
from martenjunction.routing import leaving_sync
from tests import linked_boxes
from tests import routing_builders as builders

rev = builders.rev


def start(number: int) -> model.Endpoint:
    return dataclasses.replace(builders.endpoint(f"e1/{number}"), name="e1")


def listed() -> endpoint_list.EndpointList:
    made = endpoint_list.EndpointList()
    made.take_listing([(start(1), rev(3))], rev(5), now=0.0)
    return made


def test_own_word_holds_though_the_entry_says_ready() -> None:
    known = listed()
    assert known.say_leaving("e1/1")
    assert not known.say_leaving("e1/1")
    known.take_change(start(1), rev(6))
    known.take_listing([(start(1), rev(7))], rev(8), now=1.0)
    known.take_view([(start(1), rev(9))], {"e1/1"}, rev(9), 1.0)
    assert known.ready_ids() == []


def test_own_word_holds_though_the_entry_went_and_came_back() -> None:
    known = listed()
    known.say_leaving("e1/1")
    known.store_lost()
    known.take_listing([], rev(6), now=1.0)
    known.store_returned(9.0, away_s=8.0)
    known.take_change(start(1), rev(7))
    assert known.ready_ids() == []


def test_word_of_an_endpoint_that_is_listed_later_holds() -> None:
    known = endpoint_list.EndpointList()
    assert known.say_leaving("e1/1")
    known.take_listing([(start(1), rev(3))], rev(5), now=0.0)
    assert known.ready_ids() == []


def test_endpoint_that_starts_again_has_said_nothing() -> None:
    known = listed()
    known.say_leaving("e1/1")
    known.take_change(start(2), rev(6))
    assert known.ready_ids() == ["e1/2"]


def test_what_another_box_does_not_send_to_leaves() -> None:
    known = listed()
    # Its entry is ready, but the sender of the view does not use it.
    known.take_view([(start(1), rev(9))], set(), rev(9), 1.0)
    assert known.ready_ids() == []


def test_words_are_bounded() -> None:
    known = listed()
    for number in range(2 * endpoint_list.MAX_LEAVING):
        known.say_leaving(f"e{number}")
    assert len(known._leaving) == endpoint_list.MAX_LEAVING


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
async def test_all_boxes_hear_of_it_by_few_messages(tellers: int) -> None:
    fleet = Fleet()
    for name in list(fleet.syncs)[:tellers]:
        fleet.syncs[name].say_leaving("e1/1")
    for _ in range(10):
        await asyncio.sleep(0)
    assert not any(known.ready_ids() for known in fleet.lists.values())
    # Each box broadcasts it once.
    assert fleet.linked.sent <= fleet.linked.links


async def test_box_that_was_not_connected_is_told() -> None:
    fleet = Fleet()
    fleet.lists["box-0"].say_leaving("e1/1")
    fleet.linked.nodes["box-0"].emitter.emit(events.PEER_CONNECTED, "box-1")
    await asyncio.sleep(0)
    assert fleet.lists["box-1"].ready_ids() == []
