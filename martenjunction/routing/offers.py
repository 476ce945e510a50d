"""Which endpoints one request is offered to, one after the other."""

import asyncio
from collections.abc import Callable
import dataclasses
import time
from typing import Any

from martenjunction import errors
from martenjunction import metrics
from martenjunction import model
from martenjunction.decisions import outcomes
from martenjunction.decisions.boxes import endpoint_choice
from martenjunction.decisions.boxes import endpoint_records
from martenjunction.decisions.boxes import repeat_budget
from martenjunction.decisions.boxes import shedding
from martenjunction.decisions.boxes import tier_precedence
from martenjunction.endpoints import attempt
from martenjunction.endpoints import pool
from martenjunction.http1 import client
from martenjunction.platform import headers
from martenjunction.routing import admission
from martenjunction.routing import decision_log
from martenjunction.routing import endpoint_book
from martenjunction.routing import endpoint_ends
from martenjunction.routing import permits
from martenjunction.routing import rate_grants
from martenjunction.routing import request_content
from martenjunction.routing import suspects

# Endpoints that one request is offered to, refusals and failed connections
# included.
MAX_OFFERS = 4

# Seconds from a run's first event after which a copy of it is taken to be at
# its second engine: copies are sent some times a second. A run sent there
# before its copy would be a second run.
COPY_AGE_S = 0.75

# Bytes of a prompt's memory up to which a run is copied: moving larger ones
# costs more than their copies bring back.
MOST_COPIED_BYTES = 60_000_000

# Least time, in seconds, for which it is worth sending a request.
LEAST_TIME_S = 0.01


@dataclasses.dataclass(frozen=True)
class Tools:
    """What exchanges share.

    Attributes:
        admitter: Judges requests.
        book: Knows the endpoints.
        pool: Holds the connections to them.
        budget: Grants repeats.
        deadlines: Tells requests that come back from new ones.
        log: Told of outcomes.
        metrics: Counts outcomes.
        zone: The box's availability zone.
        leaving_for_s: Returns for how many seconds the box is being stopped,
            or None if it is not.
        stop_limit_s: Seconds after which a planned stop ends what still runs.
        contents: Tells requests that are sent again from others.
        suspects: Knows requests under which endpoints ended.
        ends: Finds out whether endpoints have ended.
        grants: Gates requests to endpoints that name a limit.
        precedence: Knows which tiers go first there.
    """

    admitter: admission.Admitter
    book: endpoint_book.EndpointBook
    pool: pool.EndpointPool
    budget: repeat_budget.RepeatBudget
    deadlines: shedding.DeadlineBook
    log: decision_log.DecisionLog
    metrics: metrics.Metrics
    zone: str
    leaving_for_s: Callable[[], float | None]
    stop_limit_s: float
    contents: request_content.ContentKeys
    suspects: suspects.Suspects
    ends: endpoint_ends.EndpointEnds
    grants: rate_grants.RateGrants
    precedence: tier_precedence.TierPrecedence

    def closing(self) -> bool:
        """Returns whether connections end with their answer."""
        return self.leaving_for_s() is not None


@dataclasses.dataclass(slots=True)
class RequestState:
    """How far one request has got.

    Attributes:
        id: The request's id.
        received_at: Steady clock when its head was complete.
        content: Its caller and what it asks for.
        came_back: Whether it was refused before.
        progress: What may be said of it.
        offers: Ids of the endpoints that it was offered to.
        choices: What each endpoint was chosen from, for the log.
        refusals: Endpoints that said that they did not run it.
        got_no_grant: Whether an endpoint that names a limit took no more.
        cut_off: Whether the connection of its last run broke.
        delivered_id: Id of the last event that the client has, or None.
        first_at: When its first event came, or None.
        last_at: When its last event came.
        longest_pause_s: The longest pause between its events.
        status: The status that the client got; 0 before that.
        why: Why it failed, for the log; empty if it did not.
    """

    id: str
    received_at: float
    content: request_content.ContentKey
    came_back: bool = False
    progress: outcomes.RequestProgress = dataclasses.field(
        default_factory=outcomes.RequestProgress
    )
    offers: list[str] = dataclasses.field(default_factory=list)
    choices: list[dict[str, Any]] = dataclasses.field(default_factory=list)
    refusals: int = 0
    got_no_grant: bool = False
    cut_off: bool = False
    delivered_id: str | None = None
    first_at: float | None = None
    last_at: float = 0.0
    longest_pause_s: float = 0.0
    status: int = 0
    why: str = ""

    def note_events(self, now: float) -> None:
        """Notes that events of its stream came."""
        if self.first_at is None:
            self.first_at = now
        else:
            pause = now - self.last_at
            self.longest_pause_s = max(self.longest_pause_s, pause)
        self.last_at = now


