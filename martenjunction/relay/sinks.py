"""Where a relay puts an answer."""

from typing import Protocol

from martenjunction.endpoints import streams


class CallerGoneError(Exception):
    """The caller no longer reads."""


class Sink(Protocol):
    """The caller's side of one request."""

    async def start(self, head: streams.ResponseHead) -> None:
        """Takes the status and headers of the answer."""

    async def write(self, data: bytes) -> None:
        """Takes a part of the answer; returns when there is room for more.

        Raises:
            CallerGoneError: If the caller left.
        """
