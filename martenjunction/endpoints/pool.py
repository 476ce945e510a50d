"""Pool of keep-alive connections, limited per endpoint."""

import collections
from collections.abc import Callable
import dataclasses
import enum
import functools
import time
from typing import Protocol

from martenjunction import errors
from martenjunction import model
from martenjunction.decisions import rest_times
from martenjunction.decisions.boxes import endpoint_paths
from martenjunction.http1 import client
from martenjunction.http1 import messages

# Fraction of an endpoint's connection limit that all boxes together use.
CONNECTION_LIMIT_FRACTION = 0.85

# Maximum idle time in seconds of a connection for a request that may not be
# repeated: if it were lost, its outcome would have to be reported as unknown.
MAX_UNREPEATABLE_IDLE_S = 2.0

# Keep-alive timeout in seconds that is assumed if the endpoint announces none.
DEFAULT_KEEP_ALIVE_S = 4.0

# Seconds within which connections to several endpoints that acknowledge nothing
# are taken for silent together, as after a loss of state on their way.
UNHEARD_WINDOW_S = 3.0


OnHead = Callable[[model.Endpoint, messages.ResponseHead], None]
OnConnectionHead = Callable[[messages.ResponseHead], None]


class Reuse(enum.Enum):
    """Whether an idle connection may carry a request.

    Attributes:
        NOW: It may.
        LATER: Not at the moment.
        NEVER: It is to be closed.
    """

    NOW = "now"
    LATER = "later"
    NEVER = "never"


class Connector(Protocol):
    """Opens connections to endpoints."""

    async def open(
        self, endpoint: model.Endpoint, on_head: OnConnectionHead
    ) -> client.ClientConnection:
        """Returns a new connection.

        Raises:
            NoSocketError: If this box has no socket.
            PortRefusedError: If the endpoint refuses the connection.
            ConnectError: If the endpoint is not reached.
        """

    def reuse(
        self, endpoint_id: str, connection: client.ClientConnection
    ) -> Reuse:
        """Returns whether an idle connection may carry a request."""


class DirectConnector:
    """Opens connections of this box alone."""

    async def open(
        self, endpoint: model.Endpoint, on_head: OnConnectionHead
    ) -> client.ClientConnection:
        """Returns a new connection; see `Connector.open`."""
        connection = client.ClientConnection(endpoint.address, on_head)
        await connection.open(endpoint_paths.CONNECT_TIMEOUT_S)
        return connection

    def reuse(
        self, endpoint_id: str, connection: client.ClientConnection
    ) -> Reuse:
        """Returns that it may."""
        return Reuse.NOW


@dataclasses.dataclass(slots=True)
class _Endpoint:
    idle: list[client.ClientConnection] = dataclasses.field(
        default_factory=list
    )
    open: int = 0


