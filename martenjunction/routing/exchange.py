"""One request of a client, from its head to the last byte of its answer."""

import asyncio
from collections.abc import Callable
import dataclasses
import enum
import time

from martenjunction import errors
from martenjunction import metrics
from martenjunction.decisions import endpoint_choice
from martenjunction.decisions import endpoint_records
from martenjunction.decisions import outcomes
from martenjunction.decisions import repeat_budget
from martenjunction.decisions import shedding
from martenjunction.endpoints import attempt
from martenjunction.endpoints import event_stream
from martenjunction.endpoints import pool
from martenjunction.http1 import messages
from martenjunction.http1 import server
from martenjunction.platform import headers
from martenjunction.routing import admission
from martenjunction.routing import decision_log
from martenjunction.routing import endpoint_book
from martenjunction.routing import model

# Endpoints that one request is offered to, refusals and failed connections
# included.
MAX_OFFERS = 4

# Seconds after which a client may come back when no endpoint takes work.
RETRY_BUSY_S = 0.25

# Seconds after the begin of a planned stop from which on no stream is begun:
# it would be cut off when the box is killed. Clients know other boxes by then.
LAST_STREAM_S = 2.8

# Seconds after which a client may come back, at another box.
RETRY_STOPPING_S = 0.05

# Seconds from a run's first event after which a copy of it is taken to be at
# its second engine: copies are sent some times a second. A run sent there
# before its copy would be a second run.
COPY_AGE_S = 0.75

# Least time, in seconds, for which it is worth sending a request.
LEAST_TIME_S = 0.01

# Statuses by which an endpoint's answer would promise that nothing ran.
PROMISES = frozenset({408, 421, 429, 503})


class Ending(enum.StrEnum):
    """Why a request ended before its answer."""

    CLIENT_LEFT = "client-left"
    TIMED_OUT = "timed-out"
    STOPPED = "stopped"


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

    def closing(self) -> bool:
        """Returns whether connections end with their answer."""
        return self.leaving_for_s() is not None


@dataclasses.dataclass(slots=True)
class _Answer:
    """An endpoint's whole answer that the client may get."""

    status: int
    headers: messages.Headers
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class _Offer:
    """An endpoint that may get the request, and a way to it."""

    endpoint: model.Endpoint
    choice: endpoint_choice.Choice
    run: attempt.Attempt
    continues: bool = False


class _AnswerBrokenError(errors.EndpointError):
    """A stream that the client already gets cannot be continued."""


