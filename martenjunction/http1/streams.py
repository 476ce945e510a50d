"""Reads from a socket that may be abandoned without losing bytes."""

import asyncio
from collections.abc import Callable
import socket
from typing import Any
from typing import cast

from tornado import iostream

from martenjunction import errors
from martenjunction.http1 import peeks

# Bytes taken from a socket at once.
CHUNK_BYTES = 64 * 1024

# Most bytes that one connection may hold unread or unsent.
MAX_BUFFER_BYTES = 16 * 1024 * 1024

# Milliseconds after which unacknowledged bytes end a connection (tcp(7)).
USER_TIMEOUT_MS = 3000

# Seconds without traffic before probes, and between them (tcp(7)).
KEEPALIVE_IDLE_S = 2
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_COUNT = 2


def tune(sock: socket.socket) -> None:
    """Sets the options that let a silent peer be noticed within seconds."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS
    )
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S
    )
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_COUNT)


def peer_address(stream: iostream.IOStream) -> str:
    """Returns the peer's IP address and port, or no text if it has gone."""
    try:
        host, port = stream.socket.getpeername()
    except OSError:
        return ""
    return f"{host}:{port}"


def swallow(future: "asyncio.Future[Any]") -> None:
    """Marks a failed read or write as seen; whoever waits still gets it."""
    if not future.cancelled():
        future.exception()


class ByteSource:
    """The reading side of a connection.

    One read is kept under way and survives a reader that is cancelled, so
    that an end of the connection is noticed while nobody reads.
    """

    def __init__(self, stream: iostream.IOStream) -> None:
        """Makes a source.

        Args:
            stream: A connected stream.
        """
        self._stream = stream
        self._pending: asyncio.Future[bytes] | None = None
        self._ended: Callable[[], None] | None = None
        self._aborted = False

    @property
    def disturbed(self) -> bool:
        """Whether bytes or an end came that nobody has asked for yet."""
        return self._pending is not None and self._pending.done()

    @property
    def bytes_waiting(self) -> bool:
        """Whether bytes came that nobody has taken, also in the socket."""
        if self._pending is not None and self._pending.done():
            failed = self._pending.cancelled() or self._pending.exception()
            return not failed
        if self._stream.closed():
            return False
        return peeks.peek(self._stream.socket) is peeks.Waiting.BYTES

    def prefetch(self) -> None:
        """Begins the next read without waiting for it."""
        if self._pending is not None:
            return
        pending: asyncio.Future[bytes]
        try:
            # Tornado's futures are those of asyncio.
            pending = cast(
                "asyncio.Future[bytes]",
                self._stream.read_bytes(CHUNK_BYTES, partial=True),
            )
        except iostream.StreamClosedError as error:
            pending = asyncio.get_running_loop().create_future()
            pending.set_exception(error)
        self._pending = pending
        pending.add_done_callback(swallow)

    def on_end(self, callback: Callable[[], None] | None) -> None:
        """Has a callback called when the connection ends, or if it has ended.

        Args:
            callback: Called without arguments, or None for no call.
        """
        self._ended = callback
        if callback is None:
            return
        self.prefetch()
        assert self._pending is not None
        self._pending.add_done_callback(self._on_done)

    async def take(self) -> bytes:
        """Waits for bytes.

        Returns:
            Some bytes, or none at a regular end of the connection.

        Raises:
            ConnectionLostError: If the connection was reset or aborted.
        """
        self.prefetch()
        pending = self._pending
        assert pending is not None
        try:
            data = await asyncio.shield(pending)
        except iostream.StreamClosedError as error:
            self._pending = None
            if error.real_error is not None or self._aborted:
                raise errors.ConnectionLostError("reset") from error
            return b""
        self._pending = None
        if self._aborted:
            # Whoever closed the connection decided that nothing is taken.
            raise errors.ConnectionLostError("aborted")
        return data

    def abort(self) -> None:
        """Closes the connection; a read under way fails."""
        self._aborted = True
        self._stream.close()

    def _on_done(self, future: "asyncio.Future[bytes]") -> None:
        failed = not future.cancelled() and future.exception() is not None
        if failed and self._ended is not None:
            self._ended()
