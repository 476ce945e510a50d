"""What is held against a request under which endpoints ended.

All boxes of a fleet keep it and tell each other. It only grows until an answer
clears the request, which begins a new epoch: so news may come twice, late and
in any order, and all boxes still come to the same.
"""

import dataclasses

# Ends and builds that are remembered; those of the latest runs are kept.
MAX_ENDS = 8
MAX_BUILDS = 8


@dataclasses.dataclass(slots=True)
class Suspicion:
    """What is held against one request, at one service.

    Attributes:
        service: The service.
        epoch: Rises each time that an answer clears the request.
        ends: Endpoints that ended under runs of it in this epoch, by id, each
            with the run's generation: 1 if no end was known when the run
            began, else one more than the highest that was known. Runs side by
            side, which one outage may end together, are of one generation.
        builds: What ran at those endpoints: software and configuration.
        tries: Runs that began on purpose, one at a time, in this epoch.
        quarantined: Whether no box sends it to endpoints any more.
        releases: How often time has let it be tried again since.
        outlived: Whether a trial in this epoch was still running after
            `suspect_table.OUTLIVED_S`.
    """

    service: str
    epoch: int = 0
    ends: dict[str, int] = dataclasses.field(default_factory=dict)
    builds: frozenset[str] = frozenset()
    tries: int = 0
    quarantined: bool = False
    releases: int = 0
    outlived: bool = False

    @property
    def generation(self) -> int:
        """Ends one after the other, each under a run begun after the last."""
        return max(self.ends.values(), default=0)

    def note_end(self, endpoint_id: str, generation: int, build: str) -> bool:
        """Notes that an endpoint ended under a run; returns whether is news.

        Args:
            endpoint_id: The endpoint.
            generation: The run's.
            build: What ran there.
        """
        if self.ends.get(endpoint_id, 0) >= generation:
            return False
        self._add_ends({endpoint_id: generation})
        self._add_builds(frozenset({build}))
        return True

    def clear(self) -> None:
        """Begins a new epoch, in which nothing is held against it."""
        self.epoch += 1
        self.ends = {}
        self.builds = frozenset()
        self.tries = 0
        self.quarantined = False
        self.releases = 0
        self.outlived = False

    def merge(self, other: "Suspicion") -> bool:
        """Takes in what another box holds; returns whether it is news."""
        if other.epoch < self.epoch:
            return False
        before = self._facts()
        if other.epoch > self.epoch:
            self.clear()
            self.epoch = other.epoch
        self._add_ends(other.ends)
        self._add_builds(other.builds)
        self.tries = max(self.tries, other.tries)
        self.quarantined = self.quarantined or other.quarantined
        self.releases = max(self.releases, other.releases)
        self.outlived = self.outlived or other.outlived
        return self._facts() != before

    def _facts(self) -> tuple[object, ...]:
        return (
            self.epoch,
            dict(self.ends),
            self.builds,
            self.tries,
            self.quarantined,
            self.releases,
            self.outlived,
        )

    def _add_ends(self, ends: dict[str, int]) -> None:
        for endpoint_id, generation in ends.items():
            known = self.ends.get(endpoint_id, 0)
            self.ends[endpoint_id] = max(known, generation)
        # By name among equals, so that all boxes keep the same ones.
        latest = sorted(self.ends.items(), key=lambda e: (-e[1], e[0]))
        self.ends = dict(latest[:MAX_ENDS])

    def _add_builds(self, builds: frozenset[str]) -> None:
        self.builds = frozenset(sorted(self.builds | builds)[-MAX_BUILDS:])
