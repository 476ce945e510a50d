"""Synchronizes the rate limits of endpoints between boxes."""

from collections.abc import Iterable
import math

from martenjunction import events
from martenjunction import timers
from martenjunction.decisions.boxes import endpoint_limits
from martenjunction.peers import hub
from martenjunction.peers import membership
from martenjunction.routing.endpoints import endpoint_registry
from martenjunction.routing.endpoints import endpoint_table
from martenjunction.routing.log import decision_log
from martenjunction.routing.messages import peer_messages

# Minimum interval in seconds between two messages of a box about one endpoint.
# An endpoint that changes its limit in each answer would otherwise saturate
# links of low bandwidth.
MIN_SEND_INTERVAL_S = 0.2

# Interval in seconds at which pending changes are sent and limits of unlisted
# endpoints are removed.
CHECK_INTERVAL_S = 0.1

# Maximum number of limits sent on a new connection, the latest changes first.
MAX_ON_CONNECT = 256

# Maximum number of times that a change is passed on. Each hop understates its
# age, so two changes at one moment could replace each other without end.
MAX_HOPS = 8

# Maximum age of a limit that a sound peer reports, in milliseconds.
MAX_AGE_MS = 2**40

MS = 0.001


class LimitSync:
    """Exchanges the rate limits of endpoints with the other boxes.

    A limit applies to all boxes together. A box that does not know it would go
    on sending until it receives an answer with the limit itself.

    Attributes:
        message: The type of the messages to peers.
        log_kind: The kind of the log lines.
    """

    message: type[peer_messages.EndpointLimits] = peer_messages.EndpointLimits
    log_kind = "endpoint-limit"

    def __init__(
        self,
        registry: endpoint_registry.EndpointRegistry,
        peers: hub.PeerHub,
        members: membership.Membership,
        clock: timers.Timers,
        log: decision_log.DecisionLog,
    ) -> None:
        """Initializes the exchange; `start` subscribes to peer messages.

        Args:
            registry: Holds the endpoints and their limits.
            peers: Connections to the other boxes.
            members: The boxes of the fleet.
            clock: The clock and timers.
            log: Records each limit that begins, changes or ends.
        """
        self._health = registry.health
        self._table = registry.table
        self._limits = self._limits_of(self._table)
        self._peers = peers
        self._members = members
        self._timers = clock
        self._log = log
        self._sent_at: dict[str, float] = {}
        self._pending: set[str] = set()

    def start(self, emitter: events.Events) -> None:
        """Subscribes to peer messages, new connections and timers.

        Args:
            emitter: Announces new connections to boxes.
        """
        self._peers.subscribe(self.message, self._on_limits)
        emitter.connect(events.PEER_CONNECTED, self._on_connected)
        self._timers.subscribe(self.log_kind, CHECK_INTERVAL_S, self._check)

    def report_limit(
        self, endpoint_id: str, per_s: float | None, asked_at: float
    ) -> None:
        """Records the limit in an endpoint's answer and notifies all boxes.

        Args:
            endpoint_id: The endpoint.
            per_s: The limit in requests per second; None for no limit.
            asked_at: Time on the steady clock when the request was sent.
        """
        now = self._timers.now()
        change = self._limits.apply_response(endpoint_id, per_s, asked_at, now)
        if change is not None:
            self._apply(endpoint_id, change, "endpoint", 0.0)
            self._pending.add(endpoint_id)
            self._send_due()

    def report(self, endpoint_id: str) -> peer_messages.LimitReport:
        """Returns this box's knowledge of an endpoint's limit for peers."""
        known = self._limits.reports.get(endpoint_id)
        if known is None:
            return peer_messages.LimitReport(endpoint_id, None, None)
        age_s = max(0.0, self._timers.now() - known.since)
        return peer_messages.LimitReport(
            endpoint_id, known.per_s, round(age_s / MS)
        )

    def merge(self, box: str, report: peer_messages.LimitReport) -> bool:
        """Merges a limit known by another box; returns whether it changed."""
        if report.age_ms is None:
            return False
        since = self._timers.now() - report.age_ms * MS
        change = self._limits.apply_peer_report(
            report.endpoint, report.per_s, since
        )
        if change is None:
            return False
        self._apply(report.endpoint, change, box, report.age_ms * MS)
        return True

    def _apply(
        self,
        endpoint_id: str,
        change: endpoint_limits.LimitChange,
        source: str,
        age_s: float,
    ) -> None:
        self._log.write(
            self.log_kind,
            endpoint=endpoint_id,
            per_s=change.per_s,
            before=change.before,
            told_by=source,
            age_ms=round(age_s / MS),
        )
        if change.per_s is None:
            self._on_cleared(endpoint_id)

    def _limits_of(
        self, table: endpoint_table.EndpointTable
    ) -> endpoint_limits.LimitTable:
        return table.limits

    def _on_cleared(self, endpoint_id: str) -> None:
        self._health.clear_limit(endpoint_id, self._timers.now())

    def _check(self) -> None:
        now = self._timers.now()
        self._limits.prune(self._table.listed.entries, now)
        self._send_due()
        for endpoint_id in [
            i
            for i, at in self._sent_at.items()
            if now - at > MIN_SEND_INTERVAL_S
        ]:
            del self._sent_at[endpoint_id]

    def _send_due(self) -> None:
        """Broadcasts pending changes, rate-limited per endpoint."""
        now = self._timers.now()
        due = [
            endpoint_id
            for endpoint_id in self._pending
            if now - self._sent_at.get(endpoint_id, -MIN_SEND_INTERVAL_S)
            >= MIN_SEND_INTERVAL_S
        ]
        self._pending.difference_update(due)
        self._sent_at.update(dict.fromkeys(due, now))
        self._broadcast(due, 0)

    def _broadcast(self, endpoint_ids: Iterable[str], hops: int) -> None:
        reports = [self.report(endpoint_id) for endpoint_id in endpoint_ids]
        if reports:
            self._peers.broadcast(self.message.of(reports, hops))

    def _on_connected(self, box: str) -> None:
        """Sends the latest limits to a newly connected box."""
        newest = sorted(
            self._limits.reports.items(), key=lambda item: -item[1].since
        )
        reports = [self.report(i) for i, _ in newest[:MAX_ON_CONNECT]]
        if reports:
            self._peers.send(box, self.message.of(reports, MAX_HOPS))

    def _on_limits(
        self, box: str, message: peer_messages.EndpointLimits
    ) -> None:
        reports = [r for r in message.reports() if _can_be(r)]
        changed = [r.endpoint for r in reports if self.merge(box, r)]
        linked = len(self._peers.boxes()) + 1
        is_reached = linked >= len(self._members.live_members())
        if not is_reached and message.hops < MAX_HOPS:
            # Forwards to boxes that the sender may not be connected to.
            self._broadcast(changed, message.hops + 1)
        self._peers.note_odd_rows(
            box, message, len(message.endpoints) - len(reports)
        )


def _can_be(report: peer_messages.LimitReport) -> bool:
    """Returns whether a sound peer may report a limit."""
    age_ms = 0 if report.age_ms is None else report.age_ms
    per_s = 0.0 if report.per_s is None else report.per_s
    return 0 <= age_ms <= MAX_AGE_MS and 0.0 <= per_s < math.inf
