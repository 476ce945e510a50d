"""The runs of one request, of which one responds to the client."""

from martenjunction import errors
from martenjunction.decisions.boxes import endpoint_records
from martenjunction.http1 import messages
from martenjunction.http1 import server_connection
from martenjunction.platform import headers
from martenjunction.routing.access import admission
from martenjunction.routing.endpoints import run_ticket
from martenjunction.routing.requests import endpoint_run
from martenjunction.routing.requests import exchange_context
from martenjunction.routing.requests import offers
from martenjunction.routing.requests import request_state

# Reason logged for a request whose client disconnected.
CLIENT_LEFT = "client-left"


class EndpointRuns:
    """Sends one request to endpoints and forwards one response."""

    def __init__(
        self,
        context: exchange_context.ExchangeContext,
        connection: server_connection.ServerConnection,
        request: messages.Request,
        state: request_state.RequestState,
        admitted: admission.Admission,
    ) -> None:
        """Initializes the runs of an admitted request.

        Args:
            context: The objects shared by all exchanges.
            connection: The client's connection.
            request: The complete request.
            state: The progress of the request.
            admitted: The admitted request.
        """
        self._context = context
        self._connection = connection
        self._state = state
        self._asked = endpoint_run.AdmittedRequest(
            connection, request, state, admitted
        )
        self._running: list[endpoint_run.EndpointRun] = []
        self._ended: list[endpoint_run.EndpointRun] = []
        self._responding: endpoint_run.EndpointRun | None = None
        self._fallback: endpoint_run.Answer | None = None
        self._delivered = False

    @property
    def tickets(self) -> list[run_ticket.RunTicket]:
        """The tickets of the current runs."""
        return [run.ticket for run in self._running]

    @property
    def delivered(self) -> bool:
        """Whether the client has a complete response."""
        return self._delivered

    @property
    def fallback(self) -> endpoint_run.Answer | None:
        """A failure response to deliver if no endpoint succeeds, or None."""
        return self._fallback

    @property
    def responding(self) -> bool:
        """Whether one of the runs has the final response."""
        return self._responding is not None

    @property
    def readable(self) -> bool:
        """Whether bytes from an endpoint are waiting to be read."""
        return any(run.readable for run in self._running)

    @property
    def grace_s(self) -> float:
        """Seconds to wait for what endpoints have already sent, or 0."""
        return max((run.grace_s for run in self._running), default=0.0)

    def give_up(self) -> None:
        """Ends the current runs, so that another endpoint may be tried."""
        for run in self._running:
            run.give_up()

    def abort_lost(self) -> None:
        """Ends the runs whose endpoint restarted: it has lost them."""
        for run in self._running:
            if run.ticket.endpoint_restarted:
                run.abort()

    async def run(
        self,
        demand: endpoint_records.Demand,
        offer: offers.Offer,
        copies: headers.CopyPlan | None,
    ) -> bool:
        """Runs the request at one endpoint.

        Args:
            demand: The resources that the request needs.
            offer: The selected endpoint.
            copies: Where the run's memory is copied to or resumed from.

        Returns:
            Whether the client has its final response from there.

        Raises:
            ClientLostError: If the client disconnected; nothing was sent.
        """
        if self._connection.client_left:
            # The callback for that comes in a later iteration of the event loop
            # and would abort the run right after it was sent.
            self._state.failure = CLIENT_LEFT
            offer.permit.close()
            self._context.grants.refund(offer.grant)
            self._context.pool.release(offer.endpoint.id, offer.run.connection)
            raise errors.ClientLostError("the client left")
        run = endpoint_run.EndpointRun(
            self._context, self._asked, offer, demand, self
        )
        self._running.append(run)
        try:
            return await run.run(copies)
        finally:
            self._running.remove(run)
            self._ended.append(run)

    def claim(self, run: endpoint_run.EndpointRun) -> bool:
        """Ends the other runs; returns False if one of them responds."""
        if self._responding is not None:
            return False
        self._responding = run
        for other in self._running:
            if other is not run:
                other.supersede()
        return True

    def keep_fallback(self, answer: endpoint_run.Answer) -> None:
        """Keeps a failure response for when no endpoint succeeds."""
        self._fallback = answer

    def close(self) -> None:
        """Gives back the memory of the responses."""
        for run in self._ended:
            run.close()

    async def deliver(self, answer: endpoint_run.Answer) -> None:
        """Sends a complete response to the client."""
        self._state.status = answer.status
        await self._connection.answer(
            answer.status, answer.headers, answer.body, self._context.closing()
        )
        self._delivered = True
