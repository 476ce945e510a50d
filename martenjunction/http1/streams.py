"""Socket options and cancellable reads that lose no data."""

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
import fcntl
import socket
import termios
from typing import Any
from typing import cast

from tornado import iostream

from martenjunction import addresses
from martenjunction import errors
from martenjunction import fair_turns
from martenjunction.http1 import end_looks
from martenjunction.http1 import messages
from martenjunction.http1 import peeks
from martenjunction.http1 import peer_ends
from martenjunction.http1 import watched_streams

# Maximum bytes per read of a socket.
CHUNK_BYTES = 64 * 1024

# Maximum bytes that one connection may buffer unread or unsent.
MAX_BUFFER_BYTES = 16 * 1024 * 1024

# Size in bytes up to which the pieces of a message are joined for one write.
MAX_JOINED_BYTES = 16 * 1024

# Seconds after the time limit of a connect in which the event loop handles one
# that its socket has finished: a few iterations.
CONNECTED_GRACE_S = 0.1

# Seconds without traffic before the first keep-alive probe, seconds between
# probes, and number of unanswered probes that end a connection where no user
# timeout does (tcp(7)).
KEEPALIVE_IDLE_S = 2
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_COUNT = 2

# Milliseconds for which a client may take nothing of a response. Not less than
# the default time limit of a route, which ends a response that comes too late.
UNREAD_TIMEOUT_MS = 60_000


def set_socket_options(sock: socket.socket) -> None:
    """Sets socket options of a connection to an endpoint or of a tunnel.

    A peer that falls silent while its window is closed is found in seconds,
    too, where the kernel has the option for that.
    """
    set_client_options(sock)
    watched_streams.limit_retransmission(sock)


def set_client_options(sock: socket.socket) -> None:
    """Sets socket options of a client's connection.

    Probes detect an unreachable client in seconds while nothing is sent to it,
    and a `WatchedStream` while something is.
    """
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S
    )
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_COUNT)


def limit_unread(stream: iostream.IOStream, limited: bool) -> None:
    """Limits the time for which a client may take nothing, or lifts the limit.

    Args:
        stream: The client's stream.
        limited: Whether a response is sent. While nothing is sent, the limit
            would take the place of the number of probes.
    """
    if not stream.closed():
        stream.socket.setsockopt(
            socket.IPPROTO_TCP,
            socket.TCP_USER_TIMEOUT,
            UNREAD_TIMEOUT_MS if limited else 0,
        )


def is_delivering(stream: iostream.IOStream) -> bool:
    """Returns whether the peer's kernel lacks a part of what was written."""
    if stream.closed():
        return False
    queued = fcntl.ioctl(stream.socket, termios.TIOCOUTQ, bytes(4))
    return any(queued)


def new_stream() -> watched_streams.WatchedStream:
    """Returns a stream over a new, unconnected socket.

    Raises:
        NoSocketError: If no socket can be created.
    """
    try:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        set_socket_options(sock)
    except OSError as error:
        raise errors.NoSocketError(str(error)) from error
    return watched_streams.WatchedStream(sock, max_buffer_size=MAX_BUFFER_BYTES)


async def connect(
    stream: iostream.IOStream, address: str, timeout_s: float
) -> None:
    """Connects a new stream; the caller closes it after a failure.

    Args:
        stream: The stream.
        address: IP address and port.
        timeout_s: Timeout in seconds.

    Raises:
        PortRefusedError: If the connection is refused.
        ConnectError: If the connection fails.
    """
    host, port = addresses.split_address(address)
    try:
        connecting = stream.connect((host, port))
        # Unlike wait_for, wait leaves the future to be checked after the
        # timeout: a connection that was established while the event loop was
        # blocked still counts.
        await asyncio.wait([connecting], timeout=timeout_s)
        if not connecting.done() and peeks.has_connected_or_failed(
            stream.socket
        ):
            # A wait for events that was interrupted, as by a suspension of this
            # process, ends without them.
            await asyncio.wait([connecting], timeout=CONNECTED_GRACE_S)
        if not connecting.done():
            raise TimeoutError
        connecting.result()
    except OSError as error:
        if _is_refusal(error):
            raise errors.PortRefusedError(
                f"{host} refused the connection"
            ) from error
        raise errors.ConnectError(f"cannot connect to {host}") from error


