"""One request of a client, from its head to the last byte of its answer."""

import asyncio
import dataclasses
import enum
import logging
import time

from martenjunction import errors
from martenjunction.decisions import endpoint_records
from martenjunction.decisions import outcomes
from martenjunction.endpoints import attempt
from martenjunction.endpoints import event_stream
from martenjunction.http1 import client
from martenjunction.http1 import closings
from martenjunction.http1 import messages
from martenjunction.http1 import server_connection
from martenjunction.platform import headers
from martenjunction.routing import admission
from martenjunction.routing import endpoint_book
from martenjunction.routing import model
from martenjunction.routing import offers
from martenjunction.routing import request_account

logger = logging.getLogger(__name__)

# Seconds after which a client may come back when no endpoint takes work.
RETRY_BUSY_S = 0.25

# Seconds after the begin of a planned stop from which on no stream is begun:
# it would be cut off when the box is killed. Clients know other boxes by then.
LAST_STREAM_S = 2.8

# Seconds of a planned stop for which all other requests are taken, however long
# their target is.
LEAST_SERVED_S = 0.5

# Seconds after which a client may come back, at another box.
RETRY_STOPPING_S = 0.05

# Statuses by which an endpoint's answer would promise that nothing ran.
PROMISES = frozenset({408, 421, 429, 503})


class Ending(enum.StrEnum):
    """Why a request ended before its answer."""

    CLIENT_LEFT = "client-left"
    TIMED_OUT = "timed-out"
    STOPPED = "stopped"


@dataclasses.dataclass(slots=True)
class _Answer:
    """An endpoint's whole answer that the client may get."""

    status: int
    headers: messages.Headers
    body: bytes


class _AnswerBrokenError(errors.EndpointError):
    """A stream that the client already gets cannot be continued."""


