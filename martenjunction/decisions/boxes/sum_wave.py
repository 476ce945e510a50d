"""When a box passes sums on in a tree of boxes.

Answers the load pattern of many boxes that each need the sum of all loads, not
older than a fraction of a second: sums go up the tree once each child has told
its own, and the total comes down at once, so that its age is the period of the
wave and some milliseconds a level. A child that is late is waited for shortly,
and its last sum counts for a while.
"""

import dataclasses

from martenjunction.decisions.boxes import load_sums

# Seconds from a total until the next sums are told.
PERIOD_S = 0.3

# Seconds that a box waits for late children, for each level of boxes below it.
LATE_S = 0.06

# Seconds for which the last sum of a child counts.
SUM_LIFETIME_S = 1.5

# Seconds after which sums are told again if no total came meanwhile.
RESEND_S = 0.6

# Seconds without a total from the parent after which a box passes the sum of
# its own part of the tree down to its children.
PARENT_LOST_S = 1.2


@dataclasses.dataclass(slots=True)
class _Child:
    """The last sum of a child.

    Attributes:
        sums: The sum over the child and all boxes below it.
        height: Levels of boxes below the child.
        received_at: When it was received.
        is_new: Whether it came since the last total.
    """

    sums: load_sums.LoadSums
    height: int
    received_at: float
    is_new: bool = True


class SumWave:
    """The waves of sums through one box."""

    def __init__(self, now: float) -> None:
        """Initializes a box without parent and children.

        Args:
            now: The current time.
        """
        self._children: dict[str, _Child] = {}
        self._began_at = now
        self._total_at = now
        self._sent = False

    @property
    def children(self) -> list[str]:
        """The boxes whose sums count."""
        return list(self._children)

    @property
    def height(self) -> int:
        """Levels of boxes below this one."""
        return max((c.height + 1 for c in self._children.values()), default=0)

    def record_sum(
        self, box: str, sums: load_sums.LoadSums, height: int, now: float
    ) -> None:
        """Records the sum of a child."""
        self._children[box] = _Child(sums, height, now)

    def remove(self, box: str) -> None:
        """Removes a child, whose connection ended or which left."""
        self._children.pop(box, None)

    def record_total(self, now: float) -> None:
        """Records that a total was received from the parent."""
        self._total_at = now
        self._begin(now)

    def is_due(self, now: float) -> bool:
        """Returns whether the sum of this part of the tree is to be told.

        The root passes it down as the total; other boxes tell their parents.
        """
        waited_s = now - self._began_at
        if self._sent:
            return waited_s >= RESEND_S
        if waited_s < PERIOD_S:
            return False
        if all(child.is_new for child in self._children.values()):
            return True
        return waited_s >= PERIOD_S + LATE_S * self.height

    def has_lost_parent(self, now: float) -> bool:
        """Returns whether no total has come from the parent for too long."""
        return now - self._total_at > PARENT_LOST_S

    def take(self, own: load_sums.LoadSums, now: float) -> load_sums.LoadSums:
        """Returns the sum over this box and all below it, to be told now."""
        for box, child in list(self._children.items()):
            if now - child.received_at > SUM_LIFETIME_S:
                del self._children[box]
        result = load_sums.total(
            [own, *(child.sums for child in self._children.values())]
        )
        self._begin(now)
        self._sent = True
        return result

    def complete(self, now: float) -> None:
        """Records that this box passed a total down as the root."""
        self._total_at = now
        self._begin(now)

    def _begin(self, now: float) -> None:
        self._began_at = now
        self._sent = False
        for child in self._children.values():
            child.is_new = False
