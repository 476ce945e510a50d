"""Decides what a box gives up as its memory runs short.

Load pattern: what a box holds for others, or its own state, comes near the
limit at which the platform kills the process with all that it has under way.
What costs callers least is given up first. A level holds until the memory has
fallen well below its threshold, so that a box does not change to and fro.
"""

import enum


class Level(enum.IntEnum):
    """How short memory is; each level includes those before it.

    Attributes:
        NORMAL: Nothing is given up.
        TRIM: Connections that rest at endpoints are closed.
        REFUSE_BODIES: Requests whose bodies do not fit are refused, not
            delayed.
        SHED_ANSWERS: The largest answers are given up.
        REFUSE_CLIENTS: New connections of clients are closed.
    """

    NORMAL = 0
    TRIM = 1
    REFUSE_BODIES = 2
    SHED_ANSWERS = 3
    REFUSE_CLIENTS = 4


# Part of the limit from which a level holds; above the part that the budget of
# bodies and answers fills.
THRESHOLDS = {
    Level.TRIM: 0.78,
    Level.REFUSE_BODIES: 0.82,
    Level.SHED_ANSWERS: 0.86,
    Level.REFUSE_CLIENTS: 0.92,
}

# Part of the limit by which memory has to fall below the threshold of a level
# before the level ends.
FALL = 0.05


class MemoryLevels:
    """The level of a box's memory."""

    def __init__(self, limit_bytes: int) -> None:
        """Initializes it at the normal level.

        Args:
            limit_bytes: The limit of the process's memory, in bytes.
        """
        self._limit = limit_bytes
        self._level = Level.NORMAL

    @property
    def level(self) -> Level:
        """The level that holds."""
        return self._level

    def note(self, used_bytes: int) -> bool:
        """Takes in how much memory is used; returns whether the level changed.

        Args:
            used_bytes: Memory that the process uses, or is about to use.
        """
        used = used_bytes / self._limit
        before = self._level
        reached = _highest(used)
        kept = _highest(used + FALL)
        self._level = max(reached, min(before, kept))
        return self._level is not before


def _highest(used: float) -> Level:
    return max(
        (level for level, least in THRESHOLDS.items() if used >= least),
        default=Level.NORMAL,
    )
