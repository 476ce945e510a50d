"""Quarantines requests that repeatedly crash endpoints."""

import asyncio
import collections
from collections.abc import Callable
import dataclasses
from typing import Any
from typing import NoReturn

from martenjunction import events
from martenjunction import model
from martenjunction import timers
from martenjunction.decisions.boxes import content_key
from martenjunction.decisions.boxes import endpoint_list
from martenjunction.decisions.boxes import suspect_table
from martenjunction.decisions.boxes import suspicion
from martenjunction.peers import hub
from martenjunction.peers import membership
from martenjunction.routing.access import admission
from martenjunction.routing.endpoints import endpoint_liveness
from martenjunction.routing.fleet import holders
from martenjunction.routing.log import decision_log
from martenjunction.routing.quarantine import part_quarantine
from martenjunction.routing.quarantine import permits
from martenjunction.routing.quarantine import suspect_sync
from martenjunction.routing.quarantine import trial_grants

# Seconds for which a run that broke off waits for proof that its endpoint
# crashed: a restarted endpoint rewrites its entry within some seconds.
UNCONFIRMED_LIFETIME_S = 8.0
MAX_UNCONFIRMED = 256

# Interval in seconds of checks of those runs and of expired records.
CHECK_INTERVAL_S = 0.1

# Maximum fraction of its remaining time for which a request waits for a trial
# of the same content. It is then refused, as sending it would send all requests
# that began to wait at the same time at once.
MAX_WAIT_FRACTION = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class _UnconfirmedCrash:
    """A run that broke off and whose endpoint may have crashed.

    Attributes:
        permit: The run's permit.
        endpoint: The endpoint.
        at: Time on the steady clock when the run broke off.
    """

    permit: permits.Permit
    endpoint: model.Endpoint
    at: float


