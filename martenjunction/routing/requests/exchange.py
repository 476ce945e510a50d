"""Handles one client request, from its head to the end of the response."""

import asyncio
import enum
import logging
import time

from martenjunction import errors
from martenjunction.decisions import outcomes
from martenjunction.decisions.boxes import endpoint_records
from martenjunction.http1 import close_reports
from martenjunction.http1 import messages
from martenjunction.http1 import server_connection
from martenjunction.platform import headers
from martenjunction.routing.access import admission
from martenjunction.routing.endpoints import run_tracker
from martenjunction.routing.requests import endpoint_runs
from martenjunction.routing.requests import exchange_context
from martenjunction.routing.requests import offers
from martenjunction.routing.requests import request_account
from martenjunction.routing.requests import request_state
from martenjunction.routing.requests import stream_binding

logger = logging.getLogger(__name__)

# Retry-After, in seconds, if no endpoint accepts the request.
RETRY_BUSY_S = 0.25

# Retry-After, in seconds, if no endpoint of a stream's version accepts it. One
# that crashed takes seconds to start again.
RETRY_VERSION_S = 1.0


class Ending(enum.StrEnum):
    """Why a request ended before its response."""

    CLIENT_LEFT = endpoint_runs.CLIENT_LEFT
    TIMED_OUT = "timed-out"
    STOPPED = "stopped"


class _StreamBrokenError(errors.EndpointError):
    """A stream that is already being sent cannot be continued."""


