"""A connection to an endpoint through a peer."""

import asyncio
from collections.abc import Callable

from tornado import iostream

from martenjunction import errors
from martenjunction.decisions.boxes import tunnel_choice
from martenjunction.http1 import client
from martenjunction.http1 import messages
from martenjunction.tunnels import errors as tunnel_errors
from martenjunction.tunnels import framing
from martenjunction.tunnels import handshake


class TunnelConnection(client.ClientConnection):
    """A client connection whose bytes a peer passes on."""

    def __init__(
        self,
        peer: tunnel_choice.TunnelPeer,
        request: bytes,
        on_head: Callable[[messages.ResponseHead], None],
        on_closed: Callable[[], None],
    ) -> None:
        """Initializes the connection without opening it.

        Args:
            peer: The peer.
            request: The request for the tunnel.
            on_head: Called with the head of every final response.
            on_closed: Called once when this side closes the connection.
        """
        super().__init__(peer.address, on_head)
        self._peer = peer
        self._tunnel_request = request
        self._on_closed = on_closed

    @property
    def via(self) -> str:
        """The box that passes the bytes on."""
        return self._peer.box

    @property
    def is_direct(self) -> bool:
        """Whether this box is connected to the server itself."""
        return False

    async def open(self, timeout_s: float) -> None:
        """Opens the tunnel; the caller limits the wait for the answer.

        Args:
            timeout_s: Timeout, in seconds, of the connection to the peer.

        Raises:
            NoSocketError: If this box cannot create a socket.
            TunnelRefusedError: If the peer opens no tunnel.
            ConnectError: If the peer is not reached; nothing was sent to the
                endpoint.
        """
        try:
            await super().open(timeout_s)
            status = await self._request_tunnel()
        except (errors.ConnectError, asyncio.CancelledError):
            # This box may have no socket.
            self.abort()
            raise
        if status != handshake.Status.CONNECTED:
            self.abort()
            raise tunnel_errors.TunnelRefusedError(self.via, status)
        assert self._stream is not None
        self._source = framing.FramedSource(self._stream)

    def abort(self) -> None:
        """Closes the connection immediately; a pending read fails."""
        was_closed = self.closed
        super().abort()
        if not was_closed:
            self._on_closed()

    async def _request_tunnel(self) -> int:
        """Returns the status of the peer's answer.

        Raises:
            ConnectError: If the peer closes the connection or its answer is
                malformed.
        """
        stream = self._stream
        assert stream is not None
        try:
            await stream.write(self._tunnel_request)
            data = await stream.read_until(
                handshake.END, max_bytes=handshake.MAX_BYTES
            )
            return handshake.decode_answer(data)
        except (
            iostream.StreamClosedError,
            iostream.UnsatisfiableReadError,
            errors.PeerError,
        ) as error:
            raise errors.ConnectError(f"{self.via}: {error}") from error
