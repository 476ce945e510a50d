"""Connects to endpoints for peers whose own connections fail."""

import asyncio
from collections.abc import Callable
import enum
import logging
import math

from tornado import iostream

from martenjunction import addresses
from martenjunction import errors
from martenjunction import fair_turns
from martenjunction import model
from martenjunction import timers
from martenjunction.decisions.boxes import endpoint_list
from martenjunction.decisions.boxes import endpoint_paths
from martenjunction.http1 import accepting
from martenjunction.http1 import end_looks
from martenjunction.http1 import streams
from martenjunction.http1 import watched_streams
from martenjunction.tunnels import framing
from martenjunction.tunnels import handshake

logger = logging.getLogger(__name__)

# Seconds within which a request for a tunnel must arrive.
REQUEST_TIMEOUT_S = 2.0

# Seconds within which the endpoint must accept the connection.
CONNECT_TIMEOUT_S = 0.25

# Bytes that may wait for a slow receiver. An endpoint's end is noticed late
# while more than that wait.
MAX_WAITING_BYTES = 256 * 1024

# The same where there are many tunnels, at least.
MIN_WAITING_BYTES = 4 * 1024

# Part of this box's memory for bytes that wait in all tunnels together.
MEMORY_FRACTION = 0.1

# Parts in which a tunnel holds bytes: both ways, what waits, and what was read
# after that.
PARTS_PER_TUNNEL = 4

# Part of this box's descriptors for tunnels, which take two each.
DESCRIPTORS_FRACTION = 0.25

# Minimum seconds between log lines about requests that are malformed.
LOG_INTERVAL_S = 60.0

BACKLOG = 256

# Cost of a byte that is passed on, as a multiple of one that is only read.
COPY_COST_FACTOR = 2


class _End(enum.Enum):
    """How one side of a tunnel ended."""

    CLOSED = "closed"
    BROKEN = "broken"


class TunnelServer(accepting.AcceptingServer):
    """Passes bytes between peers and endpoints."""

    _name = "tunnels"

    def __init__(
        self,
        key: str,
        listed: endpoint_list.EndpointList,
        paths: endpoint_paths.EndpointPaths,
        accepts: Callable[[], bool],
        max_descriptors: int,
        memory_bytes: int,
        clock: timers.Timers,
    ) -> None:
        """Initializes the server; `listen_on` starts it.

        Args:
            key: The key that all boxes share.
            listed: The endpoints, as listed for this box.
            paths: The paths of this box to them.
            accepts: Returns whether new tunnels are opened.
            max_descriptors: File descriptors of this box.
            memory_bytes: Memory of this box, in bytes.
            clock: Provides the time.
        """
        super().__init__(max_buffer_size=streams.MAX_BUFFER_BYTES)
        self._key = key
        self._listed = listed
        self._paths = paths
        self._accepts = accepts
        self._max_tunnels = int(max_descriptors * DESCRIPTORS_FRACTION / 2)
        self._waiting_bytes = int(memory_bytes * MEMORY_FRACTION)
        self._timers = clock
        self._streams: set[iostream.IOStream] = set()
        self._tunnels = 0
        self._served = 0
        self._logged_at = -math.inf

    @property
    def open(self) -> int:
        """Number of open tunnels."""
        return self._tunnels

    @property
    def served(self) -> int:
        """Number of tunnels opened for peers since the start."""
        return self._served

    def listen_on(self, address: str) -> None:
        """Starts to listen.

        Args:
            address: IP address and port.
        """
        host, port = addresses.split_address(address)
        self.listen(port, host, backlog=BACKLOG)

    def close_all(self) -> None:
        """Stops listening and closes all tunnels immediately."""
        self.stop()
        for stream in list(self._streams):
            stream.close()

    async def handle_stream(
        self, stream: iostream.IOStream, address: tuple[str, int]
    ) -> None:
        """Serves one peer's connection."""
        stream = watched_streams.WatchedStream.over(stream)
        self._streams.add(stream)
        try:
            streams.set_socket_options(stream.socket)
            async with asyncio.timeout(REQUEST_TIMEOUT_S):
                data = await stream.read_until(
                    handshake.END, max_bytes=handshake.MAX_BYTES
                )
            await self._serve(stream, data)
        except (
            OSError,
            iostream.UnsatisfiableReadError,
        ) as error:
            # The peer left or sent no request; there is nobody to answer.
            logger.debug("a tunnel from %s ended: %s", address[0], error)
        finally:
            self._streams.discard(stream)
            stream.close()

    async def _serve(self, stream: iostream.IOStream, data: bytes) -> None:
        try:
            request = handshake.decode_request(data, self._key)
        except errors.PeerError as error:
            self._log_malformed(error)
            await stream.write(
                handshake.encode_answer(handshake.Status.FORBIDDEN)
            )
            return
        upstream = None
        try:
            status = self._check(request)
            if status is handshake.Status.CONNECTED:
                upstream = streams.new_stream()
                status = await self._connect(upstream, request)
            await stream.write(handshake.encode_answer(status))
            if upstream is not None and status is handshake.Status.CONNECTED:
                await self._pass_on(stream, upstream)
        except errors.NoSocketError:
            await stream.write(
                handshake.encode_answer(handshake.Status.NO_PATH)
            )
        finally:
            if upstream is not None:
                self._streams.discard(upstream)
                upstream.close()

    def _check(self, request: handshake.TunnelRequest) -> handshake.Status:
        """Returns `CONNECTED` if a tunnel may be opened."""
        listed = self._listed.entries.get(request.endpoint_id)
        if (
            listed is None
            or listed.endpoint.address != request.address
            or listed.endpoint.state is not model.EndpointState.READY
            or not self._listed.is_ready(request.endpoint_id)
        ):
            return handshake.Status.UNKNOWN
        if (
            not self._accepts()
            or self._tunnels >= self._max_tunnels
            or not self._paths.is_trusted(request.endpoint_id)
        ):
            return handshake.Status.NO_PATH
        return handshake.Status.CONNECTED

    async def _connect(
        self, upstream: iostream.IOStream, request: handshake.TunnelRequest
    ) -> handshake.Status:
        """Connects to the endpoint; a failure puts the own path in doubt."""
        self._streams.add(upstream)
        endpoint_id = request.endpoint_id
        try:
            await streams.connect(upstream, request.address, CONNECT_TIMEOUT_S)
        except errors.ConnectError as error:
            refused = isinstance(error, errors.PortRefusedError)
            self._paths.note_failed(endpoint_id, refused, self._timers.now())
            return (
                handshake.Status.REFUSED
                if refused
                else handshake.Status.TIMED_OUT
            )
        self._paths.note_connected(endpoint_id, self._timers.now())
        return handshake.Status.CONNECTED

    async def _pass_on(
        self, stream: iostream.IOStream, upstream: iostream.IOStream
    ) -> None:
        """Passes bytes both ways until one side ends.

        The peer never closes its sending side alone, so its end ends the
        endpoint's connection as well, and thereby what runs there.
        """
        self._tunnels += 1
        self._served += 1
        loop = asyncio.get_running_loop()
        from_peer = loop.create_task(
            _copy(stream, upstream, False, self._window)
        )
        from_endpoint = loop.create_task(
            _copy(upstream, stream, True, self._window)
        )
        copies = {from_peer, from_endpoint}
        try:
            await asyncio.wait(copies, return_when=asyncio.FIRST_COMPLETED)
            if not stream.closed():
                # The endpoint ended; what it sent before is still passed on.
                await asyncio.wait([from_endpoint])
            if (
                from_endpoint.done()
                and from_endpoint.result() is _End.CLOSED
                and not stream.closed()
            ):
                await stream.write(framing.END)
        finally:
            self._tunnels -= 1
            for one in copies:
                one.cancel()
            await asyncio.gather(*copies, return_exceptions=True)

    def _window(self) -> int:
        """Returns how many bytes may wait for one receiver."""
        parts = PARTS_PER_TUNNEL * max(1, self._tunnels)
        share = self._waiting_bytes // parts
        return min(MAX_WAITING_BYTES, max(MIN_WAITING_BYTES, share))

    def _log_malformed(self, error: errors.PeerError) -> None:
        now = self._timers.now()
        if now - self._logged_at >= LOG_INTERVAL_S:
            self._logged_at = now
            logger.warning("refusing a tunnel: %s", error)


