"""The endpoints of one cell, with consistent slot counts."""

from collections.abc import Set

from martenjunction.decisions import endpoint_states
from martenjunction.decisions.cells import dispatch_types
from martenjunction.decisions.cells import placement
from martenjunction.decisions.cells import places


class CellEndpoints:
    """Endpoints by name; every change updates the slot counts."""

    def __init__(self) -> None:
        self._by_name: dict[str, placement.Endpoint] = {}
        self._places = places.Places()

    @property
    def by_name(self) -> dict[str, placement.Endpoint]:
        """The endpoints by name. Callers must not modify it."""
        return self._by_name

    @property
    def places(self) -> places.Places:
        """The slot counts of all endpoints."""
        return self._places

    def set(self, name: str, slots: int, now: float, zone: str) -> None:
        """Adds an endpoint or changes its number of slots."""
        endpoint = self._by_name.get(name)
        if endpoint is None:
            endpoint = placement.Endpoint(name, slots, zone)
            self._by_name[name] = endpoint
        endpoint.slots = slots
        endpoint.health.move(endpoint_states.EndpointEvent.RELISTED, now)
        self.refresh(endpoint, now)

    def set_leaving(self, name: str, now: float) -> None:
        """Starts draining an endpoint."""
        endpoint = self._by_name.get(name)
        if endpoint is not None:
            endpoint.health.move(endpoint_states.EndpointEvent.LEAVING, now)
            self.refresh(endpoint, now)

    def remove(self, name: str) -> None:
        """Removes an endpoint."""
        self._by_name.pop(name, None)
        self._places.remove(name)

    def report(self, report: dispatch_types.LoadReport, now: float) -> None:
        """Applies an endpoint's load report."""
        endpoint = self._by_name.get(report.endpoint)
        if endpoint is not None:
            endpoint.report(report, now)
            self.refresh(endpoint, now)

    def start(self, run: dispatch_types.Run, now: float) -> None:
        """Records a run that occupies a slot."""
        endpoint = self._by_name.get(run.endpoint)
        if endpoint is not None:
            endpoint.start(run)
            self.refresh(endpoint, now)

    def finish(self, run: dispatch_types.Run, now: float) -> None:
        """Releases a run's slot."""
        endpoint = self._by_name.get(run.endpoint)
        if endpoint is not None:
            endpoint.finish(run.ask.request_id, now)
            self.refresh(endpoint, now)

    def refresh(self, endpoint: placement.Endpoint, now: float) -> None:
        """Updates the slot counts of an endpoint."""
        self._places.refresh(endpoint, now)

    def refused(self, name: str, rest_s: float, now: float) -> None:
        """Records that an endpoint refused a run.

        Args:
            name: The endpoint.
            rest_s: Requested back-off in seconds; 0 for none.
            now: The current time.
        """
        endpoint = self._by_name[name]
        endpoint.refusals.record_refusal(now)
        if rest_s:
            # No jitter is needed: only the cell's owner sends requests to it.
            endpoint.refusals.start_backoff(rest_s, 0.0, now)
        self.refresh(endpoint, now)

    def answered(self, run: dispatch_types.Run, now: float) -> None:
        """Records that an endpoint answered a run."""
        endpoint = self._by_name[run.endpoint]
        endpoint.refusals.record_answer(run.granted)
        self.refresh(endpoint, now)

    def set_rate_limit(
        self, run: dispatch_types.Run, per_s: float | None, now: float
    ) -> None:
        """Applies the rate limit that an endpoint announces.

        Args:
            run: The run whose response announced it.
            per_s: The limit in requests per second; None for no limit.
            now: The current time.
        """
        endpoint = self._by_name[run.endpoint]
        endpoint.set_rate_limit(run, per_s, now)
        self.refresh(endpoint, now)

    def backoff_left_s(self, now: float) -> float:
        """Returns seconds until the earliest back-off ends; 0 if none."""
        ends = [
            endpoint.refusals.backoff_until - now
            for endpoint in self._by_name.values()
            if endpoint.rests(now)
        ]
        return min(ends, default=0.0)

    def has_ejected(self, now: float) -> bool:
        """Returns whether any ejected endpoint is not in a back-off."""
        ejected = endpoint_states.EndpointState.EJECTED
        return any(
            endpoint.health.state is ejected and not endpoint.rests(now)
            for endpoint in self._by_name.values()
        )

    def refresh_all(self, now: float) -> None:
        """Applies time-dependent changes to all endpoints."""
        endpoints = list(self._by_name.values())
        for endpoint in endpoints:
            endpoint.expire_report(now)
            self.refresh(endpoint, now)
        placement.decay_idle(endpoints, now)

    def has_routing_outside(self, avoided: Set[str]) -> bool:
        """Returns whether any endpoint not in `avoided` receives requests."""
        return any(
            endpoint.name not in avoided
            and endpoint.health.state is endpoint_states.EndpointState.ROUTING
            for endpoint in self._by_name.values()
        )
