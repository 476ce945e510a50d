"""Exchanges status, configuration and endpoint state with the other boxes."""

from collections.abc import Callable

from martenjunction import errors
from martenjunction import revisions
from martenjunction import timers
from martenjunction.decisions.boxes import config_freshness
from martenjunction.decisions.boxes import overlay
from martenjunction.decisions.boxes import peer_queries
from martenjunction.decisions.boxes import store_contact
from martenjunction.decisions.boxes import store_readers
from martenjunction.peers import hub
from martenjunction.peers import membership
from martenjunction.peers import messages
from martenjunction.routing.endpoints import endpoint_registry
from martenjunction.routing.endpoints import endpoint_reports
from martenjunction.routing.fleet import fleet_overlay
from martenjunction.routing.fleet import peer_views
from martenjunction.routing.log import decision_log
from martenjunction.routing.messages import peer_messages
from martenjunction.routing.messages import peer_stamps
from martenjunction.routing.store import follower
from martenjunction.routing.store import store_cache
from martenjunction.routing.store import store_reading
from martenjunction.routing.sync import load_report

# Interval in seconds at which a box that does not read from the store queries
# the most up-to-date peer.
QUERY_INTERVAL_S = 0.3

# Seconds without a confirmed configuration after which peers of other groups
# are queried as well.
QUERY_ALL_AFTER_S = 2.0

# Interval in seconds at which this box decides whether to read from the store
# and whether to notify its peers of what it read.
ROLE_INTERVAL_S = 0.1

# Seconds without a message after which a connection is closed. A box is
# considered silent long before; a new connection costs both sides two
# handshakes, which an overloaded box can afford least.
LINK_SILENCE_TIMEOUT_S = 3.0

# Age in seconds from which a box of a large fleet queries a peer; younger
# confirmations come with the stamps of frames.
SPARSE_QUERY_AGE_S = 1.8

MS = 0.001


