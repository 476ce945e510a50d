"""Links that pass bytes, and ends of connections, on with a delay."""

import asyncio

from martenjunction import addresses

CHUNK_BYTES = 64 * 1024


class DelayedLink:
    """A relay before one address, whose two directions take time.

    Unlike a proxy that delays chunks, it delays the end of a connection as
    well: what crosses that end meets a closed socket, as on a network.
    """

    def __init__(self, listen: str, target: str, one_way_s: float) -> None:
        """Initializes the link; `start` brings it up.

        Args:
            listen: IP address and port on which it listens.
            target: IP address and port to which it connects.
            one_way_s: Seconds that each direction takes.
        """
        self._listen = listen
        self._target = target
        self._one_way_s = one_way_s
        self._server: asyncio.Server | None = None
        self._serving: set[asyncio.Task[None]] = set()
        self._refused = 0

    @property
    def refused(self) -> int:
        """Connections that ended because nobody listened at the target."""
        return self._refused

    async def start(self) -> None:
        """Starts to listen."""
        host, port = addresses.split_address(self._listen)
        self._server = await asyncio.start_server(self._serve, host, port)

    async def stop(self) -> None:
        """Stops listening and ends all connections."""
        if self._server is not None:
            self._server.close()
        for task in self._serving:
            task.cancel()
        await asyncio.gather(*self._serving, return_exceptions=True)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._serving.add(task)
        try:
            await self._connect(reader, writer)
        finally:
            self._serving.discard(task)
            writer.close()

    async def _connect(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        host, port = addresses.split_address(self._target)
        try:
            far_reader, far_writer = await asyncio.open_connection(host, port)
        except OSError:
            self._refused += 1
            return
        try:
            await asyncio.gather(
                self._relay(reader, far_writer), self._relay(far_reader, writer)
            )
        finally:
            far_writer.close()

    async def _relay(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        loop = asyncio.get_running_loop()
        while True:
            try:
                data = await reader.read(CHUNK_BYTES)
            except OSError:
                data = b""
            if not data:
                await asyncio.sleep(self._one_way_s)
                writer.close()
                return
            loop.call_later(self._one_way_s, writer.write, data)
