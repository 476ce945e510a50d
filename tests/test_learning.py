"""Tests of what a box learns from the outcomes of requests."""

import itertools
import random

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from martenjunction.decisions.boxes import endpoint_list
from martenjunction.decisions.boxes import engine_profiles
from martenjunction.routing.endpoints import endpoint_registry
from martenjunction.routing.log import decision_log
from martenjunction_lab import boxes
from martenjunction_lab import replica
from tests import gateway_requests as requests
from tests import routing_builders as builders

# Fields of a prompt that is long enough for its prefill to be learned from.
TOKEN_COUNTS = "Martenjunction-Token-Counts"
PROMPT_PARTS = "Martenjunction-Prefix-Hash"

# Seconds of a response by its outcome; successes read 36,000 tokens a second.
PREFILL_S = 0.25
ERROR_S = 0.025


async def test_errors_teach_nothing_about_engines(fleet: boxes.Boxes) -> None:
    # An engine answered 500 after 25 ms, which was learnt as a prompt prefilled
    # in 10 ms: the rate rose from 46,239 to 487,737 tokens per second on all
    # boxes at once, prompts piled up at 14 of 27 engines, and for 20 s after
    # the errors had ended requests waited for 1.1 s in the median.
    made = await requests.engines(fleet)
    for stand_in in made:
        stand_in.always(replica.Behaviour.FAIL)
    for number in range(4 * engine_profiles.MIN_PREFILLS):
        prompt = {TOKEN_COUNTS: "9000,80", PROMPT_PARTS: f"a1:9,b{number}:8991"}
        await requests.ask(fleet, "/chat/", f"r{number}", **prompt)
    registry = fleet.gateways[0].registry
    registry.tick(fleet.gateways[0].timers.now())
    assert registry.table.engines.profile(builders.ENGINE) == (
        engine_profiles.EngineProfile()
    )
    for record in registry.table.records.values():
        assert record.cached_tokens([("a1", 100)]) == 0
        assert record.slowness.value == 1.0


class _Engine:
    """A registry with one engine, in simulated time."""

    def __init__(self) -> None:
        listed = endpoint_list.EndpointList()
        endpoint = builders.endpoint(service=builders.ENGINE)
        listed.apply_listing([(endpoint, builders.rev(1))], builders.rev(1), 0)
        self.now = 100.0
        self.registry = endpoint_registry.EndpointRegistry(
            listed,
            decision_log.DecisionLog(lambda: self.now),
            random.Random(1),
        )
        self._service = builders.config().services[builders.ENGINE]
        self._numbers = itertools.count()

    def request(self, outcome: str) -> None:
        """Sends a request that ends with an outcome."""
        prompt = ((f"own-{next(self._numbers)}", 9_000),)
        demand = builders.demand(prompt)
        chosen = self.registry.selector.choose(
            self._service, demand, set(), self.now
        )
        assert chosen is not None
        resumed = outcome == "resumed"
        ticket = self.registry.runs.begin(chosen[1], demand, self.now, resumed)
        self._advance(PREFILL_S + 0.015 if outcome == "success" else ERROR_S)
        if outcome in ("success", "resumed"):
            self.registry.runs.note_events(ticket, self.now, 1)
        elif outcome == "error":
            self.registry.runs.note_response(ticket, self.now)
        elif outcome == "refused":
            self.registry.health.note_refusal(ticket.record.id, self.now)
        elif outcome == "broken":
            self.registry.health.note_broken_response(
                ticket.record.id, self.now
            )
        failed = outcome not in ("success", "resumed")
        self.registry.runs.end(ticket, self.now, failed)
        self._advance(2.0)

    @property
    def rate(self) -> float:
        """The learned prefill rate in tokens per second."""
        profile = self.registry.table.engines.profile(builders.ENGINE)
        return profile.prefill_tokens_per_s

    def _advance(self, seconds: float) -> None:
        end = self.now + seconds
        while self.now < end:
            self.now = min(self.now + 0.1, end)
            self.registry.tick(self.now)


OUTCOMES = ["success", "resumed", "error", "refused", "broken", "left"]


@settings(max_examples=30, deadline=None)
@given(st.lists(st.sampled_from(OUTCOMES), min_size=8, max_size=25))
def test_only_prompts_that_were_read_are_learnt_from(
    outcomes: list[str],
) -> None:
    # Guards against any outcome but a first event after a whole prefill moving
    # the rate: responses that come early would raise it severalfold.
    engine = _Engine()
    for outcome in outcomes:
        engine.request(outcome)
    learnt = outcomes.count("success") >= engine_profiles.MIN_PREFILLS
    initial = engine_profiles.INITIAL_PREFILL_TOKENS_PER_S
    assert engine.rate in (initial, 36_000.0) or (
        # Samples that have expired leave what was learnt in force.
        abs(engine.rate - 36_000.0) < 1.0
    )
    if not learnt:
        assert engine.rate == initial


def test_learned_rate_changes_gradually() -> None:
    # Guards against a block of wrong observations that moves the rate on all
    # boxes at once; see `test_errors_teach_nothing_about_engines`.
    estimator = engine_profiles.ProfileEstimator()
    now = 50.0
    for _ in range(engine_profiles.MAX_PREFILLS):
        estimator.record_prefill(9_000, PREFILL_S + 0.015)
    estimator.recompute(now)
    for _ in range(engine_profiles.MAX_PREFILLS):
        estimator.record_prefill(9_000, ERROR_S)
    for _ in range(10):
        now += 0.1
        estimator.recompute(now)
    most = 36_000 * engine_profiles.MAX_RATE_CHANGE_PER_S
    assert estimator.profile.prefill_tokens_per_s <= 1.001 * most


def test_old_observations_expire() -> None:
    # Guards against figures that a box with few prompts keeps from long ago: it
    # sees some 64 of them in a minute or more.
    estimator = engine_profiles.ProfileEstimator()
    now = 50.0
    for _ in range(engine_profiles.MAX_PREFILLS):
        estimator.record_prefill(9_000, ERROR_S)
    estimator.recompute(now)
    now += engine_profiles.PREFILL_LIFETIME_S + 1.0
    for _ in range(engine_profiles.MIN_PREFILLS):
        estimator.record_prefill(9_000, PREFILL_S + 0.015)
    for _ in range(300):
        now += 0.1
        estimator.recompute(now)
    assert round(estimator.profile.prefill_tokens_per_s) == 36_000
