"""Rate limits that endpoints announce for the requests of all boxes.

A limit belongs to one incarnation of an endpoint. Responses and peers may
report limits in any order: the most recently issued report applies, ordered by
the time at which any box first received it, and a stricter limit applies at
once.
"""

from collections.abc import Container
import dataclasses

from martenjunction.decisions import bounded
from martenjunction.decisions import grant_bucket

# Maximum number of remembered reports, and the seconds for which the removal of
# a limit is remembered, so that a delayed report does not restore it.
MAX_REPORTS = 1024
REMOVAL_LIFETIME_S = 60.0


@dataclasses.dataclass(slots=True)
class LimitReport:
    """The latest limit reported for an endpoint.

    Attributes:
        per_s: Requests per second; None if the endpoint has no limit any more.
        since: Steady clock time at which the limit was first reported.
        blocked_until: Steady clock time until which this box receives no grant.
    """

    per_s: float | None
    since: float
    blocked_until: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class LimitChange:
    """A change of an endpoint's limit.

    Attributes:
        before: Previous limit in requests per second; None for no limit.
        per_s: New limit in requests per second; None for no limit.
    """

    before: float | None
    per_s: float | None


class LimitTable:
    """The limits of all endpoints, as known to one box."""

    def __init__(self) -> None:
        self._reports: dict[str, LimitReport] = {}

    @property
    def reports(self) -> dict[str, LimitReport]:
        """The latest report of each endpoint by id; read-only."""
        return self._reports

    def limited(self) -> list[str]:
        """Returns the ids of the endpoints with a limit."""
        return [
            i for i, report in self._reports.items() if report.per_s is not None
        ]

    def per_s(self, endpoint_id: str) -> float | None:
        """Returns a limit in requests per second, or None for no limit."""
        report = self._reports.get(endpoint_id)
        return None if report is None else report.per_s

    def apply_response(
        self,
        endpoint_id: str,
        per_s: float | None,
        asked_at: float,
        now: float,
    ) -> LimitChange | None:
        """Applies the limit in a response to this box.

        If the request was sent before the current report was received, the
        response may be older than the report. It can then only tighten the
        limit.

        Args:
            endpoint_id: The endpoint.
            per_s: The limit in requests per second; None for no limit.
            asked_at: Steady clock time at which the request was sent.
            now: The current time.

        Returns:
            The change, or None if nothing changed.
        """
        per_s = grant_bucket.effective_limit(per_s)
        report = self._reports.get(endpoint_id)
        may_be_older = report is not None and asked_at < report.since
        if may_be_older and not _is_stricter(per_s, self.per_s(endpoint_id)):
            return None
        return self._set(endpoint_id, per_s, now)

    def apply_peer_report(
        self, endpoint_id: str, per_s: float | None, since: float
    ) -> LimitChange | None:
        """Applies a limit that another box reports.

        Args:
            endpoint_id: The endpoint; it need not be listed.
            per_s: The limit in requests per second; None for no limit.
            since: Steady clock time at which that box first received it.

        Returns:
            The change, or None if nothing changed.
        """
        report = self._reports.get(endpoint_id)
        if report is not None and since <= report.since:
            return None
        return self._set(
            endpoint_id, grant_bucket.effective_limit(per_s), since
        )

    def is_open(self, endpoint_id: str, now: float) -> bool:
        """Returns whether a request may be sent to an endpoint now."""
        return not self.opens_in_s(endpoint_id, now)

    def opens_in_s(self, endpoint_id: str, now: float) -> float:
        """Returns the seconds until this box may request a grant; 0 for now."""
        report = self._reports.get(endpoint_id)
        if report is None or report.per_s is None:
            return 0.0
        return max(0.0, report.blocked_until - now)

    def block_until(self, endpoint_id: str, until: float) -> None:
        """Stops this box from requesting grants until a given time."""
        report = self._reports.get(endpoint_id)
        if report is not None:
            report.blocked_until = until

    def prune(self, listed: Container[str], now: float) -> None:
        """Removes expired reports.

        Args:
            listed: Ids of the listed endpoints.
            now: The current time.
        """
        expired = [
            endpoint_id
            for endpoint_id, report in self._reports.items()
            if now - report.since > REMOVAL_LIFETIME_S
            and (report.per_s is None or endpoint_id not in listed)
        ]
        for endpoint_id in expired:
            del self._reports[endpoint_id]

    def _set(
        self, endpoint_id: str, per_s: float | None, since: float
    ) -> LimitChange | None:
        report = self._reports.get(endpoint_id)
        before = None if report is None else report.per_s
        if per_s == before:
            return None
        report = LimitReport(per_s, since)
        bounded.put(self._reports, endpoint_id, report, MAX_REPORTS)
        return LimitChange(before, per_s)


def _is_stricter(per_s: float | None, other: float | None) -> bool:
    """Returns whether a limit is stricter than another one."""
    return per_s is not None and (other is None or per_s < other)
