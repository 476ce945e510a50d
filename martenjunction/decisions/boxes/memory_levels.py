"""Decides what a box gives up as its memory runs short.

Load pattern: what a box holds for others, or its own state, comes near the
limit at which the platform kills the process with all that it has under way.
What costs callers least is given up first. A level holds until the memory has
fallen well below its threshold, so that a box does not change to and fro.
"""

import dataclasses
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


@dataclasses.dataclass(frozen=True, slots=True)
class Measures:
    """When a level holds, and what is given up while it does.

    Attributes:
        threshold: Part of the limit from which it holds; above the part that
            the budget of bodies and answers fills.
        closes_resting: Whether connections that rest at endpoints are closed.
        refuses_bodies: Whether bodies that do not fit are refused.
        sheds_answers: Whether the largest answers are given up.
        accepts_clients: Whether new connections of clients are served.
    """

    threshold: float
    closes_resting: bool = True
    refuses_bodies: bool = True
    sheds_answers: bool = True
    accepts_clients: bool = True


MEASURES = {
    Level.NORMAL: Measures(
        0.0, closes_resting=False, refuses_bodies=False, sheds_answers=False
    ),
    Level.TRIM: Measures(0.78, refuses_bodies=False, sheds_answers=False),
    Level.REFUSE_BODIES: Measures(0.82, sheds_answers=False),
    Level.SHED_ANSWERS: Measures(0.86),
    Level.REFUSE_CLIENTS: Measures(0.92, accepts_clients=False),
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

    @property
    def measures(self) -> Measures:
        """What is given up at that level."""
        return MEASURES[self._level]

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
        level
        for level, measures in MEASURES.items()
        if used >= measures.threshold
    )
