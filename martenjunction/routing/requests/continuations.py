"""Decides when a run whose connection broke goes on at another endpoint.

Resuming from the copied memory continues the same run, so it is also allowed
for requests that may not be repeated. It must not begin while the first
endpoint is still at work, and nor must a stream that is resumed behind its last
event: a connection that broke does not end the run behind it.
"""

import time

from martenjunction import model
from martenjunction.decisions.boxes import endpoint_records
from martenjunction.decisions.boxes import run_fates
from martenjunction.platform import headers
from martenjunction.routing.access import admission
from martenjunction.routing.requests import exchange_context
from martenjunction.routing.requests import request_state
from martenjunction.routing.requests import run_copies

# Minimum time before the deadline, in seconds, for sending a request.
MIN_TIME_LEFT_S = 0.01

# Time, in seconds, for which a stream that may be resumed waits for an endpoint
# that does not tell whether its run is over. It may run a second time.
MAX_UNKNOWN_S = 0.5

# Failure of a request that was offered to no endpoint in that time.
NO_TIME_LEFT = "no time left"


class Continuation:
    """The copy of the memory of one request's run."""

    def __init__(
        self,
        context: exchange_context.ExchangeContext,
        admitted: admission.Admission,
        demand: endpoint_records.Demand,
        state: request_state.RequestState,
    ) -> None:
        """Initializes a request without a copy; `plan` has one made.

        Args:
            context: The objects shared by all exchanges.
            admitted: The admitted request.
            demand: The resources that it needs.
            state: Its progress.
        """
        self._context = context
        self._admitted = admitted
        self._demand = demand
        self._state = state
        self._endpoint: model.Endpoint | None = None

    def obstacle(self) -> str | None:
        """Returns why the run cannot resume from its copy; None if it can."""
        if self._endpoint is None:
            return "no copy"
        if not run_copies.has_arrived(self._state):
            return "copy too young"
        if self._endpoint.version != self._state.stream_version:
            return "copy at another version"
        if not self._context.registry.health.accepts(
            self._endpoint.id, time.monotonic()
        ):
            return "endpoint of the copy not available"
        return None

    async def may_go_on(self) -> bool:
        """Waits until a run whose connection broke is over, if it can go on.

        A stream that may be resumed goes on without a copy, and also where its
        endpoint does not tell for a while.

        Returns:
            Whether the request may be sent again as far as that run goes.
        """
        if not (self._state.connection_broken and self._demand.is_engine):
            return True
        self._state.continuation = self.obstacle() or ""
        resumes = (
            self._admitted.route.repeatable
            and self._state.delivered_id is not None
        )
        broken = self._state.broken_run
        if broken is None or (self._state.continuation and not resumes):
            return True
        fate = await self._fate(broken, resumes)
        self._context.metrics.count("broken_runs_awaited", fate=fate.value)
        if not fate.may_continue and not (
            resumes and fate is run_fates.RunFate.UNKNOWN
        ):
            self._state.continuation = f"run {fate.value}"
            return False
        self._state.broken_run = None
        return True

    async def _fate(
        self, broken: request_state.BrokenRun, resumes: bool
    ) -> run_fates.RunFate:
        """Returns what is known of a run once it is over, or time is up."""
        deadline = self._admitted.deadline - MIN_TIME_LEFT_S
        limits = [deadline]
        if resumes:
            limits.insert(0, min(deadline, time.monotonic() + MAX_UNKNOWN_S))
        fate = run_fates.RunFate.UNKNOWN
        for limit in limits:
            fate = await self._context.run_reports.until_over(
                broken.endpoint, self._state.id, broken.begun_at, limit
            )
            if fate is not run_fates.RunFate.AT_WORK:
                break
        return fate

    def take(self) -> model.Endpoint | None:
        """Returns the endpoint of the copy, once, if the request may go on."""
        endpoint, self._endpoint = self._endpoint, None
        now = time.monotonic()
        if self._admitted.deadline - now < MIN_TIME_LEFT_S:
            self._state.continuation = NO_TIME_LEFT
            return None
        if not self._context.budget.try_acquire(
            self._admitted.service.name, now
        ):
            self._state.continuation = "no retry left in the budget"
            return None
        return endpoint

    def plan(self, excluded: set[str]) -> headers.CopyPlan | None:
        """Chooses the endpoint that the memory of a run is copied to.

        Args:
            excluded: Ids of endpoints that do not come into question.
        """
        if not run_copies.is_worthwhile(
            self._admitted.service, self._admitted.route, self._demand
        ):
            return None
        # At a rate-limited endpoint the run would have to wait for a grant.
        limited = self._context.registry.table.limits.limited()
        chosen = self._context.registry.selector.choose(
            self._admitted.service,
            self._demand,
            excluded | set(limited),
            time.monotonic(),
        )
        if chosen is None:
            return None
        self._endpoint = chosen[0]
        return headers.CopyPlan(copy_to=self._endpoint.address)