class Exchange:
    """Handles one request; owned by the task of its connection."""

    def __init__(
        self,
        context: exchange_context.ExchangeContext,
        connection: server_connection.ServerConnection,
        request: messages.Request,
    ) -> None:
        """Initializes the exchange; `run` serves the request.

        Args:
            context: The objects shared by all exchanges.
            connection: The client's connection.
            request: The complete request.
        """
        self._context = context
        self._connection = connection
        self._request = request
        self._facts = headers.decode_request(request.headers)
        self._state = request_state.RequestState(
            self._facts.id,
            request.received_at,
            context.content_keys.key(request, self._facts),
            context.stream_keys.key(
                self._facts.key, self._facts.resumes or self._facts.id
            ),
            self._facts.deadline_s,
            resume_from=self._facts.resume_from or "",
        )
        self._admission: admission.Admission | None = None
        self._task: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._ending: Ending | None = None
        self._runs: endpoint_runs.EndpointRuns | None = None

    @property
    def ticket(self) -> run_tracker.RunTicket | None:
        """The ticket of the current run, or None."""
        return None if self._runs is None else self._runs.ticket

    @property
    def should_move(self) -> bool:
        """Whether the request should be moved to another endpoint."""
        return self._runs is not None and self._runs.should_move

    def move(self) -> None:
        """Aborts the current run, so that another endpoint may be tried."""
        if self._runs is not None:
            self._runs.move()

    def stop(self, ending: Ending) -> None:
        """Ends the request and its run at an endpoint.

        If bytes from the endpoint are waiting, they are read first, unless the
        client disconnected: after a stall of the event loop, the complete
        response may be waiting.
        """
        grace_s = 0.0 if self._runs is None else self._runs.grace_s
        if ending is Ending.CLIENT_LEFT or not grace_s:
            self._end(ending)
            return
        if self._timer is not None:
            self._timer.cancel()
        self._timer = asyncio.get_running_loop().call_later(
            grace_s, self._end, ending
        )

    async def run(self) -> None:
        """Serves the request.

        Raises:
            ClientLostError: If the client disconnected.
        """
        try:
            await self._serve()
        except admission.RefusalError as refusal:
            await self._refuse(
                refusal.status, refusal.code, refusal.retry_after
            )
        except errors.ClientLostError:
            raise
        except Exception as error:
            logger.exception("request %s failed", self._facts.id)
            await self._fail(error)
        finally:
            if self._runs is not None:
                self._runs.close()
            # Its connection keeps the request until the next one is complete,
            # and an exception may keep it for longer.
            self._request.body = b""
            self._record_result()

    async def _serve(self) -> None:
        admitted = self._context.admitter.admit(
            self._facts,
            self._request.path.decode("latin-1"),
            self._request.received_at,
        )
        self._admission = admitted
        if self._request.discarded:
            raise admission.RefusalError(
                503, "memory-short", "no memory for the body", RETRY_BUSY_S
            )
        self._runs = runs = endpoint_runs.EndpointRuns(
            self._context,
            self._connection,
            self._request,
            self._state,
            admitted,
        )
        self._context.stop.admit(self._facts.id, admitted)
        self._state.is_retry = self._context.deadlines.is_retry(
            admitted.route.name, self._facts.deadline_s
        )
        self._context.budget.record_request(
            admitted.service.name, self._request.received_at
        )
        loop = asyncio.get_running_loop()
        time_left_s = admitted.deadline - time.monotonic()
        self._timer = loop.call_later(
            max(0.0, time_left_s), self.stop, Ending.TIMED_OUT
        )
        self._task = loop.create_task(self._run_attempts(admitted, runs))
        try:
            self._connection.on_disconnect(
                lambda: self.stop(Ending.CLIENT_LEFT)
            )
            await asyncio.wait([self._task])
        finally:
            self._timer.cancel()
            self._connection.on_disconnect(None)
            if not self._task.done():
                self._task.cancel()
        await self._conclude(runs)

    def _end(self, ending: Ending) -> None:
        if self._ending is None:
            self._ending = ending
            if self._task is not None:
                self._task.cancel()

    async def _conclude(self, runs: endpoint_runs.EndpointRuns) -> None:
        """Sends the final response if the attempts sent none."""
        assert self._task is not None
        if self._task.cancelled():
            await self._conclude_aborted(runs)
            return
        error = self._task.exception()
        if error is None:
            return
        if isinstance(error, _StreamBrokenError):
            self._state.failure = self._state.failure or str(error)
            self._connection.abort(close_reports.CloseReason.ANSWER_BROKEN)
            return
        if isinstance(error, admission.RefusalError):
            raise error
        if isinstance(error, errors.ClientLostError):
            self._ending = Ending.CLIENT_LEFT
        raise error

    async def _fail(self, error: Exception) -> None:
        """Responds after an unexpected error.

        The request may have run, so the response does not claim otherwise.
        """
        self._state.failure = f"{type(error).__name__}: {error}"
        if self._connection.answering:
            self._connection.abort(close_reports.CloseReason.FAILED)
        else:
            await self._refuse(502, "internal-error", None)

    async def _conclude_aborted(self, runs: endpoint_runs.EndpointRuns) -> None:
        self._state.failure = (
            self._ending.value if self._ending else "cancelled"
        )
        if self._ending is Ending.CLIENT_LEFT:
            self._connection.abort(close_reports.CloseReason.CLIENT)
            raise errors.ClientLostError("the client left")
        if self._connection.answering:
            self._connection.abort(close_reports.CloseReason.ANSWER_BROKEN)
        elif runs.fallback is not None:
            await runs.deliver(runs.fallback)
        elif self._state.progress.outcome is outcomes.Outcome.NOT_RUN:
            await self._refuse(503, self._state.failure, RETRY_BUSY_S)
        else:
            await self._refuse(504, self._state.failure, None)

    async def _run_attempts(
        self, admitted: admission.Admission, runs: endpoint_runs.EndpointRuns
    ) -> None:
        bound = await stream_binding.bind(
            self._context, self._facts, self._state, admitted
        )
        admitted, self._state.stream_version = bound.admitted, bound.version
        if admitted.service.engine is not None:
            self._state.part_keys = self._context.content_keys.part_keys(
                admitted.service.name, self._facts
            )
        demand = self._demand(admitted)
        chosen = offers.Offers(self._context, admitted, demand, self._state)
        while True:
            offer = await chosen.next()
            if offer is None:
                await self._finish_without_endpoint(admitted, runs)
                return
            self._confirm_during_stop(admitted, offer)
            chosen.note_sent(offer.endpoint.id)
            copies = chosen.plan_copy(offer)
            if await runs.run(demand, offer, copies):
                return

    def _confirm_during_stop(
        self, admitted: admission.Admission, offer: offers.Offer
    ) -> None:
        """Refuses a request that waited until too late in a planned stop.

        Raises:
            RefusalError: If it ran nowhere and could outlast the stop.
        """
        if self._state.progress.outcome is not outcomes.Outcome.NOT_RUN:
            return
        try:
            self._context.stop.confirm(self._facts.id, admitted, offer.choice)
        except admission.RefusalError:
            offer.permit.close()
            self._context.grants.refund(offer.grant)
            self._context.pool.release(offer.endpoint.id, offer.run.connection)
            raise

    def _demand(self, admitted: admission.Admission) -> endpoint_records.Demand:
        engine = admitted.service.engine
        engines = self._context.registry.table.engines
        name = admitted.service.name
        now = time.monotonic()
        return endpoint_records.Demand(
            name,
            tuple((part.id, part.tokens) for part in self._facts.parts),
            self._facts.prompt_tokens,
            self._context.zone,
            engine is not None,
            admitted.route.repeatable,
            admitted.urgency or 0,
            admitted.shortest_pause_s,
            admitted.route.gap_target_s,
            1 if engine is None else engine.tokens_per_event,
            engines.profile(name),
            engines.prefill_demand(name, now),
            engines.peer_prefill_per_s(name, now),
        )

    async def _finish_without_endpoint(
        self, admitted: admission.Admission, runs: endpoint_runs.EndpointRuns
    ) -> None:
        """Ends a request for which no further endpoint is available."""
        if self._connection.answering:
            raise _StreamBrokenError(
                self._state.failure or "no endpoint can continue the stream"
            )
        if runs.fallback is not None:
            await runs.deliver(runs.fallback)
        elif self._state.progress.outcome is outcomes.Outcome.NOT_RUN:
            await self._refuse_unsent(admitted)
        else:
            await self._refuse(502, "unknown-outcome", None)

    async def _refuse_unsent(self, admitted: admission.Admission) -> None:
        """Refuses a request that did not run, with a Retry-After."""
        opens_in_s = self._context.registry.selector.opens_in_s(
            admitted.service, time.monotonic()
        )
        service = admitted.service.name
        limited = self._context.registry.selector.limited(
            service
        ) or self._context.registry.selector.is_brittle(service)
        if limited and (opens_in_s is not None or self._state.grant_denied):
            self._context.precedence.record_refusal(
                admitted.service.name, admitted.route.tier, time.monotonic()
            )
            # An endpoint that had no grant left may have one by then.
            await self._refuse(
                503, "endpoints-limited", opens_in_s or RETRY_BUSY_S
            )
        elif opens_in_s is not None:
            await self._refuse(503, "endpoints-rest", opens_in_s)
        elif self._state.stream_version is not None:
            self._state.failure = (
                self._state.failure or "no endpoint of the stream's version"
            )
            await self._refuse(503, "not-run", RETRY_VERSION_S)
        else:
            self._state.failure = self._state.failure or "no endpoint available"
            await self._refuse(503, "not-run", RETRY_BUSY_S)

    async def _refuse(
        self, status: int, code: str, retry_after: float | None
    ) -> None:
        self._state.failure = self._state.failure or code
        self._state.status = status
        pairs = [(b"Content-Type", b"text/plain")]
        if retry_after is not None:
            pairs.append(headers.retry_after(retry_after))
        await self._connection.answer(
            status, pairs, code.encode(), self._context.closing()
        )

    def _record_result(self) -> None:
        if self._ending is Ending.STOPPED:
            self._context.stop.record_ended(self._state.progress.outcome)
        admitted = self._admission
        request_account.record_result(
            self._context,
            self._state,
            None if admitted is None else admitted.route,
            str(self._state.status or self._ending or "broken"),
            self._facts,
        )
