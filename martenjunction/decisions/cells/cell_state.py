"""The state of one cell, kept consistent for its dispatcher."""

import dataclasses

from martenjunction.decisions.cells import cell_endpoints
from martenjunction.decisions.cells import cell_pace
from martenjunction.decisions.cells import dispatch_counts
from martenjunction.decisions.cells import dispatch_types
from martenjunction.decisions.cells import granted_runs
from martenjunction.decisions.cells import waiting_requests


@dataclasses.dataclass(slots=True)
class CellState:
    """The state shared by the components of one dispatcher.

    Attributes:
        waiting: The waiting requests.
        runs: The runs that occupy slots.
        endpoints: The cell's endpoints and their slot counts.
        pace: Throughput and latency estimates.
        counts: Counters of the dispatcher's decisions.
    """

    waiting: waiting_requests.WaitingRequests
    runs: granted_runs.GrantedRuns
    endpoints: cell_endpoints.CellEndpoints = dataclasses.field(
        default_factory=cell_endpoints.CellEndpoints
    )
    pace: cell_pace.CellPace = dataclasses.field(
        default_factory=cell_pace.CellPace
    )
    counts: dispatch_counts.DispatchCounts = dataclasses.field(
        default_factory=dispatch_counts.DispatchCounts
    )

    def add_run(self, run: dispatch_types.Run, now: float) -> None:
        """Records a run that occupies a slot."""
        self.runs.add(run)
        self.endpoints.start(run, now)

    def remove_run(self, run: dispatch_types.Run, now: float) -> None:
        """Releases a run's slot."""
        self.runs.remove(run)
        self.endpoints.finish(run, now)

    def predicted_delay(self, tier: int, now: float) -> float:
        """Returns the predicted queueing delay of a new request in seconds."""
        places = self.endpoints.places
        delay = self.pace.delay(tier, self.waiting, places, now)
        rest_s = self.endpoints.backoff_left_s(now)
        if not rest_s or places.slots:
            return delay
        # An ejected endpoint may be reinstated before a back-off ends, but
        # only if requests wait for its probe.
        may_reinstate = self.endpoints.has_ejected(now)
        return min(rest_s, delay) if may_reinstate else rest_s
