"""Quarantines parts of prompts under which endpoints crash."""

from collections.abc import Callable
from collections.abc import Iterable
from typing import Any
from typing import NoReturn

from martenjunction import events
from martenjunction import model
from martenjunction import timers
from martenjunction.decisions.boxes import content_key
from martenjunction.decisions.boxes import endpoint_list
from martenjunction.decisions.boxes import part_table
from martenjunction.decisions.boxes import suspect_table
from martenjunction.decisions.boxes import suspicion
from martenjunction.peers import hub
from martenjunction.peers import membership
from martenjunction.routing.access import admission
from martenjunction.routing.fleet import holders
from martenjunction.routing.log import decision_log
from martenjunction.routing.messages import suspect_messages
from martenjunction.routing.quarantine import permits
from martenjunction.routing.quarantine import suspect_sync

# Retry-After, in seconds, if another box would have to try a part.
RETRY_AT_HOLDER_S = 1.0

# Interval in seconds of the removal of expired records.
CHECK_INTERVAL_S = 1.0

PartKey = content_key.ContentKey


class PartQuarantine:
    """Decides which requests may be sent by the parts of their prompts.

    All boxes share what endpoints crashed under. A quarantined part is tried
    again now and then by one box, its holder.

    Attributes:
        table_type: Decides which parts are quarantined.
    """

    table_type: type[part_table.PartTable] = part_table.PartTable

    def __init__(
        self,
        listed: endpoint_list.EndpointList,
        peers: hub.PeerHub,
        members: membership.Membership,
        clock: timers.Timers,
        emitter: events.Events,
        log: decision_log.DecisionLog,
        responsive_peers: Callable[[], list[membership.Member]],
    ) -> None:
        """Initializes the quarantine; `start` subscribes to peer messages.

        Args:
            listed: The endpoints.
            peers: Connections to the other boxes.
            members: The boxes of the fleet.
            clock: The clock and timers.
            emitter: Announces new connections to boxes.
            log: Records changes of suspected parts.
            responsive_peers: Returns the live peers with a recent status.
        """
        self._listed = listed
        self._timers = clock
        self._events = emitter
        self._log = log
        self._table = self.table_type()
        self._selector = holders.HolderSelector(members, responsive_peers)
        self._sync = suspect_sync.SuspectSync(
            self._table,
            peers,
            members,
            self._merge,
            suspect_messages.PartRecords,
        )
        self._refused = 0

    @property
    def refused(self) -> int:
        """Number of requests refused so far because of a part."""
        return self._refused

    def start(self) -> None:
        """Subscribes to peer messages and timers."""
        self._sync.start(self._events)
        self._timers.subscribe("parts", CHECK_INTERVAL_S, self._check)

    def admit(
        self, service: model.Service, keys: tuple[PartKey, ...]
    ) -> part_table.PartRun:
        """Returns the evidence of a run that may be sent now.

        Args:
            service: The service.
            keys: The parts of the prompt that other requests share.

        Raises:
            RefusalError: If a part is quarantined.
        """
        now = self._timers.now()
        suspects = self._table.quarantined(keys)
        run = self._table.begin(service.name, keys, now)
        if not suspects:
            return run
        builds = self._ready_builds(service)
        rulings = [
            self._table.decide(suspect.key, builds, now) for suspect in suspects
        ]
        wait_s = max(ruling.recheck_after_s for ruling in rulings)
        if any(
            ruling.verdict is not suspect_table.Verdict.ALONE
            for ruling in rulings
        ):
            self._refuse(wait_s)
        if any(
            self._selector.holder(str(suspect.key)) != self._selector.own_box
            for suspect in suspects
        ):
            self._refuse(RETRY_AT_HOLDER_S)
        for suspect in suspects:
            self._table.begin_trial(suspect.key, now)
            self._log_part("part-tried", suspect)
            self._sync.announce(suspect)
        run.isolated = True
        run.avoid_builds = frozenset().union(
            *(ruling.avoid_builds for ruling in rulings)
        )
        return run

    def is_valid(self, run: part_table.PartRun) -> bool:
        """Returns whether none of a run's parts was quarantined meanwhile."""
        return run.isolated or not self._table.quarantined(run.keys)

    def record_crash(
        self, permit: permits.Permit, endpoint: model.Endpoint
    ) -> None:
        """Records that an endpoint crashed during a run."""
        now = self._timers.now()
        broke_at = now if permit.broke_at is None else permit.broke_at
        self._announce(
            "part-suspected",
            self._table.record_part_crash(
                permit.parts,
                endpoint.id,
                model.build_id(endpoint, permit.service),
                broke_at,
                now,
            ),
        )

    def record_lived(self, permit: permits.Permit) -> None:
        """Records that a run has outlived its begin."""
        run, service = permit.parts, permit.service
        now = self._timers.now()
        cleared = self._table.record_lived(
            run, lambda: self._ready_builds(service), now
        )
        self._announce("part-cleared", cleared)

    def lift(self, name: str) -> bool:
        """Clears a suspected part at an operator's command.

        Args:
            name: The part's key, as shown in logs and the dump.

        Returns:
            Whether a matching part was cleared.
        """
        for suspect in self._table:
            if str(suspect.key) == name:
                cleared = self._table.clear(suspect.key, self._timers.now())
                self._announce("part-cleared", [cleared] if cleared else [])
                return cleared is not None
        return False

    def dump(self) -> list[dict[str, Any]]:
        """Returns the records of all suspected parts."""
        now = self._timers.now()
        return [
            suspect_table.describe(
                suspect, self._table.crashes_needed(suspect, now)
            )
            for suspect in self._table
            if suspect.evidence.generation
        ]

    def _ready_builds(self, service: model.Service) -> frozenset[str]:
        ready = self._listed.ready(service.name)
        return frozenset(
            model.build_id(endpoint, service) for endpoint in ready
        )

    def _refuse(self, again_s: float) -> NoReturn:
        self._refused += 1
        raise admission.RefusalError(
            permits.QUARANTINED_STATUS,
            permits.QUARANTINED_CODE,
            "quarantined: several endpoints crashed under a part of the prompt",
            again_s,
        )

    def _announce(
        self, kind: str, changed: Iterable[suspect_table.Suspect]
    ) -> None:
        for suspect in changed:
            self._log_part(kind, suspect)
            self._sync.announce(suspect)

    def _merge(
        self, box: str, key: PartKey, held: suspicion.Suspicion
    ) -> suspect_table.Suspect | None:
        """Merges another box's record; returns the result if it changed."""
        changed = self._table.merge_peer(key, held, self._timers.now())
        if changed is not None:
            cleared = not changed.evidence.generation
            kind = "part-cleared" if cleared else "part-suspected"
            self._log_part(kind, changed, told_by=box)
        return changed

    def _check(self) -> None:
        self._table.expire(self._timers.now())

    def _log_part(
        self, kind: str, suspect: suspect_table.Suspect, **fields: Any
    ) -> None:
        needed = self._table.crashes_needed(suspect, self._timers.now())
        self._log.write(
            kind, **suspect_table.describe(suspect, needed), **fields
        )
