"""Calls to a service of the platform over a few kept connections."""

import asyncio
from collections.abc import Callable
import math
import time

from martenjunction import errors
from martenjunction.decisions import rest_times
from martenjunction.http1 import client
from martenjunction.http1 import messages

# Timeouts in seconds: to connect; for each part of the body; and for the whole
# body. A document of 370 kB takes 0.6 s over a link of 5 Mbit/s, and longer if
# there is other traffic.
CONNECT_TIMEOUT_S = 0.5
PART_TIMEOUT_S = 1.0
BODY_TIMEOUT_S = 4.0

# Maximum bytes of a body. A page of a list has some 1 MB, and ends with an
# object whose two values may have 1 MB each; JSON may take twice as much.
MAX_BODY_BYTES = 8 * 1024 * 1024

# Maximum number of idle connections that are kept for later calls.
MAX_IDLE_CONNECTIONS = 3

_JSON = (b"Content-Type", b"application/json")


class HttpCalls:
    """Makes calls with JSON bodies to one address."""

    def __init__(self, address: str, discards: bool = False) -> None:
        """Initializes the calls; connections are made on first use.

        Args:
            address: IP address and port.
            discards: Whether a call that is given up must not arrive later.
        """
        self._address = address
        self._discards = discards
        self._idle: list[client.ClientConnection] = []

    async def call(
        self,
        operation: str,
        method: str,
        path: str,
        body: bytes,
        timeout_s: float,
        headers: messages.Headers | None = None,
        may_send: Callable[[], bool] = lambda: True,
    ) -> tuple[messages.ResponseHead, bytes, client.ClientConnection]:
        """Makes a call and closes the connection if no response is received.

        Args:
            operation: Names the call in errors.
            method: The HTTP method.
            path: Path and query.
            body: JSON, or nothing.
            timeout_s: Seconds to wait for the head of the response.
            headers: Further headers.
            may_send: Asked once the connection is there, right before the call
                is sent.

        Returns:
            The head and body of the response, and the connection, which the
            caller releases or aborts.

        Raises:
            PlatformRefusedError: If the call may not be sent any more.
            PlatformAnswerTooLargeError: If the body is too large.
            PlatformUnavailableError: If there is no response; the call may have
                been carried out.
        """
        connection = await self._connect()
        began_at = time.monotonic()
        if not may_send():
            self._keep(connection)
            raise errors.PlatformRefusedError(f"{operation} was not sent")
        sent = [(b"Host", self._address.encode()), *(headers or [])]
        if body:
            sent += [_JSON, (b"Content-Length", str(len(body)).encode())]
        try:
            async with connection.response_timeout(timeout_s):
                connection.send(method.encode(), path.encode(), sent, body)
                head = await connection.read_head()
            async with connection.response_timeout(BODY_TIMEOUT_S):
                content = await _body(connection)
        except errors.PlatformAnswerTooLargeError:
            self._give_up(connection)
            raise
        except (errors.TransportError, TimeoutError) as error:
            self._give_up(connection)
            self._close_idle_since(began_at)
            raise errors.PlatformUnavailableError(
                f"no response to {operation}: {error or 'time-out'}"
            ) from error
        except asyncio.CancelledError:
            self._give_up(connection)
            raise
        return head, content, connection

    def _give_up(self, connection: client.ClientConnection) -> None:
        if self._discards:
            connection.reset()
        else:
            connection.abort()

    def _close_idle_since(self, failed_at: float) -> None:
        """Closes connections that were not used since a call that failed.

        All connections that were open then may have fallen silent together, and
        each would cost a call its timeout.

        Args:
            failed_at: Time at which that call was sent.
        """
        doubted = [c for c in self._idle if c.idle_since <= failed_at]
        self._idle = [c for c in self._idle if c.idle_since > failed_at]
        for connection in doubted:
            connection.abort()

    def release(self, connection: client.ClientConnection) -> None:
        """Keeps a connection for later calls, if it may carry one."""
        if connection.finish():
            self._keep(connection)

    def _keep(self, connection: client.ClientConnection) -> None:
        if len(self._idle) < MAX_IDLE_CONNECTIONS:
            self._idle.append(connection)
        else:
            connection.abort()

    def close(self) -> None:
        """Closes all idle connections."""
        for connection in self._idle:
            connection.abort()
        self._idle.clear()

    async def _connect(self) -> client.ClientConnection:
        while self._idle:
            connection = self._idle.pop()
            if connection.is_quiet() and not _is_expired(connection):
                return connection
            connection.abort()
        connection = client.ClientConnection(self._address)
        try:
            await connection.open(CONNECT_TIMEOUT_S)
        except errors.ConnectError as error:
            raise errors.PlatformUnavailableError(str(error)) from error
        return connection


def _is_expired(connection: client.ClientConnection) -> bool:
    """Returns whether the service may be about to close a connection."""
    reusable_s = rest_times.reusable_s(
        connection.keep_alive_timeout(), math.inf
    )
    return time.monotonic() - connection.idle_since >= reusable_s


async def _body(connection: client.ClientConnection) -> bytes:
    """Reads a body.

    Raises:
        PlatformAnswerTooLargeError: If it is too large.
    """
    body = bytearray()
    while True:
        async with connection.response_timeout(PART_TIMEOUT_S):
            part = await connection.read_body()
        if not part:
            return bytes(body)
        body += part
        if len(body) > MAX_BODY_BYTES:
            raise errors.PlatformAnswerTooLargeError(
                f"a body of more than {MAX_BODY_BYTES} bytes"
            )
