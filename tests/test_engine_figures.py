"""Tests of engine profiles: estimates of rates and pauses, and their use."""

import math
import random

from hypothesis import given
from hypothesis import strategies as st

from martenjunction.decisions.boxes import endpoint_choice
from martenjunction.decisions.boxes import endpoint_records
from martenjunction.decisions.boxes import engine_profiles
from tests import routing_builders as builders

# Seconds per token during continuous prefill and without any prefill, as
# measured on engines of different services.
PREFILL_TOKEN_S = {"first": 0.042, "second": 0.066}
STEP_S = 0.0065


def observed_estimator(
    prefill_token_s: float, share: float = 0.1, pauses: int = 2000
) -> engine_profiles.ProfileEstimator:
    """Returns an estimator that observed streams beside prompts.

    Args:
        reading_s: Seconds per token during continuous prefill.
        share: Fraction of the pauses during continuous prefill.
        pauses: Number of observed pauses.
    """
    rng = random.Random(4)
    estimator = engine_profiles.ProfileEstimator()
    for _ in range(pauses):
        token_s = (
            prefill_token_s
            if rng.random() < share
            else rng.random() * prefill_token_s
        )
        estimator.record_pause(
            STEP_S + (token_s - STEP_S) * (rng.random() < 0.5)
        )
    estimator.recompute(0.0)
    return estimator


def demand(
    figures: engine_profiles.EngineProfile,
    tokens_per_event: int,
    pause_s: float,
) -> endpoint_records.Demand:
    return builders.demand(
        profile=figures,
        tokens_per_event=tokens_per_event,
        shortest_pause_s=pause_s,
    )


def test_no_estimate_keeps_prompts_and_streams_apart() -> None:
    figures = engine_profiles.ProfileEstimator().profile
    assert math.isinf(figures.prefill_token_interval_s)
    assert not demand(figures, 1, 10.0).tolerates_prefill


def test_engines_of_different_speed_are_distinguished() -> None:
    # Guards against a chunk time that is constant for all engines. With three
    # tokens per event on slower engines, each event waited for three chunks of
    # 60 ms and exceeded its pause limit of 200 ms: 78 of 403 short streams were
    # late at low load, with a median time to first event of 48 ms.
    first = observed_estimator(PREFILL_TOKEN_S["first"]).profile
    second = observed_estimator(PREFILL_TOKEN_S["second"]).profile
    assert demand(first, 5, 0.25).tolerates_prefill
    assert not demand(first, 6, 0.25).tolerates_prefill
    assert not demand(second, 3, 0.2).tolerates_prefill


def test_pause_estimate_stays_high_during_little_prefill() -> None:
    # Guards against an estimate that is a quantile of the latest pauses. After
    # a burst, fewer chunks followed each other and the estimate fell from 79 to
    # 52 ms per token, so streams were late in the next burst.
    estimator = observed_estimator(PREFILL_TOKEN_S["second"])
    rng = random.Random(5)
    for _ in range(400):
        estimator.record_pause(STEP_S + 0.01 * rng.random())
    estimator.recompute(1.0)
    assert not demand(estimator.profile, 3, 0.2).tolerates_prefill


def test_estimate_converges_to_a_faster_engine() -> None:
    estimator = observed_estimator(PREFILL_TOKEN_S["second"])
    for _ in range(
        engine_profiles.MAX_BLOCKS * engine_profiles.PAUSES_PER_BLOCK
    ):
        estimator.record_pause(0.03)
    estimator.recompute(1.0)
    assert estimator.profile.prefill_token_interval_s < 0.031


def test_too_few_observations_give_no_estimate() -> None:
    estimator = engine_profiles.ProfileEstimator()
    for _ in range(engine_profiles.MIN_PREFILLS - 1):
        estimator.record_prefill(9000, 0.3)
    for _ in range(engine_profiles.PAUSES_PER_BLOCK):
        estimator.record_pause(0.05)
    estimator.recompute(0.0)
    assert estimator.own == engine_profiles.ProfileEstimate()


