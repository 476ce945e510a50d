"""Counts of free and taken places, kept up to date as endpoints change."""

from martenjunction.decisions import endpoint_states
from martenjunction.decisions.cells import placement


class Places:
    """The places of one cell's endpoints.

    Going through all endpoints for every request would make a decision's cost
    grow with the cell several times over; each change is booked here once.
    """

    def __init__(self) -> None:
        self._booked: dict[str, tuple[int, int, int]] = {}
        self._open: dict[str, placement.Endpoint] = {}
        self._free = 0
        self._slots = 0
        self._busy = 0

    @property
    def free(self) -> int:
        """Places that a run may take now."""
        return self._free

    @property
    def slots(self) -> int:
        """Places of all endpoints that receive work."""
        return self._slots

    @property
    def use(self) -> float:
        """The part of places that is taken, 0 to 1."""
        if self._slots == 0:
            return 1.0
        return min(1.0, self._busy / self._slots)

    def open(self) -> list[placement.Endpoint]:
        """Returns the endpoints with a free place."""
        return list(self._open.values())

    def refresh(self, endpoint: placement.Endpoint, now: float) -> None:
        """Books an endpoint as it stands now."""
        self._unbook(endpoint.name)
        free = endpoint.free(now)
        routing = endpoint_states.EndpointState.ROUTING
        receives = endpoint.health.state is routing and not endpoint.rests(now)
        slots = endpoint.slots if receives else 0
        busy = endpoint.busy
        if endpoint.limit_per_s is not None:
            # What it does not take is no place that others could wait for.
            slots = min(slots, busy + free)
        self._booked[endpoint.name] = (free, slots, busy)
        self._free += free
        self._slots += slots
        self._busy += busy
        if free > 0:
            self._open[endpoint.name] = endpoint

    def remove(self, name: str) -> None:
        """Forgets an endpoint."""
        self._unbook(name)

    def _unbook(self, name: str) -> None:
        free, slots, busy = self._booked.pop(name, (0, 0, 0))
        self._free -= free
        self._slots -= slots
        self._busy -= busy
        self._open.pop(name, None)
