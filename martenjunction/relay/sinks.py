"""Interface through which a relay sends a response to the caller."""

from typing import Protocol

from martenjunction.endpoints import streams


class CallerDisconnectedError(Exception):
    """The caller disconnected."""


class Sink(Protocol):
    """Receives the response to one request for the caller."""

    async def start(self, head: streams.ResponseHead) -> None:
        """Sends the status and headers of the response."""

    async def write(self, data: bytes) -> None:
        """Sends a part of the response; waits until more can be sent.

        Raises:
            CallerGoneError: If the caller disconnected.
        """
