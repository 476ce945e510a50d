"""Opens tunnels to endpoints through the peers that reach them."""

import asyncio
from collections.abc import Callable
import functools

from martenjunction import errors
from martenjunction import model
from martenjunction import timers
from martenjunction.decisions.boxes import tunnel_choice
from martenjunction.endpoints import pool
from martenjunction.tunnels import connection
from martenjunction.tunnels import errors as tunnel_errors
from martenjunction.tunnels import handshake

# Seconds after which the next peer is asked as well.
HEDGE_S = 0.06

# Answers after which a peer is not asked for a moment.
_PEER_FAILURES = frozenset(
    {
        handshake.Status.MALFORMED,
        handshake.Status.FORBIDDEN,
        handshake.Status.NO_PATH,
    }
)


class TunnelDialer:
    """Opens tunnels for this box."""

    def __init__(
        self,
        box: str,
        key: str,
        peers: Callable[[], list[tunnel_choice.TunnelPeer]],
        reaches: Callable[[str], bool],
        choice: tunnel_choice.TunnelPeers,
        clock: timers.Timers,
    ) -> None:
        """Initializes the dialer.

        Args:
            box: The name of this box.
            key: The key that all boxes share.
            peers: Returns the peers that may be asked.
            reaches: Returns whether a box is ready and reaches endpoints.
            choice: Orders them.
            clock: Provides the time.
        """
        self._box = box
        self._key = key
        self._peers = peers
        self._reaches = reaches
        self._choice = choice
        self._timers = clock
        self._opened = 0
        self._failed = 0

    @property
    def opened(self) -> int:
        """Number of tunnels opened since the start."""
        return self._opened

    @property
    def failed(self) -> int:
        """Number of requests for tunnels that failed since the start."""
        return self._failed

    def is_usable(self, tunnel: connection.TunnelConnection) -> bool:
        """Returns whether a tunnel's peer still carries requests."""
        return self._reaches(tunnel.via)

    async def open(
        self,
        endpoint: model.Endpoint,
        on_head: pool.OnConnectionHead,
        timeout_s: float,
    ) -> connection.TunnelConnection:
        """Opens a tunnel through the first of some peers that answers.

        Stalls of this box do not count as time in which no peer answers.

        Args:
            endpoint: The endpoint.
            on_head: Called with the head of every final response.
            timeout_s: Timeout in seconds, for all peers together.

        Raises:
            PortRefusedError: If the endpoint refused a peer's connection.
            ConnectError: If no peer opened a tunnel.
        """
        waiting = self._choice.select(self._peers(), self._timers.now())
        if not waiting:
            raise errors.ConnectError("no peer to tunnel through")
        request = handshake.encode_request(
            handshake.TunnelRequest(endpoint.id, endpoint.address, self._box),
            self._key,
        )
        deadline = self._timers.stall_adjusted_now() + timeout_s
        tries: set[asyncio.Task[connection.TunnelConnection]] = set()
        refused = False
        try:
            while waiting or tries:
                now = self._timers.stall_adjusted_now()
                if now >= deadline:
                    break
                until = deadline
                if waiting:
                    peer = waiting.pop(0)
                    tries.add(
                        self._start(peer, request, on_head, deadline - now)
                    )
                    if waiting:
                        until = min(deadline, now + HEDGE_S)
                done = await self._timers.wait_first(tries, until)
                for one in done:
                    # Another one may have succeeded as well: it is closed.
                    tries.remove(one)
                    error = one.exception()
                    if error is None:
                        self._opened += 1
                        return one.result()
                    refused |= _is_refusal(error)
        finally:
            for one in tries:
                one.cancel()
                one.add_done_callback(_close_unused)
        if refused:
            raise errors.PortRefusedError(f"{endpoint.id} refused a peer")
        raise errors.ConnectError(f"no peer reached {endpoint.id}")

    def _start(
        self,
        peer: tunnel_choice.TunnelPeer,
        request: bytes,
        on_head: pool.OnConnectionHead,
        timeout_s: float,
    ) -> asyncio.Task[connection.TunnelConnection]:
        return asyncio.get_running_loop().create_task(
            self._open_through(peer, request, on_head, timeout_s)
        )

    async def _open_through(
        self,
        peer: tunnel_choice.TunnelPeer,
        request: bytes,
        on_head: pool.OnConnectionHead,
        timeout_s: float,
    ) -> connection.TunnelConnection:
        self._choice.add(peer.box, 1)
        tunnel = connection.TunnelConnection(
            peer,
            request,
            on_head,
            functools.partial(self._choice.add, peer.box, -1),
        )
        try:
            await tunnel.open(timeout_s)
        except errors.ConnectError as error:
            self._failed += 1
            status = getattr(error, "status", None)
            if status is None or status in _PEER_FAILURES:
                self._choice.note_failed(peer.box, self._timers.now())
            raise
        return tunnel


def _is_refusal(error: BaseException) -> bool:
    return (
        isinstance(error, tunnel_errors.TunnelRefusedError)
        and error.status == handshake.Status.REFUSED
    )


def _close_unused(task: asyncio.Task[connection.TunnelConnection]) -> None:
    """Closes a tunnel that was opened although another one is used."""
    if not task.cancelled() and task.exception() is None:
        task.result().abort()
