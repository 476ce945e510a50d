"""Messages that wait for one connection to take them."""

import asyncio

from martenjunction import mailbox
from martenjunction.peers import codec
from martenjunction.peers import flow

# Messages that may wait for a slow peer, less those that others replace.
MAX_UNSENT = 20_000


class Outbox:
    """A queue in which news go first and only the newest status is kept.

    A peer that is short of time takes what is sent more slowly than it is
    made. In order of time, news would wait behind statuses that say nothing
    any more; here those wait until the peer has taken earlier frames.
    """

    def __init__(
        self, control: flow.FlowControl, limit: int = MAX_UNSENT
    ) -> None:
        """Makes an empty queue.

        Args:
            control: Tells whether the peer keeps up.
            limit: Messages that may wait, less those that others replace.
        """
        self._flow = control
        self._limit = limit
        self._urgent: list[codec.Encoded] = []
        self._others: list[codec.Encoded] = []
        self._newest: dict[str, codec.Encoded] = {}
        self._filled = asyncio.Event()

    def __len__(self) -> int:
        return len(self._urgent) + len(self._others) + len(self._newest)

    def put(self, message: codec.Encoded) -> None:
        """Adds a message, or puts it in the place of an older one.

        Raises:
            MailboxFullError: If the peer is too far behind.
        """
        if message.replaces:
            self._newest[message.tag] = self._after_waiting(message)
        elif len(self) >= self._limit:
            raise mailbox.MailboxFullError(f"{self._limit} messages wait")
        else:
            (self._urgent if message.urgent else self._others).append(message)
        self._filled.set()

    def wake(self) -> None:
        """Has the writer look again, since the peer has taken frames."""
        self._filled.set()

    async def get_all(self) -> list[codec.Encoded]:
        """Waits for messages, or for a word that is owed to the peer.

        Returns:
            All messages that may be sent now; none where an empty frame is.
        """
        while True:
            await self._filled.wait()
            self._filled.clear()
            messages = self.take_all()
            if messages or self._flow.owes_word:
                return messages

    def take_all(self) -> list[codec.Encoded]:
        """Takes all messages that may be sent now, the urgent ones first."""
        messages = [*self._urgent, *self._others]
        self._urgent, self._others = [], []
        if self._flow.is_open:
            messages += self._newest.values()
            self._newest = {}
        return messages

    def _after_waiting(self, message: codec.Encoded) -> codec.Encoded:
        waiting = self._newest.get(message.tag)
        if waiting is None:
            return message
        merged = message.value.after(waiting.value)
        # Most often the message itself, which is encoded for all peers.
        return message if merged is message.value else codec.Encoded(merged)
