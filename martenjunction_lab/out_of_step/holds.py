"""Keeps bytes back between boxes of one event loop, and from the store."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
from typing import Any

from martenjunction import errors
from martenjunction import gateway
from martenjunction.peers import handshake
from martenjunction.peers import hub
from martenjunction.peers import links
from martenjunction.peers import membership

Connect = Callable[[membership.Member], Awaitable[int]]


class Hold:
    """Splits boxes into two sides; bytes between them wait in the kernel.

    New connections between the sides time out, as they do over a network that
    drops packets.
    """

    def __init__(
        self, one: Iterable[gateway.Gateway], other: Iterable[gateway.Gateway]
    ) -> None:
        """Initializes the sides; `begin` keeps bytes back.

        Args:
            one: The boxes of one side.
            other: Those of the other one.
        """
        self._sides = list(one), list(other)
        self._usual: list[tuple[hub.PeerHub, Connect]] = []

    def begin(self) -> None:
        """Keeps bytes back from now on."""
        for near, far in (self._sides, self._sides[::-1]):
            beyond = {box.members.own.box for box in far}
            for box in near:
                self._hold(box.peers, beyond)

    def end(self, *, resets: bool = False) -> None:
        """Lets bytes pass again.

        Args:
            resets: Whether connections between the sides are reset.
        """
        for peers, connect in self._usual:
            setattr(peers, "_connect", connect)  # noqa: B010
        self._usual.clear()
        for near, far in (self._sides, self._sides[::-1]):
            beyond = {box.members.own.box for box in far}
            for box in near:
                for link in _links(box.peers, beyond):
                    if resets:
                        link.close()
                    else:
                        _transport(link).resume_reading()

    def _hold(self, peers: hub.PeerHub, beyond: set[str]) -> None:
        for link in _links(peers, beyond):
            _transport(link).pause_reading()
        connect = peers._connect
        self._usual.append((peers, connect))

        async def connect_near(member: membership.Member) -> int:
            if member.box not in beyond:
                return await connect(member)
            await asyncio.sleep(
                hub.SPARSE_CONNECT_TIMEOUT_S
                if peers._topology.is_sparse
                else handshake.HANDSHAKE_TIMEOUT
            )
            return hub.UNREACHABLE_ATTEMPTS

        setattr(peers, "_connect", connect_near)  # noqa: B010


class SilentStore:
    """Keeps back what the store and one box send to each other."""

    def __init__(self, box: gateway.Gateway) -> None:
        """Puts itself between a box and the store; `begin` keeps bytes back."""
        self._open = asyncio.Event()
        self._open.set()
        calls = box.store._http
        call = calls.call

        async def call_unless_silent(
            operation: str,
            method: str,
            path: str,
            body: bytes,
            timeout_s: float,
            *further: Any,
        ) -> Any:
            await self._pass(timeout_s)
            answer = await call(
                operation, method, path, body, timeout_s, *further
            )
            await self._pass(timeout_s)
            return answer

        setattr(calls, "call", call_unless_silent)  # noqa: B010

    def begin(self) -> None:
        """Keeps bytes back from now on."""
        self._open.clear()

    def end(self) -> None:
        """Lets bytes pass again."""
        self._open.set()

    async def _pass(self, timeout_s: float) -> None:
        try:
            async with asyncio.timeout(timeout_s):
                await self._open.wait()
        except TimeoutError:
            raise errors.PlatformUnavailableError("no response") from None


def _links(peers: hub.PeerHub, beyond: set[str]) -> list[links.Link]:
    return [link for link in peers._all_links() if link.box in beyond]


def _transport(link: links.Link) -> asyncio.Transport:
    transport = link._connection.transport
    assert isinstance(transport, asyncio.Transport)
    return transport
