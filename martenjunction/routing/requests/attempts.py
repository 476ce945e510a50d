"""The attempts of one request, one after the other or side by side.

Answers the load pattern of endpoints that fall silent or answer late. A request
that may be repeated gets a second endpoint while the first may still answer,
and the first response counts. A stream cannot run twice at a time, so it leaves
an endpoint only if that is silent and another one would take it.
"""

import asyncio
import time

from martenjunction import model
from martenjunction.decisions import backoff
from martenjunction.decisions import outcomes
from martenjunction.decisions.boxes import endpoint_records
from martenjunction.routing.access import admission
from martenjunction.routing.endpoints import run_ticket
from martenjunction.routing.requests import endpoint_runs
from martenjunction.routing.requests import exchange_context
from martenjunction.routing.requests import offers
from martenjunction.routing.requests import request_state

# Pauses, in seconds, after searches for another endpoint that found none.
FIRST_SEARCH_PAUSE_S = 0.2
MAX_SEARCH_PAUSE_S = 5.0

# Time, in seconds, for which a stream waits for the end of the run that it
# leaves, which may be writing to its client.
MAX_LEAVE_S = 0.05


class Attempts:
    """Sends one request to endpoints until one has answered it."""

    def __init__(
        self,
        context: exchange_context.ExchangeContext,
        admitted: admission.Admission,
        demand: endpoint_records.Demand,
        state: request_state.RequestState,
        runs: endpoint_runs.EndpointRuns,
    ) -> None:
        """Initializes the attempts of an admitted request.

        Args:
            context: The objects shared by all exchanges.
            admitted: The admitted request.
            demand: The resources that it needs.
            state: Its progress.
            runs: Its runs at endpoints.
        """
        self._context = context
        self._admitted = admitted
        self._demand = demand
        self._state = state
        self._runs = runs
        self._offers = offers.Offers(context, admitted, demand, state)
        self._beside: set[asyncio.Task[bool]] = set()
        self._is_selecting = False
        # Searches beside other attempts that found no endpoint, and the time
        # of the next one.
        self._searches = 0
        self._search_from = 0.0
        # Whether a suspected request runs, which is tried at one endpoint.
        self._is_isolated = False

    @property
    def should_move(self) -> bool:
        """Whether another endpoint should be tried, if there is one."""
        tickets = self._runs.tickets
        if any(ticket.endpoint_restarted for ticket in tickets):
            # It is not running the request any more.
            return True
        if not self._admitted.route.repeatable:
            # A silent endpoint may still be running the request.
            return False
        # Another attempt that has no endpoint yet is waited for.
        return not self._is_selecting and all(
            self._may_leave(ticket) for ticket in tickets
        )

    async def run(self) -> bool:
        """Tries endpoints.

        Returns:
            Whether the client has its final response.

        Raises:
            RefusalError: If the request may not be sent and never ran.
            ClientLostError: If the client disconnected.
        """
        try:
            while (offer := await self._offers.next()) is not None:
                if await self._send(offer) or await self._wait_for_others():
                    return True
            return False
        finally:
            await self._cancel_others()

    def move(self) -> None:
        """Tries another endpoint, unless a response is there or waiting."""
        tickets = self._runs.tickets
        if not tickets or self._runs.readable or self._runs.responding:
            return
        if any(ticket.endpoint_restarted for ticket in tickets):
            self._state.needs_new_connection = True
            self._runs.abort_lost()
        elif not self._is_isolated and self._offers.has_next(
            only_idle=any(ticket.keeps_running for ticket in tickets)
        ):
            self._state.needs_new_connection = True
            if self._is_stream and self._offers.may_continue:
                self._runs.give_up()
            else:
                self._begin_beside()

    @property
    def _is_stream(self) -> bool:
        return self._admitted.route.kind is model.RouteKind.STREAM

    def _may_leave(self, ticket: run_ticket.RunTicket) -> bool:
        return ticket.move_requested and not (
            self._is_stream and ticket.keeps_running
        )

    def _begin_beside(self) -> None:
        """Begins another attempt beside the ones that are under way."""
        if time.monotonic() < self._search_from:
            return
        self._is_selecting = True
        loop = asyncio.get_running_loop()
        self._beside.add(loop.create_task(self._try_next()))

    def _note_second(self) -> None:
        self._context.metrics.count("second_attempts")
        self._context.log.write(
            "second-attempt",
            id=self._state.id,
            waited_s=round(time.monotonic() - self._state.received_at, 3),
            endpoints=list(self._state.offers),
        )

    async def _try_next(self) -> bool:
        offer = None
        try:
            offer = await self._offers.next()
        finally:
            self._is_selecting = False
            if offer is None:
                self._pause_search()
        return offer is not None and await self._send(offer)

    def _pause_search(self) -> None:
        """Has the next search wait, as the last one found no endpoint."""
        self._search_from = time.monotonic() + backoff.pause_s(
            FIRST_SEARCH_PAUSE_S, self._searches, MAX_SEARCH_PAUSE_S
        )
        self._searches += 1

    async def _send(self, offer: offers.Offer) -> bool:
        if self._runs.responding or (
            offer.permit.isolated and self._runs.tickets
        ):
            # The request may have become suspected while it runs elsewhere.
            self._is_isolated = offer.permit.isolated
            self._offers.give_back(offer)
            return False
        self._confirm_during_stop(offer)
        if self._runs.tickets and self._is_stream:
            if not await self._leave_for(offer):
                return False
        elif self._runs.tickets:
            self._note_second()
        self._is_isolated = offer.permit.isolated
        self._offers.note_sent(offer.endpoint.id)
        return await self._runs.run(
            self._demand, offer, self._offers.plan_copy(offer)
        )

    def _confirm_during_stop(self, offer: offers.Offer) -> None:
        """Refuses a request that waited until too late in a planned stop.

        Raises:
            RefusalError: If it ran nowhere and could outlast the stop.
        """
        if self._state.progress.outcome is not outcomes.Outcome.NOT_RUN:
            return
        try:
            self._context.stop.confirm(
                self._state.id, self._admitted, offer.choice
            )
        except admission.RefusalError:
            self._offers.give_back(offer)
            raise

    async def _leave_for(self, offer: offers.Offer) -> bool:
        """Ends the runs of a stream, or gives back what was offered to it.

        Returns:
            Whether they have ended.
        """
        left = False
        try:
            left = await self._leave()
        finally:
            if not left:
                # Its client may have left, or its time may be over.
                self._offers.give_back(offer)
        return left

    async def _leave(self) -> bool:
        """Ends the runs of a stream that another endpoint would take now.

        Returns:
            Whether they have ended. They stay if they may still be answered.
        """
        if self._runs.readable or not all(
            self._may_leave(ticket) for ticket in self._runs.tickets
        ):
            return False
        self._runs.give_up()
        until = time.monotonic() + MAX_LEAVE_S
        while self._runs.tickets and time.monotonic() < until:
            await asyncio.sleep(0.001)
        return not self._runs.tickets

    async def _wait_for_others(self) -> bool:
        """Waits for the attempts beside one that has ended.

        Returns:
            Whether the client has its final response.
        """
        while self._beside:
            done, _ = await asyncio.wait(
                self._beside, return_when=asyncio.FIRST_COMPLETED
            )
            self._beside -= done
            results = [task.result() for task in done]
            if any(results):
                return True
        return False

    async def _cancel_others(self) -> None:
        """Ends the attempts whose response is not needed."""
        for task in self._beside:
            task.cancel()
        if self._beside:
            await asyncio.gather(*self._beside, return_exceptions=True)
