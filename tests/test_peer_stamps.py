"""What frames tell of their sender, and who reads in a large fleet."""

import dataclasses

import pytest

from martenjunction import errors
from martenjunction.decisions.boxes import box_states
from martenjunction.decisions.boxes import store_contact
from martenjunction.decisions.boxes import store_readers
from martenjunction.routing.fleet import box_state_sync
from martenjunction.routing.messages import peer_stamps
from tests import routing_builders as builders

STAMP = peer_stamps.PeerStamp(
    1200,
    2**40,
    builders.rev(7, 2),
    True,
    False,
    store_contact.ContactAges(6000, 2000, store_contact.MAX_AGE_MS, True),
    700,
)


def ignore(*_: object) -> None:
    """Ignores a stamp."""


def test_stamps_round_trip() -> None:
    taken = []
    sender, receiver = peer_stamps.PeerStamps(), peer_stamps.PeerStamps()
    sender.connect(lambda: STAMP, ignore, ignore)
    receiver.connect(
        lambda: STAMP,
        lambda *args: taken.append(args),
        lambda *args: taken.append(args),
    )
    data = sender.make()
    assert len(data) == peer_stamps.PeerStamps.size
    stamp = receiver.decode(data)
    receiver.take_early(3.0, stamp)
    receiver.take("box-1", 3.0, stamp)
    assert taken == [(STAMP.contact, 3.0), ("box-1", 3.0, STAMP)]


def test_stamp_with_an_age_that_cannot_be_is_rejected() -> None:
    sender = peer_stamps.PeerStamps()
    sender.connect(
        lambda: dataclasses.replace(STAMP, age_ms=-2), ignore, ignore
    )
    with pytest.raises(errors.PeerError):
        sender.take("box-1", None, sender.decode(sender.make()))


@pytest.mark.parametrize("field", ["lost_ms", "since_ms", "until_ms"])
def test_stamp_with_a_contact_that_cannot_be_is_rejected(field: str) -> None:
    sender = peer_stamps.PeerStamps()
    contact = dataclasses.replace(STAMP.contact, **{field: -2})
    sender.connect(
        lambda: dataclasses.replace(STAMP, contact=contact), ignore, ignore
    )
    with pytest.raises(errors.PeerError):
        sender.take_early(None, sender.decode(sender.make()))


def states_message(**changes: object) -> box_state_sync.BoxStates:
    row = box_states.BoxState(
        "a", "zone-a", "1:1", "1:2", "1:3", 9, 7, 1, box_states.State.READY
    )
    message = box_state_sync._encode([row])
    return dataclasses.replace(message, **changes)  # type: ignore[arg-type]


def test_box_states_round_trip() -> None:
    [row] = box_state_sync._decode(states_message())
    assert box_state_sync._encode([row]) == states_message()


@pytest.mark.parametrize(
    "changes",
    [
        {"zones": ()},
        {"numbers": (1, 2)},
    ],
)
def test_columns_of_box_states_that_do_not_fit_are_rejected(
    changes: dict[str, object],
) -> None:
    with pytest.raises(errors.PeerError):
        box_state_sync._decode(states_message(**changes))


@pytest.mark.parametrize(
    "changes",
    [
        {"states": (9,)},
        {"numbers": (-1,)},
        {"incarnations": (-1,)},
        {"link_kb": (-5,)},
    ],
)
def test_box_state_that_cannot_be_is_left_out_alone(
    changes: dict[str, tuple[int]],
) -> None:
    sound = states_message()
    columns = {
        field.name: getattr(sound, field.name) * 3
        for field in dataclasses.fields(sound)
    }
    for name, (value,) in changes.items():
        columns[name] = (columns[name][0], value, columns[name][0])
    rows = box_state_sync._decode(box_state_sync.BoxStates(**columns))
    assert box_state_sync._encode(rows[:1]) == sound
    assert len(rows) == 2
    assert rows[0] == rows[1]


def test_root_reads_and_others_rely_on_it() -> None:
    role = store_readers.TreeReaderRole()
    assert role.decide(0, None, False, 0.0)
    assert role.decide(0, 0.1, False, 9.0)
    other = store_readers.TreeReaderRole()
    assert not other.decide(3, 1.0, True, 0.0)
    assert not other.decide(3, store_readers.TREE_STALE_S, True, 1.0)


def test_boxes_read_in_turn_where_confirmations_stay_away() -> None:
    begun = {}
    for rank in (1, 2, 5, 40):
        role = store_readers.TreeReaderRole()
        age = 0.0
        while not role.decide(rank, age, False, 10.0 + age):
            age += 0.01
        begun[rank] = age
    assert list(begun.values()) == sorted(begun.values())
    assert begun[1] < begun[2] < begun[5]
    # All read before keys would be refused.
    assert begun[40] < 4.75 - 1.0


def test_box_reads_until_its_parent_is_fed_from_above() -> None:
    role = store_readers.TreeReaderRole()
    assert role.decide(2, 9.0, False, 0.0)
    # Its parent knows what this box read.
    assert role.decide(2, 0.1, False, 10.0)
    assert role.decide(2, 0.1, True, store_readers.MIN_READING_S / 2)
    assert not role.decide(2, 0.1, True, 11.0)


def test_started_boxes_read_in_turn() -> None:
    waits = [store_readers.start_wait_s(rank) for rank in range(20)]
    assert waits[0] == 0.0
    assert waits[1:] == sorted(waits[1:])
    # A box is ready within two seconds of its start also where nobody answers.
    assert waits[-1] <= 1.7
