"""Checks whether an endpoint crashed after a run there broke off.

A connection reset, a network partition and a crashed endpoint look the same at
first. Only the port of a crashed endpoint refuses connections at once.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import logging
import time

from martenjunction import errors
from martenjunction import model
from martenjunction.routing.endpoints import endpoint_registry

logger = logging.getLogger(__name__)

# Maximum time, in seconds, that a request waits for the check. Connections are
# made or refused within a few milliseconds, and a retry should not be delayed
# if nothing answers.
CHECK_TIMEOUT_S = 0.05

# Time, in seconds, for which the result is shared by all runs that broke off at
# the endpoint.
RESULT_TTL_S = 0.25

EndCallback = Callable[[str], None]
IsDown = Callable[[model.Endpoint], Awaitable[bool]]


class EndpointLiveness:
    """Checks endpoints at which runs broke off."""

    def __init__(
        self,
        registry: endpoint_registry.EndpointRegistry,
        is_down: IsDown,
    ) -> None:
        """Initializes the checker.

        Args:
            registry: The endpoint registry; records unreachable endpoints.
            is_down: Returns whether an endpoint's port refuses connections;
                see `EndpointConnector.is_down`.
        """
        self._health = registry.health
        self._table = registry.table
        self._is_down = is_down
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
        listed = self._table.listed
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
        elif _found_ended(check_task):
            self._on_ended(endpoint.id)
        await asyncio.wait([check_task], timeout=CHECK_TIMEOUT_S)
        return _found_ended(check_task)

    async def stop(self) -> None:
        """Cancels the running checks."""
        check_tasks = list(self._checks.values())
        for check_task in check_tasks:
            check_task.cancel()
        await asyncio.gather(*check_tasks, return_exceptions=True)

    async def _check(self, endpoint: model.Endpoint) -> bool:
        try:
            ended = await self._refuses_connections(endpoint)
        except Exception:
            logger.exception("failed to check endpoint %s", endpoint.id)
            ended = False
        finally:
            asyncio.get_running_loop().call_later(
                RESULT_TTL_S, self._checks.pop, endpoint.id, None
            )
        if ended:
            self._on_ended(endpoint.id)
        return ended

    async def _refuses_connections(self, endpoint: model.Endpoint) -> bool:
        try:
            is_down = await self._is_down(endpoint)
        except errors.EndpointNotReachedError as error:
            self._note_unreachable(endpoint, str(error))
            return False
        if is_down:
            self._note_unreachable(endpoint, "connection refused")
        return is_down

    def _note_unreachable(self, endpoint: model.Endpoint, cause: str) -> None:
        # Spares the other runs there from detecting this one by one.
        self._health.note_unreachable(endpoint.id, time.monotonic(), cause)


def _found_ended(check_task: asyncio.Task[bool]) -> bool:
    """Returns whether a check is complete and found a crashed endpoint.

    A check that was cancelled is not an answer, and not an error of the run
    that waits for it.
    """
    if not check_task.done() or check_task.cancelled():
        return False
    return check_task.result()
