"""When an endpoint is given up, and when it is trusted again."""

from martenjunction.decisions import endpoint_states
from martenjunction.decisions.boxes import endpoint_records
from martenjunction.routing import decision_log

# Seconds without a byte from an endpoint that owes answers, after which it
# gets no new work. A plain service answers within a few tens of milliseconds,
# an engine's running streams bring an event every 20 to 250 ms.
PLAIN_SILENCE_S = 0.4
ENGINE_SILENCE_S = 1.0
SINGLE_SILENCE_S = 1.5

# Seconds for which an ejected endpoint that is due for a trial waits for a
# request that may be repeated, before its health is asked instead.
PROBE_PATIENCE_S = 1.5


def is_silent(
    record: endpoint_records.EndpointRecord,
    owed: list[float],
    heard_at: float,
    now: float,
) -> bool:
    """Returns whether an endpoint owes answers and says nothing.

    Args:
        record: The endpoint.
        owed: When the requests were sent that it has not answered in full.
        heard_at: When it was last heard; 0 for never.
        now: The current time.
    """
    if _is_ejected(record) or not owed:
        return False
    limit = ENGINE_SILENCE_S if record.cache_tokens else PLAIN_SILENCE_S
    if len(owed) == 1:
        # A single answer may take long by itself.
        limit = max(limit, SINGLE_SILENCE_S)
    since = max(min(owed), heard_at)
    return now - since > limit


def due_for_probe(record: endpoint_records.EndpointRecord, now: float) -> bool:
    """Returns whether an endpoint is ejected and no request has tried it."""
    return (
        _is_ejected(record)
        and record.loads.own_running == 0
        and record.health.trial_due(now - PROBE_PATIENCE_S)
    )


class EndpointTrust:
    """Moves the states of endpoints, and logs each move."""

    def __init__(self, log: decision_log.DecisionLog) -> None:
        """Makes it.

        Args:
            log: Told of each endpoint that is given up or trusted again.
        """
        self._log = log

    def heard(
        self, record: endpoint_records.EndpointRecord, now: float
    ) -> None:
        """Notes that an endpoint answers."""
        if _is_ejected(record):
            self._move(record, endpoint_states.EndpointEvent.TRIAL_PASSED, now)

    def not_reached(
        self, record: endpoint_records.EndpointRecord, now: float
    ) -> None:
        """Notes that no connection to an endpoint could be had."""
        record.health.fault(reached=False)
        self._eject(record, "not reached", now)

    def broken(
        self, record: endpoint_records.EndpointRecord, now: float
    ) -> None:
        """Notes that an endpoint broke an answer off."""
        record.health.fault(reached=True)
        if record.health.faults >= endpoint_states.MAX_FAULTS:
            self._eject(record, "answers break off", now)

    def silent(
        self, record: endpoint_records.EndpointRecord, now: float
    ) -> None:
        """Notes that an endpoint is silent."""
        self._eject(record, "silent", now)

    def probed(
        self, record: endpoint_records.EndpointRecord, sound: bool, now: float
    ) -> None:
        """Notes the answer to a health check of an ejected endpoint."""
        passed = endpoint_states.EndpointEvent.TRIAL_PASSED
        failed = endpoint_states.EndpointEvent.TRIAL_FAILED
        self._move(record, passed if sound else failed, now, "health check")

    def _eject(
        self, record: endpoint_records.EndpointRecord, why: str, now: float
    ) -> None:
        event = endpoint_states.EndpointEvent.OUTLIER
        if _is_ejected(record):
            if not record.health.trial_due(now):
                # One of the requests that were sent before it was ejected.
                return
            event = endpoint_states.EndpointEvent.TRIAL_FAILED
        self._move(record, event, now, why)

    def _move(
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


def _is_ejected(record: endpoint_records.EndpointRecord) -> bool:
    return record.health.state is endpoint_states.EndpointState.EJECTED
