"""Bodies that are not read, because their request is refused.

Closing a socket with unread bytes resets the connection, and a client that
still sends may then lose the response. The rest is therefore read and dropped
before, as far as `refused_bodies` decides.
"""

import asyncio
import contextlib
import socket
import time

from martenjunction.decisions.boxes import refused_bodies
from martenjunction.http1 import peeks
from martenjunction.http1 import watched_streams

# Size in bytes up to which the body of a refused request is read, so that its
# connection can carry others.
MAX_READ_BYTES = 64 * 1024

_ENDED = refused_bodies.Phase.ENDED
_OPEN = refused_bodies.Phase.OPEN

_DROP = socket.MSG_TRUNC | socket.MSG_DONTWAIT

# The kernel drops the data (`MSG_TRUNC`, tcp(7)) and writes nothing into it.
_UNUSED = bytearray(refused_bodies.READ_BYTES)


class Drop:
    """What one refused client goes on to send."""

    def __init__(
        self,
        stream: watched_streams.WatchedStream,
        body: refused_bodies.RefusedBody,
    ) -> None:
        """Ends the sending side.

        Args:
            stream: The client's stream, which nobody reads.
            body: Decides how much is read.
        """
        self._stream = stream
        self._body = body
        self.ended: asyncio.Future[None] = (
            asyncio.get_running_loop().create_future()
        )
        if stream.socket is None:
            return
        with contextlib.suppress(OSError):
            stream.socket.shutdown(socket.SHUT_WR)

    @property
    def is_open(self) -> bool:
        """Whether a body of unknown length is read on for."""
        return self._body.phase is _OPEN

    def advance(self, shared: int) -> int:
        """Reads what may be read now.

        Args:
            shared: What is left to all connections, in bytes.

        Returns:
            The number of bytes that were read.
        """
        if self.ended.done():
            return 0
        now = time.monotonic()
        granted = self._body.grant(shared)
        size = 0
        if granted:
            size = self._read(granted, now)
        elif peeks.peek(self._stream.socket) is peeks.PendingInput.END:
            self._body.note_left()
        self._body.note_time(now)
        if self._body.phase is _ENDED:
            self.ended.set_result(None)
        return size

    def _read(self, granted: int, now: float) -> int:
        """Reads what the socket has; returns the number of bytes."""
        sock = self._stream.socket
        try:
            size = (
                0 if sock is None else sock.recv_into(_UNUSED, granted, _DROP)
            )
        except BlockingIOError:
            self._body.note_read(0, now)
            return 0
        except OSError:
            size = 0
        if not size:
            self._body.note_left()
            return 0
        self._body.note_read(size, now)
        if size == granted and peeks.has_sent_all(sock):
            self._body.note_sent(now)
        return size


class Discarder:
    """Drops what the clients of a server send after their refusal."""

    def __init__(self) -> None:
        """Initializes it without any client."""
        # In the order in which their requests were refused.
        self._drops: dict[Drop, None] = {}
        # Those with a body of unknown length that is read on for.
        self._open: set[Drop] = set()
        self._timer: asyncio.TimerHandle | None = None

    async def drop(
        self,
        stream: watched_streams.WatchedStream,
        body: refused_bodies.RefusedBody,
    ) -> None:
        """Drops what a client sends after the last response, within bounds.

        Args:
            stream: The client's stream, which nobody reads; its sending side is
                closed.
            body: Decides how much is read.
        """
        drop = Drop(stream, body)
        now = time.monotonic()
        body.note_read(stream.drop_buffered(), now)
        if body.phase is _OPEN:
            if len(self._open) < refused_bodies.MAX_OPEN_BODIES:
                self._open.add(drop)
            else:
                body.note_excess(now)
        self._drops[drop] = None
        if self._timer is None:
            self._advance()
        try:
            await drop.ended
        finally:
            del self._drops[drop]
            self._open.discard(drop)

    def _advance(self) -> None:
        shared = refused_bodies.SHARED_READ_BYTES
        for drop in self._drops:
            shared -= drop.advance(shared)
            if not drop.is_open:
                self._open.discard(drop)
        self._timer = None
        if self._drops:
            self._timer = asyncio.get_running_loop().call_later(
                refused_bodies.READ_INTERVAL_S, self._advance
            )
