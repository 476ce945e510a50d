"""States of the boxes of a large fleet, told from box to box by change.

Answers the load pattern of a fleet in which no box can hear all others: only
changes are told, each box passes on what is new to it, and the newer word of
two is the same for all boxes. A box that is not reachable for its neighbors is
called silent; if it is alive, it hears so and contradicts.
"""

import dataclasses
import enum

from martenjunction.decisions import rendezvous

# Seconds for which a box that is silent or leaving is remembered.
GONE_LIFETIME_S = 60.0

# Maximum number of boxes that are known.
MAX_BOXES = 4096


class State(enum.IntEnum):
    """What is known of a box; of two words of one age the higher one holds.

    Attributes:
        READY: It accepts clients.
        CUT_OFF: It accepts clients, but its own connections reach no endpoint.
        UNREADY: It accepts no clients.
        LEAVING: It is shutting down.
        SILENT: Other boxes do not reach it.
    """

    READY = 0
    CUT_OFF = 1
    UNREADY = 2
    LEAVING = 3
    SILENT = 4


@dataclasses.dataclass(frozen=True, slots=True)
class BoxState:
    """The state of one box.

    Attributes:
        box: Its name.
        zone: Its availability zone.
        callers: Its address for callers.
        peers: Its address for other boxes.
        tunnels: Its address for tunnels to endpoints; "" for none.
        link_kb: Bandwidth of its link in kilobytes per second.
        incarnation: Increases with each start; 0 if it is only listed.
        number: Increases with each change of the box's own word.
        state: The state.
    """

    box: str
    zone: str
    callers: str
    peers: str
    tunnels: str
    link_kb: int
    incarnation: int
    number: int
    state: State

    @property
    def age(self) -> tuple[int, int, int]:
        """Orders the words about a box, the newest last."""
        return self.incarnation, self.number, self.state


class BoxStateTable:
    """The states of all boxes as known to one box."""

    def __init__(self, own: BoxState) -> None:
        """Initializes a table that contains only this box.

        Args:
            own: The state of this box.
        """
        self._own = own.box
        self._rows = {own.box: own}
        self._changed_at: dict[str, float] = {}
        self._digest = _digest_of(own)

    @property
    def own(self) -> BoxState:
        """The state of this box."""
        return self._rows[self._own]

    def rows(self) -> list[BoxState]:
        """Returns the states of all boxes."""
        return list(self._rows.values())

    def find(self, box: str) -> BoxState | None:
        """Returns the state of a box, or None if it is unknown."""
        return self._rows.get(box)

    def in_state(self, state: State) -> set[str]:
        """Returns the names of the boxes in a state."""
        return {row.box for row in self._rows.values() if row.state is state}

    def set_own(self, state: State, now: float) -> BoxState | None:
        """Sets the state of this box; returns it if it changed."""
        own = self.own
        if own.state is state:
            return None
        return self._set(
            dataclasses.replace(own, state=state, number=own.number + 1), now
        )

    def merge(self, row: BoxState, now: float) -> BoxState | None:
        """Merges another box's word; returns the row to pass on, if any.

        A word that this box is silent or in another state is contradicted.
        """
        known = self._rows.get(row.box)
        if row.box == self._own:
            own = self.own
            if row.age <= own.age or row.incarnation > own.incarnation:
                return None
            return self._set(
                dataclasses.replace(own, number=row.number + 1), now
            )
        if known is not None and row.age <= known.age:
            return None
        if known is None and len(self._rows) >= MAX_BOXES:
            return None
        return self._set(row, now)

    def mark_silent(self, row: BoxState, now: float) -> BoxState | None:
        """Calls a box silent; returns the row to pass on if it is new.

        Args:
            row: What is known of the box; its state is disregarded.
            now: The current time.
        """
        known = self._rows.get(row.box, row)
        if row.box == self._own or known.state in (
            State.SILENT,
            State.LEAVING,
        ):
            return None
        return self._set(dataclasses.replace(known, state=State.SILENT), now)

    def expire(self, now: float) -> list[str]:
        """Forgets boxes that are long gone; returns their names."""
        gone = [
            row.box
            for row in self._rows.values()
            if row.state in (State.SILENT, State.LEAVING)
            and row.box != self._own
            and now - self._changed_at[row.box] > GONE_LIFETIME_S
        ]
        for box in gone:
            del self._rows[box]
            del self._changed_at[box]
        return gone

    def digest(self) -> int:
        """Returns a number that is equal for equal tables.

        Boxes that are gone are left out, as each box forgets them by itself.
        """
        return self._digest

    def _set(self, row: BoxState, now: float) -> BoxState:
        known = self._rows.get(row.box)
        if known is not None:
            self._digest ^= _digest_of(known)
        self._digest ^= _digest_of(row)
        self._rows[row.box] = row
        self._changed_at[row.box] = now
        return row


def _digest_of(row: BoxState) -> int:
    """Returns the part of a row in the digest; 0 if its box is gone."""
    if row.state in (State.SILENT, State.LEAVING):
        return 0
    return rendezvous.weight(row.box, f"{row.incarnation}.{row.number}")
