"""Relays a request: queueing, sending, streaming and retrying."""

import asyncio
from collections.abc import Callable
import dataclasses
import random

from martenjunction import errors
from martenjunction import timers
from martenjunction.cells import broker
from martenjunction.cells import messages
from martenjunction.config import fleet
from martenjunction.decisions import outcomes
from martenjunction.decisions import retries
from martenjunction.decisions.cells import dispatch_types
from martenjunction.endpoints import client
from martenjunction.endpoints import streams
from martenjunction.relay import requests
from martenjunction.relay import results
from martenjunction.relay import runs
from martenjunction.relay import sinks

# Maximum number of resumes of a run at the same endpoint.
MAX_RESUMES = 2


@dataclasses.dataclass(frozen=True)
class RelayContext:
    """Dependencies shared by all relays of a daemon.

    Attributes:
        broker: Submits requests to cells.
        http: HTTP client for endpoints.
        clock: Clock and timers.
        budget: Retry budget.
        endpoint: Returns the configuration of an endpoint, or None.
        rng: Random numbers for jitter.
    """

    broker: broker.Broker
    http: client.EndpointClient
    clock: timers.Timers
    budget: retries.RetryBudget
    endpoint: Callable[[str], fleet.Endpoint | None]
    rng: random.Random


class Relay:
    """Relays one request at its entry daemon."""

    def __init__(
        self,
        request: requests.RoutedRequest,
        sink: sinks.Sink,
        context: RelayContext,
    ) -> None:
        """Initializes the relay; `run` starts it.

        Args:
            request: The request.
            sink: Receives the response for the caller.
            context: Dependencies shared by all relays.
        """
        self._request = request
        self._sink = sink
        self._context = context
        make = runs.conversations.get(request.service.kind)
        self.conversation = make(request)
        self._progress = outcomes.RequestProgress()
        self._ticket: broker.Ticket | None = None
        self._stream: streams.EndpointStream | None = None
        self._stop: broker.StopReason | None = None
        self._stop_after_run: broker.StopReason | None = None
        self._excluded_endpoints: frozenset[str] = frozenset()
        self._preemptions = 0
        self._resumes = 0
        self._backoff_s = 0.0
        self._response_head: streams.ResponseHead | None = None
        self._attempts_without_progress = 0
        self._tokens_before_run = 0
        self._first_token: float | None = None
        self._run_first_token: float | None = None
        self._run_started = 0.0
        self._last_activity_at = 0.0
        self._sink_blocked = False
        self._endpoint = ""

    @property
    def request(self) -> requests.RoutedRequest:
        """The request to relay."""
        return self._request

    @property
    def buffered(self) -> int:
        """Bytes of the response that are buffered for the caller."""
        return self._stream.buffered if self._stream is not None else 0

    @property
    def ticket(self) -> broker.Ticket | None:
        """Ticket for the cell that queues or runs the request, or None."""
        return self._ticket

    async def run(self) -> results.Result:
        """Relays the request until it is complete or has failed.

        Returns:
            The result; failures are returned, not raised.
        """
        loop = asyncio.get_running_loop()
        limit = self._request.service_class.time_limit
        timer = loop.call_later(limit, self.stop, broker.StopReason.TIME_LIMIT)
        try:
            return await self._run()
        finally:
            timer.cancel()
            self._release()

    def stop(self, reason: broker.StopReason) -> None:
        """Cancels the queued or running request immediately."""
        if self._stop is not None:
            return
        self._stop = reason
        ticket = self._ticket
        if self._stream is not None:
            self._cancel_run()
        elif ticket is not None and ticket.state is broker.TicketState.WAITING:
            ticket.placement_results.put(broker.Stopped(reason))

    def stop_after_run(self, reason: broker.StopReason) -> None:
        """Lets the current run finish, but starts no other."""
        if self._stream is None:
            self.stop(reason)
        else:
            self._stop_after_run = reason

    def refuse_unsent(self) -> None:
        """Ends a request that was sent to no endpoint, as not run."""
        if not self._progress.attempts:
            self.stop(broker.StopReason.LEAVING)

    def check_stalled(self, now: float) -> None:
        """Cancels a repeatable run that exceeds its stall timeout.

        Args:
            now: The current time, from `Timers.stall_adjusted_now`.
        """
        if self._stream is None or self._sink_blocked:
            return
        if not self._request.repeatable:
            return
        limit = self._request.service_class.stall
        # The last attempt may still be answered.
        if now - self._last_activity_at > limit and self._may_follow():
            self.stop(broker.StopReason.STALLED)

    async def _run(self) -> results.Result:
        while True:
            try:
                verdict = await self._wait_for_slot()
            except broker.NoCellError:
                return self._failed(
                    results.FailureCode.NO_ENDPOINT, "no endpoint is configured"
                )
            if isinstance(verdict, messages.RequestShed):
                return self._shed(verdict)
            if isinstance(verdict, broker.Stopped):
                return self._stopped(verdict.reason)
            ending = await self._run_at_endpoint(verdict.endpoint)
            result = self._evaluate_run(ending)
            if result is not None:
                return result
            await self._back_off(ending)

    # Queueing.

    async def _wait_for_slot(self) -> broker.PlacementResult:
        if self._stop is not None:
            return broker.Stopped(self._stop)
        ticket = self._context.broker.place(
            self._build_slot_request(), self._request.service.name
        )
        ticket.on_preempted = self._on_preempted
        self._ticket = ticket
        return await ticket.placement_results.get()

    def _build_slot_request(self) -> dispatch_types.SlotRequest:
        request = self._request
        service_class = request.service_class
        left = request.expected_tokens - self.conversation.tokens
        return dispatch_types.SlotRequest(
            request_id=request.request_id,
            entry="",
            tier=service_class.tier,
            class_name=service_class.name,
            workspace=request.workspace,
            arrived=request.arrived,
            target=service_class.first_token,
            patience=service_class.patience,
            prompt_tokens=request.prompt_tokens,
            expected_tokens=max(1.0, left),
            prefix=request.prefix,
            preemptible=self._may_be_preempted(),
            avoid=self._excluded_endpoints,
            preemptions=self._preemptions,
            zones=request.zones,
            exempt_from_shedding=self._progress.attempts > 0,
        )

    def _may_be_preempted(self) -> bool:
        return (
            self._request.service_class.preemptible
            and self._request.repeatable
            and self.conversation.can_continue
        )

    def _on_preempted(self) -> None:
        # Between the grant and the first byte sent there is nothing to cancel.
        if self._stream is not None:
            self.stop(broker.StopReason.PREEMPTED)

    # Running.

    async def _run_at_endpoint(self, name: str) -> dispatch_types.Ending:
        self._endpoint = name
        self._resumes = 0
        self._backoff_s = 0.0
        self._response_head = None
        self._tokens_before_run = self.conversation.tokens
        endpoint = self._context.endpoint(name)
        if endpoint is None:
            self._finish_run(dispatch_types.Ending.REFUSED)
            return dispatch_types.Ending.REFUSED
        ending = await self._attempt(endpoint, resume=False)
        while (
            ending is dispatch_types.Ending.BROKEN
            and self._stop is None
            and self.conversation.can_resume
            and self._resumes < MAX_RESUMES
        ):
            self._resumes += 1
            ending = await self._attempt(endpoint, resume=True)
        self._finish_run(ending)
        return ending

    async def _attempt(
        self, endpoint: fleet.Endpoint, resume: bool
    ) -> dispatch_types.Ending:
        if self._stop is not None:
            return dispatch_types.Ending.CANCELLED
        conversation = self.conversation
        make = (
            conversation.resume_request
            if resume
            else conversation.start_request
        )
        request = make(endpoint.address)
        if not resume:
            self._progress.record(outcomes.Event.SENT)
            self._run_started = self._context.clock.stall_adjusted_now()
            self._run_first_token = None
        self._last_activity_at = self._context.clock.stall_adjusted_now()
        self._stream = self._context.http.open(request)
        try:
            await conversation.relay(
                self._stream,
                _MonitoredSink(self, self._sink),
                self._on_first_token,
            )
        except sinks.CallerDisconnectedError:
            self.stop(broker.StopReason.CALLER_LEFT)
            return self._record_ending(dispatch_types.Ending.CANCELLED)
        except errors.EndpointNotReachedError:
            # The endpoint of a resumed run was reached before.
            ending = (
                dispatch_types.Ending.BROKEN
                if resume
                else dispatch_types.Ending.NOT_REACHED
            )
            return self._record_ending(ending)
        except errors.EndpointRefusedError as refusal:
            self._backoff_s = refusal.backoff_s
            ending = (
                dispatch_types.Ending.BROKEN
                if resume
                else dispatch_types.Ending.REFUSED
            )
            return self._record_ending(ending)
        except errors.EndpointError:
            return self._record_ending(self._broken_ending())
        finally:
            self._response_head = (
                self._stream.received_head or self._response_head
            )
            if not self._stream.ended:
                # What the endpoint goes on to send is for nobody.
                self._context.http.cancel(self._stream)
            self._stream = None
        return self._record_ending(dispatch_types.Ending.COMPLETE)

    def _broken_ending(self) -> dispatch_types.Ending:
        return _STOP_ENDINGS.get(self._stop, dispatch_types.Ending.BROKEN)

    def _record_ending(
        self, ending: dispatch_types.Ending
    ) -> dispatch_types.Ending:
        self._progress.record(_PROGRESS_EVENTS[ending])
        return ending

    def _on_first_token(self) -> None:
        clock = self._context.clock
        now = clock.stall_adjusted_now()
        self._last_activity_at = now
        if self._run_first_token is not None:
            return
        self._run_first_token = now - self._run_started
        if self._first_token is None:
            self._first_token = clock.now() - self._request.arrived
        self._progress.record(outcomes.Event.ANSWERING)
        if self._ticket is not None:
            self._context.broker.first_token(
                self._ticket, self._run_first_token
            )

    def _finish_run(self, ending: dispatch_types.Ending) -> None:
        if self._ticket is None:
            return
        duration = self._context.clock.stall_adjusted_now() - self._run_started
        interval = None
        if self._run_first_token is not None and self.conversation.tokens > 1:
            streaming = duration - self._run_first_token
            interval = streaming / (self.conversation.tokens - 1)
        self._context.broker.ended(
            self._ticket,
            dispatch_types.RunEnd(
                self._request.request_id,
                ending,
                self._run_first_token,
                self.conversation.tokens,
                interval,
                self._backoff_s,
                self._response_head is not None,
                None
                if self._response_head is None
                else self._response_head.limit_per_s,
            ),
        )
        self._ticket = None

    def _cancel_run(self) -> None:
        stream = self._stream
        ticket = self._ticket
        if stream is not None:
            self._context.http.cancel(stream)
        if ticket is None:
            return
        endpoint = self._context.endpoint(ticket.endpoint)
        if endpoint is None:
            return
        cancel_request = self.conversation.cancel_request(endpoint.address)
        if cancel_request is not None:
            # The response is not awaited: the engine also ends a run whose
            # stream is not resumed.
            self._context.http.notify(cancel_request)

    # After a run.

    def _evaluate_run(
        self, ending: dispatch_types.Ending
    ) -> results.Result | None:
        """Returns the result of the request, or None to retry it."""
        if ending is dispatch_types.Ending.COMPLETE:
            self._context.budget.success()
            return self._result(outcomes.Outcome.DONE)
        is_preempted = ending is dispatch_types.Ending.PREEMPTED
        if is_preempted and self.conversation.can_continue:
            self._preemptions += 1
            self._stop = None
            return None
        if self._stop is broker.StopReason.STALLED:
            self._stop = None
        reason = self._stop or self._stop_after_run
        if reason is not None:
            return self._stopped(reason)
        self._excluded_endpoints = self._excluded_endpoints | {self._endpoint}
        if self._may_retry(ending):
            return None
        return self._failed(
            results.FailureCode.ENDPOINT_FAILED,
            "the endpoint did not answer in full",
        )

    def _attempts_after_run(self) -> int:
        """Returns the attempts without progress, with the current run."""
        # A run that delivered more tokens does not count as an attempt: the
        # response length, the time limit and the retry budget bound these.
        if self.conversation.tokens > self._tokens_before_run:
            return 0
        return self._attempts_without_progress + 1

    def _may_follow(self) -> bool:
        """Returns whether another run may follow the current one."""
        return (
            self._stop_after_run is None
            and self._attempts_after_run() < retries.MAX_ATTEMPTS
            and self._context.budget.is_available
            and (
                self._progress.outcome is not outcomes.Outcome.RAN_PARTLY
                or self.conversation.can_continue
            )
        )

    def _may_retry(self, ending: dispatch_types.Ending) -> bool:
        self._attempts_without_progress = self._attempts_after_run()
        if self._attempts_without_progress >= retries.MAX_ATTEMPTS:
            return False
        if not self._progress.may_retry(self._request.repeatable):
            return False
        partially_delivered = (
            self._progress.outcome is outcomes.Outcome.RAN_PARTLY
        )
        if partially_delivered and not self.conversation.can_continue:
            return False
        # An attempt that did not reach the endpoint put no load on it.
        not_reached = ending is dispatch_types.Ending.NOT_REACHED
        return not_reached or self._context.budget.take()

    async def _back_off(self, ending: dispatch_types.Ending) -> None:
        if ending is not dispatch_types.Ending.PREEMPTED:
            jitter = self._context.rng.random()
            attempt = max(1, self._attempts_without_progress)
            await asyncio.sleep(retries.backoff_s(attempt, jitter))

    def _release(self) -> None:
        """Releases the stream and the ticket that are still held."""
        if self._stream is not None:
            self._cancel_run()
        ticket = self._ticket
        if ticket is None:
            return
        if ticket.state is broker.TicketState.RUNNING:
            self._finish_run(dispatch_types.Ending.CANCELLED)
        else:
            self._context.broker.withdraw(ticket)

    # Results.

    def _shed(self, verdict: messages.RequestShed) -> results.Result:
        return self._failed(
            results.FailureCode.SHED,
            f"shed: {verdict.reason}",
            verdict.retry_after,
        )

    def _stopped(self, reason: broker.StopReason) -> results.Result:
        return self._failed(
            _STOP_CODES[reason],
            _STOP_MESSAGES[reason],
            _STOP_RETRY_AFTER.get(reason),
        )

    def _failed(
        self,
        code: results.FailureCode,
        message: str,
        retry_after: float | None = None,
    ) -> results.Result:
        result = self._result(self._progress.outcome)
        result.code = code
        result.message = message
        result.retry_after = retry_after
        return result

    def _result(self, outcome: outcomes.Outcome) -> results.Result:
        return results.Result(
            outcome=outcome,
            endpoint=self._endpoint,
            attempts=self._progress.attempts,
            preemptions=self._preemptions,
            tokens=self.conversation.tokens,
            first_token_s=self._first_token,
            duration_s=self._context.clock.now() - self._request.arrived,
        )


