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
        self,
        endpoint: placement.Endpoint,
        ratio: float,
        granted: float,
        now: float,
    ) -> None:
        """Records one ratio of observed to predicted time.

        Args:
            endpoint: The endpoint.
            ratio: Observed over predicted time.
            granted: When the observed run was granted.
            now: The current time.
        """
        endpoint.health.observe(ratio)
        if endpoint.health.state is endpoint_states.EndpointState.EJECTED:
            if ratio < endpoint_states.OUTLIER_RATIO:
                endpoint.health.move(
                    endpoint_states.EndpointEvent.TRIAL_PASSED, now
                )
            else:
                self._fail_trial(endpoint, granted, now)
            self._endpoints.refresh(endpoint, now)
            return
        self.evaluate(endpoint, now)

    def fault(
        self,
        endpoint: placement.Endpoint,
        granted: float,
        now: float,
        reached: bool,
    ) -> None:
        """Records one failed run or call.

        Args:
            endpoint: The endpoint.
            granted: When the run was granted or the call was sent.
            now: The current time.
            reached: Whether the endpoint was reached.
        """
        endpoint.health.fault(reached)
        if endpoint.health.state is endpoint_states.EndpointState.EJECTED:
            self._fail_trial(endpoint, granted, now)
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

    def _fail_trial(
        self, endpoint: placement.Endpoint, granted: float, now: float
    ) -> None:
        """Extends an ejection unless the run was granted before it.

        Such a run shows only what the endpoint was ejected for, and one run
        that stays overdue fails one trial.
        """
        if granted > endpoint.health.ejected_at:
            endpoint.health.move(
                endpoint_states.EndpointEvent.TRIAL_FAILED, now
            )

    def _may_eject(self) -> bool:
        ejected = sum(
            e.health.state is endpoint_states.EndpointState.EJECTED
            for e in self._endpoints.by_name.values()
        )
        listed = len(self._endpoints.by_name)
        most = max(1, int(listed * endpoint_states.MAX_EJECTED))
        return ejected < most and listed > 1
