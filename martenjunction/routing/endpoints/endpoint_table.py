"""Holds the records of endpoints."""

from martenjunction import model
from martenjunction.decisions.boxes import endpoint_limits
from martenjunction.decisions.boxes import endpoint_list
from martenjunction.decisions.boxes import endpoint_records
from martenjunction.routing.endpoints import service_engines
from martenjunction.routing.log import decision_log

# Fraction by which the statistics of an idle endpoint move back towards their
# best-case values on each tick.
IDLE_DECAY = 0.02


class EndpointTable:
    """What this box knows of the endpoints of all services."""

    def __init__(
        self,
        listed: endpoint_list.EndpointList,
        log: decision_log.DecisionLog,
    ) -> None:
        """Initializes the table.

        Args:
            listed: The list of endpoints.
            log: Receives a line for each change of an engine profile.
        """
        self._listed = listed
        self._records: dict[str, endpoint_records.EndpointRecord] = {}
        self._engines = service_engines.ServiceEngines(log)
        self._limits = endpoint_limits.LimitTable()
        self._brittle = endpoint_limits.LimitTable()
        self._scale = 1.0

    @property
    def listed(self) -> endpoint_list.EndpointList:
        """The platform's endpoint list, as last seen by this box."""
        return self._listed

    @property
    def records(self) -> dict[str, endpoint_records.EndpointRecord]:
        """The endpoint records by endpoint id; read-only."""
        return self._records

    @property
    def engines(self) -> service_engines.ServiceEngines:
        """The engine profiles and prefill demand of each service."""
        return self._engines

    @property
    def limits(self) -> endpoint_limits.LimitTable:
        """The rate limits of endpoints, in requests per second."""
        return self._limits

    @property
    def brittle(self) -> endpoint_limits.LimitTable:
        """The rejections per second beyond which endpoints crash."""
        return self._brittle

    def record(
        self, endpoint: model.Endpoint, service: model.Service
    ) -> endpoint_records.EndpointRecord:
        """Returns the record of an endpoint, made at its first use."""
        record = self._records.get(endpoint.id)
        if record is None:
            cache_tokens = service.engine.cache_tokens if service.engine else 0
            record = endpoint_records.EndpointRecord(
                endpoint.id, endpoint.zone, endpoint.slots, cache_tokens
            )
            record.loads.scale = self._scale
            self._records[endpoint.id] = record
        if service.engine is not None:
            record.profile = self._engines.profile(service.name)
        record.limited = self._limits.per_s(endpoint.id) is not None
        return record

    def set_load_scale(self, scale: float) -> None:
        """Sets the ratio of the total load to the load of reachable boxes."""
        self._scale = scale
        for record in self._records.values():
            record.loads.scale = scale

    def drop_removed(self, now: float) -> list[str]:
        """Drops the records of endpoints that are no longer listed.

        Args:
            now: The current time.

        Returns:
            The ids of the endpoints whose records were dropped.
        """
        dropped = []
        for removed in [
            i for i in self._records if i not in self._listed.entries
        ]:
            record = self._records[removed]
            # Its back-off still applies if the entry reappears, unless the
            # endpoint restarted.
            in_backoff = now < record.refusals.backoff_until
            keep_backoff = in_backoff and not self._listed.restarted(removed)
            if record.loads.own_running == 0 and not keep_backoff:
                del self._records[removed]
                dropped.append(removed)
        return dropped

    def decay_idle(self) -> None:
        """Decays the statistics of idle endpoints to their best-case values."""
        for record in self._records.values():
            if record.has_history and record.loads.own_running == 0:
                record.decay(IDLE_DECAY)
