"""The rest of a client's connection between two requests."""

from collections.abc import Callable
import time

from martenjunction.decisions import rest_times
from martenjunction.http1 import messages

# Seconds within which a response that was written counts as on its way. A slow
# link takes as long for a large one.
MAX_DELIVERY_S = 10.0


class Rest:
    """How long a connection has rested, and for how long it may."""

    def __init__(self, limits: Callable[[], messages.ClientLimits]) -> None:
        """Initializes the rest of a connection that was just accepted.

        Args:
            limits: Returns the current limits for clients.
        """
        self._limits = limits
        self._since = self._written_at = time.monotonic()
        self._time = rest_times.untold(limits().idle_timeout_s)

    @property
    def time(self) -> rest_times.RestTime:
        """What the client was told, and what is kept to."""
        return self._time

    @property
    def rested_s(self) -> float:
        """Seconds since the last response, or since it was accepted."""
        return time.monotonic() - self._since

    @property
    def remaining_s(self) -> float:
        """Seconds for which it may still rest.

        A longer idle timeout holds at once, a shorter one from the next
        response on.
        """
        allowed_s = max(self._time.held_s, self._limits().idle_timeout_s)
        return allowed_s - self.rested_s

    def begin(self) -> None:
        """Records that the connection begins to rest."""
        self._since = self._written_at = time.monotonic()

    def begin_anew(self) -> None:
        """Records that the last response is still on its way.

        A client that never reads it does not keep its connection by that.
        """
        now = time.monotonic()
        if now - self._written_at < MAX_DELIVERY_S:
            self._since = now

    def tell(self) -> messages.Headers:
        """Returns the headers of a response that tell the client its time."""
        self._time = rest_times.told(self._limits().idle_timeout_s)
        if self._time.told_s is None:
            return []
        return [
            (b"Connection", b"keep-alive"),
            (b"Keep-Alive", b"timeout=%d" % self._time.told_s),
        ]
