"""Reports what failed at endpoints to each box of a small fleet."""

import dataclasses

from martenjunction import errors
from martenjunction import timers
from martenjunction.decisions.boxes import endpoint_outcomes
from martenjunction.peers import codec
from martenjunction.peers import hub
from martenjunction.routing.endpoints import endpoint_registry
from martenjunction.routing.endpoints import endpoint_reports
from martenjunction.routing.fleet import fleet_overlay

# Interval in seconds between two reports.
REPORT_INTERVAL_S = 0.5

MAX_ROWS = 4096
MAX_RATE = 2**40


@codec.message(
    "endpoint-outcomes",
    replaces=True,
    rows=(("endpoints", "ended", "failed"),),
)
@dataclasses.dataclass(frozen=True, slots=True)
class OutcomeReport:
    """Requests of the sender that ended; the fields have an item a row.

    Attributes:
        endpoints: Ids of the endpoints.
        ended: Requests that ended there, in hundredths per second.
        failed: Those of them that failed, in hundredths per second.
    """

    endpoints: tuple[str, ...]
    ended: tuple[int, ...]
    failed: tuple[int, ...]

    def after(self, older: "OutcomeReport") -> "OutcomeReport":
        """Returns this report, which replaces an earlier one."""
        return self


class OutcomeReports:
    """Exchanges reports; in a large fleet, sums of loads carry the same."""

    def __init__(
        self,
        peers: hub.PeerHub,
        registry: endpoint_registry.EndpointRegistry,
        place: fleet_overlay.FleetOverlay,
        clock: timers.Timers,
    ) -> None:
        """Initializes the exchange; `start` subscribes.

        Args:
            peers: Connections to the other boxes.
            registry: The endpoints and their records.
            place: Tells whether the fleet is large.
            clock: The clock and timers.
        """
        self._peers = peers
        self._reports = registry.reports
        self._place = place
        self._timers = clock
        self._has_reported = False

    def start(self) -> None:
        """Subscribes to messages and timers."""
        self._peers.subscribe(OutcomeReport, self._on_report)
        self._timers.subscribe(
            "endpoint-outcomes", REPORT_INTERVAL_S, self._report
        )

    def _report(self) -> None:
        """Reports to all peers while an endpoint fails some requests."""
        now = self._timers.now()
        rows = self._reports.outcome_rows(now)
        if self._place.is_sparse or not (rows or self._has_reported):
            return
        self._has_reported = bool(rows)
        self._peers.broadcast(
            OutcomeReport(
                tuple(row[0] for row in rows),
                endpoint_outcomes.to_units(row[1] for row in rows),
                endpoint_outcomes.to_units(row[2] for row in rows),
            )
        )

    def _on_report(self, box: str, message: OutcomeReport) -> None:
        rows = _decode(message)
        if not self._place.is_sparse:
            self._reports.update_peer_outcomes(box, rows, self._timers.now())
        self._peers.note_odd_rows(
            box, message, len(message.endpoints) - len(rows)
        )


def _decode(
    message: OutcomeReport,
) -> list[endpoint_reports.OutcomeRow]:
    """Returns the rows of a report, without those out of range.

    Raises:
        PeerError: If the columns do not fit.
    """
    columns = (message.endpoints, message.ended, message.failed)
    if len({len(column) for column in columns}) != 1:
        raise errors.PeerError("the columns of endpoint outcomes do not fit")
    if len(message.endpoints) > MAX_ROWS:
        raise errors.PeerError("too many rows of endpoint outcomes")
    unit = endpoint_outcomes.UNIT_PER_S
    return [
        (endpoint, ended * unit, failed * unit)
        for endpoint, ended, failed in zip(*columns, strict=True)
        if min(ended, failed) >= 0 and max(ended, failed) <= MAX_RATE
    ]
