"""Checks whether an endpoint has ended after a run there broke off.

At first, a connection reset, a network partition and a terminated endpoint
cannot be told apart. The port of a terminated endpoint refuses connections at
once.
"""

import asyncio
from collections.abc import Callable
import time

from martenjunction import errors
from martenjunction import model
from martenjunction.endpoints import pool
from martenjunction.routing import endpoint_book

# Maximum time, in seconds, that a request waits for the check. Connections are
# made or refused within a few milliseconds, and a retry should not be delayed
# if nothing answers.
PATIENCE_S = 0.05

# Time, in seconds, for which the result is shared by all runs that broke off at
# the endpoint.
SHARED_S = 0.25

Ended = Callable[[str], None]


class EndpointEnds:
    """Checks endpoints at which runs broke off."""

    def __init__(
        self, book: endpoint_book.EndpointBook, connections: pool.EndpointPool
    ) -> None:
        """Initializes the checker.

        Args:
            book: The endpoint registry; records unreachable endpoints.
            connections: The connection pool.
        """
        self._book = book
        self._connections = connections
        self._questions: dict[str, asyncio.Task[bool]] = {}
        self._on_ended: Ended = lambda endpoint_id: None

    def on_ended(self, callback: Ended) -> None:
        """Sets the callback for endpoints found to have ended."""
        self._on_ended = callback

    async def ask(self, endpoint: model.Endpoint) -> None:
        """Checks whether an endpoint has ended unexpectedly.

        If it has, the callback is usually called before this method returns.
        The wait is bounded by a timeout, so it may also be called later.
        """
        listed = self._book.listed
        if listed.restarted(endpoint.id):
            self._on_ended(endpoint.id)
            return
        if not listed.may_send(endpoint.id):
            # A planned shutdown is in progress or complete.
            return
        question = self._questions.get(endpoint.id)
        if question is None:
            loop = asyncio.get_running_loop()
            question = loop.create_task(self._ask(endpoint))
            self._questions[endpoint.id] = question
        elif question.done() and question.result():
            self._on_ended(endpoint.id)
        await asyncio.wait([question], timeout=PATIENCE_S)

    async def stop(self) -> None:
        """Cancels the running checks."""
        questions = list(self._questions.values())
        for question in questions:
            question.cancel()
        await asyncio.gather(*questions, return_exceptions=True)

    async def _ask(self, endpoint: model.Endpoint) -> bool:
        ended = await self._refuses(endpoint)
        asyncio.get_running_loop().call_later(
            SHARED_S, self._questions.pop, endpoint.id, None
        )
        if ended:
            self._on_ended(endpoint.id)
        return ended

    async def _refuses(self, endpoint: model.Endpoint) -> bool:
        try:
            # A new connection, because an idle one may be closing already.
            connection = await self._connections.connect(endpoint)
        except errors.EndpointNotReachedError as error:
            # Spares the other runs there from detecting this one by one.
            self._book.not_reached(endpoint.id, time.monotonic())
            return isinstance(error.__cause__, errors.PortRefusedError)
        except errors.EndpointError:
            return False
        self._connections.release(endpoint.id, connection)
        return False
