"""Bodies that are not read, because their request is refused.

Closing a socket with unread bytes resets the connection, and a client that
still sends may then lose the response. The rest is therefore read and dropped
before, no more of it than of a body that is read, and for no longer.
"""

import asyncio
import contextlib
import math
import socket

from tornado import iostream

from martenjunction import errors
from martenjunction.http1 import peeks
from martenjunction.http1 import streams

# Size in bytes up to which the body of a refused request is read, so that its
# connection can carry others.
MAX_READ_BYTES = 64 * 1024

# Minimum limit in bytes of what is dropped, and the most that is dropped before
# a pause.
MIN_DROPPED_BYTES = 256 * 1024

# Seconds that a client has to read the response and to close the connection
# once nothing more is dropped, or if it is not within a body.
CLOSE_TIMEOUT_S = 1.0

# Seconds of such a pause, and between two looks at a connection that is no
# longer read.
CHECK_INTERVAL_S = 0.05


class Discarder:
    """Drops what a client sends after the last response, within bounds.

    A client within a body may read the response only after the last byte. Most
    of them close the connection earlier, and what they have sent need not be
    read, so the rest is read at a limited rate.
    """

    def __init__(
        self, stream: iostream.IOStream, source: streams.ByteSource
    ) -> None:
        """Initializes the discarder of a connection.

        Args:
            stream: The client's stream.
            source: The receiving side.
        """
        self._stream = stream
        self._source = source
        self._max_s = math.inf
        self._timeout: asyncio.Timeout | None = None

    def shorten(self, seconds: float) -> None:
        """Ends the dropping after some seconds at the latest."""
        self._max_s = min(self._max_s, seconds)
        timeout = self._timeout
        if timeout is None or timeout.expired():
            return
        ends_at = asyncio.get_running_loop().time() + seconds
        previous = timeout.when()
        if previous is None or ends_at < previous:
            timeout.reschedule(ends_at)

    async def drop(self, rest: int, max_bytes: int, body_s: float) -> int:
        """Drops what arrives until the client closes the connection.

        Args:
            rest: Bytes of a body that are still to come; 0 for no body.
            max_bytes: Maximum size of a body in bytes.
            body_s: Seconds within which the rest of a body may arrive.

        Returns:
            The number of bytes that were dropped.
        """
        most = max(MIN_DROPPED_BYTES, min(rest, max_bytes))
        limit_s = body_s if rest > 0 else CLOSE_TIMEOUT_S
        with contextlib.suppress(OSError):
            self._stream.socket.shutdown(socket.SHUT_WR)
        dropped = 0
        with contextlib.suppress(TimeoutError, errors.ConnectionLostError):
            async with asyncio.timeout(min(self._max_s, limit_s)) as timeout:
                self._timeout = timeout
                next_pause = MIN_DROPPED_BYTES
                while dropped < most:
                    if dropped >= next_pause:
                        next_pause += MIN_DROPPED_BYTES
                        await asyncio.sleep(CHECK_INTERVAL_S)
                        if peeks.has_sent_all(self._stream.socket):
                            break
                    # No part is kept while the next one is awaited.
                    size = len(await self._source.read())
                    if not size:
                        return dropped
                    dropped += size
                    if rest - size <= 0 < rest:
                        self.shorten(CLOSE_TIMEOUT_S)
                    rest -= size
                self.shorten(CLOSE_TIMEOUT_S)
                while not self._has_ended():
                    await asyncio.sleep(CHECK_INTERVAL_S)
        return dropped

    def _has_ended(self) -> bool:
        if self._stream.closed():
            return True
        return peeks.peek(self._stream.socket) is peeks.PendingInput.END
