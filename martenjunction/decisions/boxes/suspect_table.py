"""Which requests are suspected to end endpoints, and what is done with them."""

import collections
from collections.abc import Iterator
import dataclasses
import enum

from martenjunction.decisions.boxes import endpoint_hazard
from martenjunction.decisions.boxes import suspicion
from martenjunction.routing import request_content

# Requests that are suspected, and how many of them one caller may have: beyond
# that a caller's own least suspected one is forgotten.
MAX_SUSPECTS = 1024
MAX_OF_CALLER = 256

# Requests that are remembered as answered, and for how many seconds that
# speaks for them.
MAX_ANSWERED = 1024
ANSWERED_S = 60.0

# Ends needed at least where a request was answered before.
LEAST_ENDS_IF_ANSWERED = 4

# Ends side by side that stand for one in a row where more than the least are
# needed: copies that come together end many endpoints before any is known.
BESIDE_FOR_ONE = 2

# Seconds for which others wait while one run of a suspect is tried.
TRIAL_S = 1.0

# Seconds after which a trial that is still running has outlived the runs under
# which endpoints ended. Less than `TRIAL_S`, so that the other boxes are told
# before their waits end.
OUTLIVED_S = 0.8

# Seconds after which a quarantined request is tried once more, how much longer
# that is each time, and at most.
FIRST_RELEASE_S = 120.0
RELEASE_FACTOR = 4.0
LONGEST_RELEASE_S = 3600.0

# Seconds without news after which a request is no longer suspected.
FORGET_S = 300.0


class Verdict(enum.Enum):
    """What is done with a request.

    Attributes:
        FREE: It is sent like any other one.
        ALONE: It is sent as the only run of its content, apart from others.
        WAIT: Another run of it is being tried.
        QUARANTINED: It is not sent.
    """

    FREE = "free"
    ALONE = "alone"
    WAIT = "wait"
    QUARANTINED = "quarantined"


@dataclasses.dataclass(frozen=True, slots=True)
class Ruling:
    """A verdict and what follows from it.

    Attributes:
        verdict: The verdict.
        generation: Of the run, if it is sent.
        epoch: In which it is sent.
        again_s: Seconds after which the verdict may be another one.
        avoid_builds: Builds to which it must not be sent.
        trial: Number of the trial under which the run is sent; 0 if none.
    """

    verdict: Verdict
    generation: int = 1
    epoch: int = 0
    again_s: float = 0.0
    avoid_builds: frozenset[str] = frozenset()
    trial: int = 0


@dataclasses.dataclass(slots=True)
class Suspect:
    """A suspected request, as one box knows it.

    Attributes:
        key: The request.
        held: What is held against it.
        changed_at: When that changed last.
        trial_until: Until when a run of it may be under way on its own.
    """

    key: request_content.ContentKey
    held: suspicion.Suspicion
    changed_at: float
    trial_until: float = 0.0


