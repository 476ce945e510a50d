"""Shares the event loop among connections whose data is always ready.

Load pattern: a peer sends as fast as its socket takes it. A read of data that
is ready does not suspend its task, so a reader of such a connection would keep
the event loop until the data ends: no timer fires and no other connection is
served. Each reader counts what it reads and parses against the budget of its
connection. Once the budget is spent, it waits in a queue that all connections
share and from which one continues in each iteration of the event loop.
"""

import asyncio
import collections
from collections.abc import AsyncIterator
from collections.abc import Iterable
import math
import time
from typing import TypeVar
import weakref

# What one connection may read before it waits for its turn, in bytes. A turn
# takes a few milliseconds at most.
TURN_BYTES = 1024 * 1024

# The same for the first turn after a connection had nothing to read: many that
# begin at the same time have it in one iteration of the event loop.
FIRST_TURN_BYTES = 512 * 1024

# What a read costs beside its bytes, and what it costs to parse and forward a
# part of a message, as a number of bytes that are read.
PART_COST = 16 * 1024

# The same for an event of a stream, several of which a part may hold.
EVENT_COST = 4 * 1024

# The same for the head of a message.
HEAD_COST = 256 * 1024

# Seconds within which a connection whose data is always ready spends its
# budget again, also beside other such connections.
SPENT_LATELY_S = 0.1


T = TypeVar("T")


class TurnQueue:
    """Readers that wait; one of them continues in each iteration."""

    def __init__(self) -> None:
        """Makes an empty queue."""
        self._waiting: collections.deque[asyncio.Future[None]] = (
            collections.deque()
        )
        self._waits = 0
        self._longest_wait_s = 0.0

    @property
    def waits(self) -> int:
        """How often a reader waited."""
        return self._waits

    @property
    def longest_wait_s(self) -> float:
        """The longest wait of a reader, in seconds."""
        return self._longest_wait_s

    async def wait(self) -> None:
        """Waits for this reader's turn, in the order of arrival."""
        loop = asyncio.get_running_loop()
        turn = loop.create_future()
        self._waiting.append(turn)
        if len(self._waiting) == 1:
            loop.call_soon(self._advance)
        began_at = time.monotonic()
        self._waits += 1
        await turn
        self._longest_wait_s = max(
            self._longest_wait_s, time.monotonic() - began_at
        )

    def _advance(self) -> None:
        while self._waiting:
            turn = self._waiting.popleft()
            if not turn.done():
                turn.set_result(None)
                break
        if self._waiting:
            asyncio.get_running_loop().call_soon(self._advance)


_queues: weakref.WeakKeyDictionary[asyncio.AbstractEventLoop, TurnQueue] = (
    weakref.WeakKeyDictionary()
)


def current_queue() -> TurnQueue:
    """Returns the queue of the running event loop."""
    loop = asyncio.get_running_loop()
    queue = _queues.get(loop)
    if queue is None:
        queue = _queues[loop] = TurnQueue()
    return queue


class TurnBudget:
    """What one connection has read since the event loop last had its turn."""

    def __init__(self) -> None:
        """Makes an unspent budget."""
        self._spent = 0
        self._limit = FIRST_TURN_BYTES
        self._spent_at = -math.inf
        self._waiting = False

    @property
    def waiting(self) -> bool:
        """Whether the reader waits for its turn, with data that is ready."""
        return self._waiting

    @property
    def spent_lately(self) -> bool:
        """Whether a whole turn was spent within the last `SPENT_LATELY_S`."""
        return time.monotonic() - self._spent_at <= SPENT_LATELY_S

    @property
    def is_spent(self) -> bool:
        """Whether the reader has to wait for its next turn."""
        return self._spent >= self._limit

    def spend(self, cost: int) -> None:
        """Counts bytes that were read, or the cost of what was parsed."""
        self._spent += cost

    def renew(self) -> None:
        """Begins anew, after the reader was suspended."""
        self._spent = 0
        self._limit = FIRST_TURN_BYTES

    async def pause_if_spent(self) -> None:
        """Waits for the next turn of this connection if its budget is spent."""
        if self.is_spent:
            if self._limit == TURN_BYTES:
                self._spent_at = time.monotonic()
            self._spent = 0
            self._limit = TURN_BYTES
            self._waiting = True
            try:
                await current_queue().wait()
            finally:
                self._waiting = False


async def in_turns(items: Iterable[T], per_turn: int) -> AsyncIterator[T]:
    """Yields items, a limited number in each turn of the event loop.

    Args:
        items: The items.
        per_turn: The number of items of a turn.

    Yields:
        Each of the items.
    """
    for number, item in enumerate(items, start=1):
        yield item
        if number % per_turn == 0:
            await current_queue().wait()
