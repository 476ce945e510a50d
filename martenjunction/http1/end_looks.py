"""Looks for the end of a connection behind bytes that nobody reads yet."""

import asyncio
from collections.abc import Callable
import socket

from martenjunction.http1 import peeks

# Seconds between two looks.
LOOK_INTERVAL_S = 0.1


class EndLook:
    """Tells when the peer of a connection has ended its sending side.

    The event loop finds that end by a read, and nothing is read while earlier
    bytes wait for their reader.
    """

    def __init__(self, get_socket: Callable[[], socket.socket | None]) -> None:
        """Initializes it; it looks once `start` is called.

        Args:
            get_socket: Returns the socket, or None if it was closed.
        """
        self._get_socket = get_socket
        self._next: asyncio.TimerHandle | None = None

    def start(self, on_end: Callable[[], None]) -> None:
        """Looks from now on, unless it does so already.

        Args:
            on_end: Called once the peer has ended its side. It is kept only
                while it may be called: its owner would be part of a reference
                cycle.
        """
        if self._next is None:
            loop = asyncio.get_running_loop()
            self._next = loop.call_later(LOOK_INTERVAL_S, self._look, on_end)

    def cancel(self) -> None:
        """Looks no more."""
        if self._next is not None:
            self._next.cancel()
            self._next = None

    def _look(self, on_end: Callable[[], None]) -> None:
        self._next = None
        if peeks.has_sent_all(self._get_socket()):
            on_end()
        else:
            self.start(on_end)
