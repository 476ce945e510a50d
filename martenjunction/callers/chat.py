"""Chat completions, as server-sent events or as one JSON response."""

import dataclasses
import json
from typing import Any
from typing import cast

import pydantic
from tornado import iostream

from martenjunction import decoding
from martenjunction import errors
from martenjunction import http_headers
from martenjunction.callers import handlers
from martenjunction.callers import prompts
from martenjunction.cells import broker
from martenjunction.decisions import outcomes
from martenjunction.decisions import policies
from martenjunction.endpoints import engine_protocol
from martenjunction.endpoints import streams
from martenjunction.relay import relay
from martenjunction.relay import requests
from martenjunction.relay import results
from martenjunction.relay import runs
from martenjunction.relay import sinks

DEFAULT_KIND = "chat"

# Maximum bytes of an error response of an engine, which is kept until it is
# complete.
MAX_ERROR_BYTES = 1024 * 1024

ERROR_EVENT = "event: error\ndata: {}\n\n"


@dataclasses.dataclass(frozen=True)
class ChatBody:
    """Fields of a chat request that the daemon itself uses."""

    __pydantic_config__ = pydantic.ConfigDict(extra="ignore")

    model: pydantic.StrictStr
    messages: list[Any]
    stream: pydantic.StrictBool = False
    max_tokens: pydantic.StrictInt | None = None


_BODY = pydantic.TypeAdapter(ChatBody)


class ChatHandler(handlers.CallerHandler):
    """Handles `POST /v1/chat/completions`."""

    _relay: relay.Relay | None = None

    async def post(self) -> None:
        """Validates a chat request, runs it and sends the response."""
        try:
            raw, body = self._parse_body()
            request = self._make_request(raw, body)
            sink: _StreamSink | _BufferedSink
            sink = _StreamSink(self) if body.stream else _BufferedSink(self)
            self._relay = self.make_relay(request, sink)
        except errors.CallerError as error:
            self.fail(error)
            return
        result = await self.callers.run(self._relay)
        conversation = cast(runs.EngineConversation, self._relay.conversation)
        await sink.end(result, conversation)

    def on_disconnect(self) -> None:
        """Cancels the run after the caller disconnected."""
        if self._relay is not None:
            self._relay.stop(broker.StopReason.CALLER_LEFT)

    def _parse_body(self) -> tuple[dict[str, Any], ChatBody]:
        try:
            raw = decoding.lenient_value_from_json(self.body)
            body = _BODY.validate_python(raw)
        except ValueError as error:
            raise errors.CallerError(
                400, "bad-request", _describe_error(error)
            ) from error
        return raw, body

    def _make_request(
        self, raw: dict[str, Any], body: ChatBody
    ) -> requests.RoutedRequest:
        callers = self.callers
        service = callers.config.service_for_model(body.model)
        if service is None:
            raise errors.CallerError(
                404, "unknown-model", f"there is no model {body.model!r}"
            )
        kind = self.request.headers.get(http_headers.KIND, DEFAULT_KIND)
        text = prompts.serialize_messages(body.messages)
        facts = policies.RequestFacts(
            workspace=self.workspace.name,
            kind=kind,
            model=body.model,
            prompt_tokens=prompts.estimate_tokens(text),
            max_tokens=body.max_tokens or 0,
            default_class="",
            labels=self.labels(),
        )
        classification = callers.classify(self.workspace, facts)
        single_attempt = http_headers.NOT_REPEATABLE in self.request.headers
        return requests.RoutedRequest(
            request_id=self.request_id(),
            workspace=self.workspace.name,
            kind=kind,
            service=service,
            service_class=classification.service_class,
            repeatable=classification.service_class.repeatable
            and not single_attempt,
            arrived=callers.now(),
            prompt_tokens=facts.prompt_tokens,
            expected_tokens=callers.expected_tokens(
                self.workspace.name, kind, body.max_tokens
            ),
            prefix=prompts.prefix_hashes(text),
            zones=classification.zones,
            idempotency_key=self.request.headers.get(
                http_headers.IDEMPOTENCY_KEY, ""
            ),
            chat=raw,
        )


class _StreamSink:
    """Forwards a streaming response event by event."""

    def __init__(self, handler: ChatHandler) -> None:
        self._handler = handler
        self._started = False

    async def start(self, head: streams.ResponseHead) -> None:
        """Sends the status and headers."""
        self._started = True
        handler = self._handler
        handler.set_status(head.status, handlers.reason_phrase(head.status))
        content_type = head.get("Content-Type") or "text/event-stream"
        handler.set_header("Content-Type", content_type)
        handler.set_header("Cache-Control", "no-store")

    async def write(self, data: bytes) -> None:
        """Sends events and waits until the connection can take more."""
        try:
            self._handler.write(data)
            await self._handler.flush()
        except iostream.StreamClosedError as error:
            raise sinks.CallerDisconnectedError from error

    async def end(
        self, result: results.Result, _: runs.EngineConversation
    ) -> None:
        """Ends the response, with an error event if it is incomplete."""
        if result.code is results.FailureCode.CALLER_LEFT:
            return
        if result.outcome is not outcomes.Outcome.DONE:
            if not self._started:
                self._handler.write_result(result)
            else:
                self._handler.write(_error_event(result))
        elif result.code is not None:
            self._handler.write_result(result)
        await self._handler.finish()


class _BufferedSink:
    """Buffers a response until it is complete."""

    def __init__(self, handler: ChatHandler) -> None:
        self._handler = handler
        self._error_head: streams.ResponseHead | None = None
        self._error_body = bytearray()

    async def start(self, head: streams.ResponseHead) -> None:
        """Records an engine's error response, whose body is forwarded."""
        self._error_body.clear()
        if head.status >= 400:
            self._error_head = head

    async def write(self, data: bytes) -> None:
        """Buffers an error body; the relay collects content chunks.

        Raises:
            EndpointBrokenError: If an error body is too long.
        """
        if self._error_head is not None:
            self._error_body += data
        if len(self._error_body) > MAX_ERROR_BYTES:
            self._error_body.clear()
            raise errors.EndpointBrokenError("the error response is too long")

    async def end(
        self, result: results.Result, conversation: runs.EngineConversation
    ) -> None:
        """Sends the complete response, or an error response."""
        handler = self._handler
        if result.code is results.FailureCode.CALLER_LEFT:
            return
        if result.outcome is not outcomes.Outcome.DONE or result.code:
            handler.write_result(result)
        elif self._error_head is not None:
            handler.set_status(self._error_head.status)
            handler.set_header("Content-Type", "application/json")
            handler.write(bytes(self._error_body))
        else:
            handler.write(engine_protocol.assemble(conversation.delivered))
        await handler.finish()


def _error_event(result: results.Result) -> bytes:
    body = handlers.error_body(
        str(result.code), result.message, result.outcome, result.retry_after
    )
    return ERROR_EVENT.format(json.dumps(body)).encode()


def _describe_error(error: Exception) -> str:
    if isinstance(error, pydantic.ValidationError):
        first = error.errors()[0]
        location = ".".join(str(part) for part in first["loc"])
        return f"{location}: {first['msg']}" if location else str(first["msg"])
    return "the body is not JSON"
