"""Releases at owners of cells that cannot be reached at the moment."""

import collections
from collections.abc import Callable

from martenjunction.cells import messages

# Sends a message to the owner of a cell; returns whether it could be sent.
SendToOwner = Callable[[str, messages.FromEntry], bool]

# Maximum number of releases kept for one owner; the oldest are dropped.
MAX_KEPT = 4096


class Releases:
    """Sends messages to owners, and keeps the releases that were not sent.

    An owner that becomes reachable again still counts what was withdrawn or
    ended meanwhile. Its slots would stay occupied by it.
    """

    def __init__(self, send: SendToOwner) -> None:
        """Initializes the sender.

        Args:
            send: Sends a message to an owner.
        """
        self._send = send
        self._kept: dict[str, collections.deque[messages.Withdraw]] = {}

    def send(self, owner: str, message: messages.FromEntry) -> bool:
        """Sends a message after the releases kept for its owner.

        Returns:
            Whether the message was sent.
        """
        if self._send_kept(owner) and self._send(owner, message):
            return True
        if isinstance(message, messages.Withdraw | messages.RunEnded):
            kept = self._kept.setdefault(
                owner, collections.deque(maxlen=MAX_KEPT)
            )
            kept.append(messages.Withdraw(message.cell, message.request_id))
        return False

    def _send_kept(self, owner: str) -> bool:
        """Sends what is kept for an owner; returns whether all was sent."""
        kept = self._kept.get(owner)
        while kept:
            if not self._send(owner, kept[0]):
                return False
            kept.popleft()
        self._kept.pop(owner, None)
        return True
