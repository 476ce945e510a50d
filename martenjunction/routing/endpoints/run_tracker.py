"""Tracks the runs of this box at endpoints."""

from typing import Protocol

from martenjunction.decisions.boxes import endpoint_choice
from martenjunction.decisions.boxes import endpoint_records

# Lower and upper bound of the ratio of observed to predicted latency.
SLOWNESS_BOUNDS = (0.3, 4.0)

# Maximum slowness of an engine whose token pauses are used to learn the profile
# of its service.
MAX_LEARNING_SLOWNESS = 1.5


class RunTicket:
    """Tracks one in-flight request at one endpoint.

    Attributes:
        first_event_at: Listening time of the first event of a stream, or None.
        answered: Whether bytes of an answer came.
        move_requested: Whether the endpoint is silent, so that the request
            should be moved to another one.
        endpoint_restarted: Whether the endpoint restarted, which ended the
            run.
        resumed: Whether the run continues an earlier one, so that only a part
            of its prompt is read.
        direct: Whether its connection is this box's own.
        paused: Whether its answer is not read for now.
    """

    def __init__(
        self,
        choice: endpoint_choice.Choice,
        demand: endpoint_records.Demand,
        now: float,
        listened: float,
        resumed: bool = False,
        direct: bool = True,
    ) -> None:
        """Initializes the ticket of a request that is about to be sent.

        Args:
            choice: The selected endpoint and its predicted latency.
            demand: The resources that the request needs.
            now: The current time.
            listened: The current time on the registry's listening clock.
            resumed: Whether the run continues an earlier one.
            direct: Whether its connection is this box's own.
        """
        self.record = choice.record
        self.choice = choice
        self.demand = demand
        self.started_at = now
        self.sent_at = listened
        self.last_received_at = listened
        self.waiting = True
        self.first_event_at: float | None = None
        self.answered = False
        self.move_requested = False
        self.endpoint_restarted = False
        self.resumed = resumed
        self.direct = direct
        self.paused = False


class EndpointPathObserver(Protocol):
    """Knows the paths of this box to endpoints."""

    def is_trusted(self, endpoint_id: str) -> bool:
        """Returns whether a failure may be held against the endpoint."""

    def note_heard(self, endpoint_id: str, now: float) -> None:
        """Records bytes that came over an own connection."""

    def check(self, endpoint_id: str) -> None:
        """Checks the path to an endpoint that is unusually quiet."""


class NoPaths:
    """Paths that are never in doubt."""

    def is_trusted(self, endpoint_id: str) -> bool:
        """Returns that a failure may be held against the endpoint."""
        return True

    def note_heard(self, endpoint_id: str, now: float) -> None:
        """Does nothing."""

    def check(self, endpoint_id: str) -> None:
        """Does nothing."""
