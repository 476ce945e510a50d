"""Finds the parts of prompts under which endpoints crash.

Load pattern: requests of which no two are alike share one part that crashes
each endpoint that begins to write on it. Sound requests share the other parts,
and run at the same endpoints when they crash.

Each crash is held against the parts of all runs that had just begun there, or
might have. A later run with a part that lives takes back what was held against
it before; once a part is quarantined, its crashes are no longer held against
others. The published relatives are group testing and fault localisation by
spectra.
"""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses

from martenjunction.decisions.boxes import content_key
from martenjunction.decisions.boxes import suspect_table
from martenjunction.decisions.boxes import suspicion

# Seconds from its first event after which a run has lived: an endpoint that
# crashes under a part does so soon after it begins to write.
LIVED_S = 0.4

# Back-off for trials of a quarantined part: initial delay in seconds, factor
# per trial, and maximum delay in seconds. A part that is quarantined in vain
# holds up many requests, a trial of one that is not costs an endpoint.
INITIAL_RELEASE_S = 20.0
RELEASE_FACTOR = 4.0
MAX_RELEASE_S = 3600.0

# Seconds until the first trial of a part that lived shortly before: where
# endpoints crash faster than runs live, it may have been beside by chance.
CHECK_RELEASE_S = 2.0

PartKey = content_key.ContentKey


@dataclasses.dataclass(slots=True)
class PartRun:
    """The parts of one run, as evidence.

    Attributes:
        service: The service.
        keys: Its shared parts in the order of the prompt.
        sent_at: When it was sent.
        generations: For each part that was suspected by then, the epoch of the
            evidence and the generation of this run.
        isolated: Whether it is a trial of a quarantined part.
        avoid_builds: Builds to which it must not be sent.
        build: Build of the endpoint that it was sent to.
        first_event_at: When its first event came, or None.
        has_lived: Whether it has outlived its begin.
    """

    service: str
    keys: tuple[PartKey, ...]
    sent_at: float
    generations: dict[PartKey, tuple[int, int]]
    isolated: bool = False
    avoid_builds: frozenset[str] = frozenset()
    build: str = ""
    first_event_at: float | None = None
    has_lived: bool = False

    @property
    def began_at(self) -> float:
        """When it began to write, as far as it is known."""
        return (
            self.sent_at if self.first_event_at is None else self.first_event_at
        )

    def may_have_crashed(self, broke_at: float) -> bool:
        """Returns whether it can be what crashed its endpoint.

        Args:
            broke_at: When it broke off.
        """
        first = self.first_event_at
        return first is None or broke_at - first < LIVED_S


