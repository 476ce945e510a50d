"""Tells which endpoints accept work, by what they and connections say."""

import random

from martenjunction.decisions import endpoint_states
from martenjunction.routing.endpoints import endpoint_ejection
from martenjunction.routing.endpoints import endpoint_table


class EndpointHealth:
    """Records refusals and failures of endpoints, and probes of ejected ones.

    What runs say of endpoints is for the `run_tracker`.
    """

    def __init__(
        self,
        table: endpoint_table.EndpointTable,
        ejection: endpoint_ejection.EjectionTracker,
        rng: random.Random,
    ) -> None:
        """Initializes the health of endpoints.

        Args:
            table: The endpoints.
            ejection: Ejects and reinstates endpoints.
            rng: Draws how far a back-off is extended.
        """
        self._ejection = ejection
        self._rng = rng
        self._records = table.records
        self._listed = table.listed
        self._limits = table.limits
        self._brittle = table.brittle

    def accepts(self, endpoint_id: str, now: float) -> bool:
        """Returns whether an endpoint currently accepts work.

        Callers check this again right before sending a request, because the
        endpoint may have announced a back-off, a rate limit or its shutdown
        since it was selected.
        """
        record = self._records.get(endpoint_id)
        return self._listed.is_ready(endpoint_id) and (
            record is None or record.accepts(now)
        )

    def due_for_probe(self, now: float) -> list[str]:
        """Returns the ids of ejected endpoints, or of ones in doubt, to probe.

        These are endpoints that no request has tried. A health check counts as
        a request, so endpoints in back-off are not probed.
        """
        return [
            record.id
            for record in self._records.values()
            if (
                endpoint_ejection.due_for_probe(record, now)
                if record.is_ejected
                else record.doubt.is_check_due(now)
            )
            and self.accepts(record.id, now)
            and self._limits.is_open(record.id, now)
            and self._brittle.is_open(record.id, now)
        ]

    def note_probe_result(
        self, endpoint_id: str, healthy: bool, now: float
    ) -> None:
        """Records the result of a health check."""
        record = self._records.get(endpoint_id)
        if record is None:
            return
        record.doubt.note_check(healthy, now)
        if record.is_ejected:
            self._ejection.note_probe_result(record, healthy, now)

    def note_unreachable(
        self, endpoint_id: str, now: float, cause: str
    ) -> None:
        """Records that no connection to an endpoint could be made.

        Args:
            endpoint_id: The endpoint.
            now: The current time.
            cause: The error, for the log.
        """
        record = self._records.get(endpoint_id)
        if record is not None:
            self._ejection.note_unreachable(record, now, cause)

    def note_broken_response(self, endpoint_id: str, now: float) -> None:
        """Records that a response of an endpoint was broken off."""
        record = self._records.get(endpoint_id)
        if record is not None:
            self._ejection.note_broken_response(record, now)

    def note_refusal(self, endpoint_id: str, now: float) -> None:
        """Records that an endpoint, full or leaving, refused a request."""
        self._records[endpoint_id].refusals.record_refusal(now)

    def start_backoff(
        self, endpoint_id: str, seconds: float, now: float
    ) -> float:
        """Starts or extends the back-off that an endpoint requested.

        The back-off applies to this box only.

        Args:
            endpoint_id: The endpoint.
            seconds: The requested duration.
            now: The current time.

        Returns:
            Seconds by which the back-off was extended; 0 if it was not.
        """
        record = self._records.get(endpoint_id)
        if record is None:
            return 0.0
        return record.refusals.start_backoff(seconds, self._rng.random(), now)

    def clear_limit(self, endpoint_id: str, now: float) -> None:
        """Records that an endpoint no longer announces a rate limit.

        Args:
            endpoint_id: The endpoint.
            now: The current time.
        """
        record = self._records.get(endpoint_id)
        if record is not None:
            record.refusals.begin_ramp_up(now)

    def backoff_count(self, now: float) -> int:
        """Returns the number of endpoints in back-off for this box."""
        return sum(
            now < record.refusals.backoff_until
            for record in self._records.values()
        )

    def ejected_count(self) -> int:
        """Returns the number of listed endpoints that are ejected."""
        return sum(
            record.health.state is endpoint_states.EndpointState.EJECTED
            for record in self._records.values()
            if record.id in self._listed.entries
        )

    def note_path_cut(self, endpoint_id: str, now: float) -> None:
        """Records that a peer reaches an endpoint and this box does not.

        Args:
            endpoint_id: The endpoint.
            now: The current time.
        """
        record = self._records.get(endpoint_id)
        if record is not None:
            self._ejection.reinstate(record, now)
