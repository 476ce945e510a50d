"""Tests the handling of refusals and of requested back-offs."""

import random

from hypothesis import given
from hypothesis import strategies as st
import pytest

from martenjunction.decisions import endpoint_refusals
from martenjunction.decisions import endpoint_states
from martenjunction.decisions.boxes import endpoint_choice
from martenjunction.decisions.boxes import endpoint_records
from martenjunction_lab import boxes
from martenjunction_lab import replica
from tests import gateway_requests as requests
from tests import routing_builders as builders

Behaviour = replica.Behaviour

NOW = 100.0
PLAIN = builders.demand(is_engine=False, repeatable=True)


def in_backoff(rest_s: float = 3.0) -> endpoint_refusals.Refusals:
    made = endpoint_refusals.Refusals()
    made.start_backoff(rest_s, 0.0, NOW)
    return made


def test_backoff_applies_until_its_end() -> None:
    made = in_backoff()
    assert not made.accepts(0, NOW + 2.99)
    assert made.accepts(0, NOW + 3.0)
    assert made.opens_in_s(0, NOW + 1.0) == pytest.approx(2.0)


def test_shorter_backoff_does_not_shorten_an_earlier_one() -> None:
    made = in_backoff()
    assert made.start_backoff(1.0, 0.0, NOW + 1.0) == 0.0
    assert not made.accepts(0, NOW + 2.5)
    assert made.start_backoff(1.0, 0.0, NOW + 2.5) == pytest.approx(0.5)
    assert not made.accepts(0, NOW + 3.4)


def test_backoff_is_bounded() -> None:
    made = in_backoff(1e12)
    assert made.accepts(0, NOW + 1.1 * endpoint_refusals.MAX_BACKOFF_S)


def test_endpoint_gets_one_request_after_a_backoff_until_it_answers() -> None:
    made = in_backoff()
    after = NOW + 3.0
    assert made.accepts(0, after)
    assert not made.accepts(1, after)
    assert made.opens_in_s(1, after) == endpoint_refusals.RAMP_UP_STEP_S
    assert made.accepts(1, after + endpoint_refusals.RAMP_UP_STEP_S)
    made.record_answer(sent_at=after)
    assert made.accepts(50, after)


@pytest.mark.parametrize("heard_at", [NOW + 1.0, NOW + 3.1])
def test_answer_to_an_earlier_request_does_not_end_the_ramp_up(
    heard_at: float,
) -> None:
    # Streams that started earlier continue during and after the back-off.
    made = in_backoff()
    made.record_answer(sent_at=NOW - 1.0)
    assert not made.accepts(1, max(heard_at, NOW + 3.0))


def test_endpoint_is_fully_open_long_after_its_backoff() -> None:
    # The number of requests allowed after a back-off doubles over time.
    made = in_backoff()
    for later_s in (3.0, 300.0, 1e6):
        assert made.accepts(0, NOW + later_s)
    assert made.accepts(1_000, NOW + 1e6)


def test_jitter_spreads_the_return_of_boxes() -> None:
    first, last = endpoint_refusals.Refusals(), endpoint_refusals.Refusals()
    first.start_backoff(3.0, 0.0, NOW)
    last.start_backoff(3.0, 1.0, NOW)
    assert first.accepts(0, NOW + 3.0) and not last.accepts(0, NOW + 3.0)
    spread_s = 3.0 * endpoint_refusals.JITTER_FRACTION
    assert last.accepts(0, NOW + 3.0 + spread_s)


def test_pause_grows_with_each_refusal_and_ends_with_an_answer() -> None:
    made = endpoint_refusals.Refusals()
    made.record_refusal(NOW)
    # Refusals of requests sent before the pause are ignored.
    made.record_refusal(NOW)
    assert made.is_deprioritized(NOW + 0.09) and not made.is_deprioritized(
        NOW + 0.11
    )
    now = NOW
    for _ in range(9):
        now += endpoint_refusals.MAX_PAUSE_S
        made.record_refusal(now)
    assert made.is_deprioritized(now + 0.9 * endpoint_refusals.MAX_PAUSE_S)
    assert not made.is_deprioritized(now + endpoint_refusals.MAX_PAUSE_S)
    # A pause only lowers the preference for the endpoint.
    assert made.accepts(9, now)
    made.record_answer(sent_at=now)
    made.record_refusal(now + 9.0)
    assert not made.is_deprioritized(
        now + 9.0 + 1.1 * endpoint_refusals.INITIAL_PAUSE_S
    )


@given(
    st.lists(
        st.tuples(
            st.floats(0.0, 5.0), st.floats(0.0, 9.0), st.floats(0.0, 1.0)
        ),
        max_size=12,
    )
)
def test_backoff_is_never_shortened(
    asks: list[tuple[float, float, float]],
) -> None:
    made = endpoint_refusals.Refusals()
    now = NOW
    ends = []
    for pause_s, rest_s, drawn in asks:
        now += pause_s
        made.start_backoff(rest_s, drawn, now)
        ends.append(now + rest_s)
        made.record_refusal(now)
        assert made.backoff_until >= max(ends) or not any(
            end > now for end in ends
        )


def choose(
    records: list[endpoint_records.EndpointRecord],
    demand: endpoint_records.Demand = PLAIN,
    apart: bool = False,
) -> str | None:
    chosen = endpoint_choice.choose(
        records, demand, NOW, random.Random(1), apart
    )
    return None if chosen is None else chosen.record.id


