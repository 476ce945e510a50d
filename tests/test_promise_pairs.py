"""Pairs of behaviours break no promise, and trials record what happens.

Guards against faults that need two disturbances at once or soon after each
other, and against trials that overlook them.
"""

import collections
import dataclasses
import json
import pathlib

import pytest

from martenjunction_lab.promises import behaviours
from martenjunction_lab.promises import configuration
from martenjunction_lab.promises import events
from martenjunction_lab.promises import judge
from martenjunction_lab.promises import other_behaviours
from martenjunction_lab.promises import pairs_report
from martenjunction_lab.promises import play_pairs
from martenjunction_lab.promises import schedule
from martenjunction_lab.promises import trial
from tests import pair_judge

pytestmark = pytest.mark.simulated_time

Behaviour = behaviours.Behaviour

# The part of the requests that is served under a pair, at least.
MIN_SERVED = 0.9

# Seeds of overlapping pairs, by their kinds.
PAIRS = (
    (22, ("clients-leave", "endpoint-hangs")),
    (2, ("endpoint-answers-half", "endpoint-resets")),
    (2, ("box-stops", "store-restored")),
)

# Behaviours in one trial, each on a part of its own.
MANY = (
    Behaviour("endpoint-refuses", 0.5, 3.0, on="plain-service-1"),
    Behaviour("endpoint-resets", 0.5, 3.0, on="plain-service-2"),
    Behaviour("endpoint-restarts", 1.0, 0.3, on="other-service-1"),
    Behaviour("endpoint-drains", 0.5, 2.5, on="other-service-2"),
    Behaviour("endpoint-answers-half", 0.5, 3.0, on="engine-service-1"),
    Behaviour("endpoint-fails-some", 0.5, 3.0, on="engine-service-2"),
    Behaviour("clients-keep", 0.2, 3.0, on="clients"),
    Behaviour("operator-takes-key", 0.5, 2.0, on="operator"),
    Behaviour("box-stops", 0.5, 0.5, on="box-2"),
)


@pytest.mark.parametrize(("seed", "kinds"), PAIRS)
async def test_drawn_pair_breaks_no_promise(
    seed: int, kinds: tuple[str, ...]
) -> None:
    played = trial.Trial(schedule.draw_pair(seed, kinds), seed=seed)
    seen = await trial.play_here(played)
    assert not judge.broken(seen.history)
    assert not pair_judge.broken(seen.history)
    assert seen.served + seen.left >= MIN_SERVED * seen.requests


# What is recorded.


async def test_all_requests_and_runs_are_recorded_to_their_ends() -> None:
    seen = await trial.play_here(trial.Trial(MANY, seconds=4.0))
    history = seen.history
    sent = {one.request for one in history.of(events.Sent)}
    ended = [one.request for one in history.of(events.Ended)]
    assert collections.Counter(ended) == collections.Counter(sent)
    arrived = {one.attempt: one for one in history.of(events.Arrived)}
    began = [one.attempt for one in history.of(events.RunBegan)]
    away = [one.attempt for one in history.of(events.TurnedAway)]
    assert sorted(began + away) == sorted(arrived)
    runs = history.of(events.RunEnded)
    assert sorted(one.attempt for one in runs) == sorted(began)
    _assert_named_endpoints(history, arrived)
    _assert_marks(history, arrived)


def _assert_named_endpoints(
    history: events.History, arrived: dict[int, events.Arrived]
) -> None:
    """Asserts that successes name the endpoint that wrote their heads.

    A box may have another endpoint go on with a stream after its head.
    """
    pieces = {one.request for one in history.of(events.Piece)}
    ran = collections.defaultdict(list)
    for run in history.of(events.RunEnded):
        one = arrived[run.attempt]
        if run.status == 200 or one.request in pieces:
            ran[one.request].append(one.endpoint)
    for ended in history.of(events.Ended):
        if ended.status == 200 and ended.whole:
            assert ended.endpoint in ran[ended.request]