class _MonitoredSink:
    """A sink that marks its relay as blocked while the caller is slow."""

    def __init__(self, relay: Relay, sink: sinks.Sink) -> None:
        self._relay = relay
        self._sink = sink

    async def start(self, head: streams.ResponseHead) -> None:
        await self._sink.start(head)

    async def write(self, data: bytes) -> None:
        self._relay._sink_blocked = True
        try:
            await self._sink.write(data)
        finally:
            self._relay._sink_blocked = False


# Run endings for runs that the relay cancelled, no faults of endpoints.
_STOP_ENDINGS: dict[broker.StopReason | None, dispatch_types.Ending] = {
    broker.StopReason.PREEMPTED: dispatch_types.Ending.PREEMPTED,
    broker.StopReason.CALLER_LEFT: dispatch_types.Ending.CANCELLED,
    broker.StopReason.TIME_LIMIT: dispatch_types.Ending.CANCELLED,
    broker.StopReason.STALLED: dispatch_types.Ending.CANCELLED,
}

# Progress events for the endings of runs, from which the outcome is derived.
_PROGRESS_EVENTS: dict[dispatch_types.Ending, outcomes.Event] = {
    dispatch_types.Ending.COMPLETE: outcomes.Event.COMPLETE,
    dispatch_types.Ending.NOT_REACHED: outcomes.Event.NOT_REACHED,
    dispatch_types.Ending.REFUSED: outcomes.Event.REFUSED,
    dispatch_types.Ending.BROKEN: outcomes.Event.BROKEN,
    dispatch_types.Ending.CANCELLED: outcomes.Event.BROKEN,
    dispatch_types.Ending.PREEMPTED: outcomes.Event.BROKEN,
}

_STOP_CODES = {
    broker.StopReason.CALLER_LEFT: results.FailureCode.CALLER_LEFT,
    broker.StopReason.TIME_LIMIT: results.FailureCode.TIME_LIMIT,
    broker.StopReason.STALLED: results.FailureCode.ENDPOINT_FAILED,
    broker.StopReason.PREEMPTED: results.FailureCode.ENDPOINT_FAILED,
    broker.StopReason.LEAVING: results.FailureCode.LEAVING,
}

# Seconds after which the caller may retry, elsewhere.
_STOP_RETRY_AFTER = {broker.StopReason.LEAVING: retries.LEAVING_RETRY_AFTER_S}

_STOP_MESSAGES = {
    broker.StopReason.CALLER_LEFT: "the caller left",
    broker.StopReason.TIME_LIMIT: "the class's time limit has passed",
    broker.StopReason.STALLED: "the endpoint fell silent",
    broker.StopReason.PREEMPTED: "preempted",
    broker.StopReason.LEAVING: "this box leaves",
}
