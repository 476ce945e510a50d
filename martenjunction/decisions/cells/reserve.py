"""Slots reserved for higher tiers."""

from martenjunction.decisions.cells import places

# Seconds for which slots stay reserved after the last request of a higher tier.
RESERVE_MEMORY = 10.0


class Reserve:
    """Reserves a fraction of a cell's slots for higher tiers."""

    def __init__(self, fraction: float) -> None:
        """Initializes the reserve.

        Args:
            fraction: Fraction of the slots that is reserved, 0 to 1.
        """
        self._fraction = fraction
        self._last_arrival: dict[int, float] = {}

    def record_arrival(self, tier: int, now: float) -> None:
        """Records the arrival of a request of a tier."""
        self._last_arrival[tier] = now

    def allows(self, tier: int, slot_counts: places.Places, now: float) -> bool:
        """Returns whether a tier may occupy one of the free slots."""
        higher_seen = any(
            now - seen < RESERVE_MEMORY
            for t, seen in self._last_arrival.items()
            if t < tier
        )
        if not higher_seen:
            return True
        return slot_counts.free > int(slot_counts.slots * self._fraction)