class Exchange:
    """The state of one request; it belongs to one connection's task."""

    def __init__(
        self,
        tools: Tools,
        connection: server.ServerConnection,
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
        self._admission: admission.Admission | None = None
        self._progress = outcomes.RequestProgress()
        self._task: asyncio.Task[None] | None = None
        self._ending: Ending | None = None
        self._running: attempt.Attempt | None = None
        self._ticket: endpoint_book.RunTicket | None = None
        self._offers: list[str] = []
        self._avoid: set[str] = set()
        self._fallback: _Answer | None = None
        self._delivered_id: str | None = None
        self._copy: model.Endpoint | None = None
        self._cut_off = False
        self._refusals = 0
        self._came_back = False
        self._status = 0
        self._why = ""
        self._first_at: float | None = None
        self._last_at = 0.0
        self._longest_pause_s = 0.0
        self._choices: list[dict[str, float]] = []

    @property
    def ticket(self) -> endpoint_book.RunTicket | None:
        """The run at an endpoint, or None."""
        return self._ticket

    @property
    def movable(self) -> bool:
        """Whether it may be taken from its endpoint and sent to another."""
        taken = self._admission
        # A silent endpoint may still be at work: only what may run twice is
        # taken from it.
        return taken is not None and taken.route.repeatable

    def move(self) -> None:
        """Takes the request from its endpoint; it goes to another one."""
        if self._running is not None:
            self._running.abort()

    def stop(self, ending: Ending) -> None:
        """Ends the request; its run at an endpoint is ended as well."""
        if self._ending is None:
            self._ending = ending
            if self._task is not None:
                self._task.cancel()

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
        self._came_back = self._tools.deadlines.came_back(
            taken.route.name, self._facts.deadline_s
        )
        self._tools.budget.note_request(
            taken.service.name, self._request.received_at
        )
        loop = asyncio.get_running_loop()
        left = taken.deadline - time.monotonic()
        timer = loop.call_later(
            max(0.0, left), lambda: self.stop(Ending.TIMED_OUT)
        )
        self._task = loop.create_task(self._attempts(taken))
        self._connection.watch_end(lambda: self.stop(Ending.CLIENT_LEFT))
        try:
            await asyncio.wait([self._task])
        finally:
            timer.cancel()
            self._connection.watch_end(None)
            if not self._task.done():
                self._task.cancel()
        await self._conclude()

    def _refuse_if_stopping(self, taken: admission.Admission) -> None:
        """Refuses a stream that could outlast this box's planned stop.

        Raises:
            RefusalError: If the client has to go to another box.
        """
        leaving = self._tools.leaving_for_s()
        streams = taken.route.kind is model.RouteKind.STREAM
        if leaving is not None and leaving > LAST_STREAM_S and streams:
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
            self._why = self._why or str(error)
            self._connection.abort()
            return
        if isinstance(error, admission.RefusalError):
            raise error
        if isinstance(error, errors.ConnectionLostError):
            self._ending = Ending.CLIENT_LEFT
        raise error

    async def _give_up(self) -> None:
        self._why = self._ending.value if self._ending else "cancelled"
        if self._ending is Ending.CLIENT_LEFT:
            self._connection.abort()
            raise errors.ConnectionLostError("the client left")
        if self._connection.answering:
            self._connection.abort()
        elif self._fallback is not None:
            await self._deliver(self._fallback)
        elif self._progress.outcome is outcomes.Outcome.NOT_RUN:
            await self._refuse(503, self._why, RETRY_BUSY_S)
        else:
            await self._refuse(504, self._why, None)

    async def _attempts(self, taken: admission.Admission) -> None:
        demand = self._demand(taken)
        while True:
            offer = await self._next_offer(taken, demand)
            if offer is None:
                await self._finish_without(taken)
                return
            if await self._attempt(taken, demand, offer):
                return

    def _demand(self, taken: admission.Admission) -> endpoint_records.Demand:
        return endpoint_records.Demand(
            taken.service.name,
            tuple((part.id, part.tokens) for part in self._facts.parts),
            self._facts.prompt_tokens,
            self._tools.zone,
            taken.service.engine is not None,
            taken.route.repeatable,
            taken.urgency or 0,
            taken.shortest_pause_s,
        )

    async def _next_offer(
        self, taken: admission.Admission, demand: endpoint_records.Demand
    ) -> _Offer | None:
        """Returns an endpoint that may get the request, and a way to it."""
        if self._cut_off and self._may_continue():
            return await self._continue_at_copy(taken, demand)
        while self._may_offer(taken):
            now = time.monotonic()
            chosen = self._tools.book.choose(
                taken.service, demand, self._avoid, now
            )
            if chosen is None:
                return None
            endpoint, choice = chosen
            if not self._offers and demand.is_engine:
                self._shed_if_late(taken, choice, now)
            try:
                connection = await self._tools.pool.acquire(
                    endpoint, taken.route.repeatable
                )
            except errors.EndpointBusyError:
                self._avoid.add(endpoint.id)
                continue
            except errors.EndpointNotReachedError:
                self._offers.append(endpoint.id)
                self._avoid.add(endpoint.id)
                self._tools.book.not_reached(endpoint.id, time.monotonic())
                continue
            if not self._tools.book.listed.may_send(endpoint.id):
                # It began to leave while the connection was made.
                self._tools.pool.release(endpoint.id, connection)
                self._avoid.add(endpoint.id)
                continue
            run = attempt.Attempt(connection, self._facts.id)
            return _Offer(endpoint, choice, run)
        return None

    def _may_continue(self) -> bool:
        """Returns whether a copy of the run's memory may still be used."""
        if self._copy is None or self._first_at is None:
            return False
        if self._last_at - self._first_at < COPY_AGE_S:
            return False
        return self._tools.book.listed.may_send(self._copy.id)

    async def _continue_at_copy(
        self, taken: admission.Admission, demand: endpoint_records.Demand
    ) -> _Offer | None:
        """Returns the endpoint with a copy of the run, if it can be reached.

        The run goes on there from its memory, so it is still the same run,
        also where the request may not be repeated.
        """
        endpoint = self._copy
        assert endpoint is not None
        self._copy = None
        now = time.monotonic()
        if taken.deadline - now < LEAST_TIME_S:
            return None
        if not self._tools.budget.take(taken.service.name, now):
            return None
        choice = self._tools.book.weigh(endpoint, taken.service, demand, now)
        try:
            connection = await self._tools.pool.acquire(endpoint, False)
        except errors.EndpointError as error:
            self._why = f"{endpoint.id}: {error}"
            return None
        run = attempt.Attempt(connection, self._facts.id)
        return _Offer(endpoint, choice, run, continues=True)

    def _plan_copy(
        self,
        taken: admission.Admission,
        demand: endpoint_records.Demand,
        offer: _Offer,
    ) -> headers.CopyPlan | None:
        """Decides where the run's memory is copied to or comes from."""
        if offer.continues:
            return headers.CopyPlan(copied_at=offer.endpoint.address)
        engine = taken.service.engine
        if (
            engine is None
            or not engine.keeps_copies
            or taken.route.repeatable
            or taken.route.kind is not model.RouteKind.STREAM
            or demand.is_long
        ):
            return None
        now = time.monotonic()
        chosen = self._tools.book.choose(
            taken.service, demand, self._avoid, now
        )
        if chosen is None:
            return None
        self._copy = chosen[0]
        return headers.CopyPlan(copy_to=self._copy.address)

    def _shed_if_late(
        self,
        taken: admission.Admission,
        choice: endpoint_choice.Choice,
        now: float,
    ) -> None:
        """Refuses a request that would come late while others wait.

        Raises:
            RefusalError: If it is refused; nothing was sent for it.
        """
        record = choice.record
        busy = choice.ahead > 0 or (
            choice.running >= shedding.BUSY_PART * record.slots
        )
        prospect = shedding.Prospect(
            choice.predicted_s + now - self._request.received_at,
            taken.route.target_s,
            self._came_back,
            busy,
        )
        pause = shedding.retry_after_s(prospect)
        if pause is not None:
            self._choices.append(endpoint_book.describe(choice))
            raise admission.RefusalError(
                503, "shed", "the answer would come late", pause
            )

    def _may_offer(self, taken: admission.Admission) -> bool:
        if len(self._offers) >= MAX_OFFERS:
            return False
        if taken.deadline - time.monotonic() < LEAST_TIME_S:
            return False
        runs = self._progress.attempts - self._refusals
        if runs >= taken.route.max_attempts:
            return False
        if runs and not taken.route.repeatable:
            return False
        if not self._tools.admitter.still_allowed(
            taken, self._request.received_at
        ):
            self._why = "stale-keys"
            return False
        if self._progress.attempts == 0:
            return True
        return self._tools.budget.take(taken.service.name, time.monotonic())

    async def _attempt(
        self,
        taken: admission.Admission,
        demand: endpoint_records.Demand,
        offer: _Offer,
    ) -> bool:
        """Sends the request to one endpoint; returns whether it is over."""
        endpoint, run = offer.endpoint, offer.run
        self._offers.append(endpoint.id)
        self._avoid.add(endpoint.id)
        book = self._tools.book
        ticket = book.begin(offer.choice, demand, time.monotonic())
        self._running, self._ticket = run, ticket
        self._choices.append(endpoint_book.describe(offer.choice))
        failed = True
        try:
            copies = self._plan_copy(taken, demand, offer)
            run.send(self._request, self._headers(taken, endpoint, copies))
            self._progress.note(outcomes.Event.SENT)
            done = await self._receive(taken, endpoint, run, ticket)
            failed = not done and self._refusals == 0
            return done
        except errors.EndpointNotReachedError:
            return False
        except errors.EndpointError as error:
            self._why = f"{endpoint.id}: {error}"
            # Only a run whose connection broke may go on from its copy: one
            # that ended by itself must not run again.
            self._cut_off = isinstance(error.__cause__, errors.TransportError)
            book.broken(endpoint.id, time.monotonic())
            self._progress.note(outcomes.Event.BROKEN)
            return False
        except BaseException:
            run.abort()
            failed = False
            raise
        finally:
            self._running = self._ticket = None
            book.end(ticket, time.monotonic(), failed)
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
            endpoint.id,
            None if workspace is None else workspace.name,
            taken.urgency,
            self._delivered_id,
            copies,
        )

    async def _receive(
        self,
        taken: admission.Admission,
        endpoint: model.Endpoint,
        run: attempt.Attempt,
        ticket: endpoint_book.RunTicket,
    ) -> bool:
        head = await run.head()
        if headers.is_not_run(head):
            await run.body()
            run.finish()
            self._refusals += 1
            self._progress.note(outcomes.Event.REFUSED)
            self._tools.book.refused(endpoint.id, time.monotonic())
            self._why = f"{endpoint.id}: refused with {head.status}"
            return False
        success = 200 <= head.status < 300
        if success and not headers.is_sealed(head):
            run.abort()
            raise errors.EndpointBrokenError("a success without its seal")
        if success and taken.route.kind is model.RouteKind.STREAM:
            await self._pass_events(head, run, ticket)
            return True
        body = await run.body()
        self._tools.book.heard(ticket, time.monotonic())
        run.finish()
        answer = _Answer(head.status, headers.for_client(head.headers), body)
        if success:
            self._progress.note(outcomes.Event.COMPLETE)
            await self._deliver(answer)
            return True
        self._progress.note(outcomes.Event.BROKEN)
        self._why = f"{endpoint.id}: status {head.status}"
        if head.status in PROMISES:
            # It may have run, so the client must not read a promise.
            return False
        self._fallback = answer
        return head.status < 500

    async def _pass_events(
        self,
        head: messages.ResponseHead,
        run: attempt.Attempt,
        ticket: endpoint_book.RunTicket,
    ) -> None:
        """Passes a stream on, event by event."""
        pairs = headers.for_client(head.headers)
        async for events in run.events():
            now = time.monotonic()
            self._tools.book.heard(ticket, now)
            self._note_events(now)
            if not self._connection.answering:
                self._progress.note(outcomes.Event.ANSWERING)
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
        self._progress.note(outcomes.Event.COMPLETE)
        await self._connection.end()

    def _note_events(self, now: float) -> None:
        if self._first_at is None:
            self._first_at = now
        else:
            pause = now - self._last_at
            self._longest_pause_s = max(self._longest_pause_s, pause)
        self._last_at = now

    async def _write_new(self, events: list[event_stream.StreamEvent]) -> None:
        """Writes the events that the client does not have yet."""
        fresh = []
        for event in events:
            if event.id is not None:
                if _not_after(event.id, self._delivered_id):
                    continue
                self._delivered_id = event.id
            fresh.append(event.data)
        if fresh:
            await self._connection.write(b"".join(fresh))

    async def _finish_without(self, taken: admission.Admission) -> None:
        """Ends a request that no further endpoint may get."""
        if self._connection.answering:
            raise _AnswerBrokenError(self._why or "no endpoint goes on with it")
        if self._fallback is not None:
            await self._deliver(self._fallback)
        elif self._progress.outcome is outcomes.Outcome.NOT_RUN:
            self._why = self._why or "no endpoint takes it"
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
        self._why = self._why or code
        self._status = status
        pairs = [(b"Content-Type", b"text/plain")]
        if retry_after is not None:
            pairs.append(headers.retry_after(retry_after))
        await self._connection.answer(
            status, pairs, code.encode(), self._tools.closing()
        )

    def _account(self) -> None:
        took = time.monotonic() - self._request.received_at
        route = self._admission.route.name if self._admission else ""
        result = str(self._status or self._ending or "broken")
        kind = self._admission.route.kind.value if self._admission else "none"
        self._tools.metrics.count("requests", kind=kind, result=result)
        self._tools.metrics.observe("request_s", took, kind=kind)
        served = 200 <= self._status < 300
        self._tools.log.write(
            "request" if served else "request-failed",
            id=self._facts.id,
            route=route,
            result=result,
            outcome=self._progress.outcome.value,
            why=self._why,
            came_back=self._came_back,
            endpoints=self._offers,
            ms=round(took * 1000, 1),
            **self._timing(),
        )

    def _timing(self) -> dict[str, object]:
        """Returns what tells a late answer's cause, for the log."""
        fields: dict[str, object] = {"choices": self._choices}
        if self._facts.prompt_tokens:
            fields["prompt_tokens"] = self._facts.prompt_tokens
        if self._first_at is not None:
            first = self._first_at - self._request.received_at
            fields["first_ms"] = round(first * 1000, 1)
            fields["pause_ms"] = round(self._longest_pause_s * 1000, 1)
        return fields


def _not_after(event_id: str, delivered: str | None) -> bool:
    """Returns whether an event is one that the client already has."""
    if delivered is None:
        return False
    if event_id.isdigit() and delivered.isdigit():
        return int(event_id) <= int(delivered)
    return event_id == delivered
