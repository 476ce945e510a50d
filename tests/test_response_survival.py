"""What counts as late or silent, by the response times of a service."""

import math
import random

import pytest

from martenjunction.decisions.boxes import response_survival

NOW = 1000.0
SILENT = response_survival.SILENT_PROBABILITY


def known(times_s: list[float]) -> response_survival.ResponseSurvival:
    """Returns a service whose requests were answered after given times."""
    survival = response_survival.ResponseSurvival()
    for seconds in times_s:
        survival.add("other", NOW - 50.0, NOW - 50.0 + seconds, answered=True)
    return survival


def quiet(
    survival: response_survival.ResponseSurvival,
    *waits_s: float,
    pending: tuple[response_survival.PendingRun, ...] = (),
    before_s: float = 0.0,
) -> float:
    """Returns how likely a sound endpoint leaves requests waiting so long."""
    waits = [response_survival.Wait(each, before_s) for each in waits_s]
    return survival.observe(pending, NOW).quiet_probability(waits, "judged")


def test_nothing_is_silent_or_late_while_nothing_is_known() -> None:
    survival = known([])
    assert quiet(survival, 60.0, 60.0) == 1.0
    assert survival.observe((), NOW).late_after_s() == math.inf


def test_long_waits_at_a_fast_service_are_silence() -> None:
    assert quiet(known([0.03] * 100), 1.5) <= SILENT
    assert quiet(known([0.03] * 40), 0.5, 0.5) <= SILENT


def test_few_fast_answers_prove_little() -> None:
    assert quiet(known([0.03] * 10), 1.5) > SILENT


@pytest.mark.parametrize("slowest_s", [1.0, 4.0, 10.0])
def test_waits_within_usual_times_are_no_silence(slowest_s: float) -> None:
    draw = random.Random(1)
    survival = known([draw.uniform(0.02, slowest_s) for _ in range(256)])
    assert quiet(survival, slowest_s, slowest_s) > SILENT


def test_service_of_which_all_requests_wait_is_not_silent() -> None:
    pending = tuple(
        response_survival.PendingRun(f"e{number}", NOW - 3.0)
        for number in range(20)
    )
    survival = known([0.03] * 20)
    assert quiet(survival, 3.0, 3.0, pending=pending) > SILENT


def test_what_an_endpoint_leaves_unanswered_does_not_speak_for_it() -> None:
    survival = known([0.03] * 100)
    for _ in range(100):
        survival.add("judged", NOW - 5.0, NOW - 2.0, answered=False)
    assert quiet(survival, 1.5) <= SILENT


def test_wait_before_the_last_byte_is_no_silence() -> None:
    # A slow request at an endpoint that answers others meanwhile.
    survival = known([0.03] * 90 + [4.0] * 10)
    assert quiet(survival, 2.0, before_s=1.5) > SILENT


def test_request_is_late_where_many_are_never_answered() -> None:
    survival = known([0.03] * 50)
    for _ in range(10):
        survival.add("silent", NOW - 5.0, NOW - 3.5, answered=False)
    assert survival.observe((), NOW).late_after_s() < 0.1


def test_late_requests_are_few() -> None:
    draw = random.Random(1)
    times_s = [draw.expovariate(1.0) for _ in range(256)]
    late_after_s = known(times_s).observe((), NOW).late_after_s()
    late = sum(seconds > late_after_s for seconds in times_s)
    assert 0 < late <= response_survival.LATE_FRACTION * len(times_s)
