"""One in-flight request of this box at one endpoint."""

from collections.abc import Callable
import dataclasses
import math

from martenjunction.decisions.boxes import endpoint_choice
from martenjunction.decisions.boxes import endpoint_records


@dataclasses.dataclass(frozen=True, slots=True)
class Patience:
    """When an answer is late, as far as its request tells.

    Attributes:
        least_s: Seconds below which it is not, whatever others take.
        unknown_s: Seconds beyond which it is if nothing is known of the times
            that others take.
    """

    least_s: float
    unknown_s: float


# Of requests whose answer is never late.
NO_PATIENCE_LIMIT = Patience(math.inf, math.inf)


class RunTicket:
    """Tracks one in-flight request at one endpoint.

    Attributes:
        bytes_at: Listening time of the last bytes of a body, or None.
        first_event_at: Listening time of the first event of a stream, or None.
        answered: Whether bytes of an answer came.
        move_requested: Whether the request should get another endpoint.
        keeps_running: Whether the endpoint may be sound and its answer only be
            late, so that the run must not be ended for that.
        endpoint_restarted: Whether the endpoint restarted, which ended the
            run.
        resumed: Whether the run continues an earlier one, so that only a part
            of its prompt is read.
        direct: Whether its connection is this box's own.
        paused: Whether its answer is not read for now.
        given_up: Whether this box ended the run, which says nothing of the
            endpoint.
        patience: When an answer is late, as far as the request tells.
        unheard: Whether the endpoint acknowledges nothing of the request. Its
            connection may be silent for good while new ones work.
    """

    def __init__(
        self,
        choice: endpoint_choice.Choice,
        demand: endpoint_records.Demand,
        now: float,
        listened: float,
        resumed: bool = False,
        direct: bool = True,
        is_unheard: Callable[[], bool] = bool,
        patience: Patience = NO_PATIENCE_LIMIT,
    ) -> None:
        """Initializes the ticket of a request that is about to be sent.

        Args:
            choice: The selected endpoint and its predicted latency.
            demand: The resources that the request needs.
            now: The current time.
            listened: The current time on the registry's listening clock.
            resumed: Whether the run continues an earlier one.
            direct: Whether its connection is this box's own.
            is_unheard: Returns whether the other side of its connection
                acknowledges nothing.
            patience: When its answer is late, as far as the request tells.
        """
        self.record = choice.record
        self.choice = choice
        self.demand = demand
        self.started_at = now
        self.sent_at = listened
        self.last_received_at = listened
        self.waiting = True
        self.bytes_at: float | None = None
        self.first_event_at: float | None = None
        self.answered = False
        self.move_requested = False
        self.keeps_running = False
        self.given_up = False
        self.patience = patience
        self.endpoint_restarted = False
        self.resumed = resumed
        self.direct = direct
        self.paused = False
        self.unheard = False
        self.is_unheard = is_unheard

    @property
    def waiting_since(self) -> float:
        """Listening time since which it waits for its next bytes."""
        return self.sent_at if self.bytes_at is None else self.bytes_at
