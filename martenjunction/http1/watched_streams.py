"""Streams that find a peer which acknowledges nothing any more.

The kernel's user timeout (tcp(7)) would also end connections of peers that are
alive and do not read: it counts a closed window, although the peer's kernel
acknowledges the probes of it.
"""

import asyncio
import contextlib
import errno
import socket
import struct
import time

from tornado import iostream

from martenjunction import closing_streams

# Milliseconds without any acknowledgement after which a peer to which something
# was sent counts as unreachable. By then it was sent five times.
SILENCE_MS = 3800

# Unanswered transmissions in a row below which a peer does not count as
# unreachable, however long ago its last acknowledgement was.
MIN_TRANSMISSIONS = 3

# Option that limits the time between transmissions of the same data, and
# between probes of a closed window (since Linux 6.15), and its values in
# milliseconds. The time doubles with each, up to minutes by default.
_TCP_RTO_MAX_MS = 44
MAX_RETRANSMISSION_MS = 1000
_DEFAULT_RETRANSMISSION_MS = 120_000

# Seconds from a write to the first look for its acknowledgement, and between
# further looks while something is unacknowledged.
FIRST_LOOK_S = 1.0
NEXT_LOOK_S = 0.5

# Of `struct tcp_info`: transmissions of the same data, and probes of a closed
# window, since the last acknowledgement; segments unacknowledged; milliseconds
# since the last acknowledgement; bytes not sent yet.
_INFO = struct.Struct("=2xBB20xI28xI84xI")


def limit_retransmission(sock: socket.socket) -> None:
    """Has the kernel ask a peer behind a closed window once a second.

    Older kernels do not have the option.
    """
    _set_retransmission(sock, MAX_RETRANSMISSION_MS)


def is_unheard(stream: iostream.IOStream) -> bool:
    """Returns whether a peer does not acknowledge what was sent to it.

    Its first retransmission timeout is over: what was lost once is usually sent
    again before. The kernel of a process that stands still acknowledges it all
    the same.
    """
    info = None if stream.closed() else _read_info(stream.socket)
    if info is None:
        return False
    retransmissions, _, unacknowledged, _, _ = info
    return unacknowledged > 0 and retransmissions > 0


def _read_info(sock: socket.socket) -> tuple[int, ...] | None:
    """Returns the fields of `_INFO`, or None if the kernel has them not."""
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _INFO.size)
    except OSError:
        return None
    return _INFO.unpack(info) if len(info) == _INFO.size else None


def _set_retransmission(sock: socket.socket, longest_ms: int) -> None:
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.IPPROTO_TCP, _TCP_RTO_MAX_MS, longest_ms)


class WatchedStream(closing_streams.ClosingStream):
    """A stream that closes once its peer is unreachable.

    Only data that waits for its acknowledgement is watched; keep-alive probes
    find a peer that falls silent while there is none.
    """

    _look: asyncio.TimerHandle | None = None
    _watched_since = 0.0

    @classmethod
    def over(cls, stream: iostream.IOStream) -> "WatchedStream":
        """Returns a stream that replaces one that was not used yet."""
        return cls(
            stream.socket,
            max_buffer_size=stream.max_buffer_size,
            read_chunk_size=stream.read_chunk_size,
        )

    def write(self, data: bytes | memoryview) -> "asyncio.Future[None]":
        """Writes data; see `IOStream.write`."""
        if self._look is None:
            self._watched_since = time.monotonic()
            self._look_in(FIRST_LOOK_S)
        return super().write(data)

    def close_fd(self) -> None:
        """Closes the socket.

        What the kernel still holds is sent as patiently as by default: with
        the limit it would be given up while the peer does not read.
        """
        if self._look is not None:
            self._look.cancel()
        if self.socket is not None:
            _set_retransmission(self.socket, _DEFAULT_RETRANSMISSION_MS)
        super().close_fd()

    def drop_buffered(self) -> int:
        """Frees what was read and not asked for; returns its size in bytes."""
        return len(self._consume(self._read_buffer_size))

    def _look_in(self, delay_s: float) -> None:
        loop = asyncio.get_running_loop()
        self._look = loop.call_later(delay_s, self._look_at_peer)

    def _look_at_peer(self) -> None:
        """Closes the stream if its peer is unreachable."""
        self._look = None
        if self.closed():
            return
        info = _read_info(self.socket)
        if info is None:
            return
        retransmissions, probes, unacknowledged, silent_ms, unsent = info
        # Before the write nothing was to be acknowledged.
        watched_ms = (time.monotonic() - self._watched_since) * 1000
        if (
            retransmissions + probes >= MIN_TRANSMISSIONS
            and min(silent_ms, watched_ms) >= SILENCE_MS
        ):
            self.close(TimeoutError(errno.ETIMEDOUT, "unacknowledged"))
        elif unacknowledged or unsent or self.writing():
            self._look_in(NEXT_LOOK_S)
