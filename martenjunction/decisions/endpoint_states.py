"""State machine and outlier detection of an endpoint."""

import dataclasses
import enum


class EndpointState(enum.StrEnum):
    """The routing states of an endpoint.

    Attributes:
        PENDING: Listed; no load report received yet.
        ROUTING: Receives requests.
        DRAINING: Receives no new requests; finishes those in flight.
        EJECTED: Slow or failing; receives at most one half-open probe at a
            time.
    """

    PENDING = "pending"
    ROUTING = "routing"
    DRAINING = "draining"
    EJECTED = "ejected"


class EndpointEvent(enum.Enum):
    """Events that can change an endpoint's state."""

    RESPONDED = "heard"
    OUTLIER = "outlier"
    TRIAL_PASSED = "trial-passed"
    TRIAL_FAILED = "trial-failed"
    LEAVING = "leaving"
    RELISTED = "listed-again"


_NEXT: dict[tuple[EndpointState, EndpointEvent], EndpointState] = {
    (EndpointState.PENDING, EndpointEvent.RESPONDED): EndpointState.ROUTING,
    (EndpointState.PENDING, EndpointEvent.LEAVING): EndpointState.DRAINING,
    (EndpointState.PENDING, EndpointEvent.OUTLIER): EndpointState.EJECTED,
    (EndpointState.ROUTING, EndpointEvent.OUTLIER): EndpointState.EJECTED,
    (EndpointState.ROUTING, EndpointEvent.LEAVING): EndpointState.DRAINING,
    (EndpointState.EJECTED, EndpointEvent.TRIAL_PASSED): EndpointState.ROUTING,
    (EndpointState.EJECTED, EndpointEvent.LEAVING): EndpointState.DRAINING,
    (EndpointState.DRAINING, EndpointEvent.RELISTED): EndpointState.PENDING,
}


def next_state(state: EndpointState, event: EndpointEvent) -> EndpointState:
    """Returns the state after an event; undefined transitions are ignored."""
    return _NEXT.get((state, event), state)


@dataclasses.dataclass(slots=True)
class Health:
    """The health of one endpoint.

    Attributes:
        state: Whether the endpoint receives requests.
        ratio: Exponential moving average of observed over predicted time.
        samples: Observations since the last state change.
        faults: Consecutive failed runs.
        ejected_at: Time of the last ejection.
        ejections: Consecutive ejections; sets the length of the next one.
        unreachable: Whether it could not be connected to. A load report is
            then sufficient evidence to reinstate it.
    """

    state: EndpointState = EndpointState.PENDING
    ratio: float = 1.0
    samples: int = 0
    faults: int = 0
    ejected_at: float = 0.0
    ejections: int = 0
    unreachable: bool = False

    def move(self, event: EndpointEvent, now: float) -> bool:
        """Applies an event; returns whether the state changed."""
        if event is EndpointEvent.RESPONDED and self.unreachable:
            event = EndpointEvent.TRIAL_PASSED
        after = next_state(self.state, event)
        if after is self.state:
            if event is EndpointEvent.TRIAL_FAILED:
                self._extend_ejection(now)
            return False
        if after is EndpointState.EJECTED:
            self._extend_ejection(now)
        if event is EndpointEvent.TRIAL_PASSED:
            self.ejections = 0
        if after is not EndpointState.EJECTED:
            self.unreachable = False
        self.state = after
        self.ratio = 1.0
        self.samples = 0
        self.faults = 0
        return True

    def observe(self, ratio: float) -> None:
        """Records one ratio of observed to predicted time."""
        self.samples += 1
        self.faults = 0
        self.unreachable = False
        self.ratio += (min(ratio, RATIO_CAP) - self.ratio) * RATIO_WEIGHT

    def fault(self, reached: bool) -> None:
        """Records one failed run.

        Args:
            reached: Whether the endpoint was reached. A single failure to
                connect counts as the maximum number of faults.
        """
        self.faults += 1 if reached else MAX_FAULTS
        if not reached:
            self.unreachable = True

    @property
    def may_be_outlier(self) -> bool:
        """Whether the endpoint must be compared with its cell."""
        return self.faults >= MAX_FAULTS or self.ratio > OUTLIER_RATIO

    def is_outlier(self, typical: float) -> bool:
        """Returns whether the endpoint is far worse than its cell.

        Args:
            typical: The median ratio of the cell's endpoints.
        """
        if self.faults >= MAX_FAULTS:
            return True
        slow = self.ratio > OUTLIER_RATIO * max(typical, 1.0)
        return self.samples >= MIN_SAMPLES and slow

    def trial_due(self, now: float) -> bool:
        """Returns whether an ejected endpoint may get a half-open probe."""
        delay = min(
            INITIAL_PROBE_DELAY_S * 2.0 ** max(0, self.ejections - 1),
            MAX_PROBE_DELAY_S,
        )
        return now - self.ejected_at >= delay

    def _extend_ejection(self, now: float) -> None:
        self.ejected_at = now
        self.ejections += 1


# An endpoint is an outlier when its ratio is OUTLIER_RATIO times the median of
# its cell after at least MIN_SAMPLES observations, or when MAX_FAULTS
# consecutive runs failed.
OUTLIER_RATIO = 3.0
MIN_SAMPLES = 3
MAX_FAULTS = 3
RATIO_CAP = 20.0
RATIO_WEIGHT = 0.3

# Initial and maximum delay before a half-open probe, in seconds.
INITIAL_PROBE_DELAY_S = 2.0
MAX_PROBE_DELAY_S = 60.0

# Maximum fraction of a cell's endpoints that is ejected at once.
MAX_EJECTED = 0.34