class RequestQuarantine:
    """Decides which requests one box may send after crashes of endpoints.

    A request during which an endpoint crashed is suspected: usually only one
    trial of it runs at a time across the fleet, and it is quarantined after
    further crashes.
    """

    def __init__(
        self,
        listed: endpoint_list.EndpointList,
        liveness: endpoint_liveness.EndpointLiveness,
        peers: hub.PeerHub,
        members: membership.Membership,
        clock: timers.Timers,
        emitter: events.Events,
        log: decision_log.DecisionLog,
        responsive_peers: Callable[[], list[membership.Member]],
        parts: part_quarantine.PartQuarantine,
    ) -> None:
        """Initializes the quarantine; `start` subscribes to peer messages.

        Args:
            listed: The endpoints.
            liveness: Detects whether endpoints have crashed.
            peers: Connections to the other boxes.
            members: The boxes of the fleet.
            clock: The clock and timers.
            emitter: Announces new connections to boxes.
            log: Records changes of suspected requests.
            responsive_peers: Returns the live peers with a recent status.
            parts: Decides by the parts of prompts.
        """
        self._parts = parts
        self._listed = listed
        self._timers = clock
        self._events = emitter
        self._log = log
        self._table = suspect_table.SuspectTable()
        self._unconfirmed: collections.deque[_UnconfirmedCrash] = (
            collections.deque(maxlen=MAX_UNCONFIRMED)
        )
        self._running_trials: list[tuple[float, permits.Permit]] = []
        self._waiting: dict[
            content_key.ContentKey, set[asyncio.Future[None]]
        ] = {}
        self._sync = suspect_sync.SuspectSync(
            self._table, peers, members, self._merge
        )
        self._trials = trial_grants.TrialGrants(
            self._table,
            peers,
            holders.HolderSelector(members, responsive_peers),
            clock,
            self._decide_trial,
            self._merge,
            self._end_trial,
        )
        self._refused = 0
        liveness.on_ended(self._confirm_crash)

    @property
    def listed(self) -> endpoint_list.EndpointList:
        """The endpoints; read-only."""
        return self._listed

    @property
    def refused(self) -> int:
        """Number of requests refused so far because of a quarantine."""
        return self._refused

    @property
    def table(self) -> suspect_table.SuspectTable:
        """The suspected requests; read-only."""
        return self._table

    def start(self) -> None:
        """Subscribes to peer messages and timers."""
        self._sync.start(self._events)
        self._trials.start()
        self._timers.subscribe("suspects", CHECK_INTERVAL_S, self._check)

    async def permit(
        self,
        key: content_key.ContentKey,
        service: model.Service,
        deadline: float,
        part_keys: tuple[content_key.ContentKey, ...] = (),
    ) -> permits.Permit:
        """Waits until a request may be sent to an endpoint.

        Args:
            key: The request.
            service: The service.
            deadline: Time on the steady clock until which it may be held.
            part_keys: The parts of its prompt that others share.

        Returns:
            A permit to send the request.

        Raises:
            RefusalError: If the request is quarantined or its wait timed out.
        """
        began = self._timers.now()
        until = began + (deadline - began) * MAX_WAIT_FRACTION
        while True:
            builds = self._ready_builds(service, key)
            ruling = self._table.decide(key, builds, self._timers.now())
            if ruling.verdict is suspect_table.Verdict.QUARANTINED:
                self._refuse(ruling.recheck_after_s)
            if ruling.verdict is suspect_table.Verdict.FREE:
                return self._permit(key, service, ruling, part_keys)
            wait_s = ruling.recheck_after_s
            if ruling.verdict is suspect_table.Verdict.ALONE:
                answer = await self._trials.ask(key, builds)
                permit = self._trial_permit(key, service, ruling, part_keys)
                if answer.granted and permit.is_valid():
                    began_at = self._timers.stall_adjusted_now()
                    self._running_trials.append((began_at, permit))
                    return permit
                now = self._timers.now()
                if self._table.decide(key, builds, now).verdict is not (
                    ruling.verdict
                ):
                    continue
                wait_s = answer.wait_s
            now = self._timers.now()
            left_s = until - now
            if left_s <= 0.0:
                final_ruling = self._table.decide_after_wait(key, now)
                if final_ruling is None:
                    self._refuse(wait_s)
                return self._permit(key, service, final_ruling, part_keys)
            await self._wait(key, min(wait_s, left_s))

    def _trial_permit(
        self,
        key: content_key.ContentKey,
        service: model.Service,
        ruling: suspect_table.SuspectDecision,
        part_keys: tuple[content_key.ContentKey, ...],
    ) -> permits.Permit:
        """Returns a permit for the latest trial of a request."""
        suspect = self._table.find(key)
        trial = 0 if suspect is None else suspect.evidence.trials
        trial_ruling = dataclasses.replace(ruling, trial=trial)
        return self._permit(key, service, trial_ruling, part_keys)

    def _permit(
        self,
        key: content_key.ContentKey,
        service: model.Service,
        ruling: suspect_table.SuspectDecision,
        part_keys: tuple[content_key.ContentKey, ...],
    ) -> permits.Permit:
        parts = self._parts.admit(service, part_keys)
        return permits.Permit(self, key, service, ruling, parts)

    def is_valid(self, permit: permits.Permit) -> bool:
        """Returns whether no crash was recorded since a permit was issued."""
        if not self._parts.is_valid(permit.parts):
            return False
        suspect = self._table.find(permit.key)
        if suspect is None:
            return True
        ruling, held = permit.ruling, suspect.evidence
        if held.epoch != ruling.epoch:
            return not held.generation
        return held.generation < ruling.generation

    def record_answer(self, permit: permits.Permit) -> None:
        """Records that an endpoint answered a run completely."""
        now = self._timers.now()
        cleared = self._table.record_answer(
            permit.key, permit.service.name, now
        )
        if cleared is not None:
            self._log.write(
                "request-cleared", content=str(permit.key), why="answered"
            )
            self._announce(cleared)

    def record_lived(self, permit: permits.Permit) -> None:
        """Records that a run has outlived its begin."""
        self._parts.record_lived(permit)

    def record_crash(
        self, permit: permits.Permit, endpoint: model.Endpoint
    ) -> None:
        """Records that an endpoint crashed during a run."""
        now = self._timers.now()
        self._parts.record_crash(permit, endpoint)
        changed = self._table.record_crash(
            permit.key,
            permit.service.name,
            endpoint.id,
            permit.ruling,
            model.build_id(endpoint, permit.service),
            now,
        )
        if changed is not None:
            self._log_suspect(
                "request-suspected", changed, endpoint=endpoint.id
            )
            self._announce(changed)

    def note_unconfirmed_end(
        self, permit: permits.Permit, endpoint: model.Endpoint
    ) -> None:
        """Records that a run broke off and its endpoint may have crashed."""
        self._unconfirmed.append(
            _UnconfirmedCrash(permit, endpoint, self._timers.now())
        )

    def end_trial(self, permit: permits.Permit) -> None:
        """Records that a trial was inconclusive."""
        self._trials.report_over(permit.key, permit.ruling.trial)
        self._end_trial(permit.key, permit.ruling.trial)

    def lift(self, name: str) -> bool:
        """Clears a suspected request at an operator's command.

        Args:
            name: The key of the request, or of the part of a prompt, as shown
                in logs and the dump.

        Returns:
            Whether a matching request was cleared.
        """
        if self._parts.lift(name):
            return True
        for suspect in self._table:
            if str(suspect.key) != name:
                continue
            cleared = self._table.clear(suspect.key, self._timers.now())
            if cleared is None:
                return False
            self._log.write("request-cleared", content=name, why="operator")
            self._announce(cleared)
            return True
        return False

    def dump(self) -> list[dict[str, Any]]:
        """Returns the records of all suspected requests."""
        now = self._timers.now()
        return [
            suspect_table.describe(
                suspect, self._table.crashes_needed(suspect, now)
            )
            for suspect in self._table
            if suspect.evidence.generation
        ]

    def _decide_trial(
        self, key: content_key.ContentKey, builds: frozenset[str]
    ) -> trial_grants.TrialRuling:
        """Decides, as the holder of a request, whether a trial may begin."""
        now = self._timers.now()
        ruling = self._table.decide(key, builds, now)
        if ruling.verdict is suspect_table.Verdict.FREE:
            return trial_grants.TrialRuling(True)
        if ruling.verdict is not suspect_table.Verdict.ALONE:
            return trial_grants.TrialRuling(False, ruling.recheck_after_s)
        suspect = self._table.begin_trial(key, now)
        if suspect is not None:
            self._log_suspect("request-tried", suspect)
            self._announce(suspect)
        return trial_grants.TrialRuling(True)

    def _end_trial(self, key: content_key.ContentKey, trial: int) -> None:
        self._table.end_trial(key, trial)
        self._wake(key)

    def _refuse(self, again_s: float) -> NoReturn:
        self._refused += 1
        raise admission.RefusalError(
            permits.QUARANTINED_STATUS,
            permits.QUARANTINED_CODE,
            "quarantined: several endpoints crashed during this request",
            again_s,
        )

    def _ready_builds(
        self, service: model.Service, key: content_key.ContentKey
    ) -> frozenset[str]:
        """Returns a service's ready builds; empty unless quarantined."""
        suspect = self._table.find(key)
        if suspect is None or not suspect.evidence.quarantined:
            return frozenset()
        ready = self._listed.ready(service.name)
        return frozenset(
            model.build_id(endpoint, service) for endpoint in ready
        )

    async def _wait(self, key: content_key.ContentKey, wait_s: float) -> None:
        """Waits until a request's record changes or the timeout expires."""
        waiter: asyncio.Future[None] = (
            asyncio.get_running_loop().create_future()
        )
        waiting = self._waiting.setdefault(key, set())
        waiting.add(waiter)
        try:
            await asyncio.wait([waiter], timeout=wait_s)
        finally:
            waiting.discard(waiter)
            if not waiting:
                self._waiting.pop(key, None)

    def _wake(self, key: content_key.ContentKey) -> None:
        for waiter in self._waiting.get(key, ()):
            if not waiter.done():
                waiter.set_result(None)

    def _announce(self, suspect: suspect_table.Suspect) -> None:
        """Wakes requests waiting in this box and notifies all boxes."""
        self._wake(suspect.key)
        self._sync.announce(suspect)

    def _merge(
        self,
        box: str,
        key: content_key.ContentKey,
        held: suspicion.Suspicion,
    ) -> suspect_table.Suspect | None:
        """Merges another box's record; returns the result if it changed."""
        changed = self._table.merge_peer(key, held, self._timers.now())
        if changed is not None:
            cleared = not changed.evidence.generation
            kind = "request-cleared" if cleared else "request-suspected"
            self._log_suspect(kind, changed, told_by=box)
            self._wake(key)
        return changed

    def _confirm_crash(self, endpoint_id: str) -> None:
        """Records a confirmed crash for runs that broke off at the endpoint."""
        for run in list(self._unconfirmed):
            if run.endpoint.id == endpoint_id:
                self._unconfirmed.remove(run)
                run.permit.record_crash(run.endpoint)

    def _check(self) -> None:
        now = self._timers.now()
        while (
            self._unconfirmed
            and now - self._unconfirmed[0].at > UNCONFIRMED_LIFETIME_S
        ):
            self._unconfirmed.popleft()
        for run in list(self._unconfirmed):
            if self._listed.restarted(run.endpoint.id):
                self._confirm_crash(run.endpoint.id)
        self._report_outlived_trials()
        self._table.expire(now)

    def _report_outlived_trials(self) -> None:
        """Notifies all boxes of trials still running after `OUTLIVED_S`.

        Time during which the event loop is blocked does not count.
        """
        now = self._timers.stall_adjusted_now()
        running_trials = self._running_trials
        self._running_trials = []
        for began_at, permit in running_trials:
            if not permit.running:
                continue
            if now - began_at < suspect_table.OUTLIVED_S:
                self._running_trials.append((began_at, permit))
                continue
            suspect = self._table.record_outlived(
                permit.key, permit.ruling.epoch
            )
            if suspect is not None:
                self._log_suspect("request-outlived", suspect)
                self._announce(suspect)

    def _log_suspect(
        self, kind: str, suspect: suspect_table.Suspect, **fields: Any
    ) -> None:
        needed = self._table.crashes_needed(suspect, self._timers.now())
        self._log.write(
            kind, **suspect_table.describe(suspect, needed), **fields
        )