def _is_refusal(error: OSError) -> bool:
    """Returns whether the error is or wraps ECONNREFUSED."""
    if isinstance(error, iostream.StreamClosedError):
        return isinstance(error.real_error, ConnectionRefusedError)
    return isinstance(error, ConnectionRefusedError)


def peer_address(stream: iostream.IOStream) -> str:
    """Returns the peer's IP address and port, or "" if disconnected."""
    try:
        host, port = stream.socket.getpeername()
    except OSError:
        return ""
    return f"{host}:{port}"


def write(
    stream: iostream.IOStream, pieces: Sequence[messages.Body]
) -> "asyncio.Future[None]":
    """Writes the pieces of a message; large ones are not copied.

    Args:
        stream: The stream.
        pieces: The pieces, at least one of which is not empty.

    Returns:
        A future that is done once the socket has accepted all of them.

    Raises:
        StreamClosedError: If the stream is closed; the last piece was not
            written.
    """
    if sum(map(len, pieces)) <= MAX_JOINED_BYTES:
        pieces = [b"".join(pieces)]
    written = [stream.write(memoryview(piece)) for piece in pieces if piece]
    for future in written:
        future.add_done_callback(retrieve_exception)
    return written[-1]


def retrieve_exception(future: "asyncio.Future[Any]") -> None:
    """Marks a future's exception as retrieved; awaiting still raises it."""
    if not future.cancelled():
        future.exception()


