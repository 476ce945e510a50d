"""Runs a request at one endpoint and forwards the response."""

import contextlib
import dataclasses
import time
from typing import Protocol

from martenjunction import errors
from martenjunction import model
from martenjunction.decisions import outcomes
from martenjunction.decisions.boxes import endpoint_records
from martenjunction.decisions.boxes import stream_table
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
from martenjunction.routing.requests import run_ends

# Statuses that would tell the client that the request did not run.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})

# Fraction of the latency target below which an answer is not late, and of the
# time until the deadline beyond which it is if nothing is known of others.
MIN_TARGET_FRACTION = 0.5
MAX_DEADLINE_FRACTION = 0.5


@dataclasses.dataclass(slots=True)
class Answer:
    """A complete response of an endpoint, ready for the client."""

    status: int
    headers: messages.Headers
    body: messages.Body


@dataclasses.dataclass(frozen=True, slots=True)
class AdmittedRequest:
    """An admitted request and its client.

    Attributes:
        connection: The client's connection.
        request: The complete request.
        state: The progress of the request.
        admitted: What it was admitted for.
    """

    connection: server_connection.ServerConnection
    request: messages.Request
    state: request_state.RequestState
    admitted: admission.Admission

    @property
    def patience(self) -> run_ticket.Patience:
        """When an answer to a run that begins now is late."""
        time_left_s = self.admitted.deadline - time.monotonic()
        return run_ticket.Patience(
            MIN_TARGET_FRACTION * self.admitted.route.target_s,
            MAX_DEADLINE_FRACTION * time_left_s,
        )


class Responder(Protocol):
    """Has one of the runs of a request respond to its client."""

    def claim(self, run: "EndpointRun") -> bool:
        """Ends the other runs; returns False if one of them responds."""

    async def deliver(self, answer: Answer) -> None:
        """Sends a complete response to the client."""

    def keep_fallback(self, answer: Answer) -> None:
        """Keeps a failure response for when no endpoint succeeds."""