def test_queued_prompts_do_not_lower_the_rate() -> None:
    estimator = engine_profiles.ProfileEstimator()
    for number in range(engine_profiles.MAX_PREFILLS):
        # Half of them queue behind prompts that other boxes report too late.
        waits_s = 0.4 * (number % 2)
        estimator.record_prefill(9000, 9000 / 36_000 + 0.015 + waits_s)
    estimator.recompute(0.0)
    assert 35_000 < estimator.profile.prefill_tokens_per_s < 37_000


def test_newly_started_box_uses_the_estimates_of_peers() -> None:
    fresh = engine_profiles.ProfileEstimator()
    for box in ("b", "c", "d"):
        estimate = engine_profiles.ProfileEstimate(36_000.0, 0.066)
        fresh.update_peer(box, estimate, 10.0)
    fresh.recompute(10.1)
    assert fresh.profile == engine_profiles.EngineProfile(36_000.0, 0.066)
    assert fresh.estimating_boxes == 3


def test_estimates_of_silent_peers_expire() -> None:
    fresh = engine_profiles.ProfileEstimator()
    fresh.update_peer("b", engine_profiles.ProfileEstimate(9.0, 9.0), 10.0)
    late = 10.1 + engine_profiles.PEER_ESTIMATE_LIFETIME_S
    fresh.recompute(late)
    assert fresh.estimating_boxes == 0
    assert fresh.profile == engine_profiles.EngineProfile()


@given(
    st.lists(
        st.tuples(st.integers(0, 40_000), st.floats(0.0001, 5.0)), max_size=90
    )
)
def test_estimated_rate_is_one_of_the_observed_rates(
    reads: list[tuple[int, float]],
) -> None:
    estimator = engine_profiles.ProfileEstimator()
    seen = [engine_profiles.INITIAL_PREFILL_TOKENS_PER_S]
    for tokens, seconds in reads:
        estimator.record_prefill(tokens, seconds)
        if seconds > engine_profiles.FIRST_EVENT_BASE_S:
            seen.append(tokens / (seconds - engine_profiles.FIRST_EVENT_BASE_S))
    estimator.recompute(0.0)
    assert estimator.profile.prefill_tokens_per_s in seen


# Use of the profile by the endpoint choice.


def test_long_prompt_avoids_streams_of_an_endpoint_no_longer_reserved() -> None:
    # Guards against avoiding only the currently reserved endpoints. When short
    # streams became fewer, one endpoint lost its reservation and received a
    # prompt with 16,450 tokens to prefill while 25 short streams still ran
    # there. All of them were late, with a pause of 292 ms.
    records = [builders.record(f"e{n}") for n in range(5)]
    short = builders.demand()
    [reserved] = endpoint_choice.reserved_for_short(records, short, 10.0)
    prompt = (("s", 6000), ("own", 16_000))
    long = builders.demand(prompt)
    rng = random.Random(1)
    first = endpoint_choice.choose(records, long, 10.0, rng)
    assert first is not None and first.record.id != reserved
    first.record.loads.add(short.load_key, 25, 0)
    assert len(endpoint_choice.reserved_for_short(records, short, 10.0)) == 1
    second = endpoint_choice.choose(records, long, 10.0, rng)
    assert second is not None
    assert second.record.id not in (reserved, first.record.id)


def test_request_with_the_shortest_pause_limit_counts_as_short() -> None:
    # Guards against classifying prompts only by how much they delay other
    # streams. Prompts of 2,100 tokens counted as long and were sent to engines
    # with continuous prefill, where their own streams, which also have the
    # shortest pause limit, were all late.
    prompt = (("s", 200), ("own", 2_800))
    assert builders.demand(prompt).is_long
    assert not builders.demand(prompt, pause_s=0.25).is_long
    assert builders.demand(prompt, pause_s=1.0).is_long
    assert builders.demand((("own", 9_000),), pause_s=0.25).is_long