class SuspectTable:
    """The suspected requests that one box knows."""

    def __init__(self) -> None:
        """Makes an empty table."""
        self._suspects: dict[request_content.ContentKey, Suspect] = {}
        self._of_caller: collections.Counter[bytes] = collections.Counter()
        self._answered: collections.OrderedDict[
            request_content.ContentKey, float
        ] = collections.OrderedDict()
        self._hazards: dict[str, endpoint_hazard.EndpointHazard] = {}

    def __len__(self) -> int:
        return len(self._suspects)

    def __iter__(self) -> Iterator[Suspect]:
        return iter(self._suspects.values())

    def find(self, key: request_content.ContentKey) -> Suspect | None:
        """Returns what is known of a request, or None."""
        return self._suspects.get(key)

    def judge(
        self,
        key: request_content.ContentKey,
        builds: frozenset[str],
        now: float,
    ) -> Ruling:
        """Says what is to be done with a request; changes nothing.

        Args:
            key: The request.
            builds: What runs at the endpoints that might get it.
            now: The current time.
        """
        suspect = self._suspects.get(key)
        if suspect is None:
            return Ruling(Verdict.FREE)
        held = suspect.held
        generation = held.generation + 1
        free = Ruling(Verdict.FREE, generation, held.epoch)
        if generation == 1:
            return free
        if held.quarantined:
            return self._judge_quarantined(suspect, builds, now)
        if suspect.trial_until > now:
            return Ruling(Verdict.WAIT, again_s=suspect.trial_until - now)
        # One outage ends many runs of a popular request at once; and a trial
        # still running after `OUTLIVED_S` has outlived the first ones.
        if generation == 2 and (held.outlived or self._was_answered(key, now)):
            return free
        return Ruling(Verdict.ALONE, generation, held.epoch)

    def _judge_quarantined(
        self, suspect: Suspect, builds: frozenset[str], now: float
    ) -> Ruling:
        held = suspect.held
        generation = held.generation + 1
        release_s = suspect.changed_at + release_pause_s(held) - now
        if suspect.trial_until > now:
            return Ruling(
                Verdict.QUARANTINED, again_s=suspect.trial_until - now
            )
        if builds - held.builds:
            # What runs there now may have mended it.
            return Ruling(
                Verdict.ALONE,
                generation,
                held.epoch,
                avoid_builds=held.builds,
            )
        if release_s <= 0:
            return Ruling(Verdict.ALONE, generation, held.epoch)
        return Ruling(Verdict.QUARANTINED, again_s=release_s)

    def ruling_after_wait(
        self, key: request_content.ContentKey, now: float
    ) -> Ruling | None:
        """Returns the ruling for a request whose wait for a trial has expired.

        Args:
            key: The request.
            now: The current time.

        Returns:
            A ruling to send the request if it is not suspected or if this box
            saw its content answered within `ANSWERED_S`; otherwise None.
        """
        suspect = self._suspects.get(key)
        if suspect is None:
            return Ruling(Verdict.FREE)
        if suspect.held.quarantined or not self._was_answered(key, now):
            return None
        held = suspect.held
        return Ruling(Verdict.ALONE, held.generation + 1, held.epoch)

    def begin_trial(
        self, key: request_content.ContentKey, now: float
    ) -> Suspect | None:
        """Notes that a run of a suspect begins on its own."""
        suspect = self._suspects.get(key)
        if suspect is None:
            return None
        suspect.held.tries += 1
        suspect.trial_until = now + TRIAL_S
        if suspect.held.quarantined:
            suspect.held.releases += 1
            suspect.changed_at = now
        return suspect

    def end_trial(self, key: request_content.ContentKey, trial: int) -> None:
        """Notes that a trial was inconclusive, so that others need not wait.

        Args:
            key: The request.
            trial: The trial's number; a later trial is not affected.
        """
        suspect = self._suspects.get(key)
        if suspect is not None and suspect.held.tries == trial:
            suspect.trial_until = 0.0

    def note_outlived(
        self, key: request_content.ContentKey, epoch: int
    ) -> Suspect | None:
        """Notes that a trial is still running after `OUTLIVED_S`.

        Args:
            key: The request.
            epoch: The epoch in which the trial began.

        Returns:
            The suspect if it changed, otherwise None.
        """
        suspect = self._suspects.get(key)
        if suspect is None or suspect.held.epoch != epoch:
            return None
        if suspect.held.outlived or suspect.held.generation != 1:
            return None
        suspect.held.outlived = True
        suspect.trial_until = 0.0
        return suspect

    def note_end(
        self,
        key: request_content.ContentKey,
        service: str,
        endpoint_id: str,
        ruling: Ruling,
        build: str,
        now: float,
    ) -> Suspect | None:
        """Notes that an endpoint ended under a run; returns what changed.

        Args:
            key: The request.
            service: The service.
            endpoint_id: The endpoint.
            ruling: By which the run was sent.
            build: What ran there.
            now: The current time.
        """
        self._hazard(service).ended(endpoint_id, now)
        suspect = self._suspects.get(key)
        generation = ruling.generation
        if suspect is None:
            suspect = self._add(key, suspicion.Suspicion(service), now)
            generation = 1
        elif suspect.held.epoch != ruling.epoch:
            # What was held against it when the run began is void.
            generation = 1
        before = suspect.held.generation
        if not suspect.held.note_end(endpoint_id, generation, build):
            return None
        self._changed(suspect, before, now)
        # The box where it ran decides for all: if any box might, the one that
        # has seen the fewest ends of other runs would.
        if suspect.held.generation >= self.ends_needed(suspect, now):
            suspect.held.quarantined = True
        return suspect

    def note_answer(
        self, key: request_content.ContentKey, service: str, now: float
    ) -> Suspect | None:
        """Notes that an endpoint answered a run; returns what that cleared."""
        self._hazard(service).answered(now)
        self._answered[key] = now
        self._answered.move_to_end(key)
        if len(self._answered) > MAX_ANSWERED:
            self._answered.popitem(last=False)
        return self.clear(key, now)

    def clear(
        self, key: request_content.ContentKey, now: float
    ) -> Suspect | None:
        """Clears a request; returns it if anything was held against it."""
        suspect = self._suspects.get(key)
        if suspect is None or not suspect.held.generation:
            return None
        suspect.held.clear()
        suspect.changed_at = now
        suspect.trial_until = 0.0
        return suspect

    def take(
        self,
        key: request_content.ContentKey,
        held: suspicion.Suspicion,
        now: float,
    ) -> Suspect | None:
        """Takes in what another box holds; returns what changed by it."""
        suspect = self._suspects.get(key)
        if suspect is None:
            if not held.generation:
                return None
            suspect = self._add(key, suspicion.Suspicion(held.service), now)
        before = suspect.held.generation
        tried = (suspect.held.epoch, suspect.held.tries)
        was_outlived = suspect.held.outlived
        if not suspect.held.merge(held):
            return None
        self._changed(suspect, before, now)
        if (suspect.held.epoch, suspect.held.tries) > tried and held.tries:
            suspect.trial_until = now + TRIAL_S
        if suspect.held.outlived and not was_outlived:
            suspect.trial_until = 0.0
        return suspect

    def forget(self, now: float) -> None:
        """Forgets what has lost its meaning."""
        for suspect in list(self._suspects.values()):
            held = suspect.held
            kept_s = LONGEST_RELEASE_S if held.quarantined else FORGET_S
            if now - suspect.changed_at > kept_s:
                self._remove(suspect)

    def ends_needed(self, suspect: Suspect, now: float) -> int:
        """Returns how many ends in a row put a request in quarantine."""
        held = suspect.held
        needed = self._hazard(held.service).ends_needed(held.ends, now)
        least = endpoint_hazard.LEAST_ENDS
        if self._was_answered(suspect.key, now):
            least = LEAST_ENDS_IF_ANSWERED
        beside = len(held.ends) - held.generation
        return max(least, needed - max(0, beside) // BESIDE_FOR_ONE)

    def _changed(self, suspect: Suspect, before: int, now: float) -> None:
        """Draws the conclusions from news of a suspect.

        Args:
            suspect: The suspect.
            before: Its generation before the news.
            now: The current time.
        """
        held = suspect.held
        suspect.changed_at = now
        if held.generation != before:
            suspect.trial_until = 0.0

    def _was_answered(
        self, key: request_content.ContentKey, now: float
    ) -> bool:
        answered_at = self._answered.get(key)
        return answered_at is not None and now - answered_at <= ANSWERED_S

    def _hazard(self, service: str) -> endpoint_hazard.EndpointHazard:
        hazard = self._hazards.get(service)
        if hazard is None:
            hazard = self._hazards[service] = endpoint_hazard.EndpointHazard()
        return hazard

    def _add(
        self,
        key: request_content.ContentKey,
        held: suspicion.Suspicion,
        now: float,
    ) -> Suspect:
        if self._of_caller[key.caller] >= MAX_OF_CALLER:
            self._drop_least(key.caller)
        elif len(self._suspects) >= MAX_SUSPECTS:
            [(caller, _)] = self._of_caller.most_common(1)
            self._drop_least(caller)
        suspect = Suspect(key, held, now)
        self._suspects[key] = suspect
        self._of_caller[key.caller] += 1
        return suspect

    def _drop_least(self, caller: bytes) -> None:
        own = [s for s in self._suspects.values() if s.key.caller == caller]
        self._remove(min(own, key=weight))

    def _remove(self, suspect: Suspect) -> None:
        del self._suspects[suspect.key]
        caller = suspect.key.caller
        self._of_caller[caller] -= 1
        if not self._of_caller[caller]:
            del self._of_caller[caller]


def release_pause_s(held: suspicion.Suspicion) -> float:
    """Returns the seconds until a quarantined request is tried once more."""
    pause_s = FIRST_RELEASE_S * RELEASE_FACTOR**held.releases
    return min(pause_s, LONGEST_RELEASE_S)


def weight(suspect: Suspect) -> tuple[bool, int, float]:
    """Returns by what suspects are ordered, the least suspected one first."""
    held = suspect.held
    return held.quarantined, held.generation, suspect.changed_at