@pytest.mark.parametrize("apart", [False, True])
def test_endpoint_in_backoff_is_never_chosen(
    apart: bool,
) -> None:
    backing_off = builders.record("e1")
    backing_off.refusals.start_backoff(3.0, 0.0, NOW)
    assert choose([backing_off], apart=apart) is None
    ejected = builders.record("e2")
    ejected.health.move(endpoint_states.EndpointEvent.OUTLIER, NOW)
    assert choose([backing_off, ejected], apart=apart) == "e2"


def test_endpoint_in_backoff_gets_no_trial() -> None:
    backing_off = builders.record("e1")
    backing_off.health.move(endpoint_states.EndpointEvent.OUTLIER, NOW - 50.0)
    backing_off.refusals.start_backoff(3.0, 0.0, NOW)
    assert choose([backing_off, builders.record("e2")]) == "e2"


# End-to-end tests.


class BackoffReplica(replica.Replica):
    """A replica that requests a back-off with each refusal."""

    rest = "30"

    def _notices(
        self, request: replica.Received, status: int
    ) -> dict[str, str]:
        return {"Retry-After": self.rest} if status in (429, 503) else {}


async def add_backoff_replica(
    fleet: boxes.Boxes, endpoint_id: str
) -> BackoffReplica:
    made = BackoffReplica(endpoint_id)
    await made.start()
    made.always(Behaviour.REFUSE)
    fleet.replicas.append(made)
    fleet.record(made, builders.PLAIN)
    await fleet.until_listed()
    return made


async def test_retry_after_reflects_the_backoff(
    fleet: boxes.Boxes,
) -> None:
    made = await add_backoff_replica(fleet, "i-1")
    first, _ = await requests.ask(fleet, "/unsafe/", "r1")
    second, body = await requests.ask(fleet, "/unsafe/", "r2")
    assert (first.status, second.status) == (503, 503)
    assert body == b"endpoints-rest"
    assert len(made.received) == 1
    retry_after_s = float(second.get(b"retry-after") or b"0")
    shown = fleet.gateways[0].dump()["records"][made.id]["rests_s"]
    assert 0.0 < shown <= 30.0 + endpoint_refusals.MAX_JITTER_S
    assert b"endpoints_resting 1.0" in fleet.gateways[0]._metrics_text()
    # At most the requested back-off plus the jitter.
    most_s = 30.0 + endpoint_refusals.MAX_JITTER_S
    assert 0.0 < retry_after_s <= most_s + endpoint_refusals.RAMP_UP_STEP_S


async def test_no_health_check_during_a_backoff(fleet: boxes.Boxes) -> None:
    made = await add_backoff_replica(fleet, "i-1")
    await requests.ask(fleet, "/unsafe/")
    box = fleet.gateways[0]
    for _ in range(9):
        box.registry.health.note_broken_response(
            made.id, box.timers.now() - 60.0
        )
    assert box.registry.table.records[made.id].health.state == "ejected"
    assert box.registry.health.due_for_probe(box.timers.now()) == []
    assert box.registry.health.due_for_probe(box.timers.now() + 60.0) == [
        made.id
    ]


async def test_malformed_backoff_is_ignored(fleet: boxes.Boxes) -> None:
    made = await add_backoff_replica(fleet, "i-1")
    made.rest = "Wed, 21 Oct 2026 07:28:00 GMT"
    for number in range(3):
        await requests.ask(fleet, "/unsafe/", f"r{number}")
    assert len(made.received) == 3


async def test_backoff_survives_removal_and_return_of_the_entry(
    fleet: boxes.Boxes,
) -> None:
    made = await add_backoff_replica(fleet, "i-1")
    await requests.ask(fleet, "/unsafe/", "r1")
    box = fleet.gateways[0]
    fleet.forget(made)
    await boxes.until(lambda: made.id not in box.endpoint_list.entries)
    box.registry.tick(box.timers.now())
    fleet.record(made, builders.PLAIN)
    await fleet.until_listed()
    await requests.ask(fleet, "/unsafe/", "r2")
    assert len(made.received) == 1


async def test_backoff_is_checked_again_after_connecting(
    fleet: boxes.Boxes, monkeypatch: pytest.MonkeyPatch
) -> None:
    await requests.check_change_while_connecting(
        fleet,
        monkeypatch,
        lambda box, name: box.registry.health.start_backoff(
            name, 30.0, box.timers.now()
        ),
    )


@pytest.mark.simulated_time
@pytest.mark.parametrize("queue_s", [0.05, 0.15])
async def test_endpoint_that_refuses_at_once_does_not_look_idle(
    fleet: boxes.Boxes, queue_s: float
) -> None:
    # Even without a requested back-off, it is tried less and less often. At the
    # longer time its refusals alone do not make it the worse choice.
    made = await requests.two_plain(fleet)
    made[0].always(Behaviour.REFUSE)
    made[1].queue_s = queue_s
    box = fleet.gateways[0]
    for number in range(60):
        await requests.ask(fleet, "/safe/", f"r{number}")
    assert box.registry.table.records[made[0].id].failures.value > 0
    assert len(made[0].received) < len(made[1].received) / 4
