"""Calls to plain services, forwarded without changes."""

from tornado import iostream

from martenjunction import errors
from martenjunction import http_headers
from martenjunction.callers import handlers
from martenjunction.cells import broker
from martenjunction.config import fleet
from martenjunction.decisions import outcomes
from martenjunction.decisions import policies
from martenjunction.endpoints import streams
from martenjunction.relay import relay
from martenjunction.relay import requests
from martenjunction.relay import results
from martenjunction.relay import sinks

# Statuses whose responses have no body (RFC 9110, section 6.4.1).
STATUSES_WITHOUT_BODY = frozenset({204, 304})


class PlainHandler(handlers.CallerHandler):
    """Handles any method on `/v1/services/NAME/PATH`."""

    SUPPORTED_METHODS = (
        "GET",
        "HEAD",
        "POST",
        "DELETE",
        "PATCH",
        "PUT",
        "OPTIONS",
    )

    _relay: relay.Relay | None = None

    async def get(self, name: str, path: str) -> None:
        """Forwards a call to a service."""
        await self._forward(name, path)

    head = post = delete = patch = put = options = get

    def on_disconnect(self) -> None:
        """Cancels the call after the caller disconnected.

        A running call that may not be repeated continues to its end, as the
        service could not know whether a cancelled call took effect.
        """
        if self._relay is None:
            return
        if self._relay.request.repeatable:
            self._relay.stop(broker.StopReason.CALLER_LEFT)
        else:
            self._relay.stop_after_run(broker.StopReason.CALLER_LEFT)

    async def _forward(self, name: str, path: str) -> None:
        sink = _PlainSink(self)
        try:
            request = self._make_request(name, path)
            self._relay = self.make_relay(request, sink)
        except errors.CallerError as error:
            self.fail(error)
            return
        result = await self.callers.run(self._relay)
        await sink.end(result)

    def _make_request(self, name: str, path: str) -> requests.RoutedRequest:
        callers = self.callers
        service = callers.config.service.get(name)
        if service is None or service.kind is not fleet.ServiceKind.PLAIN:
            raise errors.CallerError(
                404, "unknown-service", f"there is no plain service {name!r}"
            )
        kind = self.request.headers.get(http_headers.KIND, name)
        facts = policies.RequestFacts(
            workspace=self.workspace.name,
            kind=kind,
            model=name,
            prompt_tokens=1,
            max_tokens=0,
            default_class="",
            labels=self.labels(),
        )
        classification = callers.classify(self.workspace, facts)
        return requests.RoutedRequest(
            request_id=self.request_id(),
            workspace=self.workspace.name,
            kind=kind,
            service=service,
            service_class=classification.service_class,
            repeatable=self._is_repeatable(classification.service_class),
            arrived=callers.now(),
            zones=classification.zones,
            idempotency_key=self.request.headers.get(
                http_headers.IDEMPOTENCY_KEY, ""
            ),
            plain=requests.PlainCall(
                self.request.method or "GET",
                self._target(path),
                self.header_pairs(),
                self.body or None,
            ),
        )

    def _is_repeatable(self, service_class: fleet.ServiceClass) -> bool:
        return (
            service_class.repeatable
            and self.request.method in requests.IDEMPOTENT_METHODS
            and http_headers.NOT_REPEATABLE not in self.request.headers
        )

    def _target(self, path: str) -> str:
        query = self.request.query
        return f"/{path}?{query}" if query else f"/{path}"


class _PlainSink:
    """Forwards the status, headers and body of a response."""

    def __init__(self, handler: PlainHandler) -> None:
        self._handler = handler
        self._started = False
        self._has_no_body = handler.request.method == "HEAD"

    async def start(self, head: streams.ResponseHead) -> None:
        """Sets the status and headers, which are sent with the body."""
        handler = self._handler
        reason = handlers.reason_phrase(head.status)
        handler.set_status(head.status, reason)
        handler.clear_header("Content-Type")
        for name, value in http_headers.caller_headers(head.headers):
            handler.add_header(name, value)
        self._has_no_body = (
            self._has_no_body or head.status in STATUSES_WITHOUT_BODY
        )

    async def write(self, data: bytes) -> None:
        """Sends a chunk of the body."""
        if self._has_no_body:
            return
        self._started = True
        try:
            self._handler.write(data)
            await self._handler.flush()
        except iostream.StreamClosedError as error:
            raise sinks.CallerDisconnectedError from error

    async def end(self, result: results.Result) -> None:
        """Ends the response; closes the connection if it is incomplete."""
        handler = self._handler
        failed = result.code is not None
        if failed and self._started:
            handler.abort_response()
            return
        if result.code is results.FailureCode.CALLER_LEFT:
            return
        if failed or result.outcome is not outcomes.Outcome.DONE:
            # The headers may be those of a response that broke off.
            handler.clear()
            handler.write_result(result)
        await handler.finish()
