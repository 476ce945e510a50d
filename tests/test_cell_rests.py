"""Endpoints that ask the product's own daemons for rest.

The cells' owners read a refusal as one more end of a run: the place of an
endpoint that refuses at once came free at once, and was granted again.
"""

import pytest

from martenjunction import errors
from martenjunction.decisions.cells import asks
from martenjunction.decisions.cells import dispatcher
from martenjunction.endpoints import engine_protocol
from martenjunction.endpoints import plain_protocol
from martenjunction.endpoints import streams
from martenjunction_lab import bench
from tests import builders
from tests import caller_builders

fleet = caller_builders.fleet

REST_S = 3.0
REFUSED = asks.Ending.REFUSED


def grants(cell: dispatcher.Dispatcher, now: float) -> list[tuple[str, str]]:
    return [
        (made.request_id, made.endpoint)
        for made in cell.step(now)
        if isinstance(made, asks.Grant)
    ]


def refuse(
    cell: dispatcher.Dispatcher, request_id: str, now: float, rest_s: float
) -> None:
    cell.ended(asks.RunEnd(request_id, REFUSED, rest_s=rest_s), now)


def cell_that_rests(**changes: int) -> dispatcher.Dispatcher:
    """Returns a cell whose first endpoint has asked for rest at 0."""
    cell = builders.cell(**changes)
    cell.submit(builders.ask("first"), 0.0)
    assert grants(cell, 0.0) == [("first", "e1")]
    refuse(cell, "first", 0.0, REST_S)
    return cell


def test_endpoint_that_rests_is_granted_to_nobody() -> None:
    cell = cell_that_rests()
    cell.submit(builders.ask("second"), 0.1)
    for now in (0.1, 1.0, REST_S - 0.01):
        cell.review(now)
        assert grants(cell, now) == []
    cell.review(REST_S)
    assert grants(cell, REST_S) == [("second", "e1")]


def test_others_of_its_cell_are_granted() -> None:
    cell = cell_that_rests(endpoints=2, slots=4)
    for number in range(4):
        cell.submit(builders.ask(f"r{number}"), 0.1)
    assert {name for _, name in grants(cell, 0.1)} == {"e2"}


def test_endpoint_returns_with_one_run_until_it_answers() -> None:
    cell = cell_that_rests(slots=4)
    for number in range(4):
        cell.submit(builders.ask(f"r{number}"), 0.1)
    cell.review(REST_S)
    [(name, _)] = grants(cell, REST_S)
    cell.first_token(name, 0.05, REST_S + 0.05)
    assert len(grants(cell, REST_S + 0.05)) == 3


def test_request_that_cannot_outwait_the_rest_is_shed_at_once() -> None:
    cell = cell_that_rests()
    [shed] = cell.submit(builders.ask("second", patience=1.0), 0.1)
    assert isinstance(shed, asks.Shed)
    # Not before it would be taken, and spread over as much again.
    assert REST_S - 1.0 <= shed.retry_after <= 2 * REST_S
    assert cell.submit(builders.ask("third", patience=9.0), 0.1) == []


def test_endpoint_that_refuses_without_a_time_goes_after_others() -> None:
    cell = builders.cell(endpoints=2, slots=4)
    cell.submit(builders.ask("first"), 0.0)
    [(_, refused)] = grants(cell, 0.0)
    refuse(cell, "first", 0.0, 0.0)
    cell.submit(builders.ask("second"), 0.01)
    [(_, other)] = grants(cell, 0.01)
    assert other != refused
    refuse(cell, "second", 0.01, 0.0)
    # It is a preference only.
    cell.submit(builders.ask("third"), 0.02)
    assert len(grants(cell, 0.02)) == 1


@pytest.mark.parametrize(
    ("value", "rest_s"), [("3", 3.0), ("0.5", 0.5), ("soon", 0.0), (None, 0.0)]
)
@pytest.mark.parametrize("protocol", [engine_protocol, plain_protocol])
def test_refusal_tells_the_rest(
    protocol: object, value: str | None, rest_s: float
) -> None:
    pairs = [(plain_protocol.RAN_HEADER, "no")]
    if value is not None:
        pairs.append(("Retry-After", value))
    head = streams.ResponseHead(503, pairs)
    with pytest.raises(errors.EndpointRefusedError) as refusal:
        protocol.check_head(head, "r1")  # type: ignore[attr-defined]
    assert refusal.value.rest_s == rest_s


async def test_engine_that_asks_for_rest_gets_it_from_all_callers(
    fleet: bench.Bench,
) -> None:
    resting, serving = fleet.outside.engines.values()
    resting.faults.refuse = True
    resting.faults.rest_s = 60.0
    # So that the one that refuses at once seems the better one.
    serving.faults.slow = 5.0
    callers = await caller_builders.callers_of(fleet, 4)
    await caller_builders.ask_in_rounds(callers, 8)
    # Those that were under way with the first that it refused.
    assert 0 < resting.counts.refused <= len(callers)
    assert serving.counts.started.total() == 8 * len(callers)
