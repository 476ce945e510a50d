"""Tests of the pure decisions of the request path."""

import random

from hypothesis import given
from hypothesis import strategies as st

from martenjunction.decisions import endpoint_states
from martenjunction.decisions.boxes import config_freshness
from martenjunction.decisions.boxes import endpoint_choice
from martenjunction.decisions.boxes import endpoint_loads
from martenjunction.decisions.boxes import endpoint_records
from martenjunction.decisions.boxes import load_shedding
from martenjunction.decisions.boxes import retry_budget
from martenjunction.routing.endpoints import run_tracker
from tests import routing_builders as builders

# Freshness of the configuration.


def test_no_request_is_covered_without_confirmation() -> None:
    fresh = config_freshness.ConfigFreshness(5.0, 0.25, 2.0)
    assert not fresh.allows_keys_at(0.0)


def test_confirmation_counts_from_the_query() -> None:
    fresh = config_freshness.ConfigFreshness(5.0, 0.25, 2.0)
    fresh.confirm(asked_at=10.0)
    assert fresh.allows_keys_at(14.7)
    assert not fresh.allows_keys_at(14.8)
    fresh.confirm(asked_at=8.0)
    assert fresh.confirmed_at == 10.0


# Retry budget.


@given(
    st.lists(
        st.tuples(st.floats(0.0, 0.5), st.booleans()), min_size=1, max_size=300
    )
)
def test_retries_stay_within_ratio_and_allowance_in_every_window(
    steps: list[tuple[float, bool]],
) -> None:
    budget = retry_budget.RetryBudget(0.2, 52.0, 10.0, lambda: 6)
    now = 0.0
    requests: list[float] = []
    retries: list[float] = []
    for pause, is_request in steps:
        now += pause
        if is_request:
            budget.record_request("s", now)
            requests.append(now)
        elif budget.try_acquire("s", now):
            retries.append(now)
            in_window = [t for t in retries if t >= now - 10.0]
            came = [t for t in requests if t >= now - 10.0]
            assert len(in_window) <= 0.2 * len(came) + 52.0 / 6


def test_requests_of_a_service_without_retries_expire() -> None:
    budget = retry_budget.RetryBudget(0.2, 52.0, 10.0, lambda: 6)
    for second in range(1000):
        budget.record_request("s", float(second))
    assert len(budget._requests["s"]) <= 12


# Endpoint choice.


def choose(
    records: list[endpoint_records.EndpointRecord],
    demand: endpoint_records.Demand,
    now: float = 10.0,
) -> str:
    choice = endpoint_choice.choose(records, demand, now, random.Random(1))
    assert choice is not None
    return choice.record.id


def five() -> list[endpoint_records.EndpointRecord]:
    return [builders.record(f"e{n}") for n in range(5)]


def test_no_endpoint_no_choice() -> None:
    demand = builders.demand()
    assert endpoint_choice.choose([], demand, 0.0, random.Random(1)) is None


def test_all_boxes_send_a_subject_to_the_same_endpoint() -> None:
    demand = builders.demand((("s", 6000), ("own", 3000)))
    chosen = {choose(five()[::step], demand) for step in (1, -1)}
    assert len(chosen) == 1


def test_long_prompts_and_short_ones_go_to_different_endpoints() -> None:
    longs = {
        choose(five(), builders.demand(((f"s{n}", 6000), ("own", 3000))))
        for n in range(40)
    }
    shorts = {
        choose(five(), builders.demand(((f"t{n}", 100), ("own", 400))))
        for n in range(40)
    }
    assert shorts and longs and not shorts & longs
    assert len(longs) == 4


def test_more_endpoints_are_reserved_while_many_short_streams_run() -> None:
    records = five()
    short = builders.demand()
    before = endpoint_choice.reserved_for_short(records, short, 10.0)
    for _ in range(40):
        records[0].loads.add(short.load_key, 1, 0)
    after = endpoint_choice.reserved_for_short(records, short, 10.0)
    assert before < after
    assert len(after) == 2


def test_none_is_reserved_if_streams_tolerate_prefill() -> None:
    # Five tokens per event, each delayed by a chunk: 0.22 s of 0.25 s.
    demand = builders.demand(tokens_per_event=5)
    assert demand.tolerates_prefill
    assert endpoint_choice.reserved_for_short(five(), demand, 10.0) == set()
    assert not builders.demand(tokens_per_event=6).tolerates_prefill


def test_another_endpoint_is_reserved_when_one_is_ejected() -> None:
    records = five()
    demand = builders.demand()
    [reserved] = endpoint_choice.reserved_for_short(records, demand, 10.0)
    broken = next(r for r in records if r.id == reserved)
    broken.health.move(endpoint_states.EndpointEvent.OUTLIER, 10.0)
    assert choose(records, demand) != reserved
    long = builders.demand((("s", 6000), ("own", 3000)))
    assert choose(records, long) != choose(records, demand)


