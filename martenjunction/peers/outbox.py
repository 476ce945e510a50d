"""The queue of outgoing messages of one connection."""

import asyncio

from martenjunction import mailbox
from martenjunction.peers import codec
from martenjunction.peers import flow

# Maximum number of queued messages, not counting those that are replaced.
MAX_QUEUED = 20_000

# Maximum bytes of them. All queued messages go into one frame, and the peer
# closes a connection over which a larger one comes.
MAX_QUEUED_BYTES = codec.MAX_MESSAGE


class Outbox:
    """A priority queue that keeps only the newest status message.

    An overloaded peer reads messages more slowly than they are produced. In a
    FIFO queue, urgent messages would wait behind outdated status messages.
    Here, status messages are held back until the peer has acknowledged earlier
    frames.
    """

    def __init__(
        self, control: flow.FlowControl, limit: int = MAX_QUEUED
    ) -> None:
        """Initializes an empty queue.

        Args:
            control: Flow control of the connection.
            limit: Maximum number of queued messages, not counting those that
                are replaced.
        """
        self._flow = control
        self._limit = limit
        self._urgent: list[codec.Encoded] = []
        self._others: list[codec.Encoded] = []
        self._queued_bytes = 0
        self._latest: dict[str, codec.Encoded] = {}
        self._has_work = asyncio.Event()

    def __len__(self) -> int:
        return len(self._urgent) + len(self._others) + len(self._latest)

    def put(self, message: codec.Encoded) -> None:
        """Adds a message, or replaces a queued one of its type.

        Raises:
            MailboxFullError: If the queue is full.
        """
        if message.replaces:
            self._latest[message.tag] = self._merge_with_queued(message)
        elif len(self) >= self._limit:
            raise mailbox.MailboxFullError(
                f"the outbox has reached its limit of {self._limit} messages"
            )
        elif self._queued_bytes + len(message.data) > MAX_QUEUED_BYTES:
            raise mailbox.MailboxFullError(
                f"the outbox has reached its limit of {MAX_QUEUED_BYTES} bytes"
            )
        else:
            self._queued_bytes += len(message.data)
            (self._urgent if message.urgent else self._others).append(message)
        self._has_work.set()

    def wake(self) -> None:
        """Wakes the writer if there are sendable messages or a due ack."""
        waiting = self._urgent or self._others
        if (
            waiting
            or self._flow.needs_ack
            or (self._latest and self._flow.is_open)
        ):
            self._has_work.set()

    async def get_all(self) -> list[codec.Encoded]:
        """Waits for sendable messages or for a due acknowledgment.

        Returns:
            All messages that may be sent now; empty if only an acknowledgment
            is to be sent.
        """
        while True:
            await self._has_work.wait()
            self._has_work.clear()
            messages = self.take_all()
            if messages or self._flow.needs_ack:
                return messages

    def take_all(self) -> list[codec.Encoded]:
        """Removes and returns the sendable messages, urgent ones first."""
        messages = [*self._urgent, *self._others]
        self._urgent, self._others = [], []
        self._queued_bytes = 0
        if self._flow.is_open:
            messages += self._latest.values()
            self._latest = {}
        return messages

    def _merge_with_queued(self, message: codec.Encoded) -> codec.Encoded:
        queued = self._latest.get(message.tag)
        if queued is None:
            return message
        merged = message.value.after(queued.value)
        # Usually the message is unchanged and its encoding can be reused.
        return message if merged is message.value else codec.Encoded(merged)
