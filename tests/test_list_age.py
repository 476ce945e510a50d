"""The age of the list of endpoints, and who may take it as its own."""

import asyncio

import pytest

from martenjunction import revisions
from martenjunction.decisions.boxes import list_age
from martenjunction.peers import membership
from martenjunction.routing.streams import origins
from martenjunction_lab import boxes
from tests import gateway_requests


def test_answer_proves_the_list_only_while_a_watch_was_open() -> None:
    age = list_age.ListAge()
    held = revisions.Revision(1, 5)
    age.note_revision(held, held, 1.0)
    assert age.age_s(2.0) is None
    age.confirm(2.0)
    age.begin_watch(3.0)
    age.note_revision(held, held, 2.9)  # Asked before the watch was open.
    assert age.age_s(4.0) == 2.0
    age.note_revision(held, held, 3.5)
    age.end_watch()
    age.note_revision(held, held, 4.0)
    assert age.age_s(4.0) == 0.5


# An answer on another connection passed for one of the watch, which was dead.
def test_answer_proves_the_list_only_up_to_a_revision_it_holds() -> None:
    age = list_age.ListAge()
    held = revisions.Revision(1, 5)
    age.confirm(1.0)
    age.begin_watch(1.0)
    age.note_revision(revisions.Revision(1, 6), held, 2.0)
    age.note_revision(revisions.Revision(2, 1), held, 2.5)
    assert age.age_s(3.0) == 2.0
    age.note_unchanged(revisions.Revision(1, 8), 3.0)
    age.note_revision(revisions.Revision(1, 8), held, 4.0)
    age.note_revision(revisions.Revision(1, 9), held, 5.0)
    assert age.age_s(5.0) == 1.0


def test_told_age_counts_from_the_question_and_never_lowers() -> None:
    age = list_age.ListAge()
    for told in (list_age.UNKNOWN_AGE_MS, -1):
        age.note_told(told, 5.0)
    age.note_told(100, None)
    assert age.age_ms(5.0) == list_age.UNKNOWN_AGE_MS
    age.note_told(1000, 5.0)
    age.note_told(3000, 5.5)
    assert age.age_s(6.0) == 2.0
    assert age.age_ms(6.0) == 2001
    assert age.age_ms(500.0) == list_age.UNKNOWN_AGE_MS


@pytest.mark.parametrize("count", [2, 6], ids=["mesh", "trees"])
async def test_age_of_the_box_that_reads_reaches_the_others(
    fleet: boxes.Boxes, monkeypatch: pytest.MonkeyPatch, count: int
) -> None:
    monkeypatch.setattr(membership, "MAX_FULL_MESH_SIZE", 3)
    await gateway_requests.engines(fleet)
    for number in range(2, count + 1):
        await fleet.add_box(f"box-{number}")
    await fleet.until_listed()
    await boxes.until(
        lambda: sum(box.follower.is_synced for box in fleet.gateways) == 1
    )
    calls = fleet.store.calls["read"]
    await asyncio.sleep(origins.MAX_LIST_AGE_S + 1.0)
    for box in fleet.gateways:
        age_s = box.origins._list_age_s()
        assert age_s is not None
        assert age_s < origins.MAX_LIST_AGE_S
    # The configuration each 0.6 s, and a list of boxes by each.
    assert fleet.store.calls["read"] - calls <= 7 + count
    for box in fleet.gateways:
        box.follower._start_watches = lambda: None  # type: ignore[method-assign]
        box.follower._stop_watches()
    await asyncio.sleep(origins.MAX_LIST_AGE_S + 1.4)
    for box in fleet.gateways:
        age_s = box.origins._list_age_s()
        assert age_s is None or age_s > origins.MAX_LIST_AGE_S
