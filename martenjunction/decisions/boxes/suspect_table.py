"""Quarantine of requests that are suspected of crashing endpoints."""

import collections
from collections.abc import Iterator
import dataclasses
import enum
from typing import Any

from martenjunction.decisions.boxes import content_key
from martenjunction.decisions.boxes import crash_rates
from martenjunction.decisions.boxes import suspicion

# Maximum number of suspects, and maximum per caller. Beyond the latter, the
# caller's least suspected request is evicted.
MAX_SUSPECTS = 1024
MAX_SUSPECTS_PER_CALLER = 256

# Maximum number of answered requests that are remembered, and the seconds for
# which an answer counts in a request's favor.
MAX_ANSWERED = 1024
ANSWERED_S = 60.0

# Minimum number of consecutive crashes before a request that was answered
# recently is quarantined.
MIN_CRASHES_IF_ANSWERED = 4

# Number of concurrent crashes that count as one consecutive crash where more
# than the minimum are needed: copies of a request that arrive together crash
# many endpoints before any crash is known.
CONCURRENT_PER_CONSECUTIVE = 2

# Seconds for which other runs of a suspect wait during a trial.
TRIAL_S = 1.0

# Seconds after which a trial that is still running has lasted longer than the
# runs whose endpoints crashed. Less than `TRIAL_S`, so that the other boxes are
# notified before their waits expire.
OUTLIVED_S = 0.8

# Back-off for trials of a quarantined request: initial delay in seconds, factor
# per trial, and maximum delay in seconds.
INITIAL_RELEASE_S = 120.0
RELEASE_FACTOR = 4.0
MAX_RELEASE_S = 3600.0

# Seconds without a change after which a suspect is removed.
SUSPECT_LIFETIME_S = 300.0


class Verdict(enum.Enum):
    """Treatment of a request.

    Attributes:
        FREE: It is sent like any other request.
        ALONE: It is sent as the only run of its content, isolated from others.
        WAIT: It waits, because another run of it is on trial.
        QUARANTINED: It is not sent.
    """

    FREE = "free"
    ALONE = "alone"
    WAIT = "wait"
    QUARANTINED = "quarantined"


@dataclasses.dataclass(frozen=True, slots=True)
class SuspectDecision:
    """A verdict with its parameters.

    Attributes:
        verdict: The verdict.
        generation: Generation of the run, if it is sent.
        epoch: Epoch in which the run is sent.
        recheck_after_s: Seconds after which the verdict may change.
        avoid_builds: Builds to which the request must not be sent.
        trial: Number of the trial to which the run belongs; 0 if none.
    """

    verdict: Verdict
    generation: int = 1
    epoch: int = 0
    recheck_after_s: float = 0.0
    avoid_builds: frozenset[str] = frozenset()
    trial: int = 0


@dataclasses.dataclass(slots=True)
class Suspect:
    """A suspected request, as known to one box.

    Attributes:
        key: The request's key.
        evidence: The evidence against it.
        changed_at: Time of the latest change of the evidence.
        trial_until: Time until which a trial may be running.
    """

    key: content_key.ContentKey
    evidence: suspicion.Suspicion
    changed_at: float
    trial_until: float = 0.0


