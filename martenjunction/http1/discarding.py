"""Bodies that are not read, because their request is refused.

Closing a socket with unread bytes resets the connection, and a client that
still sends may then lose the response. Some of the rest is therefore read and
dropped before.
"""

import asyncio
import contextlib
import socket
import time

from tornado import iostream

from martenjunction import errors
from martenjunction.http1 import peeks
from martenjunction.http1 import streams

# Size in bytes up to which the body of a refused request is read, so that its
# connection can carry others.
MAX_READ_BYTES = 64 * 1024

# Maximum size in bytes and duration in seconds of what is dropped.
MAX_DROPPED_BYTES = 256 * 1024
MAX_DROP_S = 1.0

# Seconds between two looks at a connection that is not read any more.
CHECK_INTERVAL_S = 0.05


async def drop(stream: iostream.IOStream, source: streams.ByteSource) -> int:
    """Drops what a client sends after the last response, within bounds.

    Once enough is dropped, the client still has the rest of the time to read
    the response and to close the connection.

    Args:
        stream: The client's stream; its sending side is closed.
        source: The receiving side.

    Returns:
        The number of bytes that were dropped.
    """
    ends_at = time.monotonic() + MAX_DROP_S
    with contextlib.suppress(OSError):
        stream.socket.shutdown(socket.SHUT_WR)
    dropped = 0
    with contextlib.suppress(TimeoutError, errors.ConnectionLostError):
        async with asyncio.timeout(MAX_DROP_S):
            while dropped < MAX_DROPPED_BYTES:
                # No part is kept while the next one is awaited.
                size = len(await source.read())
                if not size:
                    return dropped
                dropped += size
    while time.monotonic() < ends_at and not _has_ended(stream):
        await asyncio.sleep(CHECK_INTERVAL_S)
    return dropped


def _has_ended(stream: iostream.IOStream) -> bool:
    return (
        stream.closed() or peeks.peek(stream.socket) is peeks.PendingInput.END
    )
