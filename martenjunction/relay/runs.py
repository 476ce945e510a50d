"""One run of a request at one endpoint, by kind of service."""

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
    """Called when the first part of an answer comes."""

    def __call__(self) -> None:
        """Takes note of it."""


class Conversation(abc.ABC):
    """What is said to endpoints for one request, over all its runs."""

    def __init__(self, request: requests.RoutedRequest) -> None:
        """Begins with nothing delivered."""
        self._request = request

    @property
    def tokens(self) -> int:
        """Tokens that the caller has."""
        return 0

    @property
    def can_resume(self) -> bool:
        """Whether a broken run can go on at the same endpoint."""
        return False

    @property
    def can_continue(self) -> bool:
        """Whether a begun answer can go on at another endpoint."""
        return False

    @abc.abstractmethod
    def opening(self, address: str) -> client.EndpointRequest:
        """Returns the request that starts or continues the run."""

    def resuming(self, address: str) -> client.EndpointRequest:
        """Returns the request that resumes the run at the same endpoint."""
        raise NotImplementedError

    def cancelling(self, address: str) -> client.EndpointRequest | None:
        """Returns the request that cancels the run, if there is one."""
        return None

    @abc.abstractmethod
    async def relay(
        self,
        stream: streams.EndpointStream,
        sink: sinks.Sink,
        on_first_token: OnFirstToken,
    ) -> None:
        """Passes the answer on until its end.

        Raises:
            EndpointError: If it is refused, breaks off or is another's.
            CallerGoneError: If the caller left.
        """


conversations: registry.Registry[type[Conversation]] = registry.Registry(
    "kind of service"
)


@conversations.register(fleet.ServiceKind.ENGINE)
class EngineConversation(Conversation):
    """A chat request with model engines."""

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
        """Tokens that the caller has."""
        return self._delivered.tokens

    @property
    def can_resume(self) -> bool:
        """An engine keeps a run for a while after its stream broke."""
        return True

    @property
    def can_continue(self) -> bool:
        """An engine goes on from the tokens that the caller has."""
        return True

    @property
    def delivered(self) -> engine_protocol.Delivered:
        """What the caller has."""
        return self._delivered

    def opening(self, address: str) -> client.EndpointRequest:
        """Returns the request that starts or continues the run."""
        self._delivered.drop_tail()
        return engine_protocol.start(
            address,
            self._chat,
            self._delivered,
            once=not self._request.repeatable,
        )

    def resuming(self, address: str) -> client.EndpointRequest:
        """Returns the request that resumes the run at the same endpoint."""
        self._delivered.drop_tail()
        return engine_protocol.resume(address, self._chat, self._delivered)

    def cancelling(self, address: str) -> client.EndpointRequest | None:
        """Returns the request that cancels the run."""
        return engine_protocol.cancel(address, self._chat.request_id)

    async def relay(
        self,
        stream: streams.EndpointStream,
        sink: sinks.Sink,
        on_first_token: OnFirstToken,
    ) -> None:
        """Passes whole events on until the end of the answer."""
        head = await stream.head()
        engine_protocol.check_head(head, self._chat.request_id)
        if head.status >= 400 and self._started:
            raise errors.EndpointBrokenError(f"status {head.status}")
        if head.status >= 400:
            await _pass_body(stream, sink, head)
            return
        if not self._started:
            self._started = True
            await sink.start(head)
        while data := await stream.read():
            events = self._delivered.feed(data)
            if events:
                on_first_token()
                await sink.write(events)
        if not self._delivered.done:
            raise errors.EndpointBrokenError("the stream ended early")


@conversations.register(fleet.ServiceKind.PLAIN)
class PlainConversation(Conversation):
    """A call to a plain service."""

    def opening(self, address: str) -> client.EndpointRequest:
        """Returns the call."""
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
        """Passes the answer on as it is."""
        head = await stream.head()
        plain_protocol.check_head(head, self._request.request_id)
        on_first_token()
        await _pass_body(stream, sink, head)


async def _pass_body(
    stream: streams.EndpointStream,
    sink: sinks.Sink,
    head: streams.ResponseHead,
) -> None:
    await sink.start(head)
    while data := await stream.read():
        await sink.write(data)
