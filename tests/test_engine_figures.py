"""What is learnt of engines: rates and pauses, with other boxes."""

import math
import random

from hypothesis import given
from hypothesis import strategies as st

from martenjunction.decisions.boxes import endpoint_choice
from martenjunction.decisions.boxes import endpoint_records
from martenjunction.decisions.boxes import engine_figures
from tests import routing_builders as builders

# Seconds for each token while an engine reads piece after piece, and while it
# reads nothing, as three engines of unlike kinds were measured.
READING_S = {"first": 0.042, "second": 0.066}
STEP_S = 0.0065


def learner(
    reading_s: float, share: float = 0.1, pauses: int = 2000
) -> engine_figures.FiguresLearner:
    """Returns a learner that saw streams beside prompts for a while.

    Args:
        reading_s: Seconds a token takes while the engine reads on and on.
        share: Part of the pauses for which it does.
        pauses: How many pauses were seen.
    """
    rng = random.Random(4)
    learnt = engine_figures.FiguresLearner()
    for _ in range(pauses):
        reads = reading_s if rng.random() < share else rng.random() * reading_s
        learnt.paused(STEP_S + (reads - STEP_S) * (rng.random() < 0.5))
    learnt.settle(0.0)
    return learnt


def demand(
    figures: engine_figures.EngineFigures, tokens_per_event: int, pause_s: float
) -> endpoint_records.Demand:
    return builders.demand(
        figures=figures,
        tokens_per_event=tokens_per_event,
        shortest_pause_s=pause_s,
    )


def test_nothing_learnt_keeps_streams_apart() -> None:
    figures = engine_figures.FiguresLearner().figures
    assert math.isinf(figures.reading_token_s)
    assert not demand(figures, 1, 10.0).reads_beside_streams


def test_engines_of_unlike_kinds_are_told_apart() -> None:
    # Symptom: short streams came late on engines of another kind, 78 of 403
    # on a calm day, with a first event after 48 ms in the median. Sequence:
    # three tokens an event waited for three pieces of 60 ms, beyond a pause
    # of 200 ms. Cause: the time of a piece was a constant of other engines.
    first = learner(READING_S["first"]).figures
    second = learner(READING_S["second"]).figures
    assert demand(first, 5, 0.25).reads_beside_streams
    assert not demand(first, 6, 0.25).reads_beside_streams
    assert not demand(second, 3, 0.2).reads_beside_streams


def test_pause_is_remembered_while_little_is_read() -> None:
    # Symptom: streams came late when prompts burst again. Sequence: a burst
    # ended, fewer pieces followed each other, and the learnt pause fell from
    # 79 to 52 ms a token. Cause: it was a quantile of the latest pauses.
    learnt = learner(READING_S["second"])
    rng = random.Random(5)
    for _ in range(400):
        learnt.paused(STEP_S + 0.01 * rng.random())
    learnt.settle(1.0)
    assert not demand(learnt.figures, 3, 0.2).reads_beside_streams


def test_faster_engine_is_known_in_the_end() -> None:
    learnt = learner(READING_S["second"])
    for _ in range(engine_figures.BLOCKS * engine_figures.BLOCK_PAUSES):
        learnt.paused(0.03)
    learnt.settle(1.0)
    assert learnt.figures.reading_token_s < 0.031


def test_too_few_observations_say_nothing() -> None:
    learnt = engine_figures.FiguresLearner()
    for _ in range(engine_figures.ENOUGH_READS - 1):
        learnt.prompt_read(9000, 0.3)
    for _ in range(engine_figures.BLOCK_PAUSES):
        learnt.paused(0.05)
    learnt.settle(0.0)
    assert learnt.own == engine_figures.LearntFigures()


def test_prompts_behind_others_do_not_make_an_engine_slow() -> None:
    learnt = engine_figures.FiguresLearner()
    for number in range(engine_figures.READS):
        # Half of them wait for what other boxes sent, told too late.
        waits_s = 0.4 * (number % 2)
        learnt.prompt_read(9000, 9000 / 36_000 + 0.015 + waits_s)
    learnt.settle(0.0)
    assert 35_000 < learnt.figures.prefill_tokens_per_s < 37_000


def test_box_that_just_started_decides_like_the_others() -> None:
    fresh = engine_figures.FiguresLearner()
    for box in ("b", "c", "d"):
        told = engine_figures.LearntFigures(36_000.0, 0.066)
        fresh.take_peer(box, told, 10.0)
    fresh.settle(10.1)
    assert fresh.figures == engine_figures.EngineFigures(36_000.0, 0.066)
    assert fresh.voters == 3


def test_peers_that_fell_silent_have_no_vote() -> None:
    fresh = engine_figures.FiguresLearner()
    fresh.take_peer("b", engine_figures.LearntFigures(9.0, 9.0), 10.0)
    late = 10.1 + engine_figures.PEER_FIGURES_LIFETIME_S
    fresh.settle(late)
    assert fresh.voters == 0
    assert fresh.figures == engine_figures.EngineFigures()


@given(
    st.lists(
        st.tuples(st.integers(0, 40_000), st.floats(0.0001, 5.0)), max_size=90
    )
)
def test_learnt_rate_is_one_that_was_seen(
    reads: list[tuple[int, float]],
) -> None:
    learnt = engine_figures.FiguresLearner()
    seen = [engine_figures.START_PREFILL_TOKENS_PER_S]
    for tokens, seconds in reads:
        learnt.prompt_read(tokens, seconds)
        if seconds > engine_figures.FIRST_STEPS_S:
            seen.append(tokens / (seconds - engine_figures.FIRST_STEPS_S))
    learnt.settle(0.0)
    assert learnt.figures.prefill_tokens_per_s in seen


# What the figures decide.


def test_long_prompt_avoids_streams_of_an_endpoint_no_longer_kept() -> None:
    # Symptom: 25 short streams came late at once, several times a day.
    # Sequence: short streams became fewer, one endpoint less was kept for
    # them, and 16,450 unread tokens went to it beside the 25 that still ran.
    # Cause: only the present set of kept endpoints was avoided. What settled
    # it: choices of long prompts with "running" at 25 and a pause of 292 ms.
    records = [builders.record(f"e{n}") for n in range(5)]
    short = builders.demand()
    [kept] = endpoint_choice.kept_for_short(records, short, 10.0)
    prompt = (("s", 6000), ("own", 16_000))
    long = builders.demand(prompt)
    rng = random.Random(1)
    first = endpoint_choice.choose(records, long, 10.0, rng)
    assert first is not None and first.record.id != kept
    first.record.loads.add(short.load_key, 25, 0)
    assert len(endpoint_choice.kept_for_short(records, short, 10.0)) == 1
    second = endpoint_choice.choose(records, long, 10.0, rng)
    assert second is not None
    assert second.record.id not in (kept, first.record.id)


def test_stream_with_the_shortest_pause_stays_short() -> None:
    # Symptom: the longer ones of the short prompts came late, all of them.
    # Sequence: 2,100 tokens counted as long and went among prompts that are
    # read without a break. Cause: what a prompt holds up decided alone, and
    # not that its own stream may not pause either.
    prompt = (("s", 200), ("own", 2_800))
    assert builders.demand(prompt).is_long
    assert not builders.demand(prompt, pause_s=0.25).is_long
    assert builders.demand(prompt, pause_s=1.0).is_long
    assert builders.demand((("own", 9_000),), pause_s=0.25).is_long