class PeerSync:
    """Exchanges status, configuration and endpoints with the other boxes."""

    def __init__(
        self,
        peers: hub.PeerHub,
        members: membership.Membership,
        cache: store_cache.StoreCache,
        freshness: config_freshness.ConfigFreshness,
        registry: endpoint_registry.EndpointRegistry,
        clock: timers.Timers,
        log: decision_log.DecisionLog,
        is_ready: Callable[[], bool],
        reaches_endpoints: Callable[[], bool],
        reader: follower.StoreFollower,
        place: fleet_overlay.FleetOverlay,
        stamps: peer_stamps.PeerStamps,
    ) -> None:
        """Initializes the exchange; `start` subscribes to messages.

        Args:
            peers: Connections to the other boxes.
            members: The boxes of the fleet.
            cache: The local copy of the store's state.
            freshness: The age of the configuration.
            registry: Receives the other boxes' load.
            clock: The clock and timers.
            log: Records configuration changes and unusable messages.
            is_ready: Returns whether this box accepts clients.
            reaches_endpoints: Returns whether its own connections reach
                endpoints.
            reader: Reads from the store when this box is a reader.
            place: The place of this box in the trees of a large fleet.
            stamps: The stamps of frames to and from peers.
        """
        self._place = place
        self._stamps = stamps
        self._peers = peers
        self._members = members
        self._cache = cache
        self._freshness = freshness
        self._reports = registry.reports
        self._table = registry.table
        self._timers = clock
        self._log = log
        self._is_ready = is_ready
        self._reaches_endpoints = reaches_endpoints
        self._reader = reader
        self._reading = store_reading.StoreReading(
            reader, members, place, clock
        )
        self._is_fed = False
        self._announced_state = (False, 0, revisions.NONE)
        self._is_missing_entries = False
        # The version whose local document differs from that of a peer.
        self._conflicting_version: int | None = None
        self._views = peer_views.PeerViews(peers, clock)
        self._queries = peer_queries.PeerQueries()
        self._load_report = load_report.LoadReport(
            peers,
            registry,
            place,
            clock,
            lambda loads, sent: self._status(True, loads, sent),
        )

    def start(self) -> None:
        """Subscribes to messages and timers."""
        self._peers.subscribe(peer_messages.BoxStatus, self._on_status)
        self._peers.subscribe(peer_messages.AskView, self._on_ask)
        self._peers.subscribe(peer_messages.View, self._on_view)
        self._peers.subscribe(
            peer_messages.ConfigUpdate, self._on_config_update
        )
        self._peers.subscribe(peer_messages.EndpointsRemoved, self._on_removed)
        self._peers.subscribe(messages.Leaving, self._on_leaving)
        self._stamps.connect(
            self._stamp, self._on_stamp, self._on_store_contact
        )
        self._place.use_links(self._views.is_recent)
        self._cache.on_endpoints_removed(self._broadcast_removed)
        self._timers.subscribe(
            "ask-view", QUERY_INTERVAL_S, self._query_best_peer
        )
        self._timers.subscribe("role", ROLE_INTERVAL_S, self._update_role)
        self._load_report.start()

    def heartbeat(self) -> peer_messages.BoxStatus:
        """Returns the status of this box without its load at endpoints."""
        return self._status(False, [], [])

    def _status(
        self,
        tells_loads: bool,
        loads: list[endpoint_reports.LoadRow],
        sent: list[tuple[str, int]],
    ) -> peer_messages.BoxStatus:
        engines = self._table.engines.rows(self._timers.now())
        return peer_messages.BoxStatus(
            self._is_ready(),
            self._reaches_endpoints(),
            self._cache.version,
            self._table.listed.revision,
            self._reader.is_synced,
            self._age_ms(),
            self._members.own.link_kb,
            tells_loads,
            tuple(row[0] for row in loads),
            tuple(row[1] for row in loads),
            tuple(row[2] for row in loads),
            tuple(row[3] for row in loads),
            tuple(row[4] for row in loads),
            tuple(endpoint for endpoint, _ in sent),
            tuple(tokens for _, tokens in sent),
            tuple(row[0] for row in engines),
            tuple(row[1] for row in engines),
            tuple(row[2] for row in engines),
            tuple(row[3] for row in engines),
            tuple(row[4] for row in engines),
        )

    def announce(self) -> None:
        """Sends the status of this box to all peers immediately."""
        self._peers.broadcast(self.heartbeat())

    def announce_leaving(self) -> None:
        """Notifies all peers of the planned shutdown of this box."""
        own = self._members.own
        self._peers.broadcast(messages.Leaving(own.box, own.incarnation))

    def ready_boxes(self) -> list[membership.Member]:
        """Returns the other boxes that accept clients."""
        return [
            member
            for member in self._members.live_members()
            if self._views.is_ready(member.box)
        ]

    def last_heard(self, box: str) -> peer_views.PeerView | None:
        """Returns what a box last said, however long ago, or None."""
        return self._views.last_heard(box)

    def reaches_endpoints(self, box: str) -> bool:
        """Returns whether a ready box lately said that it reaches endpoints."""
        return self._views.reaches_endpoints(box)

    def is_heard(self, box: str) -> bool:
        """Returns whether something came from a connected box lately."""
        return self._views.is_recent(box)

    def responsive_peers(self) -> list[membership.Member]:
        """Returns the live boxes that can be asked.

        These are the peers from which a recent status was received, and in a
        large fleet all boxes that nobody calls silent.
        """
        if self._place.is_sparse:
            own = self._members.own
            return [m for m in self._members.live_members() if m is not own]
        return [
            member
            for member in self._members.live_members()
            if self._views.is_recent(member.box)
        ]

    def _on_status(self, box: str, status: peer_messages.BoxStatus) -> None:
        now = self._timers.now()
        self._views.record_status(box, status)
        self._members.record_heartbeat(box, 0.0)
        if self._place.is_sparse:
            # The stamp of the frame says the same, and sums replace loads.
            return
        self._follow(box, status.version, status.revision)
        engines = zip(
            status.engine_services,
            status.prefill_rates,
            status.prefill_token_interval_us,
            status.short_demand,
            status.long_demand,
            strict=False,
        )
        self._table.engines.update_peer(box, engines, now)
        if not status.has_loads:
            return
        loads = zip(
            status.endpoints,
            status.urgencies,
            status.long,
            status.running,
            status.unread,
            strict=False,
        )
        self._reports.update_peer_loads(box, list(loads), now)
        sent = zip(status.engines, status.sent, strict=False)
        self._reports.update_peer_sent(box, list(sent), now)

    def _stamp(self) -> peer_stamps.PeerStamp:
        """Returns the stamp of a frame that is about to be sent."""
        reads = self._reader.is_synced
        return peer_stamps.PeerStamp(
            self._age_ms(),
            self._cache.version,
            self._table.listed.revision,
            reads,
            reads or self._is_fed,
            self._table.listed.contact.ages(self._timers.now()),
            self._table.listed.age.age_ms(self._timers.now()),
        )

    def _on_store_contact(
        self, ages: store_contact.ContactAges, asked_at: float | None
    ) -> None:
        contact = self._table.listed.contact
        contact.note_told(ages, asked_at, self._timers.now())

    def _on_stamp(
        self, box: str, asked_at: float | None, stamp: peer_stamps.PeerStamp
    ) -> None:
        """Processes the stamp of a frame; only a large fleet relies on it."""
        if not self._place.is_sparse:
            return
        self._views.record_stamp(box, stamp)
        self._follow(box, stamp.version, stamp.revision)
        if (
            asked_at is not None
            and stamp.age_ms >= 0
            and stamp.version == self._cache.version
        ):
            self._freshness.confirm(asked_at - stamp.age_ms * MS)
        self._note_list_age(stamp.list_age_ms, stamp.revision, asked_at)
        if box == self._place.parent(overlay.Tree.PRIMARY):
            self._is_fed = stamp.fed

    def _note_list_age(
        self,
        age_ms: int,
        revision: revisions.Revision,
        asked_at: float | None,
    ) -> None:
        """Takes the age of a peer's list, unless that has more entries."""
        listed = self._table.listed
        if revision <= listed.revision and not self._is_missing_entries:
            listed.age.note_told(age_ms, asked_at)

    def _follow(
        self, box: str, version: int, revision: revisions.Revision
    ) -> None:
        """Queries a peer that knows more than this box."""
        self._reader.update_era(revision.era)
        behind = self._note_version(version, box)
        if behind or revision > self._table.listed.revision:
            self._query(box)

    def _note_version(self, version: int, box: str) -> bool:
        """Records a peer's version; returns whether it is newer than ours."""
        if version <= self._cache.version:
            return False
        if self._freshness.note_newer_version(version, self._timers.now()):
            self._log.write(
                "config-behind",
                version=self._cache.version,
                newer=version,
                told_by=box,
            )
        return True

    def _on_config_update(
        self, box: str, update: peer_messages.ConfigUpdate
    ) -> None:
        """Applies a configuration update, which any peer may send unasked."""
        if not self._note_version(update.version, box):
            return
        try:
            spec = self._cache.documents.apply(update)
            if spec is not None:
                self._cache.apply_newer_config(spec, box)
                if self._place.is_sparse:
                    self._announce_change()
                return
        except (errors.PeerError, errors.PlatformError) as error:
            # A request with the local version would return the same delta.
            self._conflicting_version = self._cache.version
            self._log.write("peer-config-unreadable", peer=box, why=str(error))
        self._query(box)

    def _on_leaving(self, box: str, message: messages.Leaving) -> None:
        if self._members.mark_leaving(message.box, message.incarnation):
            self._log.write("box-leaves", leaving=message.box, told_by=box)

    def _on_removed(
        self, box: str, message: peer_messages.EndpointsRemoved
    ) -> None:
        if self._cache.apply_report(message):
            linked = set(self._peers.boxes())
            if self._place.is_sparse:
                self._peers.send_to(linked - {box}, message)

    def _broadcast_removed(self, ids: list[str]) -> None:
        self._peers.broadcast(self._cache.removal_report(ids))

    def _update_role(self) -> None:
        """Starts or stops reading the store and announces changes at once."""
        now = self._timers.now()
        newest = self._views.newest_version()
        if newest is not None or self._reader.is_synced:
            self._freshness.drop_versions_above(above=newest or 0)
        age_s = self._freshness.age_s(now)
        self._reading.update(
            age_s,
            lambda: self._views.reader_states(self._members.monitored_peers()),
            self._parent_is_fed,
        )
        self._table.set_load_scale(self._load_scale())
        self._announce_change()

    def _parent_is_fed(self) -> bool:
        """Returns whether the parent gets confirmations from above."""
        parent = self._place.parent(overlay.Tree.PRIMARY)
        return parent is not None and self._is_fed

    def _announce_change(self) -> None:
        """Announces what this box has learnt to the peers that rely on it."""
        state = (
            self._reader.is_synced,
            self._cache.version,
            self._table.listed.revision,
        )
        if state == self._announced_state:
            return
        before, self._announced_state = self._announced_state, state
        if self._reader.is_synced or self._place.is_sparse:
            if before[1] not in (0, self._cache.version):
                self._push_config()
            self.announce()

    def _push_config(self) -> None:
        """Pushes the last configuration change to the peers that lack it.

        Peers that lack earlier changes as well request them. A change received
        from a box of the same group is not pushed, as that box did so already.
        """
        update = self._cache.documents.latest_update()
        source = self._cache.config_source
        near = {member.box for member in self._members.monitored_peers()}
        if update is None or (not self._place.is_sparse and source in near):
            return
        for box in self._peers.boxes():
            if box != source and self._views.version(box) < update.version:
                self._peers.send(box, update)

    def _load_scale(self) -> float:
        """Returns the factor by which to extrapolate the known peers' load.

        In a large fleet a box is connected to only a few boxes of the other
        availability zones. It assumes the same average load for the others.
        """
        if self._place.is_sparse:
            return 1.0
        reachable = len(self._peers.boxes()) + 1
        return max(1.0, len(self._members.live_members()) / reachable)

    def _query_best_peer(self) -> None:
        """Queries the most up-to-date peer, preferring those that answer."""
        now = self._timers.now()
        age = self._freshness.age_s(now)
        if self._reader.is_synced:
            return
        if (
            self._place.is_sparse
            and age is not None
            and age <= SPARSE_QUERY_AGE_S
        ):
            return
        asked = self._members.monitored_peers()
        if age is None or age > QUERY_ALL_AFTER_S:
            asked = self._members.live_members()
        states = self._views.reader_states(asked)
        known = [p for p in states if p.age_s is not None]
        unresponsive = self._queries.unresponsive_peers(now)
        if known:
            best = min(
                known, key=lambda p: (p.box in unresponsive, *_query_order(p))
            )
            self._query(best.box)

    def _age_ms(self) -> int:
        age = self._freshness.age_s(self._timers.now())
        return peer_stamps.NEVER_CONFIRMED if age is None else int(age / MS) + 1

    def _query(self, box: str) -> None:
        """Queries a peer, unless too many queries are in flight."""
        number = self._queries.begin_query(box, self._timers.now())
        if number is None:
            return
        conflicting = self._conflicting_version == self._cache.version
        sent = self._peers.send(
            box,
            peer_messages.AskView(
                number,
                0 if conflicting else self._cache.version,
                revisions.NONE
                if self._is_missing_entries
                else self._table.listed.revision,
                self._table.listed.digest(),
            ),
        )
        if not sent:
            self._queries.drop_peer(box)

    def _on_ask(self, box: str, ask: peer_messages.AskView) -> None:
        listed = self._table.listed
        update = self._cache.documents.update_for(ask.version)
        if update is not None:
            self._peers.send(box, update)
        has_endpoints = listed.revision >= ask.revision and (
            listed.revision > ask.revision or listed.digest() != ask.digest
        )
        changed = {
            name: entry
            for name, entry in (
                self._cache.entries if has_endpoints else {}
            ).items()
            if entry[0] > ask.revision
        }
        self._peers.send(
            box,
            peer_messages.View(
                ask.number,
                self._age_ms(),
                self._cache.version,
                listed.age.age_ms(self._timers.now()),
                listed.revision,
                has_endpoints,
                tuple(listed.ready_ids()) if has_endpoints else (),
                tuple(listed.lapsed) if has_endpoints else (),
                tuple(listed.leaving) if has_endpoints else (),
                tuple(changed),
                tuple(revision.era for revision, _ in changed.values()),
                tuple(revision.number for revision, _ in changed.values()),
                tuple(spec for _, spec in changed.values()),
            ),
        )

    def _on_view(self, box: str, view: peer_messages.View) -> None:
        # If it cannot be taken whole, the question stays unanswered: another
        # box is asked for the same changes.
        view.rows()
        asked_at = self._queries.complete_query(view.number)
        same = view.version == self._cache.version
        if asked_at is not None and view.age_ms >= 0 and same:
            self._freshness.confirm(asked_at - view.age_ms * MS)
        if view.has_endpoints:
            self._cache.apply_view(view, box)
            if self._place.is_sparse:
                self._announce_change()
        entries = self._table.listed.entries
        self._is_missing_entries = any(
            i not in entries and i not in view.lapsed for i in view.ready
        )
        self._note_list_age(view.list_age_ms, view.revision, asked_at)


def _query_order(peer: store_readers.PeerReaderState) -> tuple[bool, float]:
    """Returns the sort key by which a peer to query is selected."""
    return not peer.is_reader, peer.age_s or 0.0
