"""Tells other boxes where streams began, and finds out from them."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
import dataclasses

from martenjunction import metrics
from martenjunction import model
from martenjunction import timers
from martenjunction.decisions import rendezvous
from martenjunction.decisions.boxes import endpoint_list
from martenjunction.decisions.boxes import fleet_evidence
from martenjunction.decisions.boxes import origin_archive
from martenjunction.decisions.boxes import settled_services
from martenjunction.decisions.boxes import stream_conclusions
from martenjunction.decisions.boxes import stream_table
from martenjunction.peers import hub
from martenjunction.peers import membership
from martenjunction.routing.log import decision_log
from martenjunction.routing.streams import messages
from martenjunction.routing.streams import origin_codec
from martenjunction.routing.streams import queries

# Linked boxes that are told where a stream began. Boxes may end together, this
# one included.
BOXES_TOLD = 2

# Interval in seconds of looks at the listed versions and of the removal of
# expired records.
CHECK_INTERVAL_S = 0.5

# Maximum age in seconds of what this box knows of the store for concluding that
# a service has a single version.
MAX_LIST_AGE_S = 2.6

# Maximum time in seconds from reading what was settled to its use.
RESTORE_WAIT_S = 5.0

# Seconds after its start in which a box may not be connected to all others.
START_S = 3.0

# Maximum length of a path of which anything is concluded.
MAX_PATH = 2048

MS = 0.001

Basis = stream_table.Basis


@dataclasses.dataclass(frozen=True, slots=True)
class OriginAnswer:
    """Where a stream began.

    Attributes:
        origin: The origin, or None if no box can tell.
        is_final: Whether asking again cannot tell more.
    """

    origin: stream_table.StreamOrigin | None
    is_final: bool


class StreamOrigins:
    """Knows at which software version streams began.

    The box that sends a client the first event of a stream records its origin
    and tells some of the boxes that it is connected to. A box at which a client
    takes up a stream asks the boxes that it is connected to; in a large fleet
    they pass the question on.

    Attributes:
        boxes_told: Number of boxes that are told of each stream.
        is_restoring: Returns whether records may still come from the store.
        request_restore: Has the records read from the store.
        recorder: Called with each record of a stream that begins at this box,
            and again if it changes; None for nobody.
    """

    boxes_told: int = BOXES_TOLD
    is_restoring: Callable[[], bool] = staticmethod(lambda: False)
    request_restore: Callable[[], None] = staticmethod(lambda: None)
    recorder: Callable[[stream_table.StreamRecord], None] | None = None

    def __init__(
        self,
        listed: endpoint_list.EndpointList,
        peers: hub.PeerHub,
        members: membership.Membership,
        clock: timers.Timers,
        log: decision_log.DecisionLog,
        counters: metrics.Metrics,
        list_age_s: Callable[[], float | None],
        fresh_list: Callable[[], Awaitable[fleet_evidence.FreshList | None]],
        *,
        first_start: bool = False,
    ) -> None:
        """Initializes the records; `start` subscribes to peer messages.

        Args:
            listed: The endpoints.
            peers: Connections to the other boxes.
            members: The boxes of the fleet.
            clock: The clock and timers.
            log: Records what the origin of a stream was found from.
            counters: Counts it.
            list_age_s: Returns the age in seconds of the configuration or the
                list of endpoints, the higher one, or None.
            fresh_list: Reads the endpoints and the configuration anew; None if
                the store does not tell.
            first_start: Whether the whole fleet starts for the first time.
        """
        self._listed = listed
        self._peers = peers
        self._members = members
        self._timers = clock
        self._log = log
        self._metrics = counters
        self._started_at = clock.now()
        self._list_age_s = list_age_s
        self._fresh_list = fresh_list
        self._table = stream_table.StreamTable()
        self._conclusions = stream_conclusions.StreamConclusions(
            clock.now() if first_start else None
        )
        # The changes of the list at the last look, and when the next one is due
        # without a change.
        self._looked_at_changes = -1
        self._look_at = 0.0
        self._to_restore: settled_services.Settled | None = None
        self._restore_until = 0.0
        self._pending: dict[str, list[stream_table.StreamRecord]] = {}
        self._queries = queries.OriginQueries(
            peers, members, clock, self._find_locally
        )

    @property
    def count(self) -> int:
        """Number of streams whose origin is recorded."""
        return len(self._table)

    def start(self) -> None:
        """Subscribes to peer messages and timers."""
        self._peers.subscribe(messages.StreamOrigins, self._on_origins)
        self._queries.start()
        self._timers.subscribe("streams", CHECK_INTERVAL_S, self._check)

    def record(
        self,
        key: stream_table.StreamKey,
        origin: stream_table.StreamOrigin,
        client_waits_s: float | None,
    ) -> None:
        """Records that a client is sent the first event of a stream.

        Args:
            key: The stream.
            origin: Where it began.
            client_waits_s: Seconds for which its client may take it up, or
                None if the client does not say so.
        """
        now = self._timers.now()
        self._conclusions.note(origin, now)
        lifetime_s = origin_codec.MAX_LIFETIME_S
        if client_waits_s is not None:
            lifetime_s = min(client_waits_s, origin_codec.MAX_LIFETIME_S)
        record = self._table.record(key, origin, now + lifetime_s)
        if self.recorder is not None:
            self.recorder(record)
        self._tell([record])

    def restore(
        self, record: origin_archive.ArchivedRecord
    ) -> stream_table.StreamRecord:
        """Merges a record that was kept outside the box; returns the result.

        It counts as alive for all of its remaining time from now on.
        """
        now = self._timers.now()
        if record.origin is not None:
            self._conclusions.note(record.origin, now)
        expires_at = now + record.left_ms * MS
        return self._table.record(record.key, record.origin, expires_at)

    def may_be_mixed(self, service: str) -> bool:
        """Returns whether streams of a service may have several origins."""
        return self._conclusions.may_be_several(service, self._timers.now())

    async def find(
        self, key: stream_table.StreamKey, host: str, path: str
    ) -> OriginAnswer:
        """Finds out where a stream that a client takes up began.

        Args:
            key: The stream.
            host: The host of its requests.
            path: The path of its requests.
        """
        host = model.host_name(host)
        finding = self._find_locally(key, host, path)
        is_final = is_known = True
        asked, heard, live = 0, 0, 0
        if not finding.recorded:
            answers = await self._queries.ask(key, host, path, finding)
            asked, heard = answers.asked, answers.heard.boxes
            live = len(self._members.live_members())
            finding = answers.finding
            # A box that does not answer may know of another version.
            is_certain = answers.heard.covers(live)
            if finding.basis is Basis.SINGLE and is_certain:
                confirmed = await self._confirm(key, host, path, finding)
                is_certain = confirmed is not None
                finding = confirmed or finding
            is_known = finding.recorded or (
                is_certain and finding.basis is Basis.SINGLE
            )
            is_final = is_certain and not self._is_starting()
        if not is_known:
            self.request_restore()
        origin = finding.origin if is_known else None
        self._metrics.count("stream_origins_found", basis=finding.basis)
        self._log.write(
            "stream-unknown" if origin is None else "stream-origin",
            stream=str(key),
            basis=finding.basis,
            final=is_final,
            asked=asked,
            heard=heard,
            live=live,
            list_age_s=self._rounded_list_age_s(),
            service=None if origin is None else origin.service,
            version=None if origin is None else origin.version,
        )
        return OriginAnswer(origin, is_final)

    async def _confirm(
        self,
        key: stream_table.StreamKey,
        host: str,
        path: str,
        finding: stream_table.Finding,
    ) -> stream_table.Finding | None:
        """Compares a conclusion with what the store holds now.

        A version that joined since the list was known may have begun the
        stream, and so may the new service of a route that was moved since then.

        Returns:
            The conclusion, or what goes against it; None if the store does not
            tell.
        """
        fresh = await self._fresh_list()
        if fresh is None:
            return None
        now = self._timers.now()
        self._conclusions.note_listed(fresh.versions, now)
        return stream_table.combine(
            [finding, self._find_locally(key, host, path)]
        )

    def apply_config(self, config: model.RoutingConfig) -> None:
        """Takes in a configuration that comes into force."""
        self._conclusions.apply_config(config, self._timers.now())

    def settled(self) -> settled_services.Settled:
        """Returns what a box may conclude after the loss of all boxes."""
        now = self._timers.now()
        if not self._look_if_current(now):
            return self._conclusions.nothing_settled()
        return self._conclusions.settled(now)

    def restore_settled(
        self, settled: settled_services.Settled, asked_at: float
    ) -> None:
        """Takes over what was settled before this box started.

        That waits for the configuration and the endpoints, to which it is
        compared.

        Args:
            settled: The services.
            asked_at: Time at which the store was asked for them.
        """
        self._to_restore = settled
        self._restore_until = asked_at + RESTORE_WAIT_S
        self._restore_settled()

    def _restore_settled(self) -> None:
        now = self._timers.now()
        settled = self._to_restore
        if settled is None:
            return
        if now > self._restore_until:
            self._to_restore = None
        elif self._conclusions.has_config and self._look_if_current(now):
            self._to_restore = None
            self._conclusions.restore(settled, now)

    def hand_over(self) -> None:
        """Tells other boxes of all streams, before this box stops."""
        self._tell(self._table)

    def _is_starting(self) -> bool:
        """Returns whether this box may not know of all boxes or records yet."""
        since_start_s = self._timers.now() - self._started_at
        return since_start_s < START_S or self.is_restoring()

    def _find_locally(
        self, key: stream_table.StreamKey, host: str, path: str
    ) -> stream_table.Finding:
        now = self._timers.now()
        record = self._table.find(key, now)
        if record is not None:
            return stream_table.Finding(record.origin, Basis.RECORD)
        if max(len(host), len(path)) > MAX_PATH:
            return stream_table.UNKNOWN
        is_current = self._look_if_current(now) and not self.is_restoring()
        finding = self._conclusions.conclude(host, path, now)
        if finding.basis is Basis.SINGLE and not is_current:
            return stream_table.Finding(finding.origin, Basis.SEEN)
        return finding

    def _tell(self, records: Iterable[stream_table.StreamRecord]) -> None:
        live = {member.box for member in self._members.live_members()}
        linked = [box for box in self._peers.boxes() if box in live]
        if not linked:
            return
        if not self._pending:
            asyncio.get_running_loop().call_soon(self._flush)
        for record in records:
            told = rendezvous.ranked(linked, str(record.key))
            for box in told[: self.boxes_told]:
                self._pending.setdefault(box, []).append(record)

    def _flush(self) -> None:
        pending, self._pending = self._pending, {}
        now = self._timers.now()
        for box, records in pending.items():
            self._peers.send(box, origin_codec.encode(records, now))

    def _on_origins(self, box: str, message: messages.StreamOrigins) -> None:
        now = self._timers.now()
        for key, origin, lifetime_s in origin_codec.decode(message):
            self._conclusions.note(origin, now)
            self._table.record(key, origin, now + lifetime_s)

    def _rounded_list_age_s(self) -> float | None:
        age_s = self._list_age_s()
        return None if age_s is None else round(age_s, 3)

    def _check(self) -> None:
        now = self._timers.now()
        self._table.expire(now)
        self._look_if_current(now)
        self._restore_settled()

    def _look_if_current(self, now: float) -> bool:
        """Looks at the list unless it is old; returns whether it did.

        Looks at an old list would hide that versions come and go meanwhile.
        """
        self._conclusions.note_listed(self._listed.take_versions(), now)
        if self._listed.take_gap():
            self._conclusions.note_gap(now)
        age_s = self._list_age_s()
        if age_s is None or age_s > MAX_LIST_AGE_S:
            return False
        if not self._listed.has_listing:
            return False
        changes = self._listed.changes
        if changes == self._looked_at_changes and now < self._look_at:
            return True
        self._looked_at_changes = changes
        self._look_at = now + CHECK_INTERVAL_S
        self._conclusions.look(
            (entry.endpoint for entry in self._listed.entries.values()),
            now,
            now - age_s,
        )
        return True
