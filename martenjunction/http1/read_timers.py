"""Timeouts of a connection that waits for a client."""

import asyncio
from collections.abc import Callable
import weakref

from martenjunction.http1 import close_reports

# Seconds within which a partly received request must be complete once its
# connection is shutting down: an incomplete body would delay the shutdown until
# its deadline.
SHUTDOWN_READ_TIMEOUT_S = 1.0


class ReadTimer:
    """The one timeout of a connection that is set at a time.

    Attributes:
        expired: Reason of a timeout that is over, until the data that was read
            before is parsed; None otherwise.
    """

    def __init__(
        self, on_timeout: Callable[[close_reports.CloseReason, bool], None]
    ) -> None:
        """Initializes a timer that is not set.

        Args:
            on_timeout: Method of the timer's owner that is called with the
                reason of a timeout, and whether it is extended no more.
        """
        # The owner would be part of a reference cycle, and its memory not free
        # until a collection.
        self._on_timeout = weakref.WeakMethod(on_timeout)
        self._timer: asyncio.TimerHandle | None = None
        self._reason = close_reports.CloseReason.IDLE
        self._shutting_down = False
        self.expired: close_reports.CloseReason | None = None

    def shut_down(self, reading: bool) -> None:
        """Limits all timeouts from now on, as the connection shuts down.

        Args:
            reading: Whether a request is partly read.
        """
        self._shutting_down = True
        if reading:
            self.set(SHUTDOWN_READ_TIMEOUT_S, self._reason)

    def cancel(self) -> None:
        """Cancels the timeout."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self.expired = None

    def set(
        self,
        seconds: float,
        reason: close_reports.CloseReason,
        final: bool = False,
    ) -> None:
        """Sets the timeout, in place of the one before.

        Args:
            seconds: Seconds from now.
            reason: Why the connection would be closed.
            final: Whether it is extended no more.
        """
        self.cancel()
        self._reason = reason
        if self._shutting_down:
            seconds = min(seconds, SHUTDOWN_READ_TIMEOUT_S)
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(seconds, self._expire, reason, final)

    def _expire(self, reason: close_reports.CloseReason, final: bool) -> None:
        if (on_timeout := self._on_timeout()) is not None:
            on_timeout(reason, final)
