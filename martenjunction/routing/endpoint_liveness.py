"""Checks whether an endpoint crashed after a run there broke off.

A connection reset, a network partition and a crashed endpoint look the same at
first. Only the port of a crashed endpoint refuses connections at once.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import time

from martenjunction import errors
from martenjunction import model
from martenjunction.endpoints import pool
from martenjunction.routing import endpoint_registry

# Maximum time, in seconds, that a request waits for the check. Connections are
# made or refused within a few milliseconds, and a retry should not be delayed
# if nothing answers.
CHECK_TIMEOUT_S = 0.05

# Time, in seconds, for which the result is shared by all runs that broke off at
# the endpoint.
RESULT_TTL_S = 0.25

EndCallback = Callable[[str], None]
Confirm = Callable[[str], Awaitable[bool]]


class EndpointLiveness:
    """Checks endpoints at which runs broke off."""

    def __init__(
        self,
        registry: endpoint_registry.EndpointRegistry,
        connections: pool.EndpointPool,
        confirm: Confirm | None = None,
    ) -> None:
        """Initializes the checker.

        Args:
            registry: The endpoint registry; records unreachable endpoints.
            connections: The connection pool.
            confirm: Returns whether a refused connection is the endpoint's
                failure; it always is if left out.
        """
        self._confirm = confirm
        self._registry = registry
        self._connections = connections
        self._checks: dict[str, asyncio.Task[bool]] = {}
        self._on_ended: EndCallback = lambda endpoint_id: None

    def on_ended(self, callback: EndCallback) -> None:
        """Sets the callback for endpoints found to have crashed."""
        self._on_ended = callback

    async def check(self, endpoint: model.Endpoint) -> bool:
        """Checks whether an endpoint crashed.

        If it has, the callback is usually called before this method returns.
        The wait is bounded by a timeout, so it may also be called later.

        Returns:
            Whether it is known to have crashed.
        """
        listed = self._registry.listed
        if listed.restarted(endpoint.id):
            self._on_ended(endpoint.id)
            return True
        if not listed.is_ready(endpoint.id):
            # A planned shutdown is in progress or complete.
            return False
        check_task = self._checks.get(endpoint.id)
        if check_task is None:
            loop = asyncio.get_running_loop()
            check_task = loop.create_task(self._check(endpoint))
            self._checks[endpoint.id] = check_task
        elif check_task.done() and check_task.result():
            self._on_ended(endpoint.id)
        await asyncio.wait([check_task], timeout=CHECK_TIMEOUT_S)
        return check_task.done() and check_task.result()

    async def stop(self) -> None:
        """Cancels the running checks."""
        check_tasks = list(self._checks.values())
        for check_task in check_tasks:
            check_task.cancel()
        await asyncio.gather(*check_tasks, return_exceptions=True)

    async def _check(self, endpoint: model.Endpoint) -> bool:
        ended = await self._refuses_connections(endpoint)
        asyncio.get_running_loop().call_later(
            RESULT_TTL_S, self._checks.pop, endpoint.id, None
        )
        if ended:
            self._on_ended(endpoint.id)
        return ended

    async def _refuses_connections(self, endpoint: model.Endpoint) -> bool:
        try:
            # A new connection, because an idle one may be closing already.
            connection = await self._connections.connect(endpoint)
        except errors.EndpointNotReachedError as error:
            # Spares the other runs there from detecting this one by one.
            self._registry.note_unreachable(
                endpoint.id, time.monotonic(), str(error)
            )
            if not isinstance(error.__cause__, errors.PortRefusedError):
                return False
            return self._confirm is None or await self._confirm(endpoint.id)
        except errors.EndpointError:
            return False
        self._connections.release(endpoint.id, connection)
        return False
