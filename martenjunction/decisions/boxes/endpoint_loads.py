"""Load of one endpoint by all boxes, as known to one box."""

import dataclasses

# Seconds after which the load reported by another box expires.
PEER_LOAD_LIFETIME_S = 1.5


# Number of urgencies per route tier. Requests within a route tier are ordered
# by the tier of their workspace.
WORKSPACE_TIERS = 2


@dataclasses.dataclass(frozen=True, slots=True)
class LoadKey:
    """Key under which requests are counted.

    Attributes:
        urgency: Rank of the requests; 0 is served first.
        is_long: Whether their prefill delays streams on the same engine.
    """

    urgency: int
    is_long: bool


@dataclasses.dataclass(slots=True)
class Load:
    """Requests of one key at one endpoint.

    Attributes:
        running: Requests at the endpoint, including queued ones.
        backlog_tokens: Prompt tokens that the endpoint has yet to prefill for
            them.
    """

    running: int = 0
    backlog_tokens: int = 0


class EndpointLoads:
    """Requests of all boxes at one endpoint, with running totals.

    The totals are updated incrementally, so that the cost of evaluating an
    endpoint does not grow with the number of boxes.

    Attributes:
        scale: Ratio of the load of all boxes to that of the boxes that report.
    """

    def __init__(self) -> None:
        self.scale = 1.0
        self._own: dict[LoadKey, Load] = {}
        self._peers: dict[str, tuple[float, dict[LoadKey, Load]]] = {}
        self._total: dict[LoadKey, Load] = {}
        self._total_running = 0
        self._total_backlog = 0
        self._total_short = 0
        # Lower bound of the times of all peer reports.
        self._oldest_report_at = 0.0

    @property
    def own(self) -> dict[LoadKey, Load]:
        """The load of this box; read-only."""
        return self._own

    @property
    def own_running(self) -> int:
        """Number of this box's requests at the endpoint."""
        return sum(load.running for load in self._own.values())

    def add(self, key: LoadKey, running: int, unread: int) -> None:
        """Adds to the load of this box; negative values remove load."""
        load = self._own.setdefault(key, Load())
        load.running += running
        load.backlog_tokens += unread
        self._add_total(key, running, unread)

    def update_peer(
        self, box: str, loads: dict[LoadKey, Load], now: float
    ) -> None:
        """Replaces the load reported by another box."""
        _, before = self._peers.pop(box, (0.0, {}))
        self._add_peer(before, -1)
        if loads:
            if not self._peers:
                self._oldest_report_at = now
            self._peers[box] = (now, loads)
            self._add_peer(loads, 1)

    def running(self, now: float) -> int:
        """Returns the number of requests of all boxes."""
        self._expire_peers(now)
        return self._extrapolate(self._total_running)

    def short_running(self, now: float) -> int:
        """Returns the number of requests of all boxes with short prompts."""
        self._expire_peers(now)
        return self._extrapolate(self._total_short)

    def tokens_ahead(self, urgency: int, now: float) -> int:
        """Returns the prefill backlog in tokens that is served first.

        Args:
            urgency: Urgency of the request that would queue.
            now: The current time.
        """
        ahead = self._served_first(urgency, now)
        return self._extrapolate(sum(load.backlog_tokens for load in ahead))

    def running_at_least(self, urgency: int, now: float) -> int:
        """Returns the number of requests that are served first.

        Args:
            urgency: Urgency of the request that would queue.
            now: The current time.
        """
        ahead = self._served_first(urgency, now)
        return self._extrapolate(sum(load.running for load in ahead))

    def running_below(self, urgency: int, now: float) -> int:
        """Returns the number of requests on routes of a lower tier.

        Args:
            urgency: Urgency of the request to compare with.
            now: The current time.
        """
        self._expire_peers(now)
        tier = urgency // WORKSPACE_TIERS
        return sum(
            load.running
            for key, load in self._total.items()
            if key.urgency // WORKSPACE_TIERS > tier
        )

    def backlog_tokens(self, now: float) -> int:
        """Returns the prefill backlog of all boxes in tokens."""
        self._expire_peers(now)
        return self._extrapolate(self._total_backlog)

    def _served_first(self, urgency: int, now: float) -> list[Load]:
        """Returns the reported loads that go before a request."""
        self._expire_peers(now)
        return [
            load for key, load in self._total.items() if key.urgency <= urgency
        ]

    def _extrapolate(self, reported: int) -> int:
        """Extrapolates a total of the reporting boxes to all boxes."""
        return round(reported * self.scale)

    def _add_peer(self, loads: dict[LoadKey, Load], sign: int) -> None:
        for key, load in loads.items():
            self._add_total(
                key, sign * load.running, sign * load.backlog_tokens
            )

    def _add_total(self, key: LoadKey, running: int, unread: int) -> None:
        total = self._total.setdefault(key, Load())
        total.running += running
        total.backlog_tokens += unread
        self._total_running += running
        self._total_backlog += unread
        if not key.is_long:
            self._total_short += running

    def _expire_peers(self, now: float) -> None:
        if (
            not self._peers
            or now - self._oldest_report_at < PEER_LOAD_LIFETIME_S
        ):
            return
        for box, (reported_at, loads) in list(self._peers.items()):
            if now - reported_at >= PEER_LOAD_LIFETIME_S:
                del self._peers[box]
                self._add_peer(loads, -1)
        times = [reported_at for reported_at, _ in self._peers.values()]
        self._oldest_report_at = min(times, default=now)
