"""Queues of waiting requests with fair sharing between workspaces."""

from collections.abc import Iterator
import heapq
import itertools

from martenjunction.decisions.cells import dispatch_types

# One in this many grants of a workspace goes to its oldest late request, so
# that requests that can no longer meet their target still complete.
LATE_EVERY = 16

# Removed entries stay in the heaps until there are more than this many of them
# and they outnumber the remaining ones.
MIN_STALE = 64


class WorkspaceQueue:
    """The waiting requests of one workspace in one tier."""

    def __init__(self) -> None:
        self._timely: list[tuple[float, int, dispatch_types.SlotRequest]] = []
        self._late: list[tuple[float, int, dispatch_types.SlotRequest]] = []
        self._sequence = itertools.count()
        self._grants_since_late = 0
        self.virtual_time = 0.0

    def __len__(self) -> int:
        return len(self._timely) + len(self._late)

    def push(self, ask: dispatch_types.SlotRequest) -> None:
        """Adds a request, ordered by its deadline."""
        heapq.heappush(self._timely, (ask.deadline, next(self._sequence), ask))

    def pop(self, now: float, lead: float) -> dispatch_types.SlotRequest:
        """Removes and returns the next request.

        Args:
            now: The current time.
            lead: Expected seconds to the first token.

        Raises:
            IndexError: If the queue is empty.
        """
        self._move_late(now + lead)
        self._grants_since_late += 1
        if not self._timely or (
            self._late and self._grants_since_late >= LATE_EVERY
        ):
            self._grants_since_late = 0
            return heapq.heappop(self._late)[2]
        return heapq.heappop(self._timely)[2]

    def unreachable_in_time(
        self, now: float, lead: float, rate: float
    ) -> list[dispatch_types.SlotRequest]:
        """Returns late requests that cannot be granted within their patience.

        The requests ahead of them take longer than their remaining patience,
        even if no more requests arrive.

        Args:
            now: The current time.
            lead: Expected seconds to the first token.
            rate: This workspace's grants per second.
        """
        self._move_late(now + lead)
        ahead = len(self._timely) + 1
        found = []
        for position, (_, _, ask) in enumerate(sorted(self._late), ahead):
            left = ask.patience - (now - ask.arrived)
            if position > left * rate and not ask.exempt_from_shedding:
                found.append(ask)
        return found

    def _move_late(self, horizon: float) -> None:
        while self._timely and self._timely[0][0] < horizon:
            _, sequence, ask = heapq.heappop(self._timely)
            heapq.heappush(self._late, (ask.arrived, sequence, ask))


class TierQueue:
    """The waiting requests of one tier, shared fairly between workspaces.

    Uses fair queueing by virtual time: a workspace's clock advances by the cost
    of its grants, and the workspace with the lowest clock is next. The heap
    holds one entry per workspace, so a pop takes O(log(workspaces) +
    log(requests of that workspace)).
    """

    def __init__(self) -> None:
        self._workspaces: dict[str, WorkspaceQueue] = {}
        self._order: list[tuple[float, str]] = []
        self._virtual_time = 0.0
        self._present: dict[str, dispatch_types.SlotRequest] = {}
        self._deadlines: list[
            tuple[float, int, dispatch_types.SlotRequest]
        ] = []
        self._sequence = itertools.count()
        self._stale = 0

    def __len__(self) -> int:
        return len(self._present)

    def __contains__(self, request_id: object) -> bool:
        return request_id in self._present

    def push(self, ask: dispatch_types.SlotRequest) -> None:
        """Adds a request; duplicates are ignored."""
        if ask.request_id in self._present:
            return
        queue = self._workspaces.get(ask.workspace)
        if queue is None:
            queue = self._workspaces[ask.workspace] = WorkspaceQueue()
        if not len(queue):
            # An idle workspace does not accumulate credit.
            queue.virtual_time = max(queue.virtual_time, self._virtual_time)
            heapq.heappush(self._order, (queue.virtual_time, ask.workspace))
        queue.push(ask)
        self._present[ask.request_id] = ask
        heapq.heappush(
            self._deadlines, (ask.deadline, next(self._sequence), ask)
        )

    def remove(self, request_id: str) -> dispatch_types.SlotRequest | None:
        """Removes a request; returns it, or None if it was not waiting."""
        ask = self._present.pop(request_id, None)
        if ask is not None:
            self._stale += 1
            self._compact()
        return ask

    def pop(self, now: float, lead: float) -> dispatch_types.SlotRequest | None:
        """Removes and returns the next request, or returns None.

        Args:
            now: The current time.
            lead: Expected seconds to the first token.
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
        """Returns the earliest deadline in the future, or None."""
        while self._deadlines:
            deadline, _, ask = self._deadlines[0]
            if deadline > now and self._present.get(ask.request_id) is ask:
                return deadline
            heapq.heappop(self._deadlines)
        return None

    def newest(self) -> dispatch_types.SlotRequest | None:
        """Returns the most recently added request, or None."""
        return next(reversed(self._present.values()), None)

    def unreachable_in_time(
        self, now: float, lead: float, rate: float
    ) -> list[dispatch_types.SlotRequest]:
        """Returns late requests that cannot be granted within their patience.

        Args:
            now: The current time.
            lead: Expected seconds to the first token.
            rate: This tier's grants per second.
        """
        waiting = [q for q in self._workspaces.values() if len(q)]
        found = [
            ask
            for queue in waiting
            for ask in queue.unreachable_in_time(now, lead, rate / len(waiting))
        ]
        return [a for a in found if self._present.get(a.request_id) is a]

    def __iter__(self) -> Iterator[dispatch_types.SlotRequest]:
        return iter(list(self._present.values()))

    def _pop_present(
        self, queue: WorkspaceQueue, now: float, lead: float
    ) -> dispatch_types.SlotRequest | None:
        while len(queue):
            ask = queue.pop(now, lead)
            if self._present.get(ask.request_id) is ask:
                return ask
        return None

    def _compact(self) -> None:
        """Rebuilds the heaps once most of their entries are stale."""
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
