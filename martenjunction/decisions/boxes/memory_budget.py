"""Decides which bodies a box takes while its memory is limited.

Load pattern: many clients send large bodies at once. Each body stays in memory
until its request has its response. Bodies that fit are taken at once; others
wait, unread, in the order of their tiers; what waits too long or would wait
behind more than fits is refused, the lowest tier first. A body that was taken
is never given up for another one. While it is read, the buffers of its
connection take memory beside it.
"""

import bisect
import dataclasses
import enum

# Part of the limit that is kept free: for growth of the box's own state between
# two samples, and for bytes between the socket and a body.
RESERVE_FRACTION = 0.25

# Part of the limit that bodies may take however much the process needs.
MIN_FRACTION = 0.125

# Part of the limit that the process is taken to need until it was measured.
ASSUMED_OWN_FRACTION = 0.4

# Bytes that are held up to which a fall of the process's own need is believed.
MAX_HELD_AT_REST_BYTES = 1_000_000

# Part of a fall of the process's own need that counts at each sample: the state
# that it has for a moment comes again.
OWN_DECAY = 0.05

# Bytes that a connection takes between its socket and a body: buffers of the
# stream and of the parser.
CONNECTION_BYTES = 320 * 1024

# Size in bytes up to which a body is taken at once: waiting would not help.
SMALL_BODY_BYTES = 16 * 1024

# Longest wait of a body in seconds, and the most of the time that its client or
# its route gives the request: the rest is needed to read it and to answer.
MAX_WAIT_S = 1.0
MAX_WAIT_FRACTION = 0.4


def longest_wait_s(deadline_s: float | None, timeout_s: float | None) -> float:
    """Returns how long a body waits at most, in seconds.

    Args:
        deadline_s: Seconds that the client gives its request, or None.
        timeout_s: Time limit of the route in seconds, or None without a route.
    """
    times_s = [time for time in (deadline_s, timeout_s) if time is not None]
    return min([MAX_WAIT_S, *(MAX_WAIT_FRACTION * time for time in times_s)])


class State(enum.StrEnum):
    """How much room there is.

    Attributes:
        ROOM: No body waits.
        SHORT: Bodies wait to be read.
        FULL: Bodies are refused.
    """

    ROOM = "room"
    SHORT = "short"
    FULL = "full"


class Event(enum.Enum):
    """What changes the state."""

    WAITED = "waited"
    REFUSED = "refused"
    QUEUE_EMPTY = "queue-empty"


_NEXT = {
    (State.ROOM, Event.WAITED): State.SHORT,
    (State.ROOM, Event.REFUSED): State.FULL,
    (State.SHORT, Event.REFUSED): State.FULL,
    (State.SHORT, Event.QUEUE_EMPTY): State.ROOM,
    (State.FULL, Event.QUEUE_EMPTY): State.ROOM,
}


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class WaitingBody:
    """A body that waits to be read.

    Attributes:
        tier: Priority tier of its route; 0 is the highest.
        number: Its place in the order of arrival.
        size: Its length in bytes.
    """

    tier: int
    number: int
    size: int


class MemoryBudget:
    """Bytes that a box holds for others."""

    def __init__(self, limit_bytes: int) -> None:
        """Initializes the budget.

        Args:
            limit_bytes: The limit of the process's memory, in bytes.
        """
        self._limit = limit_bytes
        self._own = ASSUMED_OWN_FRACTION * limit_bytes
        self._measured = False
        self._held = 0
        self._reading = 0
        self._number = 0
        self._waiting: list[WaitingBody] = []
        self._state = State.ROOM

    @property
    def state(self) -> State:
        """How much room there is."""
        return self._state

    @property
    def held(self) -> int:
        """Bytes that are held, without buffers of connections."""
        return self._held

    @property
    def waiting(self) -> int:
        """Number of bodies that wait."""
        return len(self._waiting)

    @property
    def capacity(self) -> int:
        """Bytes that may be held."""
        free = self._limit * (1.0 - RESERVE_FRACTION) - self._own
        return int(max(free, self._limit * MIN_FRACTION))

    def note_resident(self, resident_bytes: int) -> None:
        """Takes in a sample of the process's memory.

        Args:
            resident_bytes: Resident memory, with what is held for others.
        """
        own = float(max(0, resident_bytes - self._held))
        if self._measured and own < self._own:
            # What is held counts from its reservation on, before it has
            # arrived, and would hide the process's own need.
            decay = OWN_DECAY if self._held <= MAX_HELD_AT_REST_BYTES else 0.0
            own = self._own + decay * (own - self._own)
        self._own = own
        self._measured = True

    def take(self, size: int) -> bool:
        """Takes a body in if it fits and no other one waits."""
        if size > SMALL_BODY_BYTES and (self._waiting or not self._fits(size)):
            return False
        self._held += size
        return True

    def hold(self, size: int) -> None:
        """Counts bytes that cannot wait."""
        self._held += size

    def give_back(self, size: int) -> None:
        """Counts bytes that are no longer held."""
        self._held -= size

    def begin_read(self) -> None:
        """Counts the buffers of a connection whose large body is read."""
        self._reading += 1

    def end_read(self, count: int = 1) -> None:
        """Counts the buffers of connections as free; see `begin_read`."""
        self._reading -= count

    def wait(
        self, size: int, tier: int
    ) -> tuple[WaitingBody, list[WaitingBody]]:
        """Has a body wait.

        Args:
            size: Its length in bytes.
            tier: Priority tier of its route.

        Returns:
            The body, and those that are refused: more would wait than fits.
        """
        self._number += 1
        body = WaitingBody(tier, self._number, size)
        bisect.insort(self._waiting, body)
        refused = []
        while len(self._waiting) > 1 and self._waiting_bytes() > self.capacity:
            refused.append(self._waiting.pop())
        self._note(Event.REFUSED if refused else Event.WAITED)
        return body, refused

    def next_taken(self) -> WaitingBody | None:
        """Takes the first body that waits, if it fits; otherwise None."""
        if not self._waiting or not self._fits(self._waiting[0].size):
            return None
        body = self._waiting.pop(0)
        self._held += body.size
        if not self._waiting:
            self._note(Event.QUEUE_EMPTY)
        return body

    def leave(self, body: WaitingBody, refused: bool) -> None:
        """Ends the wait of a body.

        Args:
            body: The body, which waits.
            refused: Whether it is refused; otherwise its client left.
        """
        self._waiting.remove(body)
        if refused:
            self._note(Event.REFUSED)
        if not self._waiting:
            self._note(Event.QUEUE_EMPTY)

    def _fits(self, size: int) -> bool:
        # One body is always taken: it may be larger than the capacity.
        if not self._held:
            return True
        buffers = CONNECTION_BYTES * (len(self._waiting) + self._reading)
        return self._held + buffers + size <= self.capacity

    def _waiting_bytes(self) -> int:
        return sum(body.size for body in self._waiting)

    def _note(self, event: Event) -> None:
        self._state = _NEXT.get((self._state, event), self._state)
