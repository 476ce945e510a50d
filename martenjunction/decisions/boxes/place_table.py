"""Places of an endpoint that must not turn requests away.

Answers the load pattern of a burst at a service whose endpoints fall over when
they reject more than a few requests a second: one box, the endpoint's holder,
grants each request a place, and no more of them than the endpoint runs at once.
Requests wait in the boxes.
"""

import collections

# Seconds for which a new holder also counts what boxes say that they run there:
# it does not know what the holder before it granted.
WARM_UP_S = 1.0

# Seconds after which a place counts as free although nobody returned it.
LIFETIME_S = 15.0

# Seconds after which a denied box may ask again.
RETRY_S = 0.02


class PlaceTable:
    """The granted places of one endpoint.

    Attributes:
        reachable_fraction: Fraction of the boxes that the holder reaches; the
            others may have a holder of their own.
    """

    def __init__(self, now: float) -> None:
        """Initializes a table without granted places.

        Args:
            now: The current time.
        """
        self._started_at = now
        self.reachable_fraction = 1.0
        self._granted: dict[str, collections.deque[float]] = {}

    @property
    def in_use(self) -> int:
        """Number of granted places."""
        return sum(len(times) for times in self._granted.values())

    def take(
        self,
        box: str,
        slots: int,
        running: int,
        now: float,
    ) -> bool:
        """Grants a place if one is free.

        Args:
            box: The box that asks.
            slots: Requests that the endpoint runs at once.
            running: Requests that all boxes say that they run there.
            now: The current time.

        Returns:
            Whether the place is granted.
        """
        self._expire(now)
        used = self.in_use
        if now - self._started_at < WARM_UP_S:
            used = max(used, running)
        if used >= max(1, int(slots * self.reachable_fraction)):
            return False
        self._granted.setdefault(box, collections.deque()).append(now)
        return True

    def release(self, box: str) -> None:
        """Frees the oldest place of a box."""
        times = self._granted.get(box)
        if times:
            times.popleft()

    def retain(self, boxes: set[str]) -> None:
        """Frees the places of all other boxes."""
        for gone in self._granted.keys() - boxes:
            del self._granted[gone]

    def _expire(self, now: float) -> None:
        for times in self._granted.values():
            while times and now - times[0] > LIFETIME_S:
                times.popleft()