def _assert_marks(
    history: events.History, arrived: dict[int, events.Arrived]
) -> None:
    """Asserts that each of `MANY` left its mark where it was."""
    parts = {d.kind: d for d in history.of(events.Disturbance)}
    assert set(parts) == {one.kind for one in MANY}
    away = {arrived[e.attempt].endpoint for e in history.of(events.TurnedAway)}
    assert away == {parts["endpoint-refuses"].part}
    broken = {
        arrived[run.attempt].endpoint
        for run in history.of(events.RunEnded)
        if run.how is events.RunEnd.BROKEN_OFF
    }
    for kind in ("endpoint-resets", "endpoint-answers-half"):
        assert parts[kind].part in broken
    failed = {
        arrived[run.attempt].endpoint
        for run in history.of(events.RunEnded)
        if run.status == 500
    }
    assert failed == {parts["endpoint-fails-some"].part}
    assert [one.box for one in history.of(events.BoxStops)] == ["box-2"]
    [left] = history.of(events.Leaves)
    started = {
        d.part
        for d in history.of(events.Disturbance)
        if d.kind == "endpoint-drains"
    }
    assert left.endpoint in started
    assert len(started) == 2
    assert any(one.kept for one in history.of(events.Sent))
    held = [
        other_behaviours.LOST_KEY in one.keys
        for one in history.of(events.Configured)
    ]
    assert held == [True, False, True]


async def test_runs_of_clients_that_leave_end_as_cancelled() -> None:
    leaving = Behaviour("clients-leave", 0.2, 2.0, 1.0, on="clients")
    seen = await trial.play_here(trial.Trial((leaving,), seconds=2.0))
    left = {one.request for one in seen.history.of(events.Left)}
    arrived = {a.attempt: a.request for a in seen.history.of(events.Arrived)}
    cancelled = {
        arrived[run.attempt]
        for run in seen.history.of(events.RunEnded)
        if run.how is events.RunEnd.CANCELLED
    }
    assert len(left) > 10
    assert cancelled == left


async def test_broken_streams_are_taken_up_after_their_last_event() -> None:
    half = [
        Behaviour("endpoint-answers-half", 0.6, 2.0, on=name)
        for name in ("engine-service-1", "engine-service-2")
    ]
    seen = await trial.play_here(trial.Trial(tuple(half), seconds=3.0))
    last = {one.request: one.number for one in seen.history.of(events.Piece)}
    taken_up = [s for s in seen.history.of(events.Sent) if s.resumes]
    assert taken_up
    for one in taken_up:
        assert one.kind is events.RouteKind.RESUMABLE
        assert one.after_event >= last[one.resumes]
    assert not judge.broken(seen.history)
    assert not pair_judge.broken(seen.history)


async def test_moved_route_is_recorded_with_its_service() -> None:
    moves = Behaviour("operator-moves-route", 0.5, 1.0, on="operator")
    seen = await trial.play_here(trial.Trial((moves,), seconds=2.0))
    route = configuration.MOVED
    services = [
        one.services[route] for one in seen.history.of(events.Configured)
    ]
    assert len(set(services)) == 2
    assert services[0] == services[-1]
    arrived = {
        one.service
        for one in seen.history.of(events.Arrived)
        if one.request.startswith(route)
    }
    assert arrived == set(services)


# Schedules.


def test_seed_decides_the_pair() -> None:
    drawn = [schedule.draw_pair(seed) for seed in range(100)]
    assert drawn == [schedule.draw_pair(seed) for seed in range(100)]
    assert len(set(drawn)) == 100


def test_draws_cover_kinds_orders_and_parts() -> None:
    drawn = [schedule.draw_pair(seed) for seed in range(2000)]
    assert {one.kind for pair in drawn for one in pair} == set(behaviours.KINDS)
    overlaps = sum(b.at_s < a.at_s + a.for_s for a, b in drawn)
    assert 0.3 < overlaps / len(drawn) < 0.7
    for first, second in drawn:
        assert schedule.BEGINS_S[0] <= first.at_s <= second.at_s
        pause_s = second.at_s - first.at_s - first.for_s
        assert pause_s <= schedule.MAX_PAUSE_S + 0.002
        if first.kind == second.kind:
            assert first.on != second.on
        for one in (first, second):
            kind = behaviours.KINDS[one.kind]
            assert kind.for_s[0] <= one.for_s <= kind.for_s[1]
            assert kind.share[0] <= one.share <= kind.share[1]


