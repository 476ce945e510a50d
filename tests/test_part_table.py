"""Evidence against parts of prompts under which endpoints crash."""

import pytest

from martenjunction import model
from martenjunction.decisions.boxes import content_key
from martenjunction.decisions.boxes import crash_rates
from martenjunction.decisions.boxes import part_table
from martenjunction.decisions.boxes import suspect_table
from martenjunction.platform import headers
from martenjunction_lab import boxes
from tests import gateway_requests as requests
from tests import routing_builders as builders

SERVICE = "engine-service"
BUILD = "v1/c"

# Runs that live beside the others, so that a crash is unusual.
BACKGROUND = 200


def key(name: str) -> content_key.ContentKey:
    return content_key.ContentKey(b"\0" * 8, name.encode().ljust(16))


POPULAR, OTHER, FATAL = key("popular"), key("other"), key("fatal")


class Play:
    """Runs at endpoints, by one box that knows of all of them at once."""

    def __init__(self) -> None:
        self.table = part_table.PartTable()
        self.now = 100.0
        self.builds = frozenset({BUILD})
        self._crashed = 0
        for _ in range(BACKGROUND):
            self.lived(self.begin(key("background")))

    def begin(
        self, *keys: content_key.ContentKey, build: str = BUILD
    ) -> part_table.PartRun:
        run = self.table.begin(SERVICE, keys, self.now)
        run.build = build
        return run

    def lived(self, run: part_table.PartRun) -> None:
        """Has a run outlive its begin."""
        self.table.record_lived(run, lambda: self.builds, self.now)

    def crash(self, *runs: part_table.PartRun) -> None:
        """Crashes one endpoint at which some runs are in progress."""
        self._crashed += 1
        self.now += 0.1
        for run in runs:
            self.table.record_part_crash(
                run, f"e{self._crashed}", BUILD, self.now, self.now
            )

    def live(self, *keys: content_key.ContentKey, build: str = BUILD) -> None:
        """Plays a run that begins to write and lives."""
        run = self.begin(*keys, build=build)
        self.now += 0.05
        run.first_event_at = self.now
        self.now += part_table.LIVED_S
        self.lived(run)

    def quarantined(self) -> set[content_key.ContentKey]:
        return {s.key for s in self.table if s.evidence.quarantined}


def test_part_of_three_crashes_in_a_row_is_quarantined() -> None:
    play = Play()
    for crash in range(5):
        play.live(POPULAR, OTHER)
        assert play.quarantined() == ({FATAL} if crash >= 3 else set())
        play.crash(play.begin(POPULAR, FATAL, OTHER), play.begin(POPULAR))


def test_crashes_at_the_same_moment_count_once() -> None:
    play = Play()
    runs = [play.begin(POPULAR) for _ in range(9)]
    for run in runs:
        play.crash(run)
    assert play.quarantined() == set()


def test_part_whose_runs_live_between_crashes_is_not_quarantined() -> None:
    play = Play()
    for _ in range(20):
        play.crash(play.begin(POPULAR))
        play.live(POPULAR)
    assert play.quarantined() == set()


def test_run_that_lives_takes_back_only_what_was_before_it() -> None:
    play = Play()
    play.crash(play.begin(POPULAR))
    play.now += 0.01
    early = play.begin(POPULAR)
    early.first_event_at = play.now
    play.crash(play.begin(POPULAR))
    play.lived(early)
    evidence = play.table.find(POPULAR).evidence  # type: ignore[union-attr]
    assert evidence.crashes == {"e2": 1}


def test_run_that_has_lived_is_not_blamed_for_a_crash() -> None:
    play = Play()
    old = play.begin(OTHER)
    old.first_event_at = play.now
    play.now += part_table.LIVED_S
    play.crash(old, play.begin(FATAL))
    assert play.table.find(OTHER) is None
    assert play.table.find(FATAL) is not None


def test_crashes_of_a_quarantined_part_are_not_held_against_others() -> None:
    play = Play()
    for _ in range(3):
        play.crash(play.begin(FATAL, POPULAR), play.begin(OTHER))
    assert play.quarantined() == {POPULAR}
    straggler, beside = play.begin(POPULAR, FATAL), play.begin(OTHER)
    play.crash(straggler, beside)
    assert play.table.find(OTHER).evidence.generation == 0  # type: ignore[union-attr]


def test_part_that_lived_lately_does_not_explain_crashes_before_its_trial() -> (
    None
):
    play = Play()
    play.live(OTHER, POPULAR)
    for _ in range(4):
        play.crash(play.begin(OTHER), play.begin(POPULAR))
    assert play.quarantined() == {OTHER, POPULAR}
    play.crash(play.begin(OTHER, FATAL))
    assert play.table.find(FATAL) is not None
    play.table.begin_trial(OTHER, play.now)
    play.crash(play.begin(OTHER), play.begin(OTHER, key("beside-the-trial")))
    play.crash(play.begin(OTHER, key("beside")))
    assert play.table.find(key("beside")) is None


