"""Bounded queues by which tasks talk to one another."""

import asyncio
import collections
from typing import Generic
from typing import TypeVar

from martenjunction import errors

T = TypeVar("T")


class MailboxFullError(errors.MartenjunctionError):
    """The receiver does not keep up."""


class Mailbox(Generic[T]):
    """A queue that one task reads and any task writes.

    The reader takes all that has gathered at once, so that a busy reader does
    its per-batch work once for many messages.
    """

    def __init__(self, limit: int = 10_000) -> None:
        """Makes an empty mailbox.

        Args:
            limit: Messages that may wait in it.
        """
        self._limit = limit
        self._messages: collections.deque[T] = collections.deque()
        self._filled = asyncio.Event()

    def __len__(self) -> int:
        return len(self._messages)

    def put(self, message: T) -> None:
        """Adds a message.

        Raises:
            MailboxFullError: If the reader is too far behind.
        """
        if len(self._messages) >= self._limit:
            raise MailboxFullError(f"{self._limit} messages wait")
        self._messages.append(message)
        self._filled.set()

    async def get(self) -> T:
        """Waits for a message and takes it."""
        await self._wait()
        message = self._messages.popleft()
        if not self._messages:
            self._filled.clear()
        return message

    async def get_all(self) -> list[T]:
        """Waits for at least one message and takes all there are."""
        await self._wait()
        messages = list(self._messages)
        self._messages.clear()
        self._filled.clear()
        return messages

    async def _wait(self) -> None:
        while not self._messages:
            self._filled.clear()
            await self._filled.wait()