class EndpointPool:
    """Connections of this box to all endpoints."""

    def __init__(
        self,
        connection_limit: Callable[[str], int],
        connector: Connector | None = None,
    ) -> None:
        """Initializes an empty pool.

        Args:
            connection_limit: Returns the maximum number of connections of this
                box to an endpoint of a service.
            connector: Opens the connections; if left out, they are all
                connections of this box alone.
        """
        self._connector = connector or DirectConnector()
        self._connection_limit = connection_limit
        self._endpoints: dict[str, _Endpoint] = {}
        self._opened = 0
        self._failed: collections.Counter[str] = collections.Counter()
        self._on_head: OnHead = lambda endpoint, head: None
        self._unheard: dict[str, float] = {}

    @property
    def total_opened(self) -> int:
        """Number of connections opened since the start."""
        return self._opened

    @property
    def failed(self) -> dict[str, int]:
        """Numbers of connections that failed since the start, by cause."""
        return dict(self._failed)

    def open_connections(self, endpoint_id: str) -> int:
        """Returns the number of open connections to an endpoint."""
        entry = self._endpoints.get(endpoint_id)
        return entry.open if entry is not None else 0

    def on_head(self, callback: OnHead) -> None:
        """Sets the callback for the head of each response."""
        self._on_head = callback

    async def acquire(
        self, endpoint: model.Endpoint, repeatable: bool, fresh: bool = False
    ) -> client.ClientConnection:
        """Returns an idle or new connection for exclusive use.

        Args:
            endpoint: The endpoint.
            repeatable: Whether the request may be executed more than once.
            fresh: Whether no idle connection is used.

        Raises:
            EndpointBusyError: If this box has reached its limit or has no
                socket, or the endpoint closed a new connection immediately.
            EndpointNotReachedError: If the connection cannot be opened.
        """
        entry = self._endpoints.setdefault(endpoint.id, _Endpoint())
        if fresh:
            limit = self._connection_limit(endpoint.service)
            if entry.idle and entry.open >= limit:
                oldest = entry.idle[0]
                self._close_idle(entry, lambda its: its is oldest)
            return await self.connect(endpoint)
        connection = self._acquire_idle(endpoint.id, entry, repeatable)
        return connection or await self.connect(endpoint)

    async def connect(
        self, endpoint: model.Endpoint
    ) -> client.ClientConnection:
        """Returns a new connection even if others are idle.

        Raises:
            EndpointBusyError: As for `acquire`.
            EndpointNotReachedError: If the connection cannot be opened.
        """
        entry = self._endpoints.setdefault(endpoint.id, _Endpoint())
        if entry.open >= self._connection_limit(endpoint.service):
            raise errors.EndpointBusyError("connection limit reached")
        entry.open += 1
        self._opened += 1
        try:
            return await self._open(endpoint)
        except BaseException:
            entry.open -= 1
            raise

    def release(
        self, endpoint_id: str, connection: client.ClientConnection
    ) -> None:
        """Returns a connection to the pool, or removes it if unusable."""
        entry = self._endpoints.setdefault(endpoint_id, _Endpoint())
        if not connection.closed and connection.is_reusable():
            entry.idle.append(connection)
            return
        connection.abort()
        entry.open -= 1

    def note_unheard(self, endpoint_id: str, sent_at: float) -> None:
        """Closes idle connections that may be silent like another one.

        These are the connections to its endpoint that were not used since, and
        those to all endpoints once it is not the only one.

        Args:
            endpoint_id: The endpoint that acknowledges nothing.
            sent_at: Monotonic time at which something was sent to it.
        """
        self._unheard[endpoint_id] = sent_at
        recent = [
            other
            for other, at in self._unheard.items()
            if abs(sent_at - at) <= UNHEARD_WINDOW_S
        ]
        doubted = [endpoint_id] if len(recent) < 2 else list(self._endpoints)
        for other in doubted:
            if other in self._endpoints:
                self._close_idle(
                    self._endpoints[other],
                    lambda its: its.idle_since <= sent_at,
                )

    def prune(self, endpoint_ids: set[str]) -> None:
        """Closes idle connections to all other endpoints."""
        for endpoint_id in list(self._endpoints):
            if endpoint_id in endpoint_ids:
                continue
            self._unheard.pop(endpoint_id, None)
            entry = self._endpoints[endpoint_id]
            self._close_idle(entry, lambda _: True)
            if entry.open <= 0:
                del self._endpoints[endpoint_id]

    def expire(self) -> None:
        """Closes connections whose idle time has expired."""
        now = time.monotonic()
        for endpoint_id, entry in self._endpoints.items():
            if entry.idle:
                self._close_idle(
                    entry,
                    functools.partial(self._is_expired, endpoint_id, now),
                )

    def close(self) -> None:
        """Closes all idle connections."""
        for entry in self._endpoints.values():
            self._close_idle(entry, lambda _: True)

    async def _open(self, endpoint: model.Endpoint) -> client.ClientConnection:
        try:
            connection = await self._connector.open(
                endpoint, lambda head: self._on_head(endpoint, head)
            )
        except errors.NoSocketError as error:
            self._failed["no-socket"] += 1
            raise errors.EndpointBusyError(f"no socket: {error}") from error
        except errors.ConnectError as error:
            refused = isinstance(error, errors.PortRefusedError)
            self._failed["refused" if refused else "not-reached"] += 1
            raise errors.EndpointNotReachedError(str(error)) from error
        if not connection.is_quiet():
            connection.abort()
            raise errors.EndpointBusyError("new connection closed immediately")
        return connection

    def _is_expired(
        self, endpoint_id: str, now: float, connection: client.ClientConnection
    ) -> bool:
        idle_s = now - connection.idle_since
        return (
            not connection.is_reusable()
            or idle_s > _reusable_s(connection)
            or self._connector.reuse(endpoint_id, connection) is Reuse.NEVER
        )

    def _acquire_idle(
        self, endpoint_id: str, entry: _Endpoint, repeatable: bool
    ) -> client.ClientConnection | None:
        now = time.monotonic()
        for connection in reversed(list(entry.idle)):
            reuse = self._connector.reuse(endpoint_id, connection)
            if reuse is Reuse.LATER:
                continue
            entry.idle.remove(connection)
            limit = _reusable_s(connection)
            if not repeatable:
                limit = min(limit, MAX_UNREPEATABLE_IDLE_S)
            fresh = reuse is Reuse.NOW and now - connection.idle_since < limit
            # The socket itself is checked: a request that may not be repeated
            # would have an unknown outcome if sent on a closed connection.
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


def _reusable_s(connection: client.ClientConnection) -> float:
    return rest_times.reusable_s(
        connection.keep_alive_timeout(), DEFAULT_KEEP_ALIVE_S
    )