@dataclasses.dataclass(frozen=True, slots=True)
class Offer:
    """An endpoint that may get the request, and a way to it.

    Attributes:
        endpoint: The endpoint.
        choice: What it was chosen from.
        run: The attempt there, not sent yet.
        permit: Says that the request may run, and keeps account of it.
        grant: Part of the endpoint's limit that the request takes.
        continues: Whether a run goes on there from a copy of its memory.
    """

    endpoint: model.Endpoint
    choice: endpoint_choice.Choice
    run: attempt.Attempt
    permit: permits.Permit
    grant: rate_grants.RateGrant
    continues: bool = False


class Offers:
    """Chooses the endpoints of one request, within what it allows."""

    def __init__(
        self,
        tools: Tools,
        taken: admission.Admission,
        demand: endpoint_records.Demand,
        state: RequestState,
    ) -> None:
        """Makes the offers of a request that was taken.

        Args:
            tools: What exchanges share.
            taken: How it was taken.
            demand: What it asks of an endpoint.
            state: How far it has got.
        """
        self._tools = tools
        self._taken = taken
        self._demand = demand
        self._state = state
        self._avoid: set[str] = set()
        self._copy: model.Endpoint | None = None
        self._repeat_granted = False
        self._asked = False

    def sent_to(self, endpoint_id: str) -> None:
        """Notes that the request goes to an endpoint, which gets it once."""
        self._state.offers.append(endpoint_id)
        self._avoid.add(endpoint_id)
        self._repeat_granted = False

    async def next(self) -> Offer | None:
        """Returns an endpoint that may get the request, and a way to it.

        Raises:
            RefusalError: If no endpoint may get it, and none did.
        """
        while True:
            permit = await self._permit()
            if permit is None:
                return None
            offer = None
            try:
                offer = await self._find(permit)
            finally:
                if offer is None:
                    permit.close()
            if offer is None or permit.stands():
                return offer
            # An endpoint ended under it meanwhile.
            permit.close()
            self._tools.grants.put_back(offer.grant)
            self._tools.pool.release(offer.endpoint.id, offer.run.connection)

    async def _permit(self) -> permits.Permit | None:
        """Returns leave to send the request; None if it may run no more.

        Raises:
            RefusalError: If it may not be sent, and never ran.
        """
        try:
            return await self._tools.suspects.permit(
                self._state.content, self._taken.service, self._taken.deadline
            )
        except admission.RefusalError as refusal:
            if self._state.progress.outcome is outcomes.Outcome.NOT_RUN:
                raise
            self._state.why = refusal.code
            return None

    async def _find(self, permit: permits.Permit) -> Offer | None:
        if self._state.cut_off and self._may_continue():
            return await self._continue_at_copy(permit)
        barred = permit.avoided()
        while self._may_offer():
            now = time.monotonic()
            chosen = self._tools.book.choose(
                self._taken.service,
                self._demand,
                self._avoid | barred,
                now,
                permit.apart,
            )
            if chosen is None:
                return None
            endpoint, choice = chosen
            if choice.record.limited and self._is_held_back(now):
                self._avoid.update(self._tools.book.limits.limited())
                continue
            if not self._state.offers and self._demand.is_engine:
                self._note_asked(choice, now)
                self._shed_if_late(choice, now)
            try:
                connection = await self._tools.pool.acquire(
                    endpoint, self._taken.route.repeatable
                )
            except errors.EndpointBusyError as error:
                self._state.why = f"{endpoint.id}: {error}"
                self._avoid.add(endpoint.id)
                continue
            except errors.EndpointNotReachedError:
                self._state.offers.append(endpoint.id)
                self._avoid.add(endpoint.id)
                self._tools.book.not_reached(endpoint.id, time.monotonic())
                continue
            grant = await self._grant(endpoint, connection)
            if grant is None:
                self._avoid.add(endpoint.id)
                continue
            run = attempt.Attempt(connection, self._state.id)
            return Offer(endpoint, choice, run, permit, grant)
        return None

    def _is_held_back(self, now: float) -> bool:
        """Returns whether higher tiers go first where grants are scarce."""
        if not self._state.got_no_grant:
            self._state.got_no_grant = self._tools.precedence.holds_back(
                self._taken.service.name, self._taken.route.tier, now
            )
            return self._state.got_no_grant
        return False

    def _note_asked(self, choice: endpoint_choice.Choice, now: float) -> None:
        """Counts the prompt, once however many endpoints do not take it."""
        if not self._asked:
            self._asked = True
            self._tools.book.engines.note_asked(
                self._demand.service, choice.unread, self._demand.is_long, now
            )

    async def _grant(
        self, endpoint: model.Endpoint, connection: client.ClientConnection
    ) -> rate_grants.RateGrant | None:
        """Returns a grant to send the request, else lets the connection go.

        What the endpoint said of itself while the connection was made, or the
        grant was asked for, must not be passed over.
        """
        grant = None
        try:
            grant = await self._tools.grants.take(endpoint.id)
            if grant is None:
                self._state.got_no_grant = True
            elif self._tools.book.accepts(endpoint.id, time.monotonic()):
                return grant
            else:
                self._tools.grants.put_back(grant)
        except asyncio.CancelledError:
            self._tools.pool.release(endpoint.id, connection)
            raise
        self._tools.pool.release(endpoint.id, connection)
        return None

    def _may_continue(self) -> bool:
        """Returns whether a copy of the run's memory may still be used."""
        if self._copy is None or self._state.first_at is None:
            return False
        if self._state.last_at - self._state.first_at < COPY_AGE_S:
            return False
        return self._tools.book.accepts(self._copy.id, time.monotonic())

    async def _continue_at_copy(self, permit: permits.Permit) -> Offer | None:
        """Returns the endpoint with a copy of the run, if it can be reached.

        The run goes on there from its memory, so it is still the same run,
        also where the request may not be repeated.
        """
        endpoint = self._copy
        assert endpoint is not None
        self._copy = None
        now = time.monotonic()
        if self._taken.deadline - now < LEAST_TIME_S:
            return None
        if not self._tools.budget.take(self._taken.service.name, now):
            return None
        choice = self._tools.book.weigh(
            endpoint, self._taken.service, self._demand, now
        )
        try:
            connection = await self._tools.pool.acquire(endpoint, False)
        except errors.EndpointError as error:
            self._state.why = f"{endpoint.id}: {error}"
            return None
        grant = await self._grant(endpoint, connection)
        if grant is None:
            return None
        run = attempt.Attempt(connection, self._state.id)
        return Offer(endpoint, choice, run, permit, grant, continues=True)

    def plan_copy(self, offer: Offer) -> headers.CopyPlan | None:
        """Decides where the run's memory is copied to or comes from."""
        if offer.continues:
            return headers.CopyPlan(copied_at=offer.endpoint.address)
        engine = self._taken.service.engine
        if (
            engine is None
            or not engine.keeps_copies
            or self._taken.route.repeatable
            or self._taken.route.kind is not model.RouteKind.STREAM
            or self._demand.is_long
            or self._demand.prompt_tokens * engine.cache_token_bytes
            > MOST_COPIED_BYTES
        ):
            return None
        now = time.monotonic()
        # A run could not go on at once where a grant has to be waited for.
        limited = set(self._tools.book.limits.limited())
        chosen = self._tools.book.choose(
            self._taken.service, self._demand, self._avoid | limited, now
        )
        if chosen is None:
            return None
        self._copy = chosen[0]
        return headers.CopyPlan(copy_to=self._copy.address)

    def _shed_if_late(
        self,
        choice: endpoint_choice.Choice,
        now: float,
    ) -> None:
        """Refuses a request that would come late while others wait.

        Raises:
            RefusalError: If it is refused; nothing was sent for it.
        """
        if self._tools.book.serves_lower_tiers(
            self._taken.service, self._demand.urgency, now
        ):
            # Those give way to it at the endpoints: it is not refused while
            # they are taken.
            return
        prospect = shedding.Prospect(
            choice.predicted_s + now - self._state.received_at,
            self._taken.route.target_s,
            self._state.came_back,
            choice.busy,
        )
        pause = shedding.retry_after_s(prospect)
        if pause is not None:
            self._state.choices.append(endpoint_book.describe(choice))
            raise admission.RefusalError(
                503, "shed", "the answer would come late", pause
            )

    def _may_offer(self) -> bool:
        if len(self._state.offers) >= MAX_OFFERS:
            return False
        if self._taken.deadline - time.monotonic() < LEAST_TIME_S:
            return False
        runs = self._state.progress.attempts - self._state.refusals
        if runs >= self._taken.route.max_attempts:
            return False
        if runs and not self._taken.route.repeatable:
            return False
        if not self._tools.admitter.still_allowed(
            self._taken, self._state.received_at, time.monotonic()
        ):
            self._state.why = "no-longer-allowed"
            return False
        if self._state.progress.attempts == 0:
            return True
        if not self._repeat_granted:
            # Once for what is sent, however many endpoints do not take it.
            self._repeat_granted = self._tools.budget.take(
                self._taken.service.name, time.monotonic()
            )
        return self._repeat_granted
