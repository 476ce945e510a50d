"""Slots reserved for higher tiers."""

from martenjunction.decisions.cells import places

# Seconds for which slots stay reserved after the last request of a higher tier.
RESERVE_MEMORY = 10.0


class Reserve:
    """Reserves a fraction of a cell's slots for higher tiers."""

    def __init__(self, part: float) -> None:
        """Initializes the reserve.

        Args:
            part: Fraction of the slots that is reserved, 0 to 1.
        """
        self._part = part
        self._seen: dict[int, float] = {}

    def saw(self, tier: int, now: float) -> None:
        """Records the arrival of a request of a tier."""
        self._seen[tier] = now

    def leaves_room(self, tier: int, room: places.Places, now: float) -> bool:
        """Returns whether a tier may occupy one of the free slots."""
        higher_seen = any(
            now - seen < RESERVE_MEMORY
            for t, seen in self._seen.items()
            if t < tier
        )
        if not higher_seen:
            return True
        return room.free > int(room.slots * self._part)
