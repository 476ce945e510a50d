"""Dispatches the notices in the response headers of endpoints."""

from collections.abc import Callable

from martenjunction import model
from martenjunction.http1 import messages
from martenjunction.platform import notices
from martenjunction.routing.endpoints import endpoint_registry
from martenjunction.routing.limits import brittleness_sync
from martenjunction.routing.limits import leaving_sync
from martenjunction.routing.limits import limit_sync
from martenjunction.routing.log import decision_log


class EndpointNotices:
    """Handles the response heads of all endpoints.

    Notices are read here for every kind of response, including refusals,
    failures, health checks and responses of another endpoint at the same
    address. Reading them per kind would miss notices in the others.
    """

    def __init__(
        self,
        leaving: leaving_sync.LeavingSync,
        limits: limit_sync.LimitSync,
        brittleness: brittleness_sync.BrittlenessSync,
        registry: endpoint_registry.EndpointRegistry,
        now: Callable[[], float],
        log: decision_log.DecisionLog,
    ) -> None:
        """Initializes the dispatcher.

        Args:
            leaving: Receives leaving endpoints, for all boxes.
            limits: Receives rate limits, which are shared by all boxes.
            brittleness: Receives the rejections a second that endpoints bear.
            registry: Receives back-off requests, which apply to this box only.
            now: Returns the steady-clock time in seconds.
            log: Receives a line for each malformed notice.
        """
        self._leaving = leaving
        self._limits = limits
        self._brittleness = brittleness
        self._health = registry.health
        self._now = now
        self._log = log

    def take(
        self, endpoint: model.Endpoint, head: messages.ResponseHead
    ) -> None:
        """Handles the notices in a response head."""
        notice = notices.notice_of(head, endpoint.entry)
        if notice.is_leaving:
            self._leaving.report_leaving(endpoint.id)
        if notice.backoff_s:
            self._back_off(endpoint, head.status, notice.backoff_s)
        if notice.limit_per_s is not None or notice.has_no_limit:
            self._limits.report_limit(
                endpoint.id, notice.limit_per_s, head.sent_at
            )
        if notice.rejections_per_s is not None or notice.is_not_brittle:
            self._brittleness.report_limit(
                endpoint.id, notice.rejections_per_s, head.sent_at
            )
        if notice.unreadable:
            self._log.write(
                "endpoint-notice-unreadable",
                endpoint=endpoint.id,
                status=head.status,
                value=notice.unreadable,
            )

    def _back_off(
        self, endpoint: model.Endpoint, status: int, asked_s: float
    ) -> None:
        longer_s = self._health.start_backoff(endpoint.id, asked_s, self._now())
        if longer_s:
            self._log.write(
                "endpoint-rests",
                endpoint=endpoint.id,
                status=status,
                asked_s=asked_s,
                longer_s=round(longer_s, 3),
            )
