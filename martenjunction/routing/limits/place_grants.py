"""Grants places at endpoints that must not turn requests away, as holder."""

import asyncio
import collections
from collections.abc import Callable
import dataclasses

from martenjunction import timers
from martenjunction.decisions.boxes import place_table
from martenjunction.routing.endpoints import endpoint_table

# Seconds for which a request waits in line for a place. Without lines, boxes
# would ask for one endpoint after the other, and the more the fuller all are.
MAX_QUEUE_S = 0.15

# Maximum number of requests in line for one endpoint.
MAX_QUEUED = 256

# Called with 0 when a place is granted, else with the seconds after which to
# ask again; returns whether the place is still wanted.
Answer = Callable[[float], bool]


@dataclasses.dataclass(eq=False, slots=True)
class _Waiting:
    """A request in line for a place.

    Attributes:
        box: The box that asked.
        answer: Tells it the result.
        expiry: Ends the wait.
    """

    box: str
    answer: Answer
    expiry: asyncio.TimerHandle | None = None


@dataclasses.dataclass(slots=True)
class _Endpoint:
    """The places of an endpoint, and those in line for one."""

    table: place_table.PlaceTable
    queue: collections.deque[_Waiting] = dataclasses.field(
        default_factory=collections.deque
    )


class PlaceGrants:
    """The places that this box grants."""

    def __init__(
        self,
        table: endpoint_table.EndpointTable,
        clock: timers.Timers,
    ) -> None:
        """Initializes the grants without any endpoint.

        Args:
            table: Knows the endpoints and what runs there.
            clock: Provides the time.
        """
        self._table = table
        self._timers = clock
        self._endpoints: dict[str, _Endpoint] = {}

    def ask(
        self,
        endpoint_id: str,
        box: str,
        reachable_fraction: float,
        answer: Answer,
    ) -> None:
        """Grants a place, now or after a while, or denies it.

        Args:
            endpoint_id: The endpoint.
            box: The box that asks, or that forwarded its message.
            reachable_fraction: Fraction of the boxes that this box reaches.
            answer: Called with the result.
        """
        now = self._timers.now()
        entry = self._endpoints.setdefault(
            endpoint_id, _Endpoint(place_table.PlaceTable(now))
        )
        entry.table.reachable_fraction = reachable_fraction
        if not entry.queue and self._take(endpoint_id, entry, box):
            if not answer(0.0):
                entry.table.release(box)
            return
        if len(entry.queue) >= MAX_QUEUED:
            answer(MAX_QUEUE_S)
            return
        waiting = _Waiting(box, answer)
        waiting.expiry = asyncio.get_running_loop().call_later(
            MAX_QUEUE_S, self._expire, entry, waiting
        )
        entry.queue.append(waiting)

    def release(self, endpoint_id: str, box: str) -> None:
        """Frees a place of a box and gives it to the next in line."""
        entry = self._endpoints.get(endpoint_id)
        if entry is None:
            return
        entry.table.release(box)
        self._serve_queue(endpoint_id, entry)

    def clean_up(self, live_boxes: set[str]) -> None:
        """Frees the places of boxes and endpoints that are gone."""
        for endpoint_id, entry in list(self._endpoints.items()):
            entry.table.retain(live_boxes)
            self._serve_queue(endpoint_id, entry)
            if (
                self._table.brittle.per_s(endpoint_id) is None
                and not entry.queue
            ):
                del self._endpoints[endpoint_id]

    def _serve_queue(self, endpoint_id: str, entry: _Endpoint) -> None:
        while entry.queue and self._take(
            endpoint_id, entry, entry.queue[0].box
        ):
            waiting = entry.queue.popleft()
            if waiting.expiry is not None:
                waiting.expiry.cancel()
            if not waiting.answer(0.0):
                entry.table.release(waiting.box)

    def _take(self, endpoint_id: str, entry: _Endpoint, box: str) -> bool:
        listed = self._table.listed.entries.get(endpoint_id)
        if listed is None:
            return False
        now = self._timers.now()
        record = self._table.records.get(endpoint_id)
        running = 0 if record is None else record.loads.running(now)
        return entry.table.take(box, listed.endpoint.slots, running, now)

    def _expire(self, entry: _Endpoint, waiting: _Waiting) -> None:
        if waiting in entry.queue:
            entry.queue.remove(waiting)
            waiting.answer(place_table.RETRY_S)
