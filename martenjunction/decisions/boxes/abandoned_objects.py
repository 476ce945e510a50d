"""Objects in the store that belong to boxes that have ended.

Load pattern: boxes are replaced for months, each under a new name, and each may
leave an object behind.
"""

from collections.abc import Mapping
from collections.abc import Set

from martenjunction import revisions

# Seconds beyond the last lifetime before an object is removed.
MARGIN_S = 60.0


class AbandonedObjects:
    """Decides which objects of ended boxes are removed."""

    def __init__(self) -> None:
        self._seen: dict[str, tuple[revisions.Revision, float]] = {}

    def look(
        self,
        objects: Mapping[str, tuple[revisions.Revision, float]],
        live: Set[str],
        now: float,
    ) -> dict[str, revisions.Revision]:
        """Returns the objects to remove, with their expected revisions.

        Args:
            objects: Revisions of the listed objects, and the seconds for which
                the longest of their records lasts.
            live: The boxes that are alive.
            now: The current time.
        """
        seen: dict[str, tuple[revisions.Revision, float]] = {}
        for name, (revision, left_s) in objects.items():
            known = self._seen.get(name)
            if known is not None and known[0] == revision:
                seen[name] = known
            else:
                seen[name] = (revision, now + left_s + MARGIN_S)
        self._seen = seen
        return {
            name: revision
            for name, (revision, removed_at) in seen.items()
            if name not in live and removed_at <= now
        }
