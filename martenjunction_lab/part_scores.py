"""Another way to find the part that crashes endpoints: a score.

Each part gets the Ochiai score of fault localisation: crashed runs with it over
the geometric mean of all crashed runs and all runs with it.
"""

import collections
from collections.abc import Callable
import math

from martenjunction.decisions.boxes import part_table
from martenjunction.decisions.boxes import suspect_table

# Crashes from which on a part is scored, and the score that quarantines it.
MIN_CRASHES = 3
MIN_SCORE = 0.6

# Seconds of runs that count.
WINDOW_S = 10.0


class ScoredPartTable(part_table.PartTable):
    """Quarantines by score; runs that live take nothing back."""

    def __init__(self) -> None:
        """Initializes an empty table."""
        super().__init__()
        self._lived: dict[part_table.PartKey, collections.deque[float]] = (
            collections.defaultdict(collections.deque)
        )
        self._crashes: collections.deque[tuple[float, str]] = (
            collections.deque()
        )

    def record_lived(
        self,
        run: part_table.PartRun,
        ready_builds: Callable[[], frozenset[str]],
        now: float,
    ) -> list[suspect_table.Suspect]:
        """Counts a run that lived; only trials clear a quarantined part."""
        if run.isolated:
            return super().record_lived(run, ready_builds, now)
        run.has_lived = True
        for key in run.keys:
            self._lived[key].append(now)
        return []

    def record_part_crash(
        self,
        run: part_table.PartRun,
        endpoint_id: str,
        build: str,
        broke_at: float,
        now: float,
    ) -> list[suspect_table.Suspect]:
        """Records that an endpoint crashed during a run."""
        self._crashes.append((now, endpoint_id))
        return super().record_part_crash(run, endpoint_id, build, broke_at, now)

    def _quarantine_worst(
        self,
        changed: list[suspect_table.Suspect],
        run: part_table.PartRun,
        now: float,
    ) -> None:
        while self._crashes and self._crashes[0][0] < now - WINDOW_S:
            self._crashes.popleft()
        scored = [
            (self._score(suspect, now), run.keys.index(suspect.key), suspect)
            for suspect in changed
            if len(suspect.evidence.crashes) >= MIN_CRASHES
        ]
        guilty = [row for row in scored if row[0] >= MIN_SCORE]
        if guilty:
            max(guilty, key=lambda row: row[:2])[2].evidence.quarantined = True
        for suspect in changed:
            if suspect.evidence.quarantined:
                self._explain_others(suspect, now)

    def _score(self, suspect: suspect_table.Suspect, now: float) -> float:
        lived = self._lived[suspect.key]
        while lived and lived[0] < now - WINDOW_S:
            lived.popleft()
        with_part = len(suspect.evidence.crashes)
        known = {endpoint_id for _, endpoint_id in self._crashes}
        known |= set(suspect.evidence.crashes)
        return with_part / math.sqrt(len(known) * (with_part + len(lived)))
