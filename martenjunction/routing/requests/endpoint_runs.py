"""Runs a request at endpoints and forwards the response."""

import contextlib
import dataclasses
import time

from martenjunction import errors
from martenjunction import model
from martenjunction.decisions import outcomes
from martenjunction.decisions.boxes import endpoint_records
from martenjunction.decisions.boxes import stream_table
from martenjunction.endpoints import attempt
from martenjunction.endpoints import event_stream
from martenjunction.http1 import messages
from martenjunction.http1 import server_connection
from martenjunction.platform import headers
from martenjunction.routing.access import admission
from martenjunction.routing.endpoints import endpoint_selector
from martenjunction.routing.endpoints import run_ticket
from martenjunction.routing.requests import exchange_context
from martenjunction.routing.requests import offers
from martenjunction.routing.requests import request_state

# Statuses that would tell the client that the request did not run.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})

# Reason logged for a request whose client disconnected.
CLIENT_LEFT = "client-left"


@dataclasses.dataclass(slots=True)
class Answer:
    """A complete response of an endpoint, ready for the client."""

    status: int
    headers: messages.Headers
    body: messages.Body


class EndpointRuns:
    """Sends one request to endpoints and forwards their responses."""

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
        self._request = request
        self._state = state
        self._admitted = admitted
        self._running: attempt.Attempt | None = None
        self._ticket: run_ticket.RunTicket | None = None
        self._fallback: Answer | None = None
        self._run_counted = False
        workspace = admitted.workspace
        self._answers = context.answers.holder(
            None if workspace is None else workspace.name, self._paused
        )

    @property
    def ticket(self) -> run_ticket.RunTicket | None:
        """The ticket of the current run, or None."""
        return self._ticket

    @property
    def fallback(self) -> Answer | None:
        """A failure response to deliver if no endpoint succeeds, or None."""
        return self._fallback

    @property
    def should_move(self) -> bool:
        """Whether the request should be moved to another endpoint."""
        ticket = self._ticket
        if ticket is None:
            return False
        # A silent endpoint may still be running the request, so only repeatable
        # requests are moved from it. A restarted endpoint is not running it.
        return ticket.endpoint_restarted or (
            ticket.move_requested and self._admitted.route.repeatable
        )

    @property
    def readable(self) -> bool:
        """Whether bytes from the endpoint are waiting to be read."""
        return self._running is not None and self._running.connection.readable

    @property
    def grace_s(self) -> float:
        """Seconds to wait for what the endpoint has already sent, or 0."""
        if self._running is None:
            return 0.0
        return self._running.connection.grace_s

    def move(self) -> None:
        """Aborts the current run, so that another endpoint may be tried.

        Does nothing if bytes are waiting to be read: the endpoint is not
        silent.
        """
        if self._running is not None and not self.readable:
            self._state.needs_new_connection = True
            self._running.abort()

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
            Whether the client has its final response.

        Raises:
            ClientLostError: If the client disconnected; nothing was sent.
        """
        endpoint, run = offer.endpoint, offer.run
        if self._connection.client_left:
            # The callback for that comes in a later iteration of the event loop
            # and would abort the run right after it was sent.
            self._state.failure = CLIENT_LEFT
            offer.permit.close()
            self._context.grants.refund(offer.grant)
            self._context.pool.release(endpoint.id, run.connection)
            raise errors.ClientLostError("the client left")
        registry = self._context.registry
        ticket = registry.runs.begin(
            offer.choice,
            demand,
            time.monotonic(),
            offer.continues or self._state.delivered_id is not None,
            run.connection.is_direct,
            run.connection.is_unheard,
        )
        self._running, self._ticket = run, ticket
        run.on_bytes(lambda: registry.runs.note_bytes(ticket, time.monotonic()))
        offer.permit.note_sent(endpoint)
        self._run_counted = False
        self._state.choices.append(
            {
                **endpoint_selector.describe(offer.choice),
                "version": endpoint.version,
            }
        )
        self._count_continuation(endpoint)
        failed = True
        aborted = True
        try:
            run.send(self._request, self._build_headers(endpoint, copies))
            self._state.progress.record(outcomes.Event.SENT)
            finished = await self._receive(offer, ticket)
            failed = not finished
            aborted = False
            return finished
        except errors.EndpointNotReachedError:
            aborted = False
            self._context.grants.refund(offer.grant)
            return False
        except errors.EndpointError as error:
            self._state.failure = f"{endpoint.id}: {error}"
            # Only a run whose connection broke may resume from its copy; one
            # that failed by itself must not run again.
            self._state.connection_broken = isinstance(
                error.__cause__, errors.TransportError
            )
            if not ticket.unheard:
                registry.health.note_broken_response(
                    endpoint.id, time.monotonic()
                )
            self._report_invalid(endpoint, run, error)
            self._state.progress.record(outcomes.Event.BROKEN)
            if self._state.connection_broken:
                # Checked before the retry: a request that crashes its endpoint
                # would otherwise crash one endpoint after another.
                offer.permit.record_broken_run(endpoint)
                if not await self._context.liveness.check(endpoint):
                    self._count_run(offer)
            return False
        except BaseException:
            run.abort()
            failed = False
            raise
        finally:
            self._running = self._ticket = None
            registry.runs.end(ticket, time.monotonic(), failed)
            offer.permit.close()
            self._context.grants.release(offer.grant, aborted)
            self._context.pool.release(endpoint.id, run.connection)

    def _report_invalid(
        self,
        endpoint: model.Endpoint,
        run: attempt.Attempt,
        error: errors.EndpointError,
    ) -> None:
        """Logs a response that was invalid or too large, not broken off."""
        cause = error.__cause__
        if isinstance(cause, errors.ConnectionLostError) or isinstance(
            error, errors.StreamTruncatedError
        ):
            return
        if isinstance(cause, errors.ExcessFramingError):
            self._context.metrics.count("excess_framing", side="endpoint")
        self._context.log.write(
            "answer-invalid",
            id=self._state.id,
            endpoint=endpoint.id,
            address=endpoint.address,
            why=str(error),
            received=run.received,
        )

    def _build_headers(
        self,
        endpoint: model.Endpoint,
        copies: headers.CopyPlan | None,
    ) -> messages.Headers:
        request = self._request
        framed = request.body or messages.header(
            request.headers, b"content-length"
        )
        workspace = self._admitted.workspace
        return headers.endpoint_headers(
            request.headers,
            len(request.body) if framed else None,
            self._admitted.deadline - time.monotonic(),
            endpoint.entry,
            None if workspace is None else workspace.name,
            self._admitted.urgency,
            self._state.delivered_id,
            copies,
        )

    async def _receive(
        self,
        offer: offers.Offer,
        ticket: run_ticket.RunTicket,
    ) -> bool:
        endpoint, run = offer.endpoint, offer.run
        head = await run.head()
        if headers.was_not_executed(head):
            await run.body(self._answers)
            run.finish()
            self._state.refusals += 1
            self._state.progress.record(outcomes.Event.REFUSED)
            self._context.registry.health.note_refusal(
                endpoint.id, time.monotonic()
            )
            self._state.failure = f"{endpoint.id}: refused with {head.status}"
            return False
        success = 200 <= head.status < 300
        if success and not headers.is_sealed(head):
            run.abort()
            raise errors.EndpointBrokenError(
                "successful response without a seal"
            )
        if success and self._admitted.route.kind is model.RouteKind.STREAM:
            await self._forward_events(head, offer, ticket)
            return True
        body = await run.body(self._answers)
        self._context.registry.runs.note_response(ticket, time.monotonic())
        self._count_run(offer)
        run.finish()
        offer.permit.record_answer(success)
        answer = Answer(head.status, headers.client_headers(head.headers), body)
        if success:
            self._state.progress.record(outcomes.Event.COMPLETE)
            await self.deliver(answer)
            return True
        self._state.progress.record(outcomes.Event.BROKEN)
        self._state.failure = f"{endpoint.id}: status {head.status}"
        if head.status in NOT_RUN_STATUSES:
            # It may have run, so the status must not reach the client.
            return False
        if head.status < 500:
            # Final: no other endpoint is tried, so it must be delivered now. A
            # fallback would never reach the client.
            await self.deliver(answer)
            return True
        self._fallback = answer
        return False

    async def _forward_events(
        self,
        head: messages.ResponseHead,
        offer: offers.Offer,
        ticket: run_ticket.RunTicket,
    ) -> None:
        """Forwards a stream event by event."""
        run = offer.run
        pairs = headers.client_headers(head.headers)
        async for events in run.events(self._answers):
            now = time.monotonic()
            self._context.registry.runs.note_events(ticket, now, len(events))
            self._count_run(offer)
            self._state.note_events(now)
            offer.permit.note_events(now)
            if not self._connection.answering:
                self._record_origin(offer.endpoint)
                self._state.progress.record(outcomes.Event.ANSWERING)
                await self._connection.begin(
                    head.status, pairs, self._context.closing()
                )
                self._state.status = head.status
            await self._write_undelivered(events)
        if not self._connection.answering:
            await self._connection.begin(
                head.status, pairs, self._context.closing()
            )
            self._state.status = head.status
        run.finish()
        offer.permit.record_answer()
        self._state.progress.record(outcomes.Event.COMPLETE)
        await self._connection.end()

    def _record_origin(self, endpoint: model.Endpoint) -> None:
        """Records which version began a stream, before its first event is sent.

        A stream that the client takes up is recorded again: the boxes that
        knew of it may have ended.
        """
        if self._state.stream_version is None:
            self._state.stream_version = endpoint.version
        route = self._admitted.route
        if route.resumable:
            self._context.origins.record(
                self._state.stream_key,
                stream_table.StreamOrigin(
                    endpoint.service, self._state.stream_version
                ),
                self._state.client_waits_s,
            )

    def _count_continuation(self, endpoint: model.Endpoint) -> None:
        """Counts a run that continues a stream, by software version."""
        if self._state.delivered_id is None and not self._state.resume_from:
            return
        begun = self._state.stream_version
        if begun is None:
            relation = "unknown"
        else:
            relation = "same" if begun == endpoint.version else "other"
        self._context.metrics.count(
            "stream_continuations",
            by="client" if self._state.delivered_id is None else "box",
            version=relation,
        )

    def _count_run(self, offer: offers.Offer) -> None:
        """Counts a run for the usage of its workspace, once.

        Failures ran as well, and so did most requests whose connection broke,
        unless their endpoint crashed. A run that continues at another engine
        from a copy is the same run.
        """
        if self._run_counted or offer.continues:
            return
        self._run_counted = True
        workspace = self._admitted.workspace
        self._context.usage.record_run(
            None if workspace is None else workspace.name
        )

    async def _write_undelivered(
        self, events: list[event_stream.StreamEvent]
    ) -> None:
        """Writes the events not yet delivered to the client."""
        fresh = []
        for event in events:
            if event.id is not None:
                if _is_delivered(event.id, self._state.delivered_id):
                    continue
                self._state.delivered_id = event.id
            fresh.append(event.data)
        if fresh:
            await self._connection.write(b"".join(fresh))

    def _paused(self) -> contextlib.AbstractContextManager[None]:
        """Keeps an endpoint whose answer is not read from being silent."""
        assert self._ticket is not None
        return self._context.registry.runs.paused(self._ticket)

    def close(self) -> None:
        """Gives back the memory of the responses."""
        self._answers.close()

    async def deliver(self, answer: Answer) -> None:
        """Sends a complete response to the client."""
        self._state.status = answer.status
        await self._connection.answer(
            answer.status, answer.headers, answer.body, self._context.closing()
        )


def _is_delivered(event_id: str, delivered: str | None) -> bool:
    """Returns whether an event was already delivered."""
    if delivered is None:
        return False
    if event_id.isdigit() and delivered.isdigit():
        return int(event_id) <= int(delivered)
    return event_id == delivered