def test_parts_that_always_come_together_are_blamed_at_the_last() -> None:
    play = Play()
    for _ in range(4):
        play.crash(play.begin(POPULAR, FATAL))
    assert play.quarantined() == {FATAL}


def test_part_that_lived_lately_needs_one_more_crash() -> None:
    play = Play()
    play.live(FATAL)
    for crash in range(4):
        assert play.quarantined() == set(), crash
        play.crash(play.begin(FATAL))
    assert play.quarantined() == {FATAL}


def test_quarantined_part_is_tried_rarely_and_anew_on_another_build() -> None:
    play = Play()
    for _ in range(3):
        play.crash(play.begin(FATAL))
    builds = frozenset({BUILD})
    verdict = suspect_table.Verdict
    decided = play.table.decide(FATAL, builds, play.now)
    assert decided.verdict is verdict.QUARANTINED
    assert 0 < decided.recheck_after_s <= part_table.INITIAL_RELEASE_S
    later = play.now + part_table.INITIAL_RELEASE_S + 0.1
    assert play.table.decide(FATAL, builds, later).verdict is verdict.ALONE
    other = play.table.decide(FATAL, builds | {"v2/c"}, play.now)
    assert other.verdict is verdict.ALONE
    assert other.avoid_builds == builds


def test_part_that_lived_lately_is_tried_soon_and_then_rarely() -> None:
    play = Play()
    play.live(OTHER)
    for _ in range(4):
        play.crash(play.begin(OTHER))
    delays = []
    for _ in range(3):
        suspect = play.table.find(OTHER)
        assert suspect is not None
        assert suspect.evidence.quarantined
        delays.append(play.table.release_delay_s(suspect))
        play.table.begin_trial(OTHER, play.now)
        play.crash(play.begin(OTHER))
    first, later = part_table.CHECK_RELEASE_S, part_table.INITIAL_RELEASE_S
    assert delays == [first, later, later * part_table.RELEASE_FACTOR]


def test_run_on_another_build_speaks_for_a_part_once_the_first_is_gone() -> (
    None
):
    play = Play()
    for _ in range(3):
        play.crash(play.begin(FATAL))
    play.builds = frozenset({BUILD, "v2/c"})
    play.live(FATAL, build="v2/c")
    assert play.quarantined() == {FATAL}
    play.builds = frozenset({"v2/c"})
    play.live(FATAL, build="v2/c")
    assert play.quarantined() == set()


def test_boxes_that_hear_of_the_same_crashes_agree() -> None:
    play, peer = Play(), part_table.PartTable()
    for _ in range(3):
        play.crash(play.begin(POPULAR, FATAL), play.begin(POPULAR))
        for suspect in play.table:
            peer.merge_peer(suspect.key, suspect.evidence, play.now)
    for table in (play.table, peer):
        held = {s.key: dict(s.evidence.crashes) for s in table}
        assert held[POPULAR] == {}
        assert set(held[FATAL]) == {"e1", "e2", "e3"}
        assert table.find(FATAL).evidence.quarantined  # type: ignore[union-attr]


PROMPT = {"Martenjunction-Prefix-Hash": "aa:100,bad:100,own:300"}


async def test_box_that_starts_refuses_what_the_others_quarantined(
    fleet: boxes.Boxes,
) -> None:
    made = await requests.engines(fleet)
    first = fleet.gateways[0]
    facts = headers.decode_request(
        [(b"Martenjunction-Prefix-Hash", b"bad:1,o:1")]
    )
    keys = first._context.content_keys.part_keys(builders.ENGINE, facts)
    service = first.admitter.config.services[builders.ENGINE]  # type: ignore[union-attr]
    [endpoint, _] = first.endpoint_list.ready(builders.ENGINE)
    build = model.build_id(endpoint, service)
    for number in range(crash_rates.MAX_CRASHES):
        now = first.timers.now()
        run = first.parts._table.begin(builders.ENGINE, keys, now)
        first.parts._table.record_part_crash(run, f"e{number}", build, now, now)
    second = await fleet.add_box("box-2")
    await boxes.until(lambda: second.dump()["ready"])
    assert [row["quarantined"] for row in second.parts.dump()] == [True]
    for address in fleet.addresses:
        head, body = await boxes.call(
            address,
            "POST",
            "/digest/",
            requests.request_headers("r1", **PROMPT),
            b"hello",
        )
        assert (head.status, body) == (503, b"ends-endpoints")
    assert requests.arrivals(made) == 0


@pytest.mark.parametrize(
    "prompt", ["", ",,,", "aa", "aa:x,bb:1", "own:500", "aa:1," * 1500]
)
async def test_odd_prompts_are_served(fleet: boxes.Boxes, prompt: str) -> None:
    await requests.engines(fleet)
    changes = {"Martenjunction-Prefix-Hash": prompt}
    head, _ = await requests.ask(fleet, "/digest/", **changes)
    assert head.status == 200