class SuspectTable:
    """The suspected requests known to one box."""

    def __init__(self) -> None:
        """Initializes an empty table."""
        self._suspects: dict[content_key.ContentKey, Suspect] = {}
        self._counts_by_caller: collections.Counter[bytes] = (
            collections.Counter()
        )
        self._answered: collections.OrderedDict[
            content_key.ContentKey, float
        ] = collections.OrderedDict()
        self._crash_rates: dict[str, crash_rates.CrashRate] = {}

    def __len__(self) -> int:
        return len(self._suspects)

    def __iter__(self) -> Iterator[Suspect]:
        return iter(self._suspects.values())

    def find(self, key: content_key.ContentKey) -> Suspect | None:
        """Returns a suspect, or None if the request is not suspected."""
        return self._suspects.get(key)

    def decide(
        self,
        key: content_key.ContentKey,
        builds: frozenset[str],
        now: float,
    ) -> SuspectDecision:
        """Returns the decision for a request without changing any state.

        Args:
            key: The request's key.
            builds: Builds of the endpoints that might receive the request.
            now: The current time.
        """
        suspect = self._suspects.get(key)
        if suspect is None:
            return SuspectDecision(Verdict.FREE)
        evidence = suspect.evidence
        generation = evidence.generation + 1
        free = SuspectDecision(Verdict.FREE, generation, evidence.epoch)
        if generation == 1:
            return free
        if evidence.quarantined:
            return self._decide_quarantined(suspect, builds, now)
        if suspect.trial_until > now:
            return SuspectDecision(
                Verdict.WAIT, recheck_after_s=suspect.trial_until - now
            )
        # A single outage ends many runs of a popular request at once, and a
        # trial that is still running after `OUTLIVED_S` has lasted longer than
        # the first runs.
        if generation == 2 and (
            evidence.outlived or self._was_answered(key, now)
        ):
            return free
        return SuspectDecision(Verdict.ALONE, generation, evidence.epoch)

    def _decide_quarantined(
        self, suspect: Suspect, builds: frozenset[str], now: float
    ) -> SuspectDecision:
        evidence = suspect.evidence
        generation = evidence.generation + 1
        delay_s = suspect.changed_at + self.release_delay_s(suspect) - now
        if suspect.trial_until > now:
            return SuspectDecision(
                Verdict.QUARANTINED, recheck_after_s=suspect.trial_until - now
            )
        if builds - evidence.builds:
            # A new build may have fixed the fault.
            return SuspectDecision(
                Verdict.ALONE,
                generation,
                evidence.epoch,
                avoid_builds=evidence.builds,
            )
        if delay_s <= 0:
            return SuspectDecision(Verdict.ALONE, generation, evidence.epoch)
        return SuspectDecision(Verdict.QUARANTINED, recheck_after_s=delay_s)

    def decide_after_wait(
        self, key: content_key.ContentKey, now: float
    ) -> SuspectDecision | None:
        """Returns the decision for a request after its wait has expired.

        Requests wait while a trial of the same content is running.

        Args:
            key: The request's key.
            now: The current time.

        Returns:
            A decision to send the request if it is not suspected or if this box
            saw its content answered within `ANSWERED_S`; otherwise None.
        """
        suspect = self._suspects.get(key)
        if suspect is None:
            return SuspectDecision(Verdict.FREE)
        if suspect.evidence.quarantined or not self._was_answered(key, now):
            return None
        evidence = suspect.evidence
        return SuspectDecision(
            Verdict.ALONE, evidence.generation + 1, evidence.epoch
        )

    def begin_trial(
        self, key: content_key.ContentKey, now: float
    ) -> Suspect | None:
        """Records the start of a trial run of a suspect."""
        suspect = self._suspects.get(key)
        if suspect is None:
            return None
        suspect.evidence.trials += 1
        suspect.trial_until = now + TRIAL_S
        if suspect.evidence.quarantined:
            suspect.evidence.releases += 1
            suspect.changed_at = now
        return suspect

    def end_trial(self, key: content_key.ContentKey, trial: int) -> None:
        """Ends an inconclusive trial, so that other runs stop waiting.

        Args:
            key: The request's key.
            trial: The trial's number; a later trial is not affected.
        """
        suspect = self._suspects.get(key)
        if suspect is not None and suspect.evidence.trials == trial:
            suspect.trial_until = 0.0

    def record_outlived(
        self, key: content_key.ContentKey, epoch: int
    ) -> Suspect | None:
        """Records that a trial is still running after `OUTLIVED_S`.

        Args:
            key: The request's key.
            epoch: The epoch in which the trial began.

        Returns:
            The suspect if it changed, otherwise None.
        """
        suspect = self._suspects.get(key)
        if suspect is None or suspect.evidence.epoch != epoch:
            return None
        if suspect.evidence.outlived or suspect.evidence.generation != 1:
            return None
        suspect.evidence.outlived = True
        suspect.trial_until = 0.0
        return suspect

    def record_crash(
        self,
        key: content_key.ContentKey,
        service: str,
        endpoint_id: str,
        decision: SuspectDecision,
        build: str,
        now: float,
    ) -> Suspect | None:
        """Records that an endpoint crashed during a run.

        Args:
            key: The request's key.
            service: The service.
            endpoint_id: The endpoint.
            decision: The decision under which the run was sent.
            build: The endpoint's build.
            now: The current time.

        Returns:
            The suspect if it changed, otherwise None.
        """
        self._crash_rate(service).record_crash(endpoint_id, now)
        suspect = self._suspects.get(key)
        generation = decision.generation
        if suspect is None:
            suspect = self._add(key, suspicion.Suspicion(service), now)
            generation = 1
        elif suspect.evidence.epoch != decision.epoch:
            # The evidence from the start of the run has been cleared.
            generation = 1
        before = suspect.evidence.generation
        if not suspect.evidence.record_crash(endpoint_id, generation, build):
            return None
        self._update_times(suspect, before, now)
        # Only the box that sent the run decides. If every box did, the one with
        # the fewest observed crashes of other runs would decide for all.
        if suspect.evidence.generation >= self.crashes_needed(suspect, now):
            suspect.evidence.quarantined = True
        return suspect

    def record_answer(
        self, key: content_key.ContentKey, service: str, now: float
    ) -> Suspect | None:
        """Records that an endpoint answered a run, which clears the request.

        Args:
            key: The request's key.
            service: The service.
            now: The current time.

        Returns:
            The suspect if it was cleared, otherwise None.
        """
        self._crash_rate(service).record_answer(now)
        self._remember_answer(key, now)
        return self.clear(key, now)

    def clear(self, key: content_key.ContentKey, now: float) -> Suspect | None:
        """Clears the evidence against a request.

        Args:
            key: The request's key.
            now: The current time.

        Returns:
            The suspect if there was any evidence, otherwise None.
        """
        suspect = self._suspects.get(key)
        if suspect is None or not suspect.evidence.generation:
            return None
        suspect.evidence.clear()
        suspect.changed_at = now
        suspect.trial_until = 0.0
        return suspect

    def merge_peer(
        self,
        key: content_key.ContentKey,
        evidence: suspicion.Suspicion,
        now: float,
    ) -> Suspect | None:
        """Merges the evidence of another box.

        Args:
            key: The request's key.
            evidence: The evidence of the other box.
            now: The current time.

        Returns:
            The suspect if it changed, otherwise None.
        """
        suspect = self._suspects.get(key)
        if suspect is None:
            if not evidence.generation:
                return None
            suspect = self._add(key, suspicion.Suspicion(evidence.service), now)
        before = suspect.evidence.generation
        previous_trial = (suspect.evidence.epoch, suspect.evidence.trials)
        was_outlived = suspect.evidence.outlived
        if not suspect.evidence.merge(evidence):
            return None
        self._update_times(suspect, before, now)
        if (
            suspect.evidence.epoch,
            suspect.evidence.trials,
        ) > previous_trial and evidence.trials:
            suspect.trial_until = now + TRIAL_S
        if suspect.evidence.outlived and not was_outlived:
            suspect.trial_until = 0.0
        return suspect

    def expire(self, now: float) -> None:
        """Removes expired suspects."""
        for suspect in list(self._suspects.values()):
            evidence = suspect.evidence
            kept_s = (
                MAX_RELEASE_S if evidence.quarantined else SUSPECT_LIFETIME_S
            )
            if now - suspect.changed_at > kept_s:
                self._remove(suspect)

    def crashes_needed(self, suspect: Suspect, now: float) -> int:
        """Returns how many consecutive crashes put a request in quarantine."""
        evidence = suspect.evidence
        needed = self._crash_rate(evidence.service).crashes_needed(
            evidence.crashes, now
        )
        minimum = crash_rates.MIN_CRASHES
        if self._was_answered(suspect.key, now):
            minimum = MIN_CRASHES_IF_ANSWERED
        concurrent = len(evidence.crashes) - evidence.generation
        return max(
            minimum, needed - max(0, concurrent) // CONCURRENT_PER_CONSECUTIVE
        )

    def release_delay_s(self, suspect: Suspect) -> float:
        """Returns the seconds until a quarantined request's next trial."""
        releases = suspect.evidence.releases
        delay_s = INITIAL_RELEASE_S * RELEASE_FACTOR**releases
        return min(delay_s, MAX_RELEASE_S)

    def _update_times(self, suspect: Suspect, before: int, now: float) -> None:
        """Updates a suspect's times after a change of its evidence.

        Args:
            suspect: The suspect.
            before: Its generation before the change.
            now: The current time.
        """
        evidence = suspect.evidence
        suspect.changed_at = now
        if evidence.generation != before:
            suspect.trial_until = 0.0

    def _remember_answer(self, key: content_key.ContentKey, now: float) -> None:
        self._answered[key] = now
        self._answered.move_to_end(key)
        if len(self._answered) > MAX_ANSWERED:
            self._answered.popitem(last=False)

    def _was_answered(self, key: content_key.ContentKey, now: float) -> bool:
        answered_at = self._answered.get(key)
        return answered_at is not None and now - answered_at <= ANSWERED_S

    def _crash_rate(self, service: str) -> crash_rates.CrashRate:
        crash_rate = self._crash_rates.get(service)
        if crash_rate is None:
            crash_rate = self._crash_rates[service] = crash_rates.CrashRate()
        return crash_rate

    def _add(
        self,
        key: content_key.ContentKey,
        evidence: suspicion.Suspicion,
        now: float,
    ) -> Suspect:
        if self._counts_by_caller[key.caller] >= MAX_SUSPECTS_PER_CALLER:
            self._evict_least(key.caller)
        elif len(self._suspects) >= MAX_SUSPECTS:
            [(caller, _)] = self._counts_by_caller.most_common(1)
            self._evict_least(caller)
        suspect = Suspect(key, evidence, now)
        self._suspects[key] = suspect
        self._counts_by_caller[key.caller] += 1
        return suspect

    def _evict_least(self, caller: bytes) -> None:
        own = [s for s in self._suspects.values() if s.key.caller == caller]
        self._remove(min(own, key=weight))

    def _remove(self, suspect: Suspect) -> None:
        del self._suspects[suspect.key]
        caller = suspect.key.caller
        self._counts_by_caller[caller] -= 1
        if not self._counts_by_caller[caller]:
            del self._counts_by_caller[caller]


def weight(suspect: Suspect) -> tuple[bool, int, float]:
    """Returns a sort key that orders the least suspected request first."""
    evidence = suspect.evidence
    return evidence.quarantined, evidence.generation, suspect.changed_at


def describe(suspect: Suspect, needed: int) -> dict[str, Any]:
    """Returns a suspect's evidence, for the log and the dump.

    Args:
        suspect: The suspect.
        needed: Number of consecutive crashes that put it in quarantine.
    """
    held = suspect.evidence
    return {
        "content": str(suspect.key),
        "service": held.service,
        "ends": dict(held.crashes),
        "in_a_row": held.generation,
        "needed": needed,
        "quarantined": held.quarantined,
        "tries": held.trials,
        "epoch": held.epoch,
    }