def test_pairs_are_drawn_from_the_kinds_that_are_named() -> None:
    kinds = ("store-down", "box-killed")
    assert schedule.pairs(kinds) == [
        ("box-killed", "box-killed"),
        ("box-killed", "store-down"),
    ]
    for seed in range(50):
        assert {b.kind for b in schedule.draw_pair(seed, kinds)} <= set(kinds)
    with pytest.raises(KeyError):
        schedule.draw_pair(1, ("store-dwon",))


def test_all_pairs_have_a_fixed_order_and_go_on_where_they_were_left() -> None:
    named = schedule.all_pairs()
    kinds = len(behaviours.KINDS)
    assert len(set(named)) == kinds * (kinds + 1) // 2
    assert named == sorted(named)
    with_one = schedule.all_pairs(among=("box-killed",))
    assert with_one == [pair for pair in named if "box-killed" in pair]
    whole = list(play_pairs.Series(range(7, 12), every=True).draw())
    assert [seed for seed, _ in whole[:6]] == [7, 8, 9, 10, 11, 7]
    assert [tuple(sorted(b.kind for b in two)) for _, two in whole] == named
    parts = [
        play_pairs.Series(
            range(7, 12), every=True, first=first, count=count
        ).draw()
        for first, count in ((0, 100), (100, 3), (103, None))
    ]
    assert [one for part in parts for one in part] == whole


def test_kind_of_a_single_part_follows_itself() -> None:
    for seed in range(50):
        first, second = schedule.draw_named_pair(seed, ("store-down",) * 2)
        assert first.on == second.on
        assert second.at_s >= first.at_s + first.for_s


# Reports.


def _outcome(seed: int, *broken: str) -> play_pairs.Outcome:
    drawn = schedule.draw_pair(1)
    return play_pairs.Outcome(seed, drawn, broken, 10, 9, 1, 10.2, 3.0)


def test_failing_seeds_are_written_with_what_plays_them_again(
    tmp_path: pathlib.Path,
) -> None:
    seen = [_outcome(1), _outcome(2, "ran twice", "no end"), _outcome(3)]
    series = play_pairs.Series(range(1, 4))
    path = tmp_path / "out" / "failing.jsonl"
    assert pairs_report.write_failing(series, seen, path) == 1
    [line] = path.read_text(encoding="utf-8").splitlines()
    told = json.loads(line)
    assert told["seed"] == 2
    assert told["broken"] == ["ran twice", "no end"]
    assert told["command"].endswith("pairs --trace --seeds 2")


def test_failing_pair_of_all_is_drawn_again_by_its_command() -> None:
    series = play_pairs.Series(range(1, 4), every=True)
    for seed, played in series.draw():
        outcome = dataclasses.replace(_outcome(seed), played=played)
        words = series.command(outcome).split()
        told = dict(zip(words, words[1:], strict=False))
        again = play_pairs.Series(
            range(int(told["--seeds"]), int(told["--seeds"]) + 1),
            tuple(told["--kinds"].split(",")),
            every=True,
            first=int(told["--from"]),
            count=int(told["--count"]),
        )
        assert "--all" in words
        assert list(again.draw()) == [(seed, played)]


def test_results_have_a_row_for_each_play() -> None:
    text = pairs_report.results([_outcome(1, "no end"), _outcome(2)])
    rows = text.splitlines()
    assert rows[2] == f"| {_outcome(1).name} | 10 | 9 | 1 | 1 |"
    assert rows[-1] == "| all 2 | 20 | 18 | 1 | |"


def test_table_has_plays_and_broken_promises_of_each_pair() -> None:
    alone = dataclasses.replace(_outcome(4), played=MANY[:1])
    text = pairs_report.table([_outcome(1, "no end"), _outcome(2), alone])
    rows = [line.split(maxsplit=2) for line in text.splitlines()]
    assert ["1", "0", "endpoint-refuses"] in rows
    assert ["2", "1", _outcome(1).name] in rows
    assert rows[-1] == ["3", "1", "all"]
