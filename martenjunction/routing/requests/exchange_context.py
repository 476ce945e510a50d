"""The objects shared by all exchanges of a box."""

from collections.abc import Callable
import dataclasses
from typing import Protocol

from martenjunction import metrics
from martenjunction.decisions.boxes import load_shedding
from martenjunction.decisions.boxes import retry_budget
from martenjunction.decisions.boxes import tier_precedence
from martenjunction.endpoints import pool
from martenjunction.routing.access import admission
from martenjunction.routing.access import request_content
from martenjunction.routing.endpoints import endpoint_liveness
from martenjunction.routing.endpoints import endpoint_registry
from martenjunction.routing.limits import answer_admission
from martenjunction.routing.limits import rate_grants
from martenjunction.routing.log import decision_log
from martenjunction.routing.quarantine import request_quarantine
from martenjunction.routing.requests import run_reports
from martenjunction.routing.requests import stop_gate
from martenjunction.routing.streams import keys
from martenjunction.routing.streams import origins


class UsageMeter(Protocol):
    """Counts the requests that began to run."""

    def record_run(self, workspace: str | None) -> None:
        """Counts a request of a workspace; None for one without any."""


@dataclasses.dataclass(frozen=True)
class ExchangeContext:
    """The objects shared by all exchanges.

    Attributes:
        admitter: Admits requests.
        registry: The endpoint registry.
        pool: The endpoint connection pool.
        budget: The retry budget.
        deadlines: Distinguishes requests of retrying clients from new ones.
        log: The decision log.
        metrics: Counts outcomes.
        zone: The box's availability zone.
        stopping_for_s: Returns the seconds since a planned stop began, or None
            if there is none.
        stop: Takes or refuses requests during a planned stop.
        content_keys: Computes the content keys that identify resent requests.
        quarantine: Quarantines requests that crash endpoints.
        liveness: Checks whether endpoints crashed.
        run_reports: Waits for the ends of runs whose connections broke.
        grants: Grants requests to endpoints with a rate limit.
        precedence: Decides which tiers go first at those endpoints.
        usage: Counts the requests that began to run.
        stream_keys: Computes the keys of streams.
        origins: Knows at which software version streams began.
        answers: Grants the memory of answers.
    """

    admitter: admission.Admitter
    registry: endpoint_registry.EndpointRegistry
    pool: pool.EndpointPool
    budget: retry_budget.RetryBudget
    deadlines: load_shedding.DeadlineTracker
    log: decision_log.DecisionLog
    metrics: metrics.Metrics
    zone: str
    stopping_for_s: Callable[[], float | None]
    stop: stop_gate.StopGate
    content_keys: request_content.ContentKeys
    quarantine: request_quarantine.RequestQuarantine
    liveness: endpoint_liveness.EndpointLiveness
    run_reports: run_reports.RunReports
    grants: rate_grants.RateGrants
    precedence: tier_precedence.TierPrecedence
    usage: UsageMeter
    stream_keys: keys.StreamKeys
    origins: origins.StreamOrigins
    answers: answer_admission.AnswerAdmission

    def closing(self) -> bool:
        """Returns whether connections close after their response."""
        return self.stopping_for_s() is not None
