"""What a dispatcher keeps of its cell, in step with each other."""

import dataclasses

from martenjunction.decisions.cells import asks
from martenjunction.decisions.cells import cell_endpoints
from martenjunction.decisions.cells import cell_pace
from martenjunction.decisions.cells import dispatch_counts
from martenjunction.decisions.cells import granted_runs
from martenjunction.decisions.cells import waiting_requests


@dataclasses.dataclass(slots=True)
class CellState:
    """The state that the parts of one dispatcher share.

    Attributes:
        waiting: The requests that wait.
        runs: The runs that hold places.
        endpoints: The cell's endpoints and their places.
        pace: How fast places are granted and come free.
        counts: What was done.
    """

    waiting: waiting_requests.WaitingRequests
    runs: granted_runs.GrantedRuns
    endpoints: cell_endpoints.CellEndpoints = dataclasses.field(
        default_factory=cell_endpoints.CellEndpoints
    )
    pace: cell_pace.Pace = dataclasses.field(default_factory=cell_pace.Pace)
    counts: dispatch_counts.Counts = dataclasses.field(
        default_factory=dispatch_counts.Counts
    )

    def add_run(self, run: asks.Run, now: float) -> None:
        """Books a run that takes a place."""
        self.runs.add(run)
        self.endpoints.start(run, now)

    def remove_run(self, run: asks.Run, now: float) -> None:
        """Gives a run's place back."""
        self.runs.remove(run)
        self.endpoints.finish(run, now)

    def predicted_delay(self, tier: int, now: float) -> float:
        """Returns seconds that a new request of a tier would wait."""
        rest_s = self.endpoints.rest_left_s(now)
        if rest_s and not self.endpoints.places.slots:
            return rest_s
        return self.pace.delay(tier, self.waiting, self.endpoints.places, now)
