"""Where a server asks for the memory of request bodies."""

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
    """

    size: int
    keeps_body: bool


class BodyGate(Protocol):
    """Grants the memory of request bodies."""

    async def reserve(
        self, request: messages.Request, size: int
    ) -> Reservation:
        """Waits for the memory of a body; returns what was reserved.

        Args:
            request: The request, whose body is not read yet.
            size: The most bytes that the body can have.
        """

    def release(self, size: int) -> None:
        """Gives back memory that was reserved."""


class OpenGate:
    """Grants everything."""

    async def reserve(
        self, request: messages.Request, size: int
    ) -> Reservation:
        """Returns that the body may be kept."""
        return Reservation(size, True)

    def release(self, size: int) -> None:
        """Does nothing."""
