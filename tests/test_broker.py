"""Tests of the broker: choice of cells, moves and stale grants."""

import random

import pytest

from martenjunction import timers
from martenjunction.cells import broker
from martenjunction.cells import directory
from martenjunction.cells import messages
from martenjunction.decisions.cells import dispatch_types
from tests import builders


class Fleet:
    """A broker with a changeable owner that records sent messages."""

    def __init__(self) -> None:
        self.owner = "box-2"
        self.unreachable = ""
        self.sent: list[tuple[str, messages.FromEntry]] = []
        self.broker = broker.Broker(
            "box-1",
            "r/1",
            timers.Timers(lambda: 10.0),
            lambda cell: [self.owner],
            self.send,
            random.Random(1),
        )
        self.broker.set_cells(cells("s/r/0", "e1", "e2"))

    def send(self, box: str, message: messages.FromEntry) -> bool:
        if box == self.unreachable:
            return False
        self.sent.append((box, message))
        return True

    def place(self) -> broker.Ticket:
        return self.broker.place(builders.ask(arrived=9.0), "s")

    def grant(self, sender: str, cell: str = "s/r/0") -> None:
        self.broker.receive(sender, messages.SlotGranted(cell, "r1", "e1"))


def cells(name: str, *endpoints: str) -> directory.Cells:
    place = name.split("/", 1)[1].rpartition("/")[0]
    return {name: directory.CellInfo(name, "s", place, endpoints)}


def test_waiting_request_moves_to_the_new_owner_with_its_arrival() -> None:
    fleet = Fleet()
    fleet.place()
    fleet.owner = "box-3"
    fleet.broker.reassign()
    box, message = fleet.sent[-1]
    assert box == "box-3"
    assert isinstance(message, messages.SlotRequested)
    assert message.exempt_from_shedding
    assert message.age == 1.0


def test_running_request_is_announced_with_its_endpoint() -> None:
    fleet = Fleet()
    fleet.place()
    fleet.grant("box-2")
    fleet.owner = "box-3"
    fleet.broker.reassign()
    box, message = fleet.sent[-1]
    assert box == "box-3"
    assert isinstance(message, messages.AnnounceRun)
    assert message.endpoint == "e1"


WITHDRAWN = ("box-2", messages.Withdraw("s/r/0", "r1"))


@pytest.mark.parametrize("granted", [False, True])
def test_previous_owner_does_not_keep_what_moved(granted: bool) -> None:
    # Owners that got their cell back counted runs that had long ended, and
    # granted nothing more.
    fleet = Fleet()
    fleet.place()
    if granted:
        fleet.grant("box-2")
    fleet.owner = "box-3"
    fleet.broker.reassign()
    assert fleet.sent[-2] == WITHDRAWN


@pytest.mark.parametrize(
    ("granted", "kind"),
    [(False, messages.SlotRequested), (True, messages.AnnounceRun)],
)
def test_owner_with_a_new_connection_learns_of_all_requests(
    granted: bool, kind: type[messages.FromEntry]
) -> None:
    # A request whose grant was lost with a connection waited for ever.
    fleet = Fleet()
    fleet.place()
    if granted:
        fleet.grant("box-2")
    fleet.sent.clear()
    fleet.broker.announce_to("box-3")
    assert not fleet.sent
    fleet.broker.announce_to("box-2")
    assert fleet.sent[0] == WITHDRAWN
    assert [box for box, _ in fleet.sent] == ["box-2", "box-2"]
    assert isinstance(fleet.sent[1][1], kind)


@pytest.mark.parametrize("ends", [False, True])
def test_unreachable_owner_learns_later_what_moved_or_ended(
    ends: bool,
) -> None:
    fleet = Fleet()
    ticket = fleet.place()
    fleet.grant("box-2")
    fleet.unreachable = "box-2"
    if ends:
        end = dispatch_types.RunEnd("r1", dispatch_types.Ending.COMPLETE)
        fleet.broker.ended(ticket, end)
    fleet.owner = "box-3"
    fleet.broker.reassign()
    assert WITHDRAWN not in fleet.sent
    fleet.owner, fleet.unreachable = "box-2", ""
    fleet.broker.reassign()
    fleet.broker.place(builders.ask("r2"), "s")
    in_order = [message for box, message in fleet.sent if box == "box-2"]
    assert in_order[1] == WITHDRAWN[1]
    assert in_order.count(WITHDRAWN[1]) == 1


@pytest.mark.parametrize("sender", ["box-2", "box-3"])
def test_stale_grant_is_returned(sender: str) -> None:
    fleet = Fleet()
    ticket = fleet.place()
    fleet.owner = "box-3"
    fleet.broker.reassign()
    fleet.grant("box-3")
    assert ticket.state is broker.TicketState.RUNNING
    fleet.grant(sender)
    box, message = fleet.sent[-1]
    assert box == sender
    assert isinstance(message, messages.Withdraw)
    assert len(ticket.placement_results) == 1


def test_request_of_a_removed_cell_moves_to_the_cell_of_its_endpoint() -> None:
    fleet = Fleet()
    ticket = fleet.place()
    fleet.grant("box-2")
    fleet.broker.set_cells(cells("s/r/1/0", "e1") | cells("s/r/2/0", "e2"))
    assert ticket.cell.name == "s/r/1/0"
    assert isinstance(fleet.sent[-1][1], messages.AnnounceRun)


def test_retry_avoids_cells_whose_endpoints_failed() -> None:
    fleet = Fleet()
    fleet.broker.set_cells(cells("s/r/1/0", "e1") | cells("s/r/2/0", "e2"))
    for number in range(20):
        ask = builders.ask(f"r{number}", avoid=frozenset({"e1"}))
        ticket = fleet.broker.place(ask, "s")
        assert ticket.cell.name == "s/r/2/0"


def test_cell_with_the_smaller_delay_is_chosen() -> None:
    fleet = Fleet()
    fleet.broker.set_cells(cells("s/r/1/0", "e1") | cells("s/r/2/0", "e2"))
    near = messages.Summary("s/r/1/0", 0, (5000, 5000, 5000, 5000))
    fleet.broker.receive("box-2", near)
    taken = [
        fleet.broker.place(builders.ask(f"r{n}"), "s").cell.name
        for n in range(40)
    ]
    # Both draws select the near cell in about half of the cases.
    assert 10 < taken.count("s/r/2/0") < 30


def test_end_of_a_request_releases_its_slot_once() -> None:
    fleet = Fleet()
    ticket = fleet.place()
    fleet.grant("box-2")
    end = dispatch_types.RunEnd("r1", dispatch_types.Ending.COMPLETE)
    fleet.broker.ended(ticket, end)
    fleet.broker.ended(ticket, end)
    ends = [m for _, m in fleet.sent if isinstance(m, messages.RunEnded)]
    assert len(ends) == 1
    assert not fleet.broker.tickets
