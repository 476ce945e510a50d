"""The endpoints of one cell and their places, kept in step."""

from collections.abc import Set

from martenjunction.decisions import endpoint_states
from martenjunction.decisions.cells import asks
from martenjunction.decisions.cells import placement
from martenjunction.decisions.cells import places


class CellEndpoints:
    """Endpoints by name; each change of one is booked on the places."""

    def __init__(self) -> None:
        self._by_name: dict[str, placement.Endpoint] = {}
        self._places = places.Places()

    @property
    def by_name(self) -> dict[str, placement.Endpoint]:
        """The endpoints by name, to be read only."""
        return self._by_name

    @property
    def places(self) -> places.Places:
        """Their places."""
        return self._places

    def set(self, name: str, slots: int, now: float, zone: str) -> None:
        """Adds an endpoint, or changes how many requests it may run."""
        endpoint = self._by_name.get(name)
        if endpoint is None:
            endpoint = placement.Endpoint(name, slots, zone)
            self._by_name[name] = endpoint
        endpoint.slots = slots
        endpoint.health.move(endpoint_states.EndpointEvent.LISTED_AGAIN, now)
        self.refresh(endpoint, now)

    def set_leaving(self, name: str, now: float) -> None:
        """Gives an endpoint no new work from now on."""
        endpoint = self._by_name.get(name)
        if endpoint is not None:
            endpoint.health.move(endpoint_states.EndpointEvent.LEAVING, now)
            self.refresh(endpoint, now)

    def remove(self, name: str) -> None:
        """Forgets an endpoint."""
        self._by_name.pop(name, None)
        self._places.remove(name)

    def report(self, report: asks.LoadReport, now: float) -> None:
        """Takes in an endpoint's lagging word on its load."""
        endpoint = self._by_name.get(report.endpoint)
        if endpoint is not None:
            endpoint.report(report, now)
            self.refresh(endpoint, now)

    def start(self, run: asks.Run, now: float) -> None:
        """Books a run that takes a place."""
        endpoint = self._by_name.get(run.endpoint)
        if endpoint is not None:
            endpoint.start(run)
            self.refresh(endpoint, now)

    def finish(self, run: asks.Run, now: float) -> None:
        """Gives a run's place back."""
        endpoint = self._by_name.get(run.endpoint)
        if endpoint is not None:
            endpoint.finish(run.ask.request_id, now)
            self.refresh(endpoint, now)

    def refresh(self, endpoint: placement.Endpoint, now: float) -> None:
        """Books an endpoint's places as it stands now."""
        self._places.refresh(endpoint, now)

    def refused(self, name: str, rest_s: float, now: float) -> None:
        """Notes that an endpoint turned a run away.

        Args:
            name: The endpoint.
            rest_s: Seconds for which it wants nothing; 0 if it did not say.
            now: The current time.
        """
        endpoint = self._by_name[name]
        endpoint.refusals.refuse(now)
        if rest_s:
            # Its cell has one owner: there is nobody to return before or after.
            endpoint.refusals.ask_rest(rest_s, 0.0, now)
        self.refresh(endpoint, now)

    def answered(self, run: asks.Run, now: float) -> None:
        """Notes that an endpoint answers a run."""
        endpoint = self._by_name[run.endpoint]
        endpoint.refusals.answer(run.granted)
        self.refresh(endpoint, now)

    def names_limit(
        self, run: asks.Run, per_s: float | None, now: float
    ) -> None:
        """Notes the requests a second that an endpoint says it takes.

        Args:
            run: The run that was answered.
            per_s: The limit that it names; None for none.
            now: The current time.
        """
        endpoint = self._by_name[run.endpoint]
        endpoint.names_limit(run, per_s, now)
        self.refresh(endpoint, now)

    def rest_left_s(self, now: float) -> float:
        """Returns seconds until the first that rests is back; 0 for none."""
        ends = [
            endpoint.refusals.rest_until - now
            for endpoint in self._by_name.values()
            if endpoint.rests(now)
        ]
        return min(ends, default=0.0)

    def look_after(self, now: float) -> None:
        """Notes what only time changes."""
        endpoints = list(self._by_name.values())
        for endpoint in endpoints:
            endpoint.expire_report(now)
            self.refresh(endpoint, now)
        placement.forget_idle(endpoints, now)

    def routes_beyond(self, avoided: Set[str]) -> bool:
        """Whether an endpoint receives work that is not to be avoided."""
        return any(
            endpoint.name not in avoided
            and endpoint.health.state is endpoint_states.EndpointState.ROUTING
            for endpoint in self._by_name.values()
        )