class Exchange:
    """The state of one request; it belongs to one connection's task."""

    def __init__(
        self,
        tools: offers.Tools,
        connection: server_connection.ServerConnection,
        request: messages.Request,
    ) -> None:
        """Makes an exchange; `run` carries it out.

        Args:
            tools: What exchanges share.
            connection: The client's connection.
            request: The request, read in full.
        """
        self._tools = tools
        self._connection = connection
        self._request = request
        self._facts = headers.decode_request(request.headers)
        self._state = offers.RequestState(
            self._facts.id,
            request.received_at,
            tools.contents.key(request, self._facts),
        )
        self._admission: admission.Admission | None = None
        self._task: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._ending: Ending | None = None
        self._running: attempt.Attempt | None = None
        self._ticket: endpoint_book.RunTicket | None = None
        self._fallback: _Answer | None = None
        self._status = 0

    @property
    def ticket(self) -> endpoint_book.RunTicket | None:
        """The run at an endpoint, or None."""
        return self._ticket

    @property
    def to_be_moved(self) -> bool:
        """Whether it is to be taken from its endpoint."""
        ticket, taken = self._ticket, self._admission
        if ticket is None or taken is None:
            return False
        # A silent endpoint may still be at work: only what may run twice is
        # taken from it. One that started again is not.
        return ticket.lost or (ticket.move and taken.route.repeatable)

    def move(self) -> None:
        """Takes the request from its endpoint; it may go to another one.

        An endpoint whose bytes wait to be read is not silent and keeps it.
        """
        if self._running is not None and not self._running.connection.readable:
            self._running.abort()

    def stop(self, ending: Ending) -> None:
        """Ends the request; its run at an endpoint is ended as well.

        Bytes of the endpoint that wait to be read are read first, unless the
        client has left: after a hold-up of the loop a whole answer may wait.
        """
        running = self._running
        if (
            ending is Ending.CLIENT_LEFT
            or running is None
            or not running.connection.readable
        ):
            self._end(ending)
            return
        if self._timer is not None:
            self._timer.cancel()
        self._timer = asyncio.get_running_loop().call_later(
            client.READY_GRACE_S, self._end, ending
        )

    async def run(self) -> None:
        """Serves the request.

        Raises:
            ConnectionLostError: If the client left.
        """
        try:
            await self._serve()
        except admission.RefusalError as refusal:
            await self._refuse(
                refusal.status, refusal.code, refusal.retry_after
            )
        except errors.ConnectionLostError:
            raise
        except Exception as error:
            logger.exception("request %s failed", self._facts.id)
            await self._fail(error)
        finally:
            self._account()

    async def _serve(self) -> None:
        taken = self._tools.admitter.admit(
            self._facts,
            self._request.path.decode("latin-1"),
            self._request.received_at,
        )
        self._admission = taken
        self._refuse_if_stopping(taken)
        self._state.came_back = self._tools.deadlines.came_back(
            taken.route.name, self._facts.deadline_s
        )
        self._tools.budget.note_request(
            taken.service.name, self._request.received_at
        )
        loop = asyncio.get_running_loop()
        left = taken.deadline - time.monotonic()
        self._timer = loop.call_later(
            max(0.0, left), self.stop, Ending.TIMED_OUT
        )
        self._task = loop.create_task(self._attempts(taken))
        try:
            self._connection.watch_end(lambda: self.stop(Ending.CLIENT_LEFT))
            await asyncio.wait([self._task])
        finally:
            self._timer.cancel()
            self._connection.watch_end(None)
            if not self._task.done():
                self._task.cancel()
        await self._conclude()

    def _end(self, ending: Ending) -> None:
        if self._ending is None:
            self._ending = ending
            if self._task is not None:
                self._task.cancel()

    def _refuse_if_stopping(self, taken: admission.Admission) -> None:
        """Refuses a request that could outlast this box's planned stop.

        Raises:
            RefusalError: If the client has to go to another box.
        """
        leaving = self._tools.leaving_for_s()
        if leaving is None:
            return
        last = self._tools.stop_limit_s - taken.route.target_s
        last = max(last, LEAST_SERVED_S)
        if taken.route.kind is model.RouteKind.STREAM:
            last = min(last, LAST_STREAM_S)
        if leaving > last:
            raise admission.RefusalError(
                503, "stopping", "this box is being stopped", RETRY_STOPPING_S
            )

    async def _conclude(self) -> None:
        """Gives the final answer where the attempts gave none."""
        assert self._task is not None
        if self._task.cancelled():
            await self._give_up()
            return
        error = self._task.exception()
        if error is None:
            return
        if isinstance(error, _AnswerBrokenError):
            self._state.why = self._state.why or str(error)
            self._connection.abort(closings.CloseReason.ANSWER_BROKEN)
            return
        if isinstance(error, admission.RefusalError):
            raise error
        if isinstance(error, errors.ConnectionLostError):
            self._ending = Ending.CLIENT_LEFT
        raise error

    async def _fail(self, error: Exception) -> None:
        """Answers after an error that no part expects.

        What was sent may have run, so nothing is promised.
        """
        self._state.why = f"{type(error).__name__}: {error}"
        if self._connection.answering:
            self._connection.abort(closings.CloseReason.FAILED)
        else:
            await self._refuse(502, "internal-error", None)

    async def _give_up(self) -> None:
        self._state.why = self._ending.value if self._ending else "cancelled"
        if self._ending is Ending.CLIENT_LEFT:
            self._connection.abort(closings.CloseReason.CLIENT)
            raise errors.ConnectionLostError("the client left")
        if self._connection.answering:
            self._connection.abort(closings.CloseReason.ANSWER_BROKEN)
        elif self._fallback is not None:
            await self._deliver(self._fallback)
        elif self._state.progress.outcome is outcomes.Outcome.NOT_RUN:
            await self._refuse(503, self._state.why, RETRY_BUSY_S)
        else:
            await self._refuse(504, self._state.why, None)

    async def _attempts(self, taken: admission.Admission) -> None:
        demand = self._demand(taken)
        chosen = offers.Offers(self._tools, taken, demand, self._state)
        while True:
            offer = await chosen.next()
            if offer is None:
                await self._finish_without()
                return
            chosen.sent_to(offer.endpoint.id)
            copies = chosen.plan_copy(offer)
            if await self._attempt(taken, demand, offer, copies):
                return

    def _demand(self, taken: admission.Admission) -> endpoint_records.Demand:
        engine = taken.service.engine
        engines = self._tools.book.engines
        return endpoint_records.Demand(
            taken.service.name,
            tuple((part.id, part.tokens) for part in self._facts.parts),
            self._facts.prompt_tokens,
            self._tools.zone,
            engine is not None,
            taken.route.repeatable,
            taken.urgency or 0,
            taken.shortest_pause_s,
            taken.route.gap_target_s,
            1 if engine is None else engine.tokens_per_event,
            engines.figures(taken.service.name),
            engines.asked(taken.service.name, time.monotonic()),
        )

    async def _attempt(
        self,
        taken: admission.Admission,
        demand: endpoint_records.Demand,
        offer: offers.Offer,
        copies: headers.CopyPlan | None,
    ) -> bool:
        """Sends the request to one endpoint; returns whether it is over.

        Raises:
            ConnectionLostError: If the client left; nothing was sent.
        """
        endpoint, run = offer.endpoint, offer.run
        if self._connection.closed:
            # Its end is told a turn later: the run would be given up at once.
            self._state.why = Ending.CLIENT_LEFT.value
            offer.permit.close()
            self._tools.pool.release(endpoint.id, run.connection)
            raise errors.ConnectionLostError("the client left")
        book = self._tools.book
        ticket = book.begin(offer.choice, demand, time.monotonic())
        self._running, self._ticket = run, ticket
        self._state.choices.append(endpoint_book.describe(offer.choice))
        failed = True
        try:
            run.send(self._request, self._headers(taken, endpoint, copies))
            self._state.progress.note(outcomes.Event.SENT)
            done = await self._receive(taken, offer, ticket)
            failed = not done and self._state.refusals == 0
            return done
        except errors.EndpointNotReachedError:
            return False
        except errors.EndpointError as error:
            self._state.why = f"{endpoint.id}: {error}"
            # Only a run whose connection broke may go on from its copy: one
            # that ended by itself must not run again.
            self._state.cut_off = isinstance(
                error.__cause__, errors.TransportError
            )
            book.broken(endpoint.id, time.monotonic())
            self._state.progress.note(outcomes.Event.BROKEN)
            if self._state.cut_off:
                # Sent on at once, a request that ends what runs it ended the
                # next endpoint as well, and so on, twelve in a row.
                offer.permit.broken(endpoint)
                await self._tools.ends.ask(endpoint)
            return False
        except BaseException:
            run.abort()
            failed = False
            raise
        finally:
            self._running = self._ticket = None
            book.end(ticket, time.monotonic(), failed)
            offer.permit.close()
            self._tools.pool.release(endpoint.id, run.connection)

    def _headers(
        self,
        taken: admission.Admission,
        endpoint: model.Endpoint,
        copies: headers.CopyPlan | None,
    ) -> messages.Headers:
        request = self._request
        framed = request.body or messages.header(
            request.headers, b"content-length"
        )
        workspace = taken.workspace
        return headers.for_endpoint(
            request.headers,
            len(request.body) if framed else None,
            taken.deadline - time.monotonic(),
            endpoint.entry,
            None if workspace is None else workspace.name,
            taken.urgency,
            self._state.delivered_id,
            copies,
        )

    async def _receive(
        self,
        taken: admission.Admission,
        offer: offers.Offer,
        ticket: endpoint_book.RunTicket,
    ) -> bool:
        endpoint, run = offer.endpoint, offer.run
        head = await run.head()
        if headers.is_not_run(head):
            await run.body()
            run.finish()
            self._state.refusals += 1
            self._state.progress.note(outcomes.Event.REFUSED)
            self._tools.book.refused(endpoint.id, time.monotonic())
            self._state.why = f"{endpoint.id}: refused with {head.status}"
            return False
        success = 200 <= head.status < 300
        if success and not headers.is_sealed(head):
            run.abort()
            raise errors.EndpointBrokenError("a success without its seal")
        if success and taken.route.kind is model.RouteKind.STREAM:
            await self._pass_events(head, offer, ticket)
            return True
        body = await run.body()
        self._tools.book.heard(ticket, time.monotonic())
        run.finish()
        offer.permit.answered()
        answer = _Answer(head.status, headers.for_client(head.headers), body)
        if success:
            self._state.progress.note(outcomes.Event.COMPLETE)
            await self._deliver(answer)
            return True
        self._state.progress.note(outcomes.Event.BROKEN)
        self._state.why = f"{endpoint.id}: status {head.status}"
        if head.status in PROMISES:
            # It may have run, so the client must not read a promise.
            return False
        if head.status < 500:
            # The endpoint's last word: 12 of 12 such answers were kept for want
            # of a better one, and their clients got none.
            await self._deliver(answer)
            return True
        self._fallback = answer
        return False

    async def _pass_events(
        self,
        head: messages.ResponseHead,
        offer: offers.Offer,
        ticket: endpoint_book.RunTicket,
    ) -> None:
        """Passes a stream on, event by event."""
        run = offer.run
        pairs = headers.for_client(head.headers)
        async for events in run.events():
            now = time.monotonic()
            self._tools.book.heard(ticket, now, len(events))
            self._state.note_events(now)
            if not self._connection.answering:
                self._state.progress.note(outcomes.Event.ANSWERING)
                await self._connection.begin(
                    head.status, pairs, self._tools.closing()
                )
                self._status = head.status
            await self._write_new(events)
        if not self._connection.answering:
            await self._connection.begin(
                head.status, pairs, self._tools.closing()
            )
            self._status = head.status
        run.finish()
        offer.permit.answered()
        self._state.progress.note(outcomes.Event.COMPLETE)
        await self._connection.end()

    async def _write_new(self, events: list[event_stream.StreamEvent]) -> None:
        """Writes the events that the client does not have yet."""
        fresh = []
        for event in events:
            if event.id is not None:
                if _not_after(event.id, self._state.delivered_id):
                    continue
                self._state.delivered_id = event.id
            fresh.append(event.data)
        if fresh:
            await self._connection.write(b"".join(fresh))

    async def _finish_without(self) -> None:
        """Ends a request that no further endpoint may get."""
        if self._connection.answering:
            raise _AnswerBrokenError(
                self._state.why or "no endpoint goes on with it"
            )
        if self._fallback is not None:
            await self._deliver(self._fallback)
        elif self._state.progress.outcome is outcomes.Outcome.NOT_RUN:
            self._state.why = self._state.why or "no endpoint takes it"
            await self._refuse(503, "not-run", RETRY_BUSY_S)
        else:
            await self._refuse(502, "unknown-outcome", None)

    async def _deliver(self, answer: _Answer) -> None:
        self._status = answer.status
        await self._connection.answer(
            answer.status, answer.headers, answer.body, self._tools.closing()
        )

    async def _refuse(
        self, status: int, code: str, retry_after: float | None
    ) -> None:
        self._state.why = self._state.why or code
        self._status = status
        pairs = [(b"Content-Type", b"text/plain")]
        if retry_after is not None:
            pairs.append(headers.retry_after(retry_after))
        await self._connection.answer(
            status, pairs, code.encode(), self._tools.closing()
        )

    def _account(self) -> None:
        taken = self._admission
        request_account.note(
            self._tools,
            self._state,
            None if taken is None else taken.route,
            str(self._status or self._ending or "broken"),
            self._facts.prompt_tokens,
        )


def _not_after(event_id: str, delivered: str | None) -> bool:
    """Returns whether an event is one that the client already has."""
    if delivered is None:
        return False
    if event_id.isdigit() and delivered.isdigit():
        return int(event_id) <= int(delivered)
    return event_id == delivered
