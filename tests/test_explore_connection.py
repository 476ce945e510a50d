"""Short explorations: of this code, and of builds that are broken.

Guards against orders of events on a client's connection after which a request
has no end, two ends or the wrong one, and against explorations that miss them.
"""

from collections.abc import Iterator
import contextlib
import importlib
import pathlib
from unittest import mock

import pytest

from martenjunction_lab.explore import events
from martenjunction_lab.explore import plays
from martenjunction_lab.explore import search
from martenjunction_lab.explore import situations
from tools import broken_build
from tools import broken_connection_builds

ROOT = pathlib.Path(__file__).parent.parent

# Walks of each exploration, which reach a request in use sooner than short
# orders do.
WALKS = 100
SEED = 4

# Situations after which every event is played, by the id of their test.
SITUATIONS = {
    "rest": situations.RESTING[1:2],
    "check": situations.CHECKED[:1],
    "unread": situations.UNREAD[:1],
}

# Where builds are noticed that walks do not reach.
SITUATION_OF = {
    broken_connection_builds.EXPLORED_RESTS: "rest",
    broken_connection_builds.EXPLORED_CHECKS: "check",
    broken_connection_builds.EXPLORED_UNREAD: "unread",
}

# Seeds under which few walks notice a build for which the usual one takes many.
SEEDS = {
    "no last response is sent as a connection is closed": 1,
    "a deadline does not look at an answer that waits": 3,
}


@contextlib.contextmanager
def broken(build: broken_build.BrokenBuild) -> Iterator[None]:
    """Has this process run a broken build."""
    edits = [(build.file, build.old, build.new)]
    with contextlib.ExitStack() as stack:
        for name, old, new in [*edits, *([build.also] if build.also else [])]:
            text = (ROOT / name).read_text(encoding="utf-8")
            assert text.count(old) == 1
            module = importlib.import_module(
                name.removesuffix(".py").replace("/", ".")
            )
            stack.enter_context(mock.patch.dict(vars(module)))
            exec(compile(text.replace(old, new), name, "exec"), vars(module))
        yield


def test_short_exploration_finds_no_counterexample() -> None:
    found = search.explore(0, WALKS, SEED)
    assert found.orders == WALKS
    assert not found.broken


@pytest.mark.parametrize("name", SITUATIONS)
def test_events_in_situations_show_no_counterexample(name: str) -> None:
    found = search.explore(0, 0, SEED, begun=SITUATIONS[name])
    assert found.orders > len(events.EVENTS)
    assert not found.broken


@pytest.mark.parametrize(
    "order",
    [
        "answer& answer",
        "answer-last& answer",
        "answer~ answer",
        "answer-last~ answer",
        "break& answer",
        "break-last pause",
        "silent answer",
        "fin",
    ],
)
def test_two_attempts_end_in_one_response(order: str) -> None:
    begun = situations.LATE[0]
    outcome = plays.play((*begun, *order.split()), traced=True)
    assert outcome.possible
    assert not outcome.broken, outcome.timeline


@pytest.mark.parametrize(
    "order",
    [
        pytest.param("stream& wait-50 two reset&", id="reset"),
        pytest.param("resumable& wait-50 stream half-close~", id="fin"),
    ],
)
def test_client_that_leaves_behind_unread_requests_is_noticed(
    order: str,
) -> None:
    begun = ("config-patient", "after-3000", "safe")
    outcome = plays.play((*begun, *order.split()), traced=True)
    assert outcome.possible
    assert not outcome.broken, outcome.timeline


@pytest.mark.parametrize(
    "order",
    [
        # A response whose head meets a reset, and that has no body.
        "half-body~ config-small~ reset",
        # A client that leaves while its next request is unread.
        "config-patient after-3000 unsafe safe~ half-close~",
        "config-patient after-3000 safe stream fin",
        # A longer limit that is in force as the next request is read.
        "unsafe wait-300 hold-80& two~ late-50 break-reset~ wait-50 safe& "
        "config-patient~ wait-rest",
    ],
)
def test_order_that_once_broke_an_invariant(order: str) -> None:
    outcome = plays.play(tuple(order.split()), traced=True)
    assert outcome.possible
    assert not outcome.broken, outcome.timeline


def test_play_is_repeated_as_it_was() -> None:
    order = ("two&", "hold-80&", "mute", "answer", "half-close&")
    first, second = (plays.play(order, traced=True) for _ in range(2))
    assert first == second
    assert first.possible


def test_orders_in_a_state_that_a_situation_showed_are_continued(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def play(order: events.Order, seed: int, **_: object) -> plays.Outcome:
        return plays.Outcome(order, True, state=" ".join(sorted({*order})))

    monkeypatch.setattr(plays, "play", play)
    monkeypatch.setattr(events, "STEPS", ("a", "b"))
    # After the situation two, then two of one step and four of two.
    assert search.explore(2, 0, SEED, begun=[("a",)]).orders == 8
    # Of those of two steps only that with a state of its own is continued.
    found = search.explore(0, 0, SEED, begun=[("c",)], begun_depth=3)
    assert found.orders == 8


def test_impossible_event_ends_a_play() -> None:
    assert not plays.play(("answer",)).possible


@pytest.mark.parametrize(
    "build", broken_connection_builds.BUILDS, ids=lambda build: build.name
)
def test_broken_build_is_noticed(build: broken_build.BrokenBuild) -> None:
    seed = SEEDS.get(build.name, SEED)
    name = SITUATION_OF.get(build.scenario)
    with broken(build):
        if name is None:
            found = search.explore(0, WALKS, seed, stop_at_first=True)
        else:
            found = search.explore(
                0, 0, seed, stop_at_first=True, begun=SITUATIONS[name]
            )
    assert found.broken
