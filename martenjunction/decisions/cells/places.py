"""Incremental counts of free and occupied slots."""

from martenjunction.decisions import endpoint_states
from martenjunction.decisions.cells import placement


class Places:
    """The slot counts of one cell's endpoints.

    The counts are updated once per change of an endpoint. Iterating over all
    endpoints several times per request would make the cost of a decision grow
    with the size of the cell.
    """

    def __init__(self) -> None:
        self._counted: dict[str, tuple[int, int, int]] = {}
        self._available: dict[str, placement.Endpoint] = {}
        self._free = 0
        self._slots = 0
        self._busy = 0

    @property
    def free(self) -> int:
        """Number of slots available to new runs."""
        return self._free

    @property
    def slots(self) -> int:
        """Number of slots of all endpoints that receive requests."""
        return self._slots

    @property
    def use(self) -> float:
        """Fraction of slots that is occupied, 0 to 1."""
        if self._slots == 0:
            return 1.0
        return min(1.0, self._busy / self._slots)

    def open(self) -> list[placement.Endpoint]:
        """Returns the endpoints with a free slot."""
        return list(self._available.values())

    def refresh(self, endpoint: placement.Endpoint, now: float) -> None:
        """Updates the counts of an endpoint."""
        self._remove_counts(endpoint.name)
        free = endpoint.free(now)
        routing = endpoint_states.EndpointState.ROUTING
        receives = endpoint.health.state is routing and not endpoint.rests(now)
        slots = endpoint.slots if receives else 0
        busy = endpoint.busy
        if endpoint.limit_per_s is not None:
            # Slots that the rate limit leaves unused are not capacity.
            slots = min(slots, busy + free)
        self._counted[endpoint.name] = (free, slots, busy)
        self._free += free
        self._slots += slots
        self._busy += busy
        if free > 0:
            self._available[endpoint.name] = endpoint

    def remove(self, name: str) -> None:
        """Removes an endpoint."""
        self._remove_counts(name)

    def _remove_counts(self, name: str) -> None:
        free, slots, busy = self._counted.pop(name, (0, 0, 0))
        self._free -= free
        self._slots -= slots
        self._busy -= busy
        self._available.pop(name, None)
