"""Tells all boxes which endpoints fall over when they reject requests."""

from martenjunction import events
from martenjunction.decisions.boxes import endpoint_limits
from martenjunction.routing.endpoints import endpoint_table
from martenjunction.routing.limits import limit_sync
from martenjunction.routing.messages import peer_messages


class BrittlenessSync(limit_sync.LimitSync):
    """Exchanges the rejections a second that endpoints bear.

    The endpoints of a service say so together. One that has not answered yet,
    such as one that fell over and is back, counts like the others.
    """

    message = peer_messages.BrittleEndpoints
    log_kind = "endpoint-brittle"

    def start(self, emitter: events.Events) -> None:
        """Subscribes to peer messages, new connections and timers."""
        super().start(emitter)
        self._timers.subscribe(
            "brittle", limit_sync.CHECK_INTERVAL_S, self._cover_services
        )

    def _limits_of(
        self, table: endpoint_table.EndpointTable
    ) -> endpoint_limits.LimitTable:
        return table.brittle

    def _on_cleared(self, endpoint_id: str) -> None:
        """Does nothing: the endpoint had as much work as it bears."""

    def _cover_services(self) -> None:
        """Assumes the same of endpoints of a service that said nothing."""
        listed = self._table.listed
        for endpoint_id in self._limits.limited():
            known = listed.entries.get(endpoint_id)
            report = self._limits.reports[endpoint_id]
            if known is None:
                continue
            for other in listed.ready(known.endpoint.service):
                if other.id not in self._limits.reports:
                    self._limits.apply_peer_report(
                        other.id, report.per_s, report.since
                    )
