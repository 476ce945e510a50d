"""Counts what is done between two iterations of the event loop."""

import asyncio
from collections.abc import Callable
import contextlib
import socket
import threading
from typing import Any

# Seconds after which a sender gives up.
SENDER_TIMEOUT_S = 60.0


class TurnCount:
    """The largest count of one iteration of the event loop."""

    def __init__(self) -> None:
        self._current = 0
        self._stopped = False
        self.longest = 0
        self.total = 0

    def add(self, number: int = 1) -> None:
        self._current += number
        self.total += number
        self.longest = max(self.longest, self._current)

    def start(self) -> "contextlib.closing[TurnCount]":
        """Begins to count anew in each iteration, until it is closed."""
        self._next()
        return contextlib.closing(self)

    def close(self) -> None:
        self._stopped = True

    def counting(self, function: Callable[..., Any]) -> Callable[..., Any]:
        """Returns a function that counts its calls."""

        def call(*args: Any, **kwargs: Any) -> Any:
            self.add()
            return function(*args, **kwargs)

        return call

    def _next(self) -> None:
        self._current = 0
        if not self._stopped:
            asyncio.get_running_loop().call_soon(self._next)


class FastSender:
    """Sends bytes from a thread as fast as the socket takes them."""

    def __init__(
        self, address: str, data: bytes, then: bytes = b"", times: int = 0
    ) -> None:
        """Connects and sends.

        Args:
            address: IP address and port.
            data: Bytes to send.
            then: Bytes to send repeatedly after them.
            times: How often.
        """
        host, port = address.rsplit(":", 1)
        self._data = data
        self._then = then
        self._times = times
        self._socket = socket.create_connection((host, int(port)))
        self._socket.settimeout(SENDER_TIMEOUT_S)
        self._thread = threading.Thread(target=self._send, daemon=True)
        self._thread.start()

    async def answer(self) -> bytes:
        """Returns the answer, up to the end of the connection."""
        return await asyncio.to_thread(self._receive)

    def close(self) -> None:
        """Ends the connection and waits until the thread has ended."""
        with contextlib.suppress(OSError):
            self._socket.shutdown(socket.SHUT_RDWR)
        self._thread.join()
        self._socket.close()

    def _send(self) -> None:
        with contextlib.suppress(OSError):
            self._socket.sendall(self._data)
            for _ in range(self._times):
                self._socket.sendall(self._then)

    def _receive(self) -> bytes:
        received = b""
        with contextlib.suppress(ConnectionError):
            while data := self._socket.recv(64 * 1024):
                received += data
        return received
