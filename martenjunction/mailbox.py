"""Bounded queues for messages between tasks."""

import asyncio
import collections
from typing import Generic
from typing import TypeVar

from martenjunction import errors

T = TypeVar("T")


class MailboxFullError(errors.MartenjunctionError):
    """The mailbox is full because its reader is too slow."""


class Mailbox(Generic[T]):
    """A bounded queue with one reader and any number of writers.

    The reader can take all queued messages at once, so that a busy reader does
    its per-batch work once for many messages.
    """

    def __init__(self, limit: int = 10_000) -> None:
        """Initializes an empty mailbox.

        Args:
            limit: Maximum number of queued messages.
        """
        self._limit = limit
        self._messages: collections.deque[T] = collections.deque()
        self._filled = asyncio.Event()

    def __len__(self) -> int:
        return len(self._messages)

    def put(self, message: T) -> None:
        """Adds a message.

        Raises:
            MailboxFullError: If the mailbox is full.
        """
        if len(self._messages) >= self._limit:
            raise MailboxFullError(
                f"mailbox is full: {self._limit} messages are queued"
            )
        self._messages.append(message)
        self._filled.set()

    async def get(self) -> T:
        """Waits for a message and returns it."""
        await self._wait()
        message = self._messages.popleft()
        if not self._messages:
            self._filled.clear()
        return message

    async def get_all(self) -> list[T]:
        """Waits for at least one message and returns all that are queued."""
        await self._wait()
        messages = list(self._messages)
        self._messages.clear()
        self._filled.clear()
        return messages

    async def _wait(self) -> None:
        while not self._messages:
            self._filled.clear()
            await self._filled.wait()