async def _copy(
    source: iostream.IOStream,
    target: iostream.IOStream,
    framed: bool,
    window: Callable[[], int] = lambda: MAX_WAITING_BYTES,
) -> _End:
    """Passes bytes on; returns how the source, or the target, ended.

    Args:
        source: Where the bytes come from.
        target: Where they go.
        framed: Whether the bytes are framed for a peer.
        window: Returns how many bytes may wait for the target.
    """
    waiting = 0
    turns = fair_turns.TurnBudget()
    try:
        while True:
            await turns.pause_if_spent()
            size = min(streams.CHUNK_BYTES, window())
            source.read_chunk_size = size
            reading = asyncio.ensure_future(
                source.read_bytes(size, partial=True)
            )
            if not reading.done():
                turns.renew()
            data = await reading
            turns.spend(fair_turns.PART_COST + COPY_COST_FACTOR * len(data))
            written = target.write(framing.encode(data) if framed else data)
            written.add_done_callback(streams.retrieve_exception)
            waiting += len(data)
            if waiting > window():
                if framed:
                    await written
                else:
                    await _wait_written(written, source)
                waiting = 0
    except iostream.StreamClosedError as error:
        return _End.CLOSED if error.real_error is None else _End.BROKEN


async def _wait_written(
    written: "asyncio.Future[None]", peer: iostream.IOStream
) -> None:
    """Waits until an endpoint takes bytes, as long as their sender is there.

    Args:
        written: Done once the socket has accepted the bytes.
        peer: Where they came from; closed if its other side has ended.

    Raises:
        StreamClosedError: If one of the two sides has ended.
    """
    ended: asyncio.Future[None] = asyncio.get_running_loop().create_future()
    look = end_looks.EndLook(lambda: peer.socket)
    look.start(lambda: ended.set_result(None))
    try:
        await asyncio.wait(
            [written, ended], return_when=asyncio.FIRST_COMPLETED
        )
    finally:
        look.cancel()
    if ended.done():
        peer.close()
        raise iostream.StreamClosedError
    written.result()
