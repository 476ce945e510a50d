"""Endpoints that pause for a moment, and go on."""

import asyncio
import random
import time

from martenjunction_lab import replica
from martenjunction_lab import troubled_judge

# Seconds for which an endpoint works on a request.
WORK_S = (0.01, 0.12)


class PausingReplica(replica.Replica):
    """A replica that may pause, and whose responses take drawn times.

    Attributes:
        listens: Whether it has not ended.
        flows: Set unless it pauses.
    """

    def __init__(
        self,
        endpoint_id: str,
        draw: random.Random,
        seen: troubled_judge.Seen,
    ) -> None:
        """Makes a replica.

        Args:
            endpoint_id: The id under which it is listed.
            draw: Draws the times.
            seen: Takes what it sees.
        """
        super().__init__(endpoint_id)
        self._draw = draw
        self._seen = seen
        self._open: dict[asyncio.StreamWriter, None] = {}
        self.listens = True
        self.flows = asyncio.Event()
        self.flows.set()

    def reset(self) -> None:
        """Closes all connections; it goes on to listen."""
        # A set has no order that a seed decides.
        for writer in list(self._open):
            writer.transport.abort()

    async def stop(self) -> None:
        """Closes the port and every connection."""
        self.reset()
        await super().stop()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._open[writer] = None
        try:
            await super()._serve(reader, writer)
        finally:
            del self._open[writer]

    async def _answer(
        self,
        request: replica.Received,
        behaviour: replica.Behaviour,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        if not request.id:
            await self.flows.wait()
            return await super()._answer(request, behaviour, reader, writer)
        seen, draw = self._seen, self._draw
        seen.runs[request.id] += 1
        if draw.random() < 0.5:
            await self.flows.wait()
        self.queue_s = draw.uniform(*WORK_S)
        goes_on = await super()._answer(request, behaviour, reader, writer)
        if goes_on and not writer.transport.is_closing():
            seen.answered.setdefault(request.id, []).append(
                (time.monotonic(), self.id)
            )
        return goes_on

    async def _leaves_queue(self, reader: asyncio.StreamReader) -> bool:
        left = await super()._leaves_queue(reader)
        await self.flows.wait()
        return left
