"""Waiting requests: by tier, then fairly by workspace, then by slack."""

from collections.abc import Iterator
import heapq
import itertools

from martenjunction.decisions.cells import asks

# One grant in so many of a workspace goes to its oldest late request, so that
# what can no longer meet its target is still finished.
LATE_EVERY = 16

# Removed entries stay in the heaps until there are this many of them and they
# outnumber those present.
MIN_STALE = 64


class WorkspaceQueue:
    """One workspace's waiting requests of one tier."""

    def __init__(self) -> None:
        self._timely: list[tuple[float, int, asks.Ask]] = []
        self._late: list[tuple[float, int, asks.Ask]] = []
        self._serial = itertools.count()
        self._since_late = 0
        self.virtual_time = 0.0

    def __len__(self) -> int:
        return len(self._timely) + len(self._late)

    def push(self, ask: asks.Ask) -> None:
        """Adds a request, ordered by when its first token is due."""
        heapq.heappush(self._timely, (ask.deadline, next(self._serial), ask))

    def pop(self, now: float, lead: float) -> asks.Ask:
        """Takes the next request out.

        Args:
            now: The current time.
            lead: Seconds that a first token takes.

        Raises:
            IndexError: If the queue is empty.
        """
        self._set_late_aside(now + lead)
        self._since_late += 1
        if not self._timely or (self._late and self._since_late >= LATE_EVERY):
            self._since_late = 0
            return heapq.heappop(self._late)[2]
        return heapq.heappop(self._timely)[2]

    def without_chance(
        self, now: float, lead: float, rate: float
    ) -> list[asks.Ask]:
        """Returns late requests that cannot be reached in their patience.

        They could not even if nothing more came: what is ahead of them takes
        longer than they may wait.

        Args:
            now: The current time.
            lead: Seconds that a first token takes.
            rate: Grants a second that this workspace gets.
        """
        self._set_late_aside(now + lead)
        ahead = len(self._timely) + 1
        found = []
        for position, (_, _, ask) in enumerate(sorted(self._late), ahead):
            left = ask.patience - (now - ask.arrived)
            if position > left * rate and not ask.firm:
                found.append(ask)
        return found

    def _set_late_aside(self, horizon: float) -> None:
        while self._timely and self._timely[0][0] < horizon:
            _, serial, ask = heapq.heappop(self._timely)
            heapq.heappush(self._late, (ask.arrived, serial, ask))


class TierQueue:
    """The waiting requests of one tier, shared fairly between workspaces.

    Fairness is by virtual time: a workspace's clock advances by the cost of
    what it was granted, and the workspace furthest behind is next. The heap
    holds one entry a workspace, so a pop costs log(workspaces) plus
    log(requests of that workspace).
    """

    def __init__(self) -> None:
        self._workspaces: dict[str, WorkspaceQueue] = {}
        self._order: list[tuple[float, str]] = []
        self._virtual_time = 0.0
        self._present: dict[str, asks.Ask] = {}
        self._deadlines: list[tuple[float, int, asks.Ask]] = []
        self._serial = itertools.count()
        self._stale = 0

    def __len__(self) -> int:
        return len(self._present)

    def __contains__(self, request_id: object) -> bool:
        return request_id in self._present

    def push(self, ask: asks.Ask) -> None:
        """Adds a request; the same request twice counts once."""
        if ask.request_id in self._present:
            return
        queue = self._workspaces.get(ask.workspace)
        if queue is None:
            queue = self._workspaces[ask.workspace] = WorkspaceQueue()
        if not len(queue):
            # An idle workspace does not save up a claim on the past.
            queue.virtual_time = max(queue.virtual_time, self._virtual_time)
            heapq.heappush(self._order, (queue.virtual_time, ask.workspace))
        queue.push(ask)
        self._present[ask.request_id] = ask
        heapq.heappush(self._deadlines, (ask.deadline, next(self._serial), ask))

    def remove(self, request_id: str) -> asks.Ask | None:
        """Takes a request out, wherever it stands; returns it if it was in."""
        ask = self._present.pop(request_id, None)
        if ask is not None:
            self._stale += 1
            self._compact()
        return ask

    def pop(self, now: float, lead: float) -> asks.Ask | None:
        """Takes the next request out, or returns None.

        Args:
            now: The current time.
            lead: Seconds that a first token takes.
        """
        while self._order:
            virtual_time, workspace = heapq.heappop(self._order)
            queue = self._workspaces[workspace]
            ask = self._pop_present(queue, now, lead)
            if ask is None:
                continue
            self._virtual_time = max(self._virtual_time, virtual_time)
            queue.virtual_time = virtual_time + ask.cost
            if len(queue):
                heapq.heappush(self._order, (queue.virtual_time, workspace))
            del self._present[ask.request_id]
            return ask
        return None

    def next_deadline(self, now: float) -> float | None:
        """Returns the first deadline that has not passed, or None."""
        while self._deadlines:
            deadline, _, ask = self._deadlines[0]
            if deadline > now and self._present.get(ask.request_id) is ask:
                return deadline
            heapq.heappop(self._deadlines)
        return None

    def newest(self) -> asks.Ask | None:
        """Returns the request that was added last, or None."""
        return next(reversed(self._present.values()), None)

    def without_chance(
        self, now: float, lead: float, rate: float
    ) -> list[asks.Ask]:
        """Returns late requests that will not be reached in their patience.

        Args:
            now: The current time.
            lead: Seconds that a first token takes.
            rate: Grants a second that this tier gets.
        """
        waiting = [q for q in self._workspaces.values() if len(q)]
        found = [
            ask
            for queue in waiting
            for ask in queue.without_chance(now, lead, rate / len(waiting))
        ]
        return [a for a in found if self._present.get(a.request_id) is a]

    def __iter__(self) -> Iterator[asks.Ask]:
        return iter(list(self._present.values()))

    def _pop_present(
        self, queue: WorkspaceQueue, now: float, lead: float
    ) -> asks.Ask | None:
        while len(queue):
            ask = queue.pop(now, lead)
            if self._present.get(ask.request_id) is ask:
                return ask
        return None

    def _compact(self) -> None:
        """Rebuilds the heaps once most of what they hold was removed."""
        if self._stale <= MIN_STALE or self._stale <= len(self._present):
            return
        present = list(self._present.values())
        clocks = {
            name: queue.virtual_time for name, queue in self._workspaces.items()
        }
        self._workspaces = {}
        self._order = []
        self._present = {}
        self._deadlines = []
        self._stale = 0
        for ask in present:
            self.push(ask)
        for name, queue in self._workspaces.items():
            queue.virtual_time = max(queue.virtual_time, clocks[name])
        self._order = [
            (queue.virtual_time, name)
            for name, queue in self._workspaces.items()
        ]
        heapq.heapify(self._order)
