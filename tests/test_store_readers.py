"""Tests of the reader election and of updates through the reader."""

from collections.abc import AsyncIterator

import pytest

from martenjunction.decisions.boxes import store_readers
from martenjunction_lab import boxes
from tests import routing_builders as builders

PeerAge = store_readers.PeerReaderState


def first_and_others(count: int) -> tuple[str, list[str]]:
    """Returns the highest-ranked of some boxes, and the rest by rank."""
    names = [f"box-{number}" for number in range(count)]
    order = store_readers.rendezvous.ranked(names, store_readers.RANK_KEY)
    return order[0], order[1:]


def ages(names: list[str], reads: bool, age_s: float) -> list[PeerAge]:
    return [PeerAge(name, reads, age_s) for name in names]


def relying_role(own: str, first: str) -> store_readers.ReaderRole:
    """Returns the role of a box that relies on the highest-ranked one."""
    role = store_readers.ReaderRole(own)
    role.decide([PeerAge(first, True, 0.1)], 0.1, 0.0)
    assert not role.decide([PeerAge(first, True, 0.1)], 0.1, 4.0)
    return role


def test_newly_started_box_reads_until_it_can_rely_on_another() -> None:
    first, others = first_and_others(3)
    role = store_readers.ReaderRole(others[0])
    assert role.decide([PeerAge(first, True, 0.1)], None, 0.0)
    assert role.decide([PeerAge(first, True, None)], 0.1, 0.5)
    assert not role.decide([PeerAge(first, True, 0.1)], 0.1, 1.0)


def test_first_box_always_reads() -> None:
    first, others = first_and_others(4)
    role = store_readers.ReaderRole(first)
    for now in (0.0, 5.0, 50.0):
        assert role.decide(ages(others, True, 0.1), 0.1, now)
    assert role.is_first


def test_box_without_others_reads() -> None:
    role = store_readers.ReaderRole("box-0")
    assert role.decide([], 0.1, 0.0)
    assert role.decide([], 9.0, 10.0)


def test_stale_box_reads_in_place_of_the_first() -> None:
    first, others = first_and_others(3)
    role = relying_role(others[0], first)
    silent = [PeerAge(first, False, 1.3)]
    assert not role.decide(silent, 1.0, 5.0)
    assert role.decide(silent, 1.3, 5.3)


def test_later_ranks_wait_longer_and_all_read_before_a_change_is_due() -> None:
    first, others = first_and_others(8)
    begun = []
    for rank, own in enumerate(others, 1):
        role = relying_role(own, first)
        peers = ages([n for n in [first, *others] if n != own], False, 3.0)
        age = 0.0
        while not role.decide(peers, age, 10.0 + age):
            age += 0.01
        begun.append((rank, age))
    times = [age for _, age in begun]
    assert times == sorted(times)
    assert times[0] < times[1]
    assert times[-1] < 1.7


def test_box_stops_when_a_higher_ranked_one_reads_again() -> None:
    first, others = first_and_others(3)
    role = relying_role(others[1], first)
    assert role.decide([PeerAge(first, False, 2.0)], 2.0, 10.0)
    back = [PeerAge(first, True, 0.1)]
    assert role.decide(back, 0.1, 10.0 + store_readers.MIN_READING_S / 2)
    assert not role.decide(back, 0.1, 10.1 + store_readers.MIN_READING_S)


def test_box_continues_if_the_higher_ranked_one_relies_on_it() -> None:
    first, others = first_and_others(3)
    role = relying_role(others[1], first)
    role.decide([PeerAge(first, False, 2.0)], 2.0, 10.0)
    assert role.decide([PeerAge(first, False, 0.1)], 0.1, 20.0)


# The same with real boxes and the fake store.


@pytest.fixture
async def fleet() -> AsyncIterator[boxes.Boxes]:
    made = boxes.Boxes()
    await made.start(builders.config_document(), boxes=3)
    yield made
    await made.stop()


def readers(fleet: boxes.Boxes) -> list[str]:
    return [
        made.members.own.box
        for made in fleet.gateways
        if made.follower.is_synced
    ]


async def test_one_of_several_boxes_reads_and_all_stay_fresh(
    fleet: boxes.Boxes,
) -> None:
    await fleet.add_replica(builders.PLAIN)
    await fleet.until_listed()
    await boxes.until(lambda: len(readers(fleet)) == 1)
    fleet.store.calls.clear()
    await boxes.until(lambda: fleet.store.calls.total() > 6)
    assert len(readers(fleet)) == 1
    assert all(made.dump()["ready"] for made in fleet.gateways)


async def test_updates_read_by_one_box_reach_the_others(
    fleet: boxes.Boxes,
) -> None:
    one = await fleet.add_replica(builders.PLAIN)
    await fleet.until_listed()
    await boxes.until(lambda: len(readers(fleet)) == 1)
    two = await fleet.add_replica(builders.PLAIN)
    await fleet.until_listed()
    fleet.record(one, builders.PLAIN, state="draining")
    fleet.forget(two)
    fleet.configure(builders.config_document(version=9))
    await boxes.until(
        lambda: all(
            made.endpoint_list.ready_ids() == []
            and made.store_cache.version == 9
            for made in fleet.gateways
        )
    )


async def test_another_box_reads_when_the_reader_dies(
    fleet: boxes.Boxes,
) -> None:
    await fleet.add_replica(builders.PLAIN)
    await fleet.until_listed()
    await boxes.until(lambda: len(readers(fleet)) == 1)
    [name] = readers(fleet)
    [reader] = [m for m in fleet.gateways if m.members.own.box == name]
    fleet.gateways.remove(reader)
    await reader.stop()
    fleet.configure(builders.config_document(version=9))
    await boxes.until(
        lambda: all(made.store_cache.version == 9 for made in fleet.gateways)
    )
    assert readers(fleet)


async def test_watches_restart_when_an_unresponsive_store_returns(
    fleet: boxes.Boxes,
) -> None:
    gone = await fleet.add_replica(builders.PLAIN)
    await fleet.until_listed()
    fleet.store.faults.silent = True
    await boxes.until(
        lambda: not any(m.store_cache.store_answers for m in fleet.gateways)
    )
    fleet.forget(gone)
    fleet.store.faults.silent = False
    await boxes.until(
        lambda: all(m.endpoint_list.ready_ids() == [] for m in fleet.gateways)
    )
