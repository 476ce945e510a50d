"""A handler for tests of servers that records what it is given."""

import asyncio

from martenjunction.http1 import close_reports
from martenjunction.http1 import messages
from martenjunction.http1 import server_connection
from tests import keep_alive_connections


class RecordingHandler:
    """Answers requests with their targets, and records how connections end."""

    def __init__(self, delay_s: float = 0.0) -> None:
        self.received: list[bytes] = []
        self.closed: list[close_reports.ClosedConnection] = []
        self._delay_s = delay_s

    async def __call__(
        self,
        connection: server_connection.ServerConnection,
        request: messages.Request,
    ) -> None:
        self.received.append(request.target)
        await asyncio.sleep(self._delay_s)
        await connection.answer(200, [], request.target)

    async def only_closed(self) -> close_reports.ClosedConnection:
        """Waits for the report on the only connection that was closed."""
        async with asyncio.timeout(keep_alive_connections.TIMEOUT_S):
            while not self.closed:
                await asyncio.sleep(0.01)
        [closed] = self.closed
        return closed
