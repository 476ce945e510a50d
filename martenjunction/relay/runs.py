"""Exchanges with endpoints, by kind of service."""

import abc
from typing import Protocol

from martenjunction import errors
from martenjunction import registry
from martenjunction.config import fleet
from martenjunction.endpoints import client
from martenjunction.endpoints import engine_protocol
from martenjunction.endpoints import plain_protocol
from martenjunction.endpoints import streams
from martenjunction.relay import requests
from martenjunction.relay import sinks


class OnFirstToken(Protocol):
    """Callback for the first part of a response."""

    def __call__(self) -> None:
        """Handles the first part of a response."""


class Conversation(abc.ABC):
    """Exchange with endpoints for one request, over all its runs."""

    def __init__(self, request: requests.RoutedRequest) -> None:
        """Begins with nothing delivered."""
        self._request = request

    @property
    def tokens(self) -> int:
        """Number of tokens delivered to the caller."""
        return 0

    @property
    def can_resume(self) -> bool:
        """Whether a broken run can be resumed at the same endpoint."""
        return False

    @property
    def can_continue(self) -> bool:
        """Whether a partial response can be continued at another endpoint."""
        return False

    @abc.abstractmethod
    def start_request(self, address: str) -> client.EndpointRequest:
        """Returns the request that starts or continues the run."""

    def resume_request(self, address: str) -> client.EndpointRequest:
        """Returns the request that resumes the run at the same endpoint."""
        raise NotImplementedError

    def cancel_request(self, address: str) -> client.EndpointRequest | None:
        """Returns the request that cancels the run, or None."""
        return None

    @abc.abstractmethod
    async def relay(
        self,
        stream: streams.EndpointStream,
        sink: sinks.Sink,
        on_first_token: OnFirstToken,
    ) -> None:
        """Passes the complete response to the sink.

        Raises:
            EndpointError: If the endpoint refuses the request, or the response
                is truncated or belongs to another request.
            CallerGoneError: If the caller disconnected.
        """


conversations: registry.Registry[type[Conversation]] = registry.Registry(
    "kind of service"
)


@conversations.register(fleet.ServiceKind.ENGINE)
class EngineConversation(Conversation):
    """Exchange of a chat request with model engines."""

    def __init__(self, request: requests.RoutedRequest) -> None:
        """Begins with nothing delivered."""
        super().__init__(request)
        self._delivered = engine_protocol.Delivered()
        self._started = False
        self._chat = engine_protocol.ChatRequest(
            request.request_id,
            request.service_class.tier,
            request.chat or {},
        )

    @property
    def tokens(self) -> int:
        """Number of tokens delivered to the caller."""
        return self._delivered.tokens

    @property
    def can_resume(self) -> bool:
        """Always true: engines retain a run after its stream breaks."""
        return True

    @property
    def can_continue(self) -> bool:
        """Whether the tokens are kept from which an engine continues."""
        return self._delivered.is_kept

    @property
    def delivered(self) -> engine_protocol.Delivered:
        """Events delivered to the caller."""
        return self._delivered

    def start_request(self, address: str) -> client.EndpointRequest:
        """Returns the request that starts or continues the run."""
        self._delivered.drop_tail()
        return engine_protocol.start(
            address,
            self._chat,
            self._delivered,
            once=not self._request.repeatable,
        )

    def resume_request(self, address: str) -> client.EndpointRequest:
        """Returns the request that resumes the run at the same endpoint."""
        self._delivered.drop_tail()
        return engine_protocol.resume(address, self._chat, self._delivered)

    def cancel_request(self, address: str) -> client.EndpointRequest | None:
        """Returns the request that cancels the run."""
        return engine_protocol.cancel(address, self._chat.request_id)

    async def relay(
        self,
        stream: streams.EndpointStream,
        sink: sinks.Sink,
        on_first_token: OnFirstToken,
    ) -> None:
        """Passes complete events to the sink until the response ends."""
        head = await stream.head()
        engine_protocol.check_head(head, self._chat.request_id)
        if head.status >= 400 and self._started:
            raise errors.EndpointBrokenError(f"status {head.status}")
        if head.status >= 400:
            await _forward_body(stream, sink, head)
            return
        if not self._started:
            self._started = True
            await sink.start(head)
        while data := await stream.read():
            events = self._delivered.feed(data)
            if not self._delivered.is_kept and not self._chat.body.get(
                "stream"
            ):
                raise errors.EndpointBrokenError("the response is too long")
            if events:
                on_first_token()
                await sink.write(events)
        if not self._delivered.done:
            raise errors.EndpointBrokenError("the stream was truncated")


@conversations.register(fleet.ServiceKind.PLAIN)
class PlainConversation(Conversation):
    """Exchange of a call with a plain service."""

    def start_request(self, address: str) -> client.EndpointRequest:
        """Returns the request to the plain service."""
        call = self._request.plain
        if call is None:
            raise errors.MartenjunctionError("not a call to a plain service")
        return plain_protocol.start(
            address,
            call.method,
            call.path,
            call.headers,
            call.body,
            self._request.request_id,
            once=not self._request.repeatable,
        )

    async def relay(
        self,
        stream: streams.EndpointStream,
        sink: sinks.Sink,
        on_first_token: OnFirstToken,
    ) -> None:
        """Passes the response to the sink unchanged."""
        head = await stream.head()
        plain_protocol.check_head(head, self._request.request_id)
        on_first_token()
        await _forward_body(stream, sink, head)


async def _forward_body(
    stream: streams.EndpointStream,
    sink: sinks.Sink,
    head: streams.ResponseHead,
) -> None:
    await sink.start(head)
    while data := await stream.read():
        await sink.write(data)
