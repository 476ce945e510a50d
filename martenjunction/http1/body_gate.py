"""Where a server asks whether to read request bodies."""

import dataclasses
from typing import Protocol

from martenjunction.http1 import messages


@dataclasses.dataclass(frozen=True, slots=True)
class Reservation:
    """Memory that was reserved for a request.

    Attributes:
        size: Its size in bytes.
        keeps_body: Whether the body may be kept; otherwise it is read and
            discarded.
        buffered: Whether the buffers of its connection count, until `end_read`
            is called.
    """

    size: int
    keeps_body: bool
    buffered: bool = False


class BodyGate(Protocol):
    """Tells which bodies are read, and grants their memory."""

    def refuses(self, request: messages.Request) -> bool:
        """Returns whether the handler will refuse a request for its head.

        The handler is called in the same iteration of the event loop if it
        does. It must then refuse the request, whose body is empty.

        Args:
            request: The request, whose body is not read completely.
        """

    async def reserve(
        self, request: messages.Request, size: int
    ) -> Reservation:
        """Waits for the memory of a body; returns what was reserved.

        Args:
            request: The request, whose body is not read yet.
            size: The most bytes that the body can have.
        """

    def end_read(self, count: int) -> None:
        """Gives back the buffers of reservations, as their body is read.

        Args:
            count: How many reservations had them.
        """

    def release(self, size: int) -> None:
        """Gives back memory that was reserved."""


class OpenGate:
    """Grants everything."""

    def refuses(self, request: messages.Request) -> bool:
        """Returns that the handler decides later."""
        return False

    async def reserve(
        self, request: messages.Request, size: int
    ) -> Reservation:
        """Returns that the body may be kept."""
        return Reservation(size, True)

    def end_read(self, count: int) -> None:
        """Does nothing."""

    def release(self, size: int) -> None:
        """Does nothing."""
