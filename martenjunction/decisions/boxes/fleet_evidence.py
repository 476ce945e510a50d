"""Who was heard before a box concludes something from silence.

Load pattern: a box that is cut off from some of the others, or whose peers are,
is asked for something that holds only if no box knows better. That nobody
objected shows nothing if nobody was asked.
"""

from collections.abc import Iterable
import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class FreshList:
    """What the store held at some time after `asked_at`, and since then.

    Attributes:
        versions: Services and versions of all endpoints that are listed, or
            were since the revision that the box knew before.
        asked_at: Time on the steady clock before which all changes are in.
    """

    versions: frozenset[tuple[str, str]]
    asked_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Heard:
    """The boxes that said what they know.

    Attributes:
        boxes: How many they are; each box is counted once.
        has_gap: Whether a box that was asked did not answer in time.
    """

    boxes: int
    has_gap: bool = False

    def covers(self, live: int) -> bool:
        """Returns whether nobody is missing.

        Args:
            live: Number of live boxes, the one that concludes included.
        """
        return not self.has_gap and self.boxes >= live


OWN = Heard(1)

# Of a box that is counted elsewhere already.
COUNTED = Heard(0)


def without_sender(heard: Heard) -> Heard:
    """Returns what a box has heard without the box itself.

    A box that is not among the live ones, as it leaves, must not stand for one
    that is.
    """
    return Heard(max(0, heard.boxes - 1), heard.has_gap)


def combine(own: Heard, answered: Iterable[Heard], asked: int) -> Heard:
    """Returns who was heard by a box and those that it asked.

    Args:
        own: The box itself.
        answered: Who was heard by each box that answered.
        asked: Number of boxes that were asked.
    """
    answers = list(answered)
    return Heard(
        own.boxes + sum(heard.boxes for heard in answers),
        own.has_gap
        or len(answers) < asked
        or any(heard.has_gap for heard in answers),
    )
