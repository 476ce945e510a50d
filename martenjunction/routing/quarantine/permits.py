"""Permits to send a request to an endpoint, which record the result."""

import time
from typing import Protocol

from martenjunction import model
from martenjunction.decisions.boxes import content_key
from martenjunction.decisions.boxes import endpoint_list
from martenjunction.decisions.boxes import part_table
from martenjunction.decisions.boxes import suspect_table

# Status and error code of the answer to a request that is quarantined.
QUARANTINED_STATUS = 503
QUARANTINED_CODE = "ends-endpoints"


class PermitIssuer(Protocol):
    """Records the results of runs; implemented by `request_quarantine`."""

    @property
    def listed(self) -> endpoint_list.EndpointList:
        """The endpoint list; read-only."""

    def is_valid(self, permit: "Permit") -> bool:
        """Returns whether a permit is still valid."""

    def record_answer(self, permit: "Permit") -> None:
        """Records that a run received a complete response."""

    def note_unconfirmed_end(
        self, permit: "Permit", endpoint: model.Endpoint
    ) -> None:
        """Records that a run broke off and its endpoint may have crashed."""

    def record_crash(self, permit: "Permit", endpoint: model.Endpoint) -> None:
        """Records that an endpoint crashed during a run."""

    def end_trial(self, permit: "Permit") -> None:
        """Records that an isolated trial run was inconclusive."""

    def record_lived(self, permit: "Permit") -> None:
        """Records that a run has outlived its begin."""


class Permit:
    """Permits one run of a request and records its result."""

    def __init__(
        self,
        issuer: "PermitIssuer",
        key: content_key.ContentKey,
        service: model.Service,
        ruling: suspect_table.SuspectDecision,
        parts: part_table.PartRun,
    ) -> None:
        """Initializes the permit.

        Args:
            issuer: Issues the permit and records the result.
            key: The content key of the request.
            service: The service.
            ruling: The decision that allows the run.
            parts: The parts of the run's prompt.
        """
        self._issuer = issuer
        self.key = key
        self.service = service
        self.ruling = ruling
        self.parts = parts
        self.broke_at: float | None = None
        self._result_known = False
        self._broken = False
        self._closed = False

    @property
    def running(self) -> bool:
        """Whether the run has not ended yet."""
        return not (self._result_known or self._broken or self._closed)

    @property
    def isolated(self) -> bool:
        """Whether the endpoint with the fewest runs is preferred."""
        return self._is_trial or self.parts.isolated

    @property
    def _is_trial(self) -> bool:
        return self.ruling.verdict is suspect_table.Verdict.ALONE

    def is_valid(self) -> bool:
        """Returns whether the permit is still valid."""
        return self._issuer.is_valid(self)

    def excluded_ids(self) -> set[str]:
        """Returns the ids of endpoints that must not run the request."""
        builds = self.ruling.avoid_builds | self.parts.avoid_builds
        if not builds:
            return set()
        ready = self._issuer.listed.ready(self.service.name)
        return {
            e.id for e in ready if model.build_id(e, self.service) in builds
        }

    def note_sent(self, endpoint: model.Endpoint) -> None:
        """Records that the run is sent to an endpoint."""
        if self.parts.keys:
            self.parts.build = model.build_id(endpoint, self.service)

    def note_events(self, now: float) -> None:
        """Records that events of the run arrived.

        Args:
            now: The current time.
        """
        run = self.parts
        if run.first_event_at is None:
            run.first_event_at = now
        elif not run.has_lived and not run.may_have_crashed(now):
            self._issuer.record_lived(self)

    def record_answer(self, served: bool = True) -> None:
        """Records a complete response: the endpoint did not crash.

        Args:
            served: Whether it is a success. With another one, the endpoint may
                not have begun to write.
        """
        if not self._result_known:
            self._result_known = True
            self._issuer.record_answer(self)
            if served and not self.parts.has_lived:
                self._issuer.record_lived(self)

    def record_broken_run(self, endpoint: model.Endpoint) -> None:
        """Records that the run broke off and the endpoint may have crashed."""
        self._broken = True
        self.broke_at = time.monotonic()
        self._issuer.note_unconfirmed_end(self, endpoint)

    def record_crash(self, endpoint: model.Endpoint) -> None:
        """Records that the endpoint crashed during the run."""
        if not self._result_known:
            self._result_known = True
            self._issuer.record_crash(self, endpoint)

    def close(self) -> None:
        """Records that the run is over, whatever its result.

        A run that broke off does not end its trial: the crash of its endpoint
        may be confirmed only later, and another trial started before then
        could crash a second endpoint.
        """
        self._closed = True
        if self._is_trial and not self._result_known and not self._broken:
            self._issuer.end_trial(self)
