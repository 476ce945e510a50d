"""Fault-injecting proxies, on a library, with the faults we need."""

import asyncio
from collections.abc import AsyncGenerator

from faulty.core import proxy
from faulty.middlewares import base

from martenjunction import addresses


class Hold(base.BaseMiddleware):  # type: ignore[misc]
    """Keeps bytes back while it is closed, and lets them go in order."""

    def __init__(self) -> None:
        """Begins open."""
        self._open = asyncio.Event()
        self._open.set()

    def close(self) -> None:
        """Keeps all bytes back from now on."""
        self._open.clear()

    def open(self) -> None:
        """Lets all bytes go."""
        self._open.set()

    async def process(self, chunk: bytes) -> AsyncGenerator[bytes, None]:
        """Passes a chunk on, once it may."""
        await self._open.wait()
        yield chunk


class Link:
    """A proxy before one address, cut one way or both at will."""

    def __init__(self, listen: str, target: str) -> None:
        """Makes a proxy; `start` brings it up.

        Args:
            listen: Address on which it stands in for the target.
            target: Where it sends to.
        """
        listen_host, listen_port = addresses.split_address(listen)
        target_host, target_port = addresses.split_address(target)
        self._proxy = proxy.FaultyProxy(
            listen_host, listen_port, target_host, target_port
        )
        self._to_target = Hold()
        self._from_target = Hold()
        self._proxy.add_egress_rule(self._to_target)
        self._proxy.add_ingress_rule(self._from_target)
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Begins to listen."""
        loop = asyncio.get_running_loop()
        self._task = loop.create_task(self._proxy.start())
        await asyncio.sleep(0)

    async def stop(self) -> None:
        """Closes the port."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def cut(self, to_target: bool = True, from_target: bool = True) -> None:
        """Keeps bytes back in the directions named."""
        if to_target:
            self._to_target.close()
        if from_target:
            self._from_target.close()

    def heal(self) -> None:
        """Lets bytes pass both ways again."""
        self._to_target.open()
        self._from_target.open()
