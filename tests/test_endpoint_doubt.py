"""Requests that may run once were sent to an endpoint that had fallen silent.

Nothing kept them from it until it was ejected, which takes seconds where few
requests are sent, and no second attempt can follow them.
"""

import random

import pytest

from martenjunction.decisions.boxes import endpoint_choice
from martenjunction.decisions.boxes import endpoint_doubt
from martenjunction.decisions.boxes import endpoint_list
from martenjunction.decisions.boxes import endpoint_records
from martenjunction.routing.endpoints import endpoint_registry
from martenjunction.routing.endpoints import run_ticket
from martenjunction.routing.log import decision_log
from tests import routing_builders as builders

USUAL_S = 0.03
LONG_S = 0.2
TICK_S = 0.1


class Box:
    """A box that knows how long two endpoints of a service take."""

    def __init__(self) -> None:
        listed = endpoint_list.EndpointList()
        first = builders.rev(1)
        names = ("quiet", "other")
        listed.apply_listing(
            [(builders.endpoint(name), first) for name in names], first, 0.0
        )
        self.now = 100.0
        self.registry = endpoint_registry.EndpointRegistry(
            listed, decision_log.DecisionLog(lambda: 0.0), random.Random(1)
        )
        self._service = builders.config().services[builders.PLAIN]
        for _ in range(20):
            ticket = self.send(repeatable=True)
            self.wait(USUAL_S)
            self.registry.runs.note_response(ticket, self.now)
            self.registry.runs.end(ticket, self.now, False)

    def choose(self, repeatable: bool) -> endpoint_choice.Choice:
        """Returns the choice for a request."""
        found = self.registry.selector.choose(
            self._service, self._demand(repeatable), set(), self.now
        )
        assert found is not None
        return found[1]

    def send(
        self, repeatable: bool, avoided: str = "other"
    ) -> run_ticket.RunTicket:
        """Sends a request to one of the endpoints."""
        found = self.registry.selector.choose(
            self._service, self._demand(repeatable), {avoided}, self.now
        )
        assert found is not None
        return self.registry.runs.begin(
            found[1], self._demand(repeatable), self.now
        )

    def wait(self, seconds: float) -> None:
        """Lets time pass, in which the box listens."""
        until = self.now + seconds
        while self.now < until:
            self.now = min(until, self.now + TICK_S)
            self.registry.tick(self.now)

    def is_doubted(self) -> bool:
        """Returns whether the quiet endpoint is in doubt."""
        return self.registry.table.records["quiet"].doubt.is_doubted(self.now)

    def _demand(self, repeatable: bool) -> endpoint_records.Demand:
        return builders.demand(
            (), service=builders.PLAIN, is_engine=False, repeatable=repeatable
        )


@pytest.fixture
def box() -> Box:
    return Box()


def test_what_runs_once_avoids_an_endpoint_in_doubt(box: Box) -> None:
    box.send(repeatable=True)
    box.wait(LONG_S)
    # All other requests there make its load the lower one.
    for _ in range(3):
        box.send(False, avoided="quiet")
    assert box.choose(repeatable=False).record.id == "other"
    assert box.choose(repeatable=True).record.id == "quiet"


def test_endpoint_in_doubt_gets_what_no_other_has_a_slot_for(box: Box) -> None:
    box.send(repeatable=True)
    box.wait(LONG_S)
    for _ in range(builders.endpoint().slots):
        box.send(False, avoided="quiet")
    assert box.choose(repeatable=False).record.id == "quiet"


def test_answer_ends_the_doubt(box: Box) -> None:
    first, second = box.send(repeatable=True), box.send(repeatable=True)
    box.wait(LONG_S)
    assert box.is_doubted()
    box.registry.runs.note_response(first, box.now)
    assert not box.is_doubted()
    box.wait(LONG_S)
    assert box.is_doubted()
    box.registry.runs.note_response(second, box.now)
    assert not box.is_doubted()


def test_bytes_of_a_running_response_do_not_end_the_doubt(box: Box) -> None:
    stream = box.send(repeatable=True)
    box.registry.runs.note_response(stream, box.now)
    box.send(repeatable=True)
    box.wait(LONG_S)
    box.registry.runs.note_response(stream, box.now)
    assert box.is_doubted()


def test_health_check_ends_the_doubt_that_a_request_left(box: Box) -> None:
    left = box.send(repeatable=False)
    box.wait(LONG_S)
    left.given_up = True
    box.registry.runs.end(left, box.now, True)
    box.wait(10 * LONG_S)
    health = box.registry.health
    assert box.is_doubted()
    assert health.due_for_probe(box.now) == ["quiet"]
    health.note_probe_result("quiet", False, box.now)
    assert box.is_doubted()
    assert health.due_for_probe(box.now) == []
    box.wait(30 * LONG_S)
    assert health.due_for_probe(box.now) == ["quiet"]
    health.note_probe_result("quiet", True, box.now)
    assert not box.is_doubted()
    assert not box.registry.table.records["quiet"].is_ejected


def test_request_that_ends_within_the_usual_time_leaves_no_doubt(
    box: Box,
) -> None:
    ticket = box.send(repeatable=False)
    box.wait(USUAL_S / 2)
    ticket.given_up = True
    box.registry.runs.end(ticket, box.now, True)
    box.wait(LONG_S)
    assert not box.is_doubted()


def test_doubt_is_told_to_other_boxes_and_taken_back(box: Box) -> None:
    left = box.send(repeatable=True)
    box.wait(LONG_S)
    left.given_up = True
    box.registry.runs.end(left, box.now, True)
    peer = Box()
    # A short silence alone is not told.
    assert box.registry.reports.outcome_rows(box.now) == []
    box.registry.health.note_probe_result("quiet", False, box.now)
    rows = box.registry.reports.outcome_rows(box.now)
    peer.registry.reports.update_peer_outcomes("box", rows, peer.now)
    record = peer.registry.table.records["quiet"]
    assert record.failure_part(peer.now) > 0.0
    assert peer.choose(repeatable=False).record.id == "other"
    box.registry.health.note_probe_result("quiet", True, box.now)
    rows = box.registry.reports.outcome_rows(box.now)
    peer.registry.reports.update_peer_outcomes("box", rows, peer.now)
    assert record.failure_part(peer.now) == 0.0


def test_nothing_is_in_doubt_while_no_times_are_known() -> None:
    doubt = endpoint_doubt.EndpointDoubt()
    doubt.note_sent(float("inf"), 0.0)
    assert not doubt.is_doubted(1000.0)
