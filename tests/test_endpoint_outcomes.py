"""Tests of failures of endpoints that boxes share."""

import asyncio
import random

import pytest

from martenjunction import errors
from martenjunction.decisions.boxes import endpoint_list
from martenjunction.decisions.boxes import endpoint_outcomes
from martenjunction.decisions.boxes import load_sums
from martenjunction.routing.endpoints import endpoint_registry
from martenjunction.routing.log import decision_log
from martenjunction.routing.messages import load_messages
from martenjunction.routing.sync import fleet_loads
from martenjunction.routing.sync import outcome_report
from martenjunction_lab import boxes
from martenjunction_lab import replica
from tests import gateway_requests as requests
from tests import routing_builders as builders

BOXES = 60
ENDPOINTS = ("good-1", "failing", "good-2", "good-3")

# Seconds between two requests of a box, of the play, and between two sums.
REQUEST_S = 3.0
PLAY_S = 9.0
SUMS_S = 0.4

ANSWER_S = 0.09
ERROR_S = 0.001

# Seconds for which requests wait at an endpoint, beside others that are sent.
QUEUE_S = 0.05


class _Fleet:
    """Boxes that each send a request every few seconds, in simulated time."""

    def __init__(self, shares: bool) -> None:
        self._rng = random.Random(3)
        self._shares = shares
        self._service = builders.config().services[builders.PLAIN]
        self._books = [self._book(number) for number in range(BOXES)]
        self._loads = [
            fleet_loads.FleetLoads(book, number)
            for number, book in enumerate(self._books)
        ]
        self.sent = dict.fromkeys(ENDPOINTS, 0)

    def play(self) -> None:
        """Lets all boxes send requests; the last ones count."""
        steps = [
            (self._rng.uniform(0, PLAY_S), box)
            for box in range(BOXES)
            for _ in range(int(PLAY_S / REQUEST_S))
        ]
        told_at = 0.0
        for at, box in sorted(steps):
            while at - told_at >= SUMS_S:
                told_at += SUMS_S
                self._tell(100.0 + told_at)
            self._request(self._books[box], 100.0 + at, at > PLAY_S / 3)

    def _book(self, number: int) -> endpoint_registry.EndpointRegistry:
        listed = endpoint_list.EndpointList()
        first = builders.rev(1)
        entries = [(builders.endpoint(name), first) for name in ENDPOINTS]
        listed.apply_listing(entries, first, 0.0)
        return endpoint_registry.EndpointRegistry(
            listed,
            decision_log.DecisionLog(lambda: 0.0),
            random.Random(number),
        )

    def _request(
        self,
        book: endpoint_registry.EndpointRegistry,
        now: float,
        counts: bool,
    ) -> None:
        book.tick(now)
        demand = builders.demand((), service=builders.PLAIN, is_engine=False)
        chosen = book.selector.choose(self._service, demand, set(), now)
        assert chosen is not None
        endpoint, choice = chosen
        self.sent[endpoint.id] += counts
        ticket = book.runs.begin(choice, demand, now)
        failed = endpoint.id == "failing"
        now += ERROR_S if failed else ANSWER_S
        book.runs.note_response(ticket, now)
        book.runs.end(ticket, now, failed)

    def _tell(self, now: float) -> None:
        total = load_sums.total(loads.take(now) for loads in self._loads)
        if not self._shares:
            total.outcomes.clear()
        message = load_messages.encode_total(total)
        for loads in self._loads:
            loads.apply(load_messages.decode(message), now)


def test_boxes_of_a_large_fleet_avoid_an_endpoint_that_fails() -> None:
    # An endpoint failed all requests for 7 s while its health check was good.
    # Each of 88 boxes sends it one request every few seconds, so that none of
    # them learnt of it in time, and a quarter of all requests failed there.
    alone = _Fleet(shares=False)
    together = _Fleet(shares=True)
    alone.play()
    together.play()
    part = {
        fleet: fleet.sent["failing"] / sum(fleet.sent.values())
        for fleet in (alone, together)
    }
    assert part[together] <= 0.05
    assert part[alone] >= 3 * part[together]


@pytest.mark.simulated_time
async def test_boxes_of_a_small_fleet_report_failures() -> None:
    """Box 1 learns of failures that only box 0 meets.

    The first of eight requests in a row went to an endpoint that was drawn, the
    others to whichever had answered quickly: in 2 of 6 runs nothing failed at
    box 0, and the request of box 1 could meet the failure itself. So box 1
    sends nothing once the endpoint fails, and box 0 sends eight at a time until
    box 1 knows. They wait at their endpoints, so that they go to both.
    """
    made = boxes.Boxes()
    await made.start(builders.relaxed_config_document(), boxes=2)
    for _ in range(2):
        stand_in = await made.add_replica(builders.PLAIN)
        stand_in.queue_s = QUEUE_S
    await made.until_listed()
    headers = requests.request_headers("s1")
    await boxes.call(made.addresses[1], "POST", "/safe/", headers, b"hello")
    made.replicas[0].always(replica.Behaviour.FAIL)
    other = made.gateways[1].registry

    def is_known() -> bool:
        record = other.table.records.get(made.replicas[0].id)
        now = made.gateways[1].timers.now()
        return record is not None and record.failure_part(now) > 0.2

    async def send_until_known() -> None:
        while not is_known():
            calls = (
                boxes.call(
                    made.addresses[0],
                    "POST",
                    "/unsafe/",
                    requests.request_headers(f"r{number}"),
                    b"hello",
                )
                for number in range(8)
            )
            await asyncio.gather(*calls)

    await asyncio.wait_for(send_until_known(), boxes.READY_LIMIT_S)
    await made.stop()


def test_failures_of_other_boxes_expire() -> None:
    outcomes = endpoint_outcomes.EndpointOutcomes()
    outcomes.update_peer("fleet", 10.0, 10.0, 100.0)
    assert outcomes.failure_part(100.5) > 0.8
    late = 100.1 + endpoint_outcomes.PEER_LIFETIME_S
    assert outcomes.failure_part(late) == 0.0


def test_single_failure_does_not_condemn_an_endpoint() -> None:
    outcomes = endpoint_outcomes.EndpointOutcomes()
    outcomes.record(True, 100.0)
    assert outcomes.failure_part(100.0) <= 0.25


@pytest.mark.parametrize(
    "report",
    [
        outcome_report.OutcomeReport(("a",), (1, 2), (0,)),
        outcome_report.OutcomeReport(("a",), (1,), ()),
    ],
)
def test_columns_that_do_not_fit_are_rejected(
    report: outcome_report.OutcomeReport,
) -> None:
    with pytest.raises(errors.PeerError):
        outcome_report._decode(report)


@pytest.mark.parametrize("row", [("b", -1, 0), ("b", 1, 2**50), ("b", 1, -1)])
def test_malformed_row_of_a_report_is_left_out_alone(
    row: tuple[str, int, int],
) -> None:
    rows = (("a", 100, 50), row, ("c", 200, 0))
    report = outcome_report.OutcomeReport(*zip(*rows, strict=True))
    assert [name for name, _, _ in outcome_report._decode(report)] == ["a", "c"]
