"""Selects the endpoints that a request is sent to, one at a time."""

import asyncio
import dataclasses
import time

from martenjunction import errors
from martenjunction import model
from martenjunction.decisions import outcomes
from martenjunction.decisions.boxes import endpoint_choice
from martenjunction.decisions.boxes import endpoint_records
from martenjunction.decisions.boxes import load_shedding
from martenjunction.endpoints import attempt
from martenjunction.http1 import client
from martenjunction.platform import headers
from martenjunction.routing.access import admission
from martenjunction.routing.endpoints import endpoint_selector
from martenjunction.routing.limits import rate_grants
from martenjunction.routing.quarantine import permits
from martenjunction.routing.requests import continuations
from martenjunction.routing.requests import exchange_context
from martenjunction.routing.requests import request_state

# Maximum number of endpoints tried per request, including refusals and failed
# connections.
MAX_OFFERS = 4

# Minimum time, in seconds, for which a request waits for room at endpoints that
# must not turn requests away, and the part of its latency target for which it
# waits at most.
MIN_HOLD_S = 0.01
MAX_HOLD_FRACTION = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Offer:
    """A selected endpoint with a connection that is ready to send.

    Attributes:
        endpoint: The endpoint.
        choice: The selection data.
        run: The attempt, not sent yet.
        permit: Permits the run and records its result.
        grant: The share of the endpoint's rate limit for this request.
        continues: Whether a run resumes there from a copy of its memory.
    """

    endpoint: model.Endpoint
    choice: endpoint_choice.Choice
    run: attempt.Attempt
    permit: permits.Permit
    grant: rate_grants.RateGrant
    continues: bool = False


