"""Outlier detection among a cell's endpoints."""

import statistics

from martenjunction.decisions import endpoint_states
from martenjunction.decisions.cells import cell_state
from martenjunction.decisions.cells import placement


class Outliers:
    """Ejects and reinstates endpoints by comparing their observations."""

    def __init__(self, cell: cell_state.CellState) -> None:
        """Initializes the detector for a cell."""
        self._endpoints = cell.endpoints
        self._counts = cell.counts

    def observe(
        self, endpoint: placement.Endpoint, ratio: float, now: float
    ) -> None:
        """Records one ratio of observed to predicted time."""
        endpoint.health.observe(ratio)
        if endpoint.health.state is endpoint_states.EndpointState.EJECTED:
            passed = ratio < endpoint_states.OUTLIER_RATIO
            event = (
                endpoint_states.EndpointEvent.TRIAL_PASSED
                if passed
                else endpoint_states.EndpointEvent.TRIAL_FAILED
            )
            endpoint.health.move(event, now)
            self._endpoints.refresh(endpoint, now)
            return
        self.evaluate(endpoint, now)

    def fault(
        self, endpoint: placement.Endpoint, now: float, reached: bool
    ) -> None:
        """Records one failed run or call.

        Args:
            endpoint: The endpoint.
            now: The current time.
            reached: Whether the endpoint was reached.
        """
        endpoint.health.fault(reached)
        if endpoint.health.state is endpoint_states.EndpointState.EJECTED:
            endpoint.health.move(
                endpoint_states.EndpointEvent.TRIAL_FAILED, now
            )
        self.evaluate(endpoint, now)

    def evaluate(self, endpoint: placement.Endpoint, now: float) -> None:
        """Ejects an endpoint if it is an outlier and enough others remain."""
        if not endpoint.health.may_be_outlier:
            return
        others = [
            e.health.ratio
            for e in self._endpoints.by_name.values()
            if e is not endpoint
        ]
        typical = statistics.median(others) if others else 1.0
        if not endpoint.health.is_outlier(typical):
            return
        if not self._may_eject():
            return
        if endpoint.health.move(endpoint_states.EndpointEvent.OUTLIER, now):
            self._counts.ejected += 1
            self._endpoints.refresh(endpoint, now)

    def _may_eject(self) -> bool:
        ejected = sum(
            e.health.state is endpoint_states.EndpointState.EJECTED
            for e in self._endpoints.by_name.values()
        )
        listed = len(self._endpoints.by_name)
        most = max(1, int(listed * endpoint_states.MAX_EJECTED))
        return ejected < most and listed > 1
