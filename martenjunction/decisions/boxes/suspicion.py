"""Evidence against a request whose runs coincided with endpoint crashes.

All boxes of a fleet replicate the evidence. It only grows until an answer
clears the request, which starts a new epoch. Merging is therefore idempotent
and independent of the order of messages, and all boxes converge.
"""

import dataclasses

# Maximum number of remembered crashes and builds; those of the latest runs are
# kept.
MAX_CRASHES = 8
MAX_BUILDS = 8


@dataclasses.dataclass(slots=True)
class Suspicion:
    """Evidence against one request at one service.

    Attributes:
        service: The service.
        epoch: Incremented each time an answer clears the request.
        crashes: Generations of the runs in this epoch whose endpoints crashed,
            by endpoint id. A run's generation is 1 if no crash was known when
            it began, otherwise one more than the highest known generation.
            Concurrent runs, which a single outage may end, have the same
            generation.
        builds: Builds of the crashed endpoints: software and configuration.
        trials: Number of trials, which run one at a time, in this epoch.
        quarantined: Whether boxes have stopped sending the request.
        releases: Number of trials allowed by expired back-off since then.
        outlived: Whether a trial in this epoch was still running after
            `suspect_table.OUTLIVED_S`. Of a part of prompts, whether a run with
            it lived in the minute before it was suspected.
    """

    service: str
    epoch: int = 0
    crashes: dict[str, int] = dataclasses.field(default_factory=dict)
    builds: frozenset[str] = frozenset()
    trials: int = 0
    quarantined: bool = False
    releases: int = 0
    outlived: bool = False

    @property
    def generation(self) -> int:
        """Number of consecutive crashes, each in a run begun after the last."""
        return max(self.crashes.values(), default=0)

    def record_crash(
        self, endpoint_id: str, generation: int, build: str
    ) -> bool:
        """Records that an endpoint crashed during a run.

        Args:
            endpoint_id: The endpoint.
            generation: The run's generation.
            build: The endpoint's build.

        Returns:
            Whether the evidence changed.
        """
        if self.crashes.get(endpoint_id, 0) >= generation:
            return False
        self._add_crashes({endpoint_id: generation})
        self._add_builds(frozenset({build}))
        return True

    def clear(self) -> None:
        """Starts a new epoch without any evidence."""
        self.epoch += 1
        self.crashes = {}
        self.builds = frozenset()
        self.trials = 0
        self.quarantined = False
        self.releases = 0
        self.outlived = False

    def merge(self, other: "Suspicion") -> bool:
        """Merges the evidence of another box; returns whether it changed."""
        if other.epoch < self.epoch:
            return False
        before = self._state()
        if other.epoch > self.epoch:
            self.clear()
            self.epoch = other.epoch
        self._add_crashes(other.crashes)
        self._add_builds(other.builds)
        self.trials = max(self.trials, other.trials)
        self.quarantined = self.quarantined or other.quarantined
        self.releases = max(self.releases, other.releases)
        self.outlived = self.outlived or other.outlived
        return self._state() != before

    def _state(self) -> tuple[object, ...]:
        return (
            self.epoch,
            dict(self.crashes),
            self.builds,
            self.trials,
            self.quarantined,
            self.releases,
            self.outlived,
        )

    def _add_crashes(self, crashes: dict[str, int]) -> None:
        for endpoint_id, generation in crashes.items():
            known = self.crashes.get(endpoint_id, 0)
            self.crashes[endpoint_id] = max(known, generation)
        # Ties are broken by id, so that all boxes keep the same crashes.
        latest = sorted(
            self.crashes.items(), key=lambda item: (-item[1], item[0])
        )
        self.crashes = dict(latest[:MAX_CRASHES])

    def _add_builds(self, builds: frozenset[str]) -> None:
        self.builds = frozenset(sorted(self.builds | builds)[-MAX_BUILDS:])
