"""Handlers and logs for tests of servers that record what they are given."""

import asyncio
from typing import Any

from martenjunction.http1 import close_reports
from martenjunction.http1 import messages
from martenjunction.http1 import server_connection
from martenjunction.routing.log import decision_log
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


class Lines(decision_log.DecisionLog):
    """Keeps the lines."""

    def __init__(self) -> None:
        super().__init__(lambda: 0.0)
        self.written: list[tuple[str, dict[str, Any]]] = []

    def write(self, kind: str, **fields: Any) -> None:
        self.written.append((kind, fields))

    def of(self, kind: str) -> list[dict[str, Any]]:
        return [fields for name, fields in self.written if name == kind]
