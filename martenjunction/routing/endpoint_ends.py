"""Whether an endpoint has ended, where a run at it broke off.

A reset connection, a cut and an endpoint that is given up look alike for a
moment; the port of one that has ended refuses connections at once.
"""

import asyncio
from collections.abc import Callable
import time

from martenjunction import errors
from martenjunction import model
from martenjunction.endpoints import pool
from martenjunction.routing import endpoint_book

# Seconds that a request waits for the answer before it goes on: connections
# are made or refused within some milliseconds, and a repeat should not be late
# where nothing answers.
PATIENCE_S = 0.05

# Seconds for which one answer serves all runs that broke off there.
SHARED_S = 0.25

Ended = Callable[[str], None]


class EndpointEnds:
    """Asks endpoints where runs broke off whether they are still there."""

    def __init__(
        self, book: endpoint_book.EndpointBook, connections: pool.EndpointPool
    ) -> None:
        """Makes it.

        Args:
            book: Knows the endpoints; told of those that are not reached.
            connections: Connections to endpoints.
        """
        self._book = book
        self._connections = connections
        self._questions: dict[str, asyncio.Task[bool]] = {}
        self._on_ended: Ended = lambda endpoint_id: None

    def on_ended(self, callback: Ended) -> None:
        """Has a callback told of each endpoint that is found to have ended."""
        self._on_ended = callback

    async def ask(self, endpoint: model.Endpoint) -> None:
        """Finds out whether an endpoint has ended, other than as planned.

        The callback is told of it, most often before this returns; where
        nothing answers it returns earlier.
        """
        listed = self._book.listed
        if listed.restarted(endpoint.id):
            self._on_ended(endpoint.id)
            return
        if not listed.may_send(endpoint.id):
            # It leaves, or left, as planned.
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
        """Ends the questions that run."""
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
            # The end of one that is idle may be on its way.
            connection = await self._connections.connect(endpoint)
        except errors.EndpointNotReachedError as error:
            # All that run there need not find out one by one.
            self._book.not_reached(endpoint.id, time.monotonic())
            return isinstance(error.__cause__, errors.PortRefusedError)
        except errors.EndpointError:
            return False
        self._connections.release(endpoint.id, connection)
        return False
