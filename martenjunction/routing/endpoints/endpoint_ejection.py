"""Ejects unhealthy endpoints and reinstates them."""

from martenjunction.decisions import endpoint_states
from martenjunction.decisions.boxes import endpoint_records
from martenjunction.routing.log import decision_log

# Time, in seconds, without a byte from an endpoint with pending responses, from
# which on its silence is judged by the response times of its service. Shorter
# pauses do not matter to callers.
PLAIN_SILENCE_TIMEOUT_S = 0.4
ENGINE_SILENCE_TIMEOUT_S = 1.0
SINGLE_SILENCE_TIMEOUT_S = 1.5

# Time, in seconds, without a byte from such an endpoint, beyond a multiple of
# the predicted time, after which the path to it is checked.
PLAIN_QUIET_S = 0.1
ENGINE_QUIET_S = 0.3
QUIET_FACTOR = 2.0

# Time, in seconds, for which an ejected endpoint due for a trial waits for a
# repeatable request before it is probed with a health check.
PROBE_DELAY_S = 1.5


def is_quiet_for_long(
    record: endpoint_records.EndpointRecord,
    pending_since: list[float],
    unanswered: int,
    last_received_at: float,
    now: float,
) -> bool:
    """Returns whether an endpoint sent nothing for long enough to be judged.

    Args:
        record: The endpoint.
        pending_since: The send times of its pending requests.
        unanswered: Number of requests since its last byte, pending or not.
        last_received_at: When the last byte was received; 0 for never.
        now: The current time.
    """
    timeout_s = _silence_timeout_s(record)
    if unanswered == 1:
        # A single response may be slow by itself.
        timeout_s = max(timeout_s, SINGLE_SILENCE_TIMEOUT_S)
    since = max(min(pending_since), last_received_at)
    return now - since > timeout_s


def has_waited_for_long(
    record: endpoint_records.EndpointRecord, waiting_since: float, now: float
) -> bool:
    """Returns whether a request at a silent endpoint has itself waited.

    One that was sent to it only just now may be answered with the first ones.
    """
    return now - waiting_since > _silence_timeout_s(record)


def is_short_silence(
    sent_at: float, last_received_at: float, now: float
) -> bool:
    """Returns whether a run left an endpoint that was silent for a short time.

    Such a run is not held against the endpoint once it answers again: other
    boxes, which hear of failures and not of silence, would avoid an endpoint
    that stopped for about a second for many seconds more.

    Args:
        sent_at: When the run was sent.
        last_received_at: When the last byte was received; 0 for never.
        now: The current time.
    """
    return now - max(sent_at, last_received_at) < SINGLE_SILENCE_TIMEOUT_S


def is_quiet(
    record: endpoint_records.EndpointRecord,
    pending_since: list[float],
    expected_s: float,
    last_received_at: float,
    now: float,
) -> bool:
    """Returns whether the path to an endpoint is worth a check.

    Args:
        record: The endpoint.
        pending_since: The send times of its pending requests.
        expected_s: Predicted seconds to the first byte of the slowest of them.
        last_received_at: When the last byte was received; 0 for never.
        now: The current time.
    """
    base_s = ENGINE_QUIET_S if record.cache_tokens else PLAIN_QUIET_S
    since = max(min(pending_since), last_received_at)
    return now - since > base_s + QUIET_FACTOR * expected_s


def due_for_probe(record: endpoint_records.EndpointRecord, now: float) -> bool:
    """Returns whether an ejected endpoint needs a health check."""
    return (
        record.is_ejected
        and record.loads.own_running == 0
        and record.health.trial_due(now - PROBE_DELAY_S)
    )


class EjectionTracker:
    """Applies the state transitions of endpoints and logs them."""

    def __init__(self, log: decision_log.DecisionLog) -> None:
        """Initializes the tracker.

        Args:
            log: Receives a line for each endpoint ejected or reinstated.
        """
        self._log = log

    def note_response(
        self, record: endpoint_records.EndpointRecord, now: float
    ) -> None:
        """Reinstates an ejected endpoint that responds."""
        if record.is_ejected:
            self._apply(record, endpoint_states.EndpointEvent.TRIAL_PASSED, now)

    def note_unreachable(
        self, record: endpoint_records.EndpointRecord, now: float, cause: str
    ) -> None:
        """Ejects an endpoint to which no connection could be made."""
        record.health.fault(reached=False)
        self._eject(record, f"not reached: {cause}", now)

    def note_broken_response(
        self, record: endpoint_records.EndpointRecord, now: float
    ) -> None:
        """Counts a broken response; ejects the endpoint after several."""
        record.health.fault(reached=True)
        if record.health.faults >= endpoint_states.MAX_FAULTS:
            self._eject(record, "responses broken off", now)

    def note_silence(
        self, record: endpoint_records.EndpointRecord, now: float
    ) -> None:
        """Ejects a silent endpoint, unless it is ejected already."""
        if not record.is_ejected:
            self._eject(record, "silent", now)

    def reinstate(
        self, record: endpoint_records.EndpointRecord, now: float
    ) -> None:
        """Reinstates an ejected endpoint that a peer reaches."""
        self._apply(
            record,
            endpoint_states.EndpointEvent.TRIAL_PASSED,
            now,
            "a peer reaches it",
        )

    def note_probe_result(
        self, record: endpoint_records.EndpointRecord, healthy: bool, now: float
    ) -> None:
        """Applies the result of a health check of an ejected endpoint."""
        passed = endpoint_states.EndpointEvent.TRIAL_PASSED
        failed = endpoint_states.EndpointEvent.TRIAL_FAILED
        self._apply(record, passed if healthy else failed, now, "health check")

    def _eject(
        self, record: endpoint_records.EndpointRecord, why: str, now: float
    ) -> None:
        event = endpoint_states.EndpointEvent.OUTLIER
        if record.is_ejected:
            if not record.health.trial_due(now):
                # The failed request was sent before the ejection.
                return
            event = endpoint_states.EndpointEvent.TRIAL_FAILED
        self._apply(record, event, now, why)

    def _apply(
        self,
        record: endpoint_records.EndpointRecord,
        event: endpoint_states.EndpointEvent,
        now: float,
        why: str = "",
    ) -> None:
        if record.health.move(event, now):
            self._log.write(
                "endpoint-trust",
                endpoint=record.id,
                state=record.health.state.value,
                why=why or event.value,
                running=record.loads.own_running,
            )


def _silence_timeout_s(record: endpoint_records.EndpointRecord) -> float:
    if record.cache_tokens:
        return ENGINE_SILENCE_TIMEOUT_S
    return PLAIN_SILENCE_TIMEOUT_S
