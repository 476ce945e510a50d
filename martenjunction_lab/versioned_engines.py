"""Engines that write their software version into their events."""

import random

from martenjunction_lab import replica


class VersionedReplica(replica.Replica):
    """An engine whose events name its version.

    Attributes:
        version: Its software version.
        serves: Whether it takes requests and does not leave.
    """

    def __init__(
        self,
        endpoint_id: str,
        version: str,
        events: int,
        pause_s: float,
        breaking: float,
        draw: random.Random,
    ) -> None:
        """Makes it; `start` brings it up.

        Args:
            endpoint_id: The id under which it is listed.
            version: Its software version.
            events: Events of a stream.
            pause_s: Seconds between two events.
            breaking: Part of the runs that break off inside an event.
            draw: Decides which ones, and where.
        """
        super().__init__(endpoint_id, events)
        self.version = version
        self.event_pause_s = pause_s
        self.serves = True
        self._breaking = breaking
        self._draw = draw

    def _event_text(self, number: int) -> str:
        return f"{self.version} t{number}"

    def _breaks_after(
        self, request: replica.Received, first: int
    ) -> int | None:
        if self._draw.random() >= self._breaking:
            return None
        return self._draw.randint(first, self._events)