class PartTable(suspect_table.SuspectTable):
    """The suspected parts known to one box."""

    def __init__(self) -> None:
        """Initializes an empty table."""
        super().__init__()
        self._crashed_at: dict[PartKey, dict[str, float]] = {}

    def begin(
        self, service: str, keys: tuple[PartKey, ...], now: float
    ) -> PartRun:
        """Returns the evidence of a run that is about to be sent."""
        generations = {}
        for key in keys if len(self) else ():
            suspect = self.find(key)
            if suspect is not None:
                held = suspect.evidence
                generations[key] = (held.epoch, held.generation + 1)
        return PartRun(service, keys, now, generations)

    def quarantined(
        self, keys: Iterable[PartKey]
    ) -> list[suspect_table.Suspect]:
        """Returns the parts among `keys` that are quarantined."""
        if not len(self):
            return []
        found = (self.find(key) for key in keys)
        return [s for s in found if s is not None and s.evidence.quarantined]

    def record_part_crash(
        self,
        run: PartRun,
        endpoint_id: str,
        build: str,
        broke_at: float,
        now: float,
    ) -> list[suspect_table.Suspect]:
        """Records that an endpoint crashed during a run.

        Args:
            run: The run.
            endpoint_id: The endpoint.
            build: The endpoint's build.
            broke_at: When the run broke off.
            now: The current time.

        Returns:
            The parts whose evidence changed.
        """
        self._crash_rate(run.service).record_crash(endpoint_id, now)
        if not run.may_have_crashed(broke_at):
            return []
        blamed = self._blamed(run, endpoint_id, now)
        changed = [
            suspect
            for key in blamed
            if (suspect := self._blame(run, key, endpoint_id, build, now))
        ]
        for suspect in changed:
            times = self._crashed_at.setdefault(suspect.key, {})
            times[endpoint_id] = broke_at
        self._quarantine_worst(changed, run, now)
        return changed

    def record_lived(
        self,
        run: PartRun,
        ready_builds: Callable[[], frozenset[str]],
        now: float,
    ) -> list[suspect_table.Suspect]:
        """Records that a run has outlived its begin.

        It speaks for its parts only on its build, or once endpoints of the
        builds that crashed are gone.

        Args:
            run: The run.
            ready_builds: Returns the builds of the service's ready endpoints.
            now: The current time.

        Returns:
            The parts whose evidence changed.
        """
        run.has_lived = True
        self._crash_rate(run.service).record_answer(now)
        changed = []
        for key in run.keys:
            self._remember_answer(key, now)
            suspect = self.find(key)
            if suspect is None or not suspect.evidence.generation:
                continue
            builds = suspect.evidence.builds
            if run.build not in builds and builds & ready_builds():
                continue
            times = self._crashed_at.get(key, {})
            later = {
                endpoint_id
                for endpoint_id in suspect.evidence.crashes
                if times.get(endpoint_id, now) >= run.began_at
            }
            if len(later) < len(suspect.evidence.crashes):
                self._keep_only(suspect, later, now)
                changed.append(suspect)
        return changed

    def merge_peer(
        self, key: PartKey, evidence: suspicion.Suspicion, now: float
    ) -> suspect_table.Suspect | None:
        """Merges the evidence of another box; see the base class."""
        changed = super().merge_peer(key, evidence, now)
        if changed is not None:
            known = self._crashed_at.get(key, {})
            self._crashed_at[key] = {
                endpoint_id: known.get(endpoint_id, now)
                for endpoint_id in changed.evidence.crashes
            }
            if self._is_certain(changed, now):
                self._explain_others(changed, now)
        return changed

    def release_delay_s(self, suspect: suspect_table.Suspect) -> float:
        """Returns the seconds until a quarantined part's next trial.

        A part that lived lately is tried once soon.
        """
        releases = suspect.evidence.releases
        if self._lived_lately(suspect):
            if not releases:
                return CHECK_RELEASE_S
            releases -= 1
        delay_s = INITIAL_RELEASE_S * RELEASE_FACTOR**releases
        return min(delay_s, MAX_RELEASE_S)

    def _lived_lately(self, suspect: suspect_table.Suspect) -> bool:
        """Returns whether a run lived shortly before the crashes."""
        return suspect.evidence.outlived or self._was_answered(
            suspect.key, suspect.changed_at
        )

    def _is_certain(self, suspect: suspect_table.Suspect, now: float) -> bool:
        """Returns whether a part is quarantined and explains its crashes.

        One that lived lately may have been beside the cause by chance until
        a trial of it has ended and did not clear it.
        """
        evidence = suspect.evidence
        if not evidence.quarantined:
            return False
        was_tried = evidence.releases > 0 and suspect.trial_until <= now
        return was_tried or not self._lived_lately(suspect)

    def _blamed(
        self, run: PartRun, endpoint_id: str, now: float
    ) -> tuple[PartKey, ...]:
        """Returns the parts of a run that may have crashed its endpoint."""
        guilty = tuple(
            suspect.key
            for suspect in self.quarantined(run.keys)
            if self._is_certain(suspect, now)
        )
        if guilty:
            return guilty
        explained = any(
            self._is_certain(suspect, now)
            and suspect.evidence.service == run.service
            and endpoint_id in suspect.evidence.crashes
            for suspect in self
        )
        return () if explained else run.keys

    def _blame(
        self,
        run: PartRun,
        key: PartKey,
        endpoint_id: str,
        build: str,
        now: float,
    ) -> suspect_table.Suspect | None:
        suspect = self.find(key)
        if suspect is None:
            suspect = self._add(key, suspicion.Suspicion(run.service), now)
        epoch, generation = run.generations.get(key, (0, 1))
        if suspect.evidence.epoch != epoch:
            # The evidence from the start of the run has been cleared.
            generation = 1
        before = suspect.evidence.generation
        if not suspect.evidence.record_crash(endpoint_id, generation, build):
            return None
        suspect.evidence.outlived |= self._was_answered(key, now)
        self._update_times(suspect, before, now)
        return suspect

    def _quarantine_worst(
        self,
        changed: list[suspect_table.Suspect],
        run: PartRun,
        now: float,
    ) -> None:
        """Quarantines the one part that the crashes speak against most.

        Parts that always come together cannot be told apart. The last of them
        is shared by the fewest requests.
        """
        guilty = [
            suspect
            for suspect in changed
            if not suspect.evidence.quarantined
            and suspect.evidence.generation >= self.crashes_needed(suspect, now)
        ]
        if guilty:
            worst = max(
                guilty,
                key=lambda s: (
                    len(s.evidence.crashes),
                    s.evidence.generation,
                    run.keys.index(s.key),
                ),
            )
            worst.evidence.quarantined = True
        for suspect in changed:
            if self._is_certain(suspect, now):
                self._explain_others(suspect, now)

    def _explain_others(
        self, guilty: suspect_table.Suspect, now: float
    ) -> None:
        """Takes a quarantined part's crashes back from all other parts."""
        explained = guilty.evidence.crashes
        for other in self:
            held = other.evidence
            if other is guilty or held.service != guilty.evidence.service:
                continue
            if held.quarantined and len(held.crashes) >= len(explained):
                continue
            rest = set(held.crashes) - set(explained)
            if len(rest) < len(held.crashes):
                self._keep_only(other, rest, now)

    def _keep_only(
        self, suspect: suspect_table.Suspect, kept: set[str], now: float
    ) -> None:
        """Begins an epoch with some of the crashes, as independent ones."""
        evidence = suspect.evidence
        builds = evidence.builds
        evidence.clear()
        for endpoint_id in kept:
            for build in builds:
                evidence.record_crash(endpoint_id, 1, build)
        times = self._crashed_at.get(suspect.key, {})
        self._crashed_at[suspect.key] = {
            endpoint_id: times.get(endpoint_id, now) for endpoint_id in kept
        }
        suspect.changed_at = now
        suspect.trial_until = 0.0

    def _remove(self, suspect: suspect_table.Suspect) -> None:
        super()._remove(suspect)
        self._crashed_at.pop(suspect.key, None)