def test_short_prompt_avoids_an_endpoint_that_prefills_long_ones() -> None:
    records = five()
    short = builders.demand(tokens_per_event=5, urgency=0)
    long = builders.demand((("s", 6000), ("own", 3000)), urgency=2)
    for record in records[:4]:
        record.loads.add(long.load_key, 1, 9000)
    assert choose(records, short) == "e4"
    # However large the backlog is, an event waits for one chunk per token at
    # most.
    records[0].loads.add(long.load_key, 9, 900_000)
    waits = records[0].predicted_s(short, 500, 10.0)
    assert waits < 0.3


def test_route_tiers_are_distinguished_from_workspace_tiers() -> None:
    loads = builders.record().loads
    loads.add(builders.demand(urgency=3).load_key, 2, 0)
    # Urgencies 2 and 3 belong to one route tier with two workspace tiers.
    assert loads.running_below(2, 0.0) == 0
    assert loads.running_below(1, 0.0) == 2


def test_affinity_yields_to_a_large_backlog() -> None:
    records = five()
    demand = builders.demand((("s", 6000), ("own", 3000)))
    first = choose(records, demand)
    record = next(r for r in records if r.id == first)
    record.loads.add(demand.load_key, 1, 20_000)
    assert choose(records, demand) == first
    record.loads.add(demand.load_key, 20, 100_000)
    assert choose(records, demand) != first


def test_less_urgent_tokens_are_not_ahead_of_more_urgent_ones() -> None:
    record = builders.record()
    record.loads.add(builders.demand(urgency=5).load_key, 1, 50_000)
    assert record.loads.tokens_ahead(0, 0.0) == 0
    assert record.loads.tokens_ahead(5, 0.0) == 50_000


def test_peer_loads_expire() -> None:
    record = builders.record()
    key = builders.demand().load_key
    record.loads.update_peer(
        "box-2", {key: endpoint_loads.Load(3, 900)}, now=10.0
    )
    assert record.loads.running(10.5) == 3
    assert record.loads.running(20.0) == 0


def test_ejected_endpoint_is_probed_by_repeatable_requests_only() -> None:
    records = [builders.record("bad"), builders.record("good")]
    records[0].health.move(endpoint_states.EndpointEvent.OUTLIER, 0.0)
    safe = builders.demand(is_engine=False, repeatable=True)
    unsafe = builders.demand(is_engine=False)
    assert choose(records, safe, now=1.0) == "good"
    assert choose(records, safe, now=5.0) == "bad"
    assert choose(records, unsafe, now=5.0) == "good"


def test_one_late_first_event_does_not_make_an_engine_slow() -> None:
    record = builders.record()
    record.slowness.add(run_tracker.SLOWNESS_BOUNDS[1])
    assert record.slowness.value < 1.2
    for _ in range(40):
        record.slowness.add(run_tracker.SLOWNESS_BOUNDS[1])
    assert record.slowness.value > 3.0


def test_cached_parts_are_bounded_by_the_cache_size() -> None:
    record = builders.record(cache_tokens=1000)
    record.record_cached([("a", 600)])
    record.record_cached([("b", 600)])
    assert record.cached_tokens([("a", 600)]) == 0
    assert record.cached_tokens([("b", 600)]) == 600


# Load shedding.


def forecast(**changes: object) -> load_shedding.AdmissionForecast:
    values: dict[str, object] = {
        "predicted_s": 2.0,
        "target_s": 1.0,
        "is_retry": False,
        "busy": True,
    }
    values.update(changes)
    return load_shedding.AdmissionForecast(**values)  # type: ignore[arg-type]


def test_late_request_gets_a_retry_delay() -> None:
    pause = load_shedding.retry_after_s(forecast())
    assert pause is not None
    assert load_shedding.MIN_RETRY_S <= pause <= load_shedding.MAX_RETRY_S


def test_nothing_is_refused_on_an_idle_endpoint() -> None:
    assert load_shedding.retry_after_s(forecast(busy=False)) is None


def test_request_in_time_is_admitted() -> None:
    assert load_shedding.retry_after_s(forecast(predicted_s=0.5)) is None


def test_retry_is_refused_later_than_a_new_request() -> None:
    assert load_shedding.retry_after_s(forecast(predicted_s=0.9)) is not None
    back = forecast(predicted_s=0.9, is_retry=True)
    assert load_shedding.retry_after_s(back) is None
    late = forecast(predicted_s=1.1, is_retry=True)
    assert load_shedding.retry_after_s(late) is not None


def test_request_with_a_shorter_deadline_is_a_retry() -> None:
    book = load_shedding.DeadlineTracker()
    assert not book.is_retry("r", 4.0)
    assert not book.is_retry("r", 4.0)
    assert book.is_retry("r", 2.7)
    assert not book.is_retry("r", None)
