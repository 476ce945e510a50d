"""Tests whose entries a box removes from the store, and when.

Guards against a box that takes its own silence for that of all others, and
removes the entries of live boxes.
"""

import asyncio
from collections.abc import AsyncIterator

import pytest

from martenjunction.decisions.boxes import entry_removal
from martenjunction.peers import membership
from tests import cut_fleet
from tests import routing_builders as builders

# Seconds for which a fleet is cut, and within which all entries of live boxes
# are there again.
CUT_S = 30.0
HEALED_S = 20.0

# Seconds within which the entries of dead boxes are removed where most of the
# fleet lives, and elsewhere. A box that reads lists the entries each 8 s, and
# one that did not read may have listed them 36 s before.
REMOVED_S = entry_removal.DEAD_AFTER_S + 14.0
REMOVED_ALONE_S = entry_removal.DEAD_AFTER_ALONE_S + 36.0


@pytest.fixture
async def made() -> AsyncIterator[cut_fleet.CutFleet]:
    started = cut_fleet.CutFleet()
    yield started
    await started.fleet.stop()


@pytest.mark.simulated_time
@pytest.mark.parametrize(("count", "cut"), [(4, 1), (36, 1), (4, 2), (36, 12)])
async def test_smaller_part_of_a_fleet_removes_no_entry(
    made: cut_fleet.CutFleet, count: int, cut: int
) -> None:
    await made.start(builders.config_document(), count)
    names = made.names()
    reader = made.reader()
    part = {reader, *[n for n in names if n != reader][: cut - 1]}
    others = set(names) - part
    made.cut(part)
    await asyncio.sleep(CUT_S)
    by_part = [removed for removed, by in made.removed if by in part]
    assert by_part == []
    assert others <= made.listed()
    if 2 * cut == count:
        assert made.removed == []
    made.heal()
    await asyncio.sleep(HEALED_S)
    assert made.listed() == set(names)


@pytest.mark.simulated_time
@pytest.mark.parametrize(("count", "dead"), [(4, 1), (36, 1), (36, 12)])
async def test_entries_of_dead_boxes_are_removed_where_most_live(
    made: cut_fleet.CutFleet, count: int, dead: int
) -> None:
    await made.start(builders.config_document(), count)
    reader = made.reader()
    killed = [n for n in made.names() if n != reader][::3][:dead]
    await made.kill(killed)
    await asyncio.sleep(REMOVED_S)
    assert made.listed() == set(made.names())


@pytest.mark.simulated_time
@pytest.mark.parametrize(
    ("count", "dead", "reader_dies"),
    [(2, 1, True), (4, 2, True), (4, 3, False), (36, 30, False)],
)
async def test_entries_of_dead_boxes_are_removed_where_few_live(
    made: cut_fleet.CutFleet, count: int, dead: int, reader_dies: bool
) -> None:
    await made.start(builders.config_document(), count)
    reader = made.reader()
    others = [name for name in made.names() if name != reader]
    await made.kill(([reader, *others] if reader_dies else others)[:dead])
    await asyncio.sleep(CUT_S)
    assert made.removed == []
    await asyncio.sleep(REMOVED_ALONE_S - CUT_S)
    assert made.listed() == set(made.names())


class Observer:
    """A box that observes which of the others it hears."""

    def __init__(self) -> None:
        self.removal = entry_removal.EntryRemoval()
        self.now = 100.0

    def observe(
        self,
        seconds: float,
        heard: str,
        unheard: str,
        is_hearsay: bool = False,
    ) -> float | None:
        end = self.now + seconds
        while self.now < end:
            self.now += 0.5
            self.removal.observe(set(heard), set(unheard), is_hearsay, self.now)
        return self.removal.silence_limit_s(self.now)


SOON = entry_removal.DEAD_AFTER_S
LATE = entry_removal.DEAD_AFTER_ALONE_S


@pytest.mark.parametrize(
    ("heard", "unheard", "limit_s"),
    [
        ("abc", "", SOON),
        ("ab", "c", SOON),
        ("a", "b", SOON),
        ("a", "bc", LATE),
        ("", "a", LATE),
        ("", "abc", LATE),
    ],
)
def test_silence_counts_soon_for_a_majority_only(
    heard: str, unheard: str, limit_s: float
) -> None:
    assert Observer().observe(100.0, heard, unheard) == limit_s


def test_silence_before_links_came_back_does_not_count() -> None:
    box = Observer()
    assert box.observe(100.0, "", "abcd") == LATE
    assert box.observe(1.0, "a", "bcd") is None
    assert box.observe(1.0, "abc", "d") is None
    assert box.observe(10.0, "abc", "d") is None
    assert box.observe(3.0, "abc", "d") == SOON


def test_silence_before_this_box_was_held_up_does_not_count() -> None:
    box = Observer()
    assert box.observe(100.0, "abc", "d") == SOON
    box.now += 20.0
    assert box.observe(1.0, "abc", "d") is None
    assert box.observe(12.0, "abc", "d") == SOON
    assert box.observe(100.0, "", "abcd") == LATE
    box.now += 20.0
    assert box.observe(1.0, "", "abcd") is None


def test_lost_connection_to_most_boxes_ends_the_majority_at_once() -> None:
    box = Observer()
    assert box.observe(100.0, "abc", "") == SOON
    assert box.observe(0.5, "", "abc") == LATE


def test_hearsay_counts_once_no_further_box_is_called_silent() -> None:
    box = Observer()
    assert box.observe(100.0, "abcdef", "", True) == SOON
    assert box.observe(10.0, "abcde", "f", True) == LATE
    assert box.observe(10.0, "abcd", "ef", True) == LATE
    assert box.observe(3.0, "abcd", "ef", True) == SOON


def test_boxes_count_as_silent_only_once_the_fleet_is_a_full_mesh() -> None:
    # Guards against a box of a large fleet that loses its connections, calls
    # some boxes silent until the rest would be a full mesh, and then takes all
    # that it never was connected to for dead at once.
    now = 0.0
    clock = membership.timers.Timers(lambda: now)
    own = membership.Member("own", "zone", "", "", "", 1)
    members = membership.Membership(own, clock, lambda: None)
    others = [
        membership.Member(f"box-{n}", "zone", "", "", "", 1)
        for n in range(membership.MAX_FULL_MESH_SIZE + 3)
    ]
    for other in others:
        members.update_listed(other, True, False)
        members.update_told(other, silent=False)
    now = 100.0
    assert not members.is_full_mesh
    for other in others[:4]:
        members.update_told(other, silent=True)
    assert members.is_full_mesh
    assert members.silent_boxes(12.0) == []
    now = 113.0
    assert len(members.silent_boxes(12.0)) == len(others)
