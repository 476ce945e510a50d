"""Puts together what a box knows of endpoints."""

import random

from martenjunction.decisions.boxes import endpoint_list
from martenjunction.routing.endpoints import endpoint_ejection
from martenjunction.routing.endpoints import endpoint_health
from martenjunction.routing.endpoints import endpoint_reports
from martenjunction.routing.endpoints import endpoint_selector
from martenjunction.routing.endpoints import endpoint_table
from martenjunction.routing.endpoints import run_tracker
from martenjunction.routing.log import decision_log


class EndpointRegistry:
    """The table of endpoints, and the parts that work on it.

    Callers take the part that they need. What concerns several of them at a
    time is done here.
    """

    def __init__(
        self,
        listed: endpoint_list.EndpointList,
        log: decision_log.DecisionLog,
        rng: random.Random,
    ) -> None:
        """Initializes the registry.

        Args:
            listed: The list of endpoints.
            log: Receives a line for each endpoint ejected or reinstated.
            rng: Breaks ties.
        """
        ejection = endpoint_ejection.EjectionTracker(log)
        self._table = endpoint_table.EndpointTable(listed, log)
        self._selector = endpoint_selector.EndpointSelector(self._table, rng)
        self._runs = run_tracker.RunTracker(self._table, ejection)
        self._health = endpoint_health.EndpointHealth(
            self._table, ejection, rng
        )
        self._reports = endpoint_reports.EndpointReports(self._table)

    @property
    def table(self) -> endpoint_table.EndpointTable:
        """The records of endpoints."""
        return self._table

    @property
    def selector(self) -> endpoint_selector.EndpointSelector:
        """Selects one endpoint per request."""
        return self._selector

    @property
    def runs(self) -> run_tracker.RunTracker:
        """The runs of this box at endpoints."""
        return self._runs

    @property
    def health(self) -> endpoint_health.EndpointHealth:
        """Which endpoints accept work."""
        return self._health

    @property
    def reports(self) -> endpoint_reports.EndpointReports:
        """What boxes tell each other of their runs at endpoints."""
        return self._reports

    def observe_paths(self, paths: run_tracker.EndpointPathObserver) -> None:
        """Sets the object that knows the paths of this box to endpoints."""
        self._runs.observe_paths(paths)

    def note_path_cut(
        self, endpoint_id: str, connections_lost: bool, now: float
    ) -> None:
        """Records that a peer reaches an endpoint and this box does not.

        Args:
            endpoint_id: The endpoint.
            connections_lost: Whether its open connections are lost as well.
            now: The current time.
        """
        self._health.note_path_cut(endpoint_id, now)
        record = self._table.records.get(endpoint_id)
        if record is not None and connections_lost:
            self._runs.move(record)

    def tick(self, now: float) -> None:
        """Ejects silent endpoints and drops the records of removed ones."""
        self._runs.tick(now)
        self._runs.forget(self._table.drop_removed(now))
        self._table.decay_idle()
        self._table.engines.recompute(now)
