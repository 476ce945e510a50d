"""Kept connections to endpoints, below each endpoint's limit."""

from collections.abc import Callable
import dataclasses
import time

from martenjunction import errors
from martenjunction import model
from martenjunction.http1 import client
from martenjunction.http1 import messages

# Seconds for a new connection. Endpoints answer within milliseconds; one that
# does not is taken as unreachable and the request goes elsewhere.
CONNECT_TIMEOUT_S = 0.4

# Part of an endpoint's connection limit that all boxes together use.
LIMIT_PART = 0.85

# Seconds by which an idle connection is given up before the endpoint does.
IDLE_MARGIN_S = 1.0

# Longest idle time in seconds of a connection for a request that may not be
# repeated: its loss would have to be told as an unknown outcome.
UNREPEATABLE_IDLE_S = 2.0

# Idle time in seconds after which a connection is closed where the endpoint
# does not say for how long it keeps one.
DEFAULT_KEEP_S = 4.0


OnHead = Callable[[model.Endpoint, messages.ResponseHead], None]


@dataclasses.dataclass(slots=True)
class _Endpoint:
    idle: list[client.ClientConnection] = dataclasses.field(
        default_factory=list
    )
    open: int = 0


class EndpointPool:
    """The connections of one box to all endpoints."""

    def __init__(self, share: Callable[[str], int]) -> None:
        """Makes an empty pool.

        Args:
            share: Returns how many connections this box may have to an
                endpoint of a service.
        """
        self._share = share
        self._endpoints: dict[str, _Endpoint] = {}
        self._opened = 0
        self._on_head: OnHead = lambda endpoint, head: None

    @property
    def opened(self) -> int:
        """Connections that were ever opened."""
        return self._opened

    def open_connections(self, endpoint_id: str) -> int:
        """Returns the connections to an endpoint."""
        entry = self._endpoints.get(endpoint_id)
        return entry.open if entry is not None else 0

    def on_head(self, callback: OnHead) -> None:
        """Has a callback told of the head of each answer of an endpoint."""
        self._on_head = callback

    async def acquire(
        self, endpoint: model.Endpoint, repeatable: bool
    ) -> client.ClientConnection:
        """Returns a connection that nobody else uses.

        Args:
            endpoint: The endpoint.
            repeatable: Whether the request may run more than once.

        Raises:
            EndpointBusyError: If this box has as many as it may, or the
                endpoint ended a new one at once.
            EndpointNotReachedError: If there is no connection.
        """
        entry = self._endpoints.setdefault(endpoint.id, _Endpoint())
        connection = self._take_idle(entry, repeatable)
        return connection or await self.connect(endpoint)

    async def connect(
        self, endpoint: model.Endpoint
    ) -> client.ClientConnection:
        """Returns a new connection, also where others are idle.

        Raises:
            EndpointBusyError: As `acquire` does.
            EndpointNotReachedError: If there is no connection.
        """
        entry = self._endpoints.setdefault(endpoint.id, _Endpoint())
        if entry.open >= self._share(endpoint.service):
            raise errors.EndpointBusyError("no connection left")
        connection = client.ClientConnection(
            endpoint.address, lambda head: self._on_head(endpoint, head)
        )
        entry.open += 1
        self._opened += 1
        try:
            await self._open(endpoint, connection)
        except BaseException:
            connection.abort()
            entry.open -= 1
            raise
        return connection

    def release(
        self, endpoint_id: str, connection: client.ClientConnection
    ) -> None:
        """Takes a connection back after an exchange, however it ended."""
        entry = self._endpoints.setdefault(endpoint_id, _Endpoint())
        if not connection.closed and connection.is_reusable():
            entry.idle.append(connection)
            return
        connection.abort()
        entry.open -= 1

    def keep_only(self, endpoint_ids: set[str]) -> None:
        """Closes idle connections to endpoints that are gone."""
        for endpoint_id in list(self._endpoints):
            if endpoint_id in endpoint_ids:
                continue
            entry = self._endpoints[endpoint_id]
            self._close_idle(entry, lambda _: True)
            if entry.open <= 0:
                del self._endpoints[endpoint_id]

    def expire(self) -> None:
        """Closes connections that were idle for too long."""
        now = time.monotonic()
        for entry in self._endpoints.values():
            self._close_idle(
                entry,
                lambda c: (
                    not c.is_reusable()
                    or now - c.idle_since > _keep_s(c) - IDLE_MARGIN_S
                ),
            )

    def close(self) -> None:
        """Closes all idle connections."""
        for entry in self._endpoints.values():
            self._close_idle(entry, lambda _: True)

    async def _open(
        self, endpoint: model.Endpoint, connection: client.ClientConnection
    ) -> None:
        try:
            await connection.open(CONNECT_TIMEOUT_S)
        except errors.NoSocketError as error:
            raise errors.EndpointBusyError(f"no socket: {error}") from error
        except errors.ConnectError as error:
            raise errors.EndpointNotReachedError(str(error)) from error
        if not connection.is_quiet():
            raise errors.EndpointBusyError("a new connection ended at once")

    def _take_idle(
        self, entry: _Endpoint, repeatable: bool
    ) -> client.ClientConnection | None:
        now = time.monotonic()
        while entry.idle:
            connection = entry.idle.pop()
            limit = _keep_s(connection) - IDLE_MARGIN_S
            if not repeatable:
                limit = min(limit, UNREPEATABLE_IDLE_S)
            fresh = now - connection.idle_since < limit
            # The socket is asked: a request that may not be repeated, sent
            # on a connection that had ended, would get an unknown outcome.
            if fresh and connection.is_quiet():
                return connection
            connection.abort()
            entry.open -= 1
        return None

    def _close_idle(
        self,
        entry: _Endpoint,
        chosen: Callable[[client.ClientConnection], bool],
    ) -> None:
        kept = []
        for connection in entry.idle:
            if chosen(connection):
                connection.abort()
                entry.open -= 1
            else:
                kept.append(connection)
        entry.idle = kept


def _keep_s(connection: client.ClientConnection) -> float:
    told = connection.keep_alive_timeout()
    return DEFAULT_KEEP_S if told is None else told
