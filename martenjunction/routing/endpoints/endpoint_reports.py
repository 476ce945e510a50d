"""Tells other boxes of this box's runs, and takes in theirs."""

from martenjunction.decisions.boxes import endpoint_loads
from martenjunction.routing.endpoints import endpoint_table

# The load of one box at one endpoint: endpoint id, urgency, whether the prompts
# are long, number of in-flight requests of that kind, and their prompt tokens
# that are not processed yet.
LoadRow = tuple[str, int, bool, int, int]

# Requests of one box at one endpoint: endpoint id, requests that ended and
# requests that failed, each per second.
OutcomeRow = tuple[str, float, float]


class EndpointReports:
    """What this box tells of its runs at endpoints, and what others tell."""

    def __init__(self, table: endpoint_table.EndpointTable) -> None:
        """Initializes the reports.

        Args:
            table: The records that are told, and that take in the others'.
        """
        self._records = table.records
        self._reported_by: dict[str, set[str]] = {}
        self._outcomes_by: dict[str, set[str]] = {}

    def loads(self) -> list[LoadRow]:
        """Returns the non-zero loads of this box, for the other boxes."""
        return [
            (
                record.id,
                key.urgency,
                key.is_long,
                load.running,
                max(0, load.backlog_tokens),
            )
            for record in self._records.values()
            for key, load in record.loads.own.items()
            if load.running
        ]

    def sent_tokens(self) -> list[tuple[str, int]]:
        """Returns the total tokens that this box has sent to each engine."""
        return [
            (record.id, record.sent_tokens)
            for record in self._records.values()
            if record.sent_tokens
        ]

    def outcome_rows(self, now: float) -> list[OutcomeRow]:
        """Returns what ended and failed at endpoints that fail some requests.

        They fail at this box or at others, whose rates this box's rates are
        added to, or left requests and a health check unanswered.
        """
        told = (
            (
                record.id,
                record.outcomes.told_rates(record.doubt.is_unhealthy, now),
            )
            for record in self._records.values()
        )
        return [(its_id, *rates) for its_id, rates in told if rates is not None]

    def update_peer_outcomes(
        self, source: str, rows: list[OutcomeRow], now: float
    ) -> None:
        """Replaces what another box, or all others, reported."""
        reported = {row[0] for row in rows}
        for gone in self._outcomes_by.get(source, set()) - reported:
            if gone in self._records:
                self._records[gone].outcomes.remove_peer(source)
        self._outcomes_by[source] = reported
        for endpoint_id, ended, failed in rows:
            record = self._records.get(endpoint_id)
            if record is not None:
                record.outcomes.update_peer(source, ended, failed, now)

    def update_peer_sent(
        self, box: str, rows: list[tuple[str, int]], now: float
    ) -> None:
        """Updates the total tokens that another box has sent to each engine."""
        for endpoint_id, total in rows:
            record = self._records.get(endpoint_id)
            if record is not None:
                record.update_peer_sent(box, total, now)

    def update_peer_loads(
        self, box: str, rows: list[LoadRow], now: float
    ) -> None:
        """Replaces the endpoint loads reported by another box."""
        reported: dict[
            str, dict[endpoint_loads.LoadKey, endpoint_loads.Load]
        ] = {}
        for endpoint_id, urgency, is_long, running, unread in rows:
            key = endpoint_loads.LoadKey(urgency, is_long)
            loads = reported.setdefault(endpoint_id, {})
            loads[key] = endpoint_loads.Load(running, unread)
        # Visits only endpoints in this or the previous report, which are a few
        # even with 56 engines.
        previous = self._reported_by.get(box, set())
        self._reported_by[box] = set(reported)
        if not reported:
            del self._reported_by[box]
        for endpoint_id in previous | set(reported):
            record = self._records.get(endpoint_id)
            if record is not None:
                record.loads.update_peer(
                    box, reported.get(endpoint_id, {}), now
                )
