"""Places that are kept free for higher tiers."""

from martenjunction.decisions.cells import places

# Seconds for which places stay reserved after a higher tier was last seen.
RESERVE_MEMORY = 10.0


class Reserve:
    """Keeps a part of a cell's places from lower tiers."""

    def __init__(self, part: float) -> None:
        """Makes a reserve.

        Args:
            part: The part of the places that is kept, 0 to 1.
        """
        self._part = part
        self._seen: dict[int, float] = {}

    def saw(self, tier: int, now: float) -> None:
        """Notes that a request of a tier came."""
        self._seen[tier] = now

    def leaves_room(self, tier: int, room: places.Places, now: float) -> bool:
        """Whether a tier may take one of the places that are free now."""
        higher_seen = any(
            now - seen < RESERVE_MEMORY
            for t, seen in self._seen.items()
            if t < tier
        )
        if not higher_seen:
            return True
        return room.free > int(room.slots * self._part)