class EndpointRun:
    """One run of a request at one endpoint."""

    def __init__(
        self,
        context: exchange_context.ExchangeContext,
        asked: AdmittedRequest,
        offer: offers.Offer,
        demand: endpoint_records.Demand,
        responder: Responder,
    ) -> None:
        """Initializes the run; `run` sends the request.

        Args:
            context: The objects shared by all exchanges.
            asked: The request.
            offer: The selected endpoint.
            demand: The resources that the request needs.
            responder: Asked before the client gets a response.
        """
        self._context = context
        self._connection = asked.connection
        self._request = asked.request
        self._state = asked.state
        self._admitted = asked.admitted
        self._offer = offer
        self._run = offer.run
        self._responder = responder
        self._counted = False
        self._superseded = False
        self._end = run_ends.RunEnd.FAILED
        self._ticket = context.registry.runs.begin(
            offer.choice,
            demand,
            time.monotonic(),
            offer.continues or asked.state.delivered_id is not None,
            offer.run.connection.is_direct,
            offer.run.connection.is_unheard,
            asked.patience,
        )
        workspace = asked.admitted.workspace
        self._answers = context.answers.holder(
            None if workspace is None else workspace.name, self._paused
        )

    @property
    def ticket(self) -> run_ticket.RunTicket:
        """Its ticket."""
        return self._ticket

    @property
    def readable(self) -> bool:
        """Whether bytes from the endpoint are waiting to be read."""
        return self._run.connection.readable

    @property
    def grace_s(self) -> float:
        """Seconds to wait for what the endpoint has already sent, or 0."""
        return self._run.connection.grace_s

    def abort(self) -> None:
        """Closes the connection of a run that its endpoint has lost."""
        self._run.abort()

    def give_up(self) -> None:
        """Ends a run that its endpoint may still answer."""
        self._ticket.given_up = True
        self._run.abort()
        # It may wait for memory, not for its connection.
        self._answers.give_up()

    def supersede(self) -> None:
        """Ends the run, as another one responds to the client."""
        self._superseded = True
        self.give_up()

    def close(self) -> None:
        """Gives back the memory of the response."""
        self._answers.close()

    async def run(self, copies: headers.CopyPlan | None) -> bool:
        """Sends the request and forwards the response.

        Args:
            copies: Where the run's memory is copied to or resumed from.

        Returns:
            Whether the client has its final response.
        """
        endpoint, run = self._offer.endpoint, self._run
        registry, ticket = self._context.registry, self._ticket
        run.on_bytes(lambda: registry.runs.note_bytes(ticket, time.monotonic()))
        self._offer.permit.note_sent(endpoint)
        self._state.choices.append(
            {
                **endpoint_selector.describe(self._offer.choice),
                "version": endpoint.version,
            }
        )
        self._count_continuation(endpoint)
        failed = True
        aborted = True
        try:
            run.send(self._request, self._build_headers(endpoint, copies))
            self._record(outcomes.Event.SENT)
            finished = await self._receive()
            if finished:
                self._end = run_ends.RunEnd.ANSWERED
            failed = not finished
            aborted = False
            return finished
        except errors.EndpointNotReachedError as error:
            self._note_failed(error)
            aborted = False
            self._context.grants.refund(self._offer.grant)
            return False
        except errors.EndpointError as error:
            self._note_failed(error)
            await self._record_failure(error)
            return False
        except BaseException as error:
            self._note_failed(error)
            run.abort()
            failed = False
            raise
        finally:
            self._record_end()
            registry.runs.end(ticket, time.monotonic(), failed)
            self._offer.permit.close()
            self._context.grants.release(self._offer.grant, aborted)
            self._context.pool.release(endpoint.id, run.connection)

    def _note_failed(self, error: BaseException) -> None:
        self._end = run_ends.end_of_failed(error, self._ticket.given_up)

    def _record_end(self) -> None:
        """Records how the run ended, for the log and metrics."""
        if self._superseded:
            self._end = run_ends.RunEnd.SUPERSEDED
        self._context.metrics.count("run_ends", how=self._end.value)
        self._state.runs.append(
            {
                "endpoint": self._offer.endpoint.id,
                "ended": self._end.value,
                "after_s": round(time.monotonic() - self._state.received_at, 3),
            }
        )

    def _record(self, event: outcomes.Event) -> None:
        """Records progress, unless another run has completed the request."""
        if not self._superseded:
            self._state.progress.record(event)

    async def _record_failure(self, error: errors.EndpointError) -> None:
        """Records that the run broke off or that its response was invalid."""
        if self._superseded:
            return
        endpoint = self._offer.endpoint
        self._state.failure = f"{endpoint.id}: {error}"
        # Only a run whose connection broke may resume from its copy; one
        # that failed by itself must not run again.
        self._state.connection_broken = isinstance(
            error.__cause__, errors.TransportError
        )
        self._state.broken_run = None
        if isinstance(error, errors.AnswerGivenUpError):
            # This box lacks the memory.
            self._ticket.given_up = True
        if not (self._ticket.unheard or self._ticket.given_up):
            self._context.registry.health.note_broken_response(
                endpoint.id, time.monotonic()
            )
        self._report_invalid(error)
        self._record(outcomes.Event.BROKEN)
        if self._state.connection_broken and not self._ticket.given_up:
            # Checked before the retry: a request that crashes its endpoint
            # would otherwise crash one endpoint after another.
            self._offer.permit.record_broken_run(endpoint)
            if not await self._context.liveness.check(endpoint):
                self._count_run()
                self._state.broken_run = request_state.BrokenRun(
                    endpoint, self._state.first_event_at or time.monotonic()
                )

    def _report_invalid(self, error: errors.EndpointError) -> None:
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
            endpoint=self._offer.endpoint.id,
            address=self._offer.endpoint.address,
            why=str(error),
            received=self._run.received,
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

    async def _receive(self) -> bool:
        offer, run = self._offer, self._run
        head = await run.head()
        if headers.was_not_executed(head):
            await run.body(self._answers)
            run.finish()
            self._state.refusals += 1
            self._end = run_ends.RunEnd.REFUSED
            self._record(outcomes.Event.REFUSED)
            self._context.registry.health.note_refusal(
                offer.endpoint.id, time.monotonic()
            )
            self._state.failure = (
                f"{offer.endpoint.id}: refused with {head.status}"
            )
            return False
        success = 200 <= head.status < 300
        if success and not headers.is_sealed(head):
            run.abort()
            raise errors.EndpointBrokenError(
                "successful response without a seal"
            )
        if success and self._admitted.route.kind is model.RouteKind.STREAM:
            await self._forward_events(head)
            return True
        body = await run.body(self._answers)
        self._context.registry.runs.note_response(
            self._ticket, time.monotonic()
        )
        self._count_run()
        run.finish()
        offer.permit.record_answer(success)
        answer = Answer(head.status, headers.client_headers(head.headers), body)
        return await self._respond(answer, success)

    async def _respond(self, answer: Answer, success: bool) -> bool:
        """Sends a response to the client if it is final.

        Returns:
            Whether it is, and no other run responds.
        """
        if not success:
            self._record(outcomes.Event.BROKEN)
            if not self._superseded:
                self._state.failure = (
                    f"{self._offer.endpoint.id}: status {answer.status}"
                )
        if answer.status in NOT_RUN_STATUSES:
            # It may have run, so the status must not reach the client.
            return False
        if answer.status >= 500:
            self._responder.keep_fallback(answer)
            return False
        # Final, failures as well: no other endpoint is tried after them, so a
        # fallback would never reach the client.
        if not self._responder.claim(self):
            return False
        if success:
            self._state.progress.record(outcomes.Event.COMPLETE)
        await self._responder.deliver(answer)
        return True

    async def _forward_events(self, head: messages.ResponseHead) -> None:
        """Forwards a stream event by event."""
        run, offer, ticket = self._run, self._offer, self._ticket
        pairs = headers.client_headers(head.headers)
        async for events in run.events(self._answers):
            now = time.monotonic()
            self._context.registry.runs.note_events(ticket, now, len(events))
            self._count_run()
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

    def _count_run(self) -> None:
        """Counts a run for the usage of its workspace, once.

        Failures ran as well, and so did most requests whose connection broke,
        unless their endpoint crashed. A run that continues at another engine
        from a copy is the same run.
        """
        if self._counted or self._offer.continues:
            return
        self._counted = True
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
        return self._context.registry.runs.paused(self._ticket)


def _is_delivered(event_id: str, delivered: str | None) -> bool:
    """Returns whether an event was already delivered."""
    if delivered is None:
        return False
    if event_id.isdigit() and delivered.isdigit():
        return int(event_id) <= int(delivered)
    return event_id == delivered