class ByteSource:
    """The receiving side of a connection.

    A single pending read survives the cancellation of its reader, so that no
    data is lost and a disconnect is noticed while no task is reading.
    """

    def __init__(self, stream: iostream.IOStream) -> None:
        """Initializes the source.

        Args:
            stream: A connected stream.
        """
        self._stream = stream
        self._pending: asyncio.Future[bytes] | None = None
        self._end_callback: Callable[[], None] | None = None
        self._aborted = False
        self._peek_error: OSError | None = None
        self._end_at_abort = peer_ends.PeerEnd.OPEN
        self._turns = fair_turns.TurnBudget()
        self._end_look = end_looks.EndLook(lambda: stream.socket)

    @property
    def turns(self) -> fair_turns.TurnBudget:
        """The connection's share of the event loop."""
        return self._turns

    @property
    def has_pending_result(self) -> bool:
        """Whether a read finished whose result was not consumed yet."""
        return self._pending is not None and self._pending.done()

    @property
    def bytes_waiting(self) -> bool:
        """Whether bytes are unread, or their reader waits for its turn."""
        if self._turns.waiting and not self._aborted:
            return True
        if self._pending is not None and self._pending.done():
            failed = self._pending.cancelled() or self._pending.exception()
            return not failed
        if self._stream.closed():
            return False
        return self._peek() is peeks.PendingInput.BYTES

    @property
    def socket_ready(self) -> bool:
        """Whether a read of the socket would not wait."""
        return self._peek() is not peeks.PendingInput.NOTHING

    @property
    def error(self) -> BaseException | None:
        """The error that ended the connection, or None."""
        return self._stream.error or self._peek_error

    @property
    def peer_end(self) -> peer_ends.PeerEnd:
        """How the peer ended its sending side before this one was closed.

        The end is found behind unread bytes as well.
        """
        if self._aborted:
            return self._end_at_abort
        ended = self._stream.closed() or self._has_peer_ended()
        if self.error is not None:
            return peer_ends.classify(self.error)
        return peer_ends.PeerEnd.FIN if ended else peer_ends.PeerEnd.OPEN

    @property
    def never_pauses(self) -> bool:
        """Whether the peer sends faster than its share of the event loop.

        What waits is then no sign that the event loop was blocked, and time
        limits have to end such a connection.
        """
        return self._turns.spent_lately

    def prefetch(self) -> None:
        """Starts the next read without waiting for it."""
        if self._pending is not None:
            return
        pending: asyncio.Future[bytes]
        try:
            # Tornado's futures are asyncio futures.
            pending = cast(
                "asyncio.Future[bytes]",
                self._stream.read_bytes(CHUNK_BYTES, partial=True),
            )
        except iostream.StreamClosedError as error:
            pending = asyncio.get_running_loop().create_future()
            # The traceback keeps this frame, which would keep the error.
            pending.set_exception(error.with_traceback(None))
        self._pending = pending
        if pending.done():
            # A callback would hold the data until the reader waits, which it
            # does not do while more is there to read.
            retrieve_exception(pending)
        else:
            pending.add_done_callback(retrieve_exception)

    def on_end(self, callback: Callable[[], None] | None) -> None:
        """Sets the callback for the end of the connection.

        It is also called if the connection has already ended.

        Args:
            callback: Called without arguments; None removes the callback.
        """
        self._end_callback = callback
        if callback is None:
            self._stream.set_close_callback(None)
            self._end_look.cancel()
            return
        self.prefetch()
        assert self._pending is not None
        self._pending.add_done_callback(self._on_read_done)
        # A read that is done, as bytes of another request came, tells no end.
        self._stream.set_close_callback(self._on_closed)
        if self._stream.closed():
            asyncio.get_running_loop().call_soon(self._on_closed)

    async def read(self) -> bytes:
        """Waits for data.

        Returns:
            The data received, or empty bytes if the peer closed the
            connection in an orderly way.

        Raises:
            ConnectionLostError: If the connection was reset or aborted.
        """
        await self._turns.pause_if_spent()
        self.prefetch()
        pending = self._pending
        assert pending is not None
        if not pending.done():
            self._turns.renew()
        try:
            data = await asyncio.shield(pending)
        except iostream.StreamClosedError as error:
            self._pending = None
            # The error keeps this frame, which would keep the error.
            del pending
            if self.error is not None:
                raise errors.ConnectionLostError("reset") from error
            if self._aborted:
                raise errors.ConnectionLostError("aborted") from error
            return b""
        self._pending = None
        if self._aborted:
            # Data that arrived before the abort is discarded.
            raise errors.ConnectionLostError("aborted")
        self._turns.spend(fair_turns.PART_COST + len(data))
        return data

    def abort(self) -> None:
        """Closes the connection; a pending read fails."""
        self._end_at_abort = self.peer_end
        self._aborted = True
        self._stream.close()

    def _peek(self) -> peeks.PendingInput:
        """Peeks at the socket; keeps an error, which is reported only once."""
        pending, error = peeks.peek_with_error(self._stream.socket)
        self._peek_error = self._peek_error or error
        return pending

    def _has_peer_ended(self) -> bool:
        pending = self._peek()
        if pending is not peeks.PendingInput.BYTES:
            return pending is peeks.PendingInput.END
        if not peeks.has_sent_all(self._stream.socket):
            return False
        self._peek_error = self._peek_error or peeks.take_error(
            self._stream.socket
        )
        return True

    def _on_read_done(self, future: "asyncio.Future[bytes]") -> None:
        if future.cancelled():
            return
        if future.exception() is not None:
            self._on_closed()
        elif self._end_callback is not None:
            # Bytes of another request, which is not read yet.
            self._end_look.start(self._on_closed)

    def _on_closed(self) -> None:
        self._end_look.cancel()
        callback, self._end_callback = self._end_callback, None
        if callback is not None:
            callback()
