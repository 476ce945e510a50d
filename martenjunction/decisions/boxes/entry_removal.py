"""After which silence a box may remove other boxes' entries from the store.

A box that is cut off hears nothing of live boxes, which looks to it as if they
were gone. Silence counts soon only for a box that hears at least as many other
boxes as it does not hear, and has done so for as long: of the parts of a fleet
that is cut, at most one does. Elsewhere, silence has to last far longer, as
half of a fleet or more may be gone for good.
"""

from collections.abc import Set
import math

# Seconds of silence after which an entry is removed by a box that hears most
# of the fleet, and by another one.
DEAD_AFTER_S = 12.0
DEAD_AFTER_ALONE_S = 60.0

# Seconds between two observations beyond which the box was held up.
MAX_GAP_S = 2.0


class EntryRemoval:
    """What a box has heard of the fleet, and for how long."""

    def __init__(self) -> None:
        """Initializes a box that has observed nothing."""
        self._heard: Set[str] = frozenset()
        self._unheard: Set[str] = frozenset()
        self._observed_at = math.inf
        self._majority_since: float | None = None
        self._returned_at = -math.inf

    def observe(
        self, heard: Set[str], unheard: Set[str], is_hearsay: bool, now: float
    ) -> None:
        """Records which other boxes are heard; to be called regularly.

        Args:
            heard: Those that are heard.
            unheard: Those that have an entry and are not heard.
            is_hearsay: Whether `heard` includes boxes that this one is not
                connected to. Then a lost part of the fleet becomes known bit
                by bit, so that `unheard` counts once it grows no more.
            now: The current time.
        """
        was_held_up = now - self._observed_at > MAX_GAP_S
        had_majority = self._majority_since is not None
        is_majority = len(heard) >= len(unheard)
        is_growing = is_hearsay and bool(unheard - self._unheard)
        if not is_majority:
            self._majority_since = None
        elif not had_majority or was_held_up or is_growing:
            self._majority_since = now
        is_settled = had_majority and is_majority
        if was_held_up or (heard - self._heard and not is_settled):
            self._returned_at = now
        self._heard, self._unheard = heard, unheard
        self._observed_at = now

    def silence_limit_s(self, now: float) -> float | None:
        """Returns the seconds of silence after which entries may be removed.

        Returns:
            None for a box that was held up or got connections back, while
            others may still become heard.
        """
        since = self._majority_since
        if since is not None and now - since >= DEAD_AFTER_S:
            return DEAD_AFTER_S
        if now - self._returned_at < DEAD_AFTER_S:
            return None
        return DEAD_AFTER_ALONE_S