class Offers:
    """Selects endpoints for one request within its limits."""

    def __init__(
        self,
        context: exchange_context.ExchangeContext,
        admitted: admission.Admission,
        demand: endpoint_records.Demand,
        state: request_state.RequestState,
    ) -> None:
        """Initializes the selection for an admitted request.

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
        self._avoid: set[str] = set()
        self._continuation = continuations.Continuation(
            context, admitted, demand, state
        )
        self._repeat_granted = False
        self._demand_noted = False
        self._denied: set[str] = set()

    def note_sent(self, endpoint_id: str) -> None:
        """Records that the request is sent to an endpoint, at most once."""
        self._state.offers.append(endpoint_id)
        self._avoid.add(endpoint_id)
        self._repeat_granted = False

    def has_next(self, only_idle: bool) -> bool:
        """Returns whether another endpoint would probably take the request.

        Asked before a run is given up, or gets another one beside it. Reserves
        nothing.

        Args:
            only_idle: Whether an endpoint that is busy does not count.
        """
        now = time.monotonic()
        if not self._may_run() or not self._context.budget.is_available(
            self._admitted.service.name, now
        ):
            return False
        avoid = self._avoid | self._other_versions(self._state.stream_version)
        chosen = self._context.registry.selector.choose(
            self._admitted.service, self._demand, avoid, now, apart=True
        )
        if chosen is None:
            return False
        _, choice = chosen
        return not (choice.record.is_ejected or (only_idle and choice.busy))

    async def next(self) -> Offer | None:
        """Returns the next endpoint, with a connection, or None.

        Raises:
            RefusalError: If the request may not be sent and never ran.
        """
        while True:
            if not await self._continuation.may_go_on():
                return None
            permit = await self._permit()
            if permit is None:
                return None
            offer = None
            try:
                offer = await self._select_endpoint(permit)
            finally:
                if offer is None:
                    permit.close()
            if offer is None or permit.is_valid():
                return offer
            # In the meantime, an endpoint crashed while running this request.
            self.give_back(offer)

    def give_back(self, offer: Offer) -> None:
        """Gives back an offer over which nothing is sent."""
        offer.permit.close()
        self._context.grants.refund(offer.grant)
        self._context.pool.release(offer.endpoint.id, offer.run.connection)

    async def _permit(self) -> permits.Permit | None:
        """Returns a permit to send the request; None if it may not run again.

        Raises:
            RefusalError: If the request may not be sent and never ran.
        """
        try:
            return await self._context.quarantine.permit(
                self._state.content,
                self._admitted.service,
                self._admitted.deadline,
                self._state.part_keys,
            )
        except admission.RefusalError as refusal:
            if self._state.progress.outcome is outcomes.Outcome.NOT_RUN:
                raise
            self._state.failure = refusal.code
            return None

    async def _select_endpoint(self, permit: permits.Permit) -> Offer | None:
        if self._state.connection_broken and self.may_continue:
            endpoint = self._continuation.take()
            if endpoint is None:
                return None
            return await self._continue_at(endpoint, permit)
        while self._may_offer():
            now = time.monotonic()
            excluded = permit.excluded_ids() | self._other_versions(
                self._state.stream_version
            )
            chosen = self._context.registry.selector.choose(
                self._admitted.service,
                self._demand,
                self._avoid | excluded,
                now,
                permit.isolated,
            )
            if chosen is None:
                if await self._wait_for_place(now):
                    continue
                return None
            endpoint, choice = chosen
            if choice.record.limited and self._should_yield(now):
                self._avoid.update(
                    self._context.registry.table.limits.limited()
                )
                continue
            if not self._state.offers and self._demand.is_engine:
                self._note_prefill_demand(choice, now)
                self._shed_if_late(choice, now)
            try:
                connection = await self._context.pool.acquire(
                    endpoint,
                    self._admitted.route.repeatable,
                    fresh=self._state.needs_new_connection,
                )
            except errors.EndpointBusyError as error:
                self._state.failure = f"{endpoint.id}: {error}"
                self._avoid.add(endpoint.id)
                continue
            except errors.EndpointNotReachedError as error:
                self._state.offers.append(endpoint.id)
                self._avoid.add(endpoint.id)
                self._context.registry.health.note_unreachable(
                    endpoint.id, time.monotonic(), str(error)
                )
                continue
            grant = await self._grant(endpoint, connection)
            if grant is None:
                self._avoid.add(endpoint.id)
                self._denied.add(endpoint.id)
                continue
            run = attempt.Attempt(connection, self._state.id)
            return Offer(endpoint, choice, run, permit, grant)
        return None

    def _other_versions(self, version: str | None) -> set[str]:
        """Returns the ids of endpoints of other software versions."""
        return self._context.registry.selector.other_versions(
            self._admitted.service.name, version
        )

    async def _wait_for_place(self, now: float) -> bool:
        """Waits for room at endpoints that must not turn requests away.

        Returns:
            Whether to select an endpoint again. A request that would wait for
            too long is refused, so that its client may come back.
        """
        service = self._admitted.service
        selector = self._context.registry.selector
        if not selector.is_brittle(service.name):
            return False
        wait_s = max(MIN_HOLD_S, selector.place_opens_in_s(service.name, now))
        held_s = now + wait_s - self._state.received_at
        if (
            held_s > MAX_HOLD_FRACTION * self._admitted.route.target_s
            or now + wait_s
            > self._admitted.deadline - continuations.MIN_TIME_LEFT_S
        ):
            return False
        await asyncio.sleep(wait_s)
        self._avoid -= self._denied
        self._denied.clear()
        return True

    def _should_yield(self, now: float) -> bool:
        """Returns whether rate-limited endpoints are left to higher tiers."""
        if not self._state.grant_denied:
            self._state.grant_denied = self._context.precedence.should_yield(
                self._admitted.service.name, self._admitted.route.tier, now
            )
            return self._state.grant_denied
        return False

    def _note_prefill_demand(
        self, choice: endpoint_choice.Choice, now: float
    ) -> None:
        """Records the prefill demand, once per request."""
        if not self._demand_noted:
            self._demand_noted = True
            self._context.registry.table.engines.note_prefill_demand(
                self._demand.service,
                choice.prefill_tokens,
                self._demand.is_long,
                now,
            )

    async def _grant(
        self, endpoint: model.Endpoint, connection: client.ClientConnection
    ) -> rate_grants.RateGrant | None:
        """Returns a grant to send the request, or releases the connection.

        Checks the endpoint again: it may have announced a back-off, a rate
        limit or its shutdown while the connection or the grant was pending.
        """
        grant = None
        try:
            grant = await self._context.grants.acquire(endpoint.id)
            if grant is None:
                self._state.grant_denied = True
            elif self._is_unchanged(endpoint) and (
                self._context.registry.health.accepts(
                    endpoint.id, time.monotonic()
                )
            ):
                return grant
            else:
                self._context.grants.refund(grant)
        except asyncio.CancelledError:
            self._context.pool.release(endpoint.id, connection)
            raise
        self._context.pool.release(endpoint.id, connection)
        return None

    def _is_unchanged(self, endpoint: model.Endpoint) -> bool:
        """Returns whether an endpoint still has the version of its choice."""
        listed = self._context.registry.table.listed.entries.get(endpoint.id)
        return (
            listed is not None and listed.endpoint.version == endpoint.version
        )

    @property
    def may_continue(self) -> bool:
        """Returns whether the run can resume from the copy of its memory."""
        return self._continuation.obstacle() is None

    async def _continue_at(
        self, endpoint: model.Endpoint, permit: permits.Permit
    ) -> Offer | None:
        """Returns the endpoint holding the copy of the run, if reachable."""
        choice = self._context.registry.selector.evaluate(
            endpoint, self._admitted.service, self._demand, time.monotonic()
        )
        try:
            connection = await self._context.pool.acquire(endpoint, False)
        except errors.EndpointError as error:
            self._state.failure = f"{endpoint.id}: {error}"
            self._state.continuation = "endpoint of the copy not reached"
            return None
        grant = await self._grant(endpoint, connection)
        if grant is None:
            self._state.continuation = "no grant for the endpoint of the copy"
            return None
        run = attempt.Attempt(connection, self._state.id)
        return Offer(endpoint, choice, run, permit, grant, continues=True)

    def plan_copy(self, offer: Offer) -> headers.CopyPlan | None:
        """Returns where the run's memory is copied to or resumed from."""
        if offer.continues:
            return headers.CopyPlan(copy_from=offer.endpoint.address)
        return self._continuation.plan(
            self._avoid | self._other_versions(offer.endpoint.version)
        )

    def _shed_if_late(
        self,
        choice: endpoint_choice.Choice,
        now: float,
    ) -> None:
        """Sheds a request whose predicted latency is too high.

        Raises:
            RefusalError: If the request is shed; nothing was sent.
        """
        if self._context.registry.selector.serves_lower_tiers(
            self._admitted.service, self._demand.urgency, now
        ):
            # Endpoints serve it before the lower tiers, so it is not shed
            # while those are admitted.
            return
        prospect = load_shedding.AdmissionForecast(
            choice.predicted_s + now - self._state.received_at,
            self._admitted.route.target_s,
            self._state.is_retry,
            choice.busy,
        )
        pause = load_shedding.retry_after_s(prospect)
        if pause is not None:
            self._state.choices.append(endpoint_selector.describe(choice))
            raise admission.RefusalError(
                503, "shed", "the predicted latency exceeds the target", pause
            )

    def _may_run(self) -> bool:
        """Returns whether the request's own limits allow another run."""
        if len(self._state.offers) >= MAX_OFFERS:
            return False
        if (
            self._admitted.deadline - time.monotonic()
            < continuations.MIN_TIME_LEFT_S
        ):
            self._state.failure = (
                self._state.failure or continuations.NO_TIME_LEFT
            )
            return False
        runs = self._state.progress.attempts - self._state.refusals
        if runs >= self._admitted.route.max_attempts:
            return False
        return not runs or self._admitted.route.repeatable

    def _may_offer(self) -> bool:
        if not self._may_run():
            return False
        if not self._context.admitter.still_allowed(
            self._admitted, self._state.received_at, time.monotonic()
        ):
            self._state.failure = "no-longer-allowed"
            return False
        if self._state.progress.attempts == 0:
            return True
        if not self._repeat_granted:
            # Charged once per retry that is sent, however many endpoints
            # were unavailable before it.
            self._repeat_granted = self._context.budget.try_acquire(
                self._admitted.service.name, time.monotonic()
            )
        return self._repeat_granted
