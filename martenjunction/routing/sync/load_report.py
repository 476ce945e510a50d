"""Reports the load of this box at endpoints to each box of a small fleet."""

from collections.abc import Callable

from martenjunction import timers
from martenjunction.peers import codec
from martenjunction.peers import hub
from martenjunction.routing.endpoints import endpoint_registry
from martenjunction.routing.endpoints import endpoint_reports
from martenjunction.routing.fleet import fleet_overlay
from martenjunction.routing.messages import peer_messages

# Interval in seconds between load reports while this box has load at endpoints.
LOADS_INTERVAL_S = 0.2

# Maximum rate of load reports to all peers together, in messages and in bytes
# per second. With many peers or endpoints the interval becomes longer.
LOADS_MESSAGES_PER_S = 72
LOADS_BYTES_PER_S = 24_000

MakeStatus = Callable[
    [list[endpoint_reports.LoadRow], list[tuple[str, int]]],
    peer_messages.BoxStatus,
]


class LoadReport:
    """Broadcasts load reports; see `load_exchange` for a large fleet."""

    def __init__(
        self,
        peers: hub.PeerHub,
        registry: endpoint_registry.EndpointRegistry,
        place: fleet_overlay.FleetOverlay,
        clock: timers.Timers,
        make_status: MakeStatus,
    ) -> None:
        """Initializes the reports; `start` subscribes to timers.

        Args:
            peers: Connections to the other boxes.
            registry: Provides the load of this box.
            place: Tells whether the fleet is large.
            clock: The clock and timers.
            make_status: Returns the status of this box with the given rows of
                load, and of tokens sent to each engine.
        """
        self._peers = peers
        self._reports = registry.reports
        self._runs = registry.runs
        self._place = place
        self._timers = clock
        self._make_status = make_status
        self._reported_sent: set[tuple[str, int]] = set()
        self._due = 0.0
        self._has_reported = False

    def start(self) -> None:
        """Subscribes to timers."""
        self._timers.subscribe("loads", LOADS_INTERVAL_S, self._broadcast)

    def _broadcast(self) -> None:
        """Sends this box's load at endpoints to all peers while it has any.

        The last report after a period of load reports zero load.
        """
        now = self._timers.now()
        if (
            self._place.is_sparse
            or now < self._due
            or not (self._runs.running or self._has_reported)
        ):
            return
        sent = dict(self._reports.sent_tokens())
        changed = [
            row for row in sent.items() if row not in self._reported_sent
        ]
        self._reported_sent = set(sent.items())
        status = self._make_status(self._reports.loads(), changed)
        self._has_reported = self._runs.running > 0
        self._peers.broadcast(status)
        peers = len(self._peers.boxes())
        size = peers * len(codec.Encoded(status).data)
        self._due = now + max(
            size / LOADS_BYTES_PER_S, peers / LOADS_MESSAGES_PER_S
        )
