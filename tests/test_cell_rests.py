"""Tests of back-offs that endpoints request from their cell's owner.

Guards against an owner that treats a refusal as an ordinary end of a run. The
slot of an endpoint that refuses at once would then be free and granted again
at once.
"""

import pytest

from martenjunction import errors
from martenjunction.decisions import endpoint_states
from martenjunction.decisions.cells import dispatch_types
from martenjunction.decisions.cells import dispatcher
from martenjunction.endpoints import engine_protocol
from martenjunction.endpoints import plain_protocol
from martenjunction.endpoints import streams
from martenjunction_lab import bench
from tests import builders
from tests import caller_builders

fleet = caller_builders.fleet

REST_S = 3.0
REFUSED = dispatch_types.Ending.REFUSED


def grants(cell: dispatcher.Dispatcher, now: float) -> list[tuple[str, str]]:
    return [
        (decision.request_id, decision.endpoint)
        for decision in cell.step(now)
        if isinstance(decision, dispatch_types.Grant)
    ]


def refuse(
    cell: dispatcher.Dispatcher, request_id: str, now: float, rest_s: float
) -> None:
    cell.ended(
        dispatch_types.RunEnd(request_id, REFUSED, backoff_s=rest_s), now
    )


def cell_in_backoff(**changes: int) -> dispatcher.Dispatcher:
    """Returns a cell whose first endpoint requested a back-off at 0."""
    cell = builders.cell(**changes)
    cell.submit(builders.ask("first"), 0.0)
    assert grants(cell, 0.0) == [("first", "e1")]
    refuse(cell, "first", 0.0, REST_S)
    return cell


def test_endpoint_in_backoff_receives_no_grants() -> None:
    cell = cell_in_backoff()
    cell.submit(builders.ask("second"), 0.1)
    for now in (0.1, 1.0, REST_S - 0.01):
        cell.review(now)
        assert grants(cell, now) == []
    cell.review(REST_S)
    assert grants(cell, REST_S) == [("second", "e1")]


def test_other_endpoints_of_the_cell_are_granted() -> None:
    cell = cell_in_backoff(endpoints=2, slots=4)
    for number in range(4):
        cell.submit(builders.ask(f"r{number}"), 0.1)
    assert {name for _, name in grants(cell, 0.1)} == {"e2"}


def test_endpoint_gets_one_run_after_a_backoff_until_it_answers() -> None:
    cell = cell_in_backoff(slots=4)
    for number in range(4):
        cell.submit(builders.ask(f"r{number}"), 0.1)
    cell.review(REST_S)
    [(name, _)] = grants(cell, REST_S)
    cell.first_token(name, 0.05, REST_S + 0.05)
    assert len(grants(cell, REST_S + 0.05)) == 3


def test_request_with_less_patience_than_the_backoff_is_shed_at_once() -> None:
    cell = cell_in_backoff()
    [shed] = cell.submit(builders.ask("second", patience=1.0), 0.1)
    assert isinstance(shed, dispatch_types.Shed)
    # At least the excess of the back-off over the patience, plus jitter.
    assert REST_S - 1.0 <= shed.retry_after <= 2 * REST_S
    assert cell.submit(builders.ask("third", patience=9.0), 0.1) == []


def test_request_waits_for_the_probe_of_an_ejected_endpoint() -> None:
    # Such requests were shed for the back-off of the other endpoint, so nothing
    # was sent that could end the ejection.
    cell = builders.cell(endpoints=2)
    cell.submit(builders.ask("first"), 0.0)
    [(_, resting)] = grants(cell, 0.0)
    refuse(cell, "first", 0.0, 60.0)
    [ejected] = set(cell.endpoints) - {resting}
    health = cell.endpoints[ejected].health
    health.move(endpoint_states.EndpointEvent.OUTLIER, 0.0)
    cell.review(0.1)
    assert cell.submit(builders.ask("second", patience=9.0), 0.1) == []
    probed_at = endpoint_states.INITIAL_PROBE_DELAY_S
    cell.review(probed_at)
    assert grants(cell, probed_at) == [("second", ejected)]


def test_backoff_that_ends_before_a_probe_is_waited_for() -> None:
    cell = cell_in_backoff(endpoints=2)
    health = cell.endpoints["e2"].health
    health.move(endpoint_states.EndpointEvent.OUTLIER, 0.0)
    cell.review(0.1)
    assert cell.predicted_delay(1, 0.1) == pytest.approx(REST_S - 0.1)


def test_endpoint_that_refuses_without_a_backoff_is_deprioritized() -> None:
    cell = builders.cell(endpoints=2, slots=4)
    cell.submit(builders.ask("first"), 0.0)
    [(_, refused)] = grants(cell, 0.0)
    refuse(cell, "first", 0.0, 0.0)
    cell.submit(builders.ask("second"), 0.01)
    [(_, other)] = grants(cell, 0.01)
    assert other != refused
    refuse(cell, "second", 0.01, 0.0)
    # The pause is only a preference.
    cell.submit(builders.ask("third"), 0.02)
    assert len(grants(cell, 0.02)) == 1


@pytest.mark.parametrize(
    ("value", "rest_s"), [("3", 3.0), ("0.5", 0.5), ("soon", 0.0), (None, 0.0)]
)
@pytest.mark.parametrize("protocol", [engine_protocol, plain_protocol])
def test_refusal_contains_the_backoff(
    protocol: object, value: str | None, rest_s: float
) -> None:
    pairs = [(plain_protocol.EXECUTED_HEADER, "no")]
    if value is not None:
        pairs.append(("Retry-After", value))
    head = streams.ResponseHead(503, pairs)
    with pytest.raises(errors.EndpointRefusedError) as refusal:
        protocol.check_head(head, "r1")  # type: ignore[attr-defined]
    assert refusal.value.backoff_s == rest_s


async def test_all_callers_respect_the_backoff_of_an_engine(
    fleet: bench.Bench,
) -> None:
    resting, serving = fleet.outside.engines.values()
    resting.faults.refuse = True
    resting.faults.rest_s = 60.0
    # Makes the refusing engine the preferred one.
    serving.faults.slow = 5.0
    callers = await caller_builders.connect_callers(fleet, 4)
    await caller_builders.send_in_rounds(callers, 8)
    # Requests in flight at its first refusal.
    assert 0 < resting.counts.refused <= len(callers)
    assert serving.counts.started.total() == 8 * len(callers)
