"""The parts of a box on the platform, connected to each other."""

from collections.abc import Callable
import random

from martenjunction import events
from martenjunction import metrics
from martenjunction import own_records
from martenjunction import timers
from martenjunction.decisions.boxes import config_freshness
from martenjunction.decisions.boxes import endpoint_list
from martenjunction.decisions.boxes import endpoint_paths
from martenjunction.decisions.boxes import retry_budget
from martenjunction.decisions.boxes import stop_state
from martenjunction.decisions.boxes import tunnel_choice
from martenjunction.decisions.boxes import watch_checks
from martenjunction.decisions.duties import lease
from martenjunction.duties import fleet_duties
from martenjunction.endpoints import pool
from martenjunction.peers import hub
from martenjunction.peers import membership
from martenjunction.platform import box_settings
from martenjunction.platform import store
from martenjunction.routing.access import admission
from martenjunction.routing.endpoints import endpoint_connector
from martenjunction.routing.endpoints import endpoint_liveness
from martenjunction.routing.endpoints import endpoint_registry
from martenjunction.routing.fleet import box_ends
from martenjunction.routing.fleet import box_state_sync
from martenjunction.routing.fleet import fleet_overlay
from martenjunction.routing.fleet import member_changes
from martenjunction.routing.limits import answer_admission
from martenjunction.routing.limits import body_admission
from martenjunction.routing.limits import brittleness_sync
from martenjunction.routing.limits import connection_shares
from martenjunction.routing.limits import endpoint_notices
from martenjunction.routing.limits import leaving_sync
from martenjunction.routing.limits import limit_sync
from martenjunction.routing.limits import memory_guard
from martenjunction.routing.limits import prober
from martenjunction.routing.limits import rate_grants
from martenjunction.routing.log import connection_log
from martenjunction.routing.log import decision_log
from martenjunction.routing.log import usage_log
from martenjunction.routing.messages import peer_stamps
from martenjunction.routing.ports import readiness
from martenjunction.routing.quarantine import part_quarantine
from martenjunction.routing.quarantine import request_quarantine
from martenjunction.routing.requests import run_reports
from martenjunction.routing.store import dead_entries
from martenjunction.routing.store import follower
from martenjunction.routing.store import fresh_reading
from martenjunction.routing.store import store_cache
from martenjunction.routing.streams import archive
from martenjunction.routing.streams import origins
from martenjunction.routing.sync import load_exchange
from martenjunction.routing.sync import outcome_report
from martenjunction.routing.sync import peer_sync
from martenjunction.routing.sync import reachable_boxes
from martenjunction.tunnels import dialer
from martenjunction.tunnels import server as tunnel_server

# Safety margin, in seconds, subtracted from the time for which a removed key
# may still be accepted.
KEY_MARGIN_S = 0.25

# Seconds after the first start of the whole fleet at which seeds are connected
# to if no other box is listed: all boxes have the same few seeds.
SEEDS_AFTER_S = 3.0


class BoxParts:
    """All parts of one box; none of them is started."""

    def __init__(
        self,
        settings: box_settings.BoxSettings,
        resident_bytes: Callable[[], int] | None = None,
    ) -> None:
        """Builds the parts.

        Args:
            settings: The box's settings.
            resident_bytes: Returns the box's resident memory; that of the
                process if left out.
        """
        self._settings = settings
        self._rng = random.Random()
        self.timers = timers.Timers()
        self.events = events.Events()
        self.metrics = metrics.Metrics()
        self.log = decision_log.DecisionLog(self.timers.now)
        self.connection_log = connection_log.ConnectionLog(self.log)
        self.stop_state = stop_state.StopState()
        own = own_records.member(settings)
        self.members = membership.Membership(
            own, self.timers, lambda: self.member_changes.note()
        )
        self.freshness = config_freshness.ConfigFreshness(
            settings.key_lifetime_s, KEY_MARGIN_S, settings.change_s
        )
        self.admitter = admission.Admitter(
            self.freshness, settings.keys_fail_closed, self._rng
        )
        self.endpoint_list = endpoint_list.EndpointList()
        self.registry = endpoint_registry.EndpointRegistry(
            self.endpoint_list, self.log, self._rng
        )
        self.store_cache = store_cache.StoreCache(
            self.admitter,
            self.endpoint_list,
            self.freshness,
            self.log,
            self.timers.now,
        )
        self.paths = endpoint_paths.EndpointPaths()
        self.tunnel_dialer = dialer.TunnelDialer(
            settings.box,
            own_records.peer_key(settings),
            lambda: self.reachable.tunnel_peers(),
            lambda box: self.reachable.reaches(box),
            tunnel_choice.TunnelPeers(settings.zone, self._rng),
            self.timers,
        )
        self.connector = endpoint_connector.EndpointConnector(
            self.paths,
            self.endpoint_list,
            self.tunnel_dialer,
            self.timers,
            self.log,
            self._rng,
        )
        self.registry.observe_paths(self.connector)
        self.connector.on_cut(
            lambda endpoint_id, lost: self.registry.note_path_cut(
                endpoint_id, lost, self.timers.now()
            )
        )
        self.tunnels = tunnel_server.TunnelServer(
            own_records.peer_key(settings),
            self.endpoint_list,
            self.paths,
            lambda: not self.stop_state.leaving,
            settings.max_descriptors,
            settings.memory_bytes,
            self.timers,
        )
        self.connection_shares = connection_shares.ConnectionShares(
            self.admitter, self.members
        )
        self.pool = pool.EndpointPool(
            self.connection_shares.share, self.connector
        )
        self.budget = retry_budget.RetryBudget(
            settings.retry_ratio,
            settings.retry_allowance,
            settings.retry_window_s,
            self._max_boxes,
        )
        self.store = store.StoreClient(settings.store, settings.memory_bytes)
        self.follower = follower.StoreFollower(
            self.store,
            self.store_cache,
            self.members,
            own_records.store_entry(settings, own),
            self.log,
            self._rng,
            self.endpoint_list,
            settings.link_bytes_s,
            watch_checks.interval_s(settings.drain_s, settings.change_s),
            dead_entries.DeadEntries(
                self.store,
                self.members,
                lambda box: self.sync.is_heard(box),
                self.timers,
                self.log,
            ),
            settings.first_start,
        )
        self.overlay = fleet_overlay.FleetOverlay(self.members, self.timers.now)
        stamps = peer_stamps.PeerStamps()
        self.peers = hub.PeerHub(
            self.members,
            own_records.peer_key(settings),
            self.timers,
            self.events,
            lambda: self.sync.heartbeat(),
            settings.peers,
            settings.seeds,
            silence_timeout_s=peer_sync.LINK_SILENCE_TIMEOUT_S,
            arrangement=self.overlay,
            stamps=stamps,
            seeds_after_s=SEEDS_AFTER_S if settings.first_start else 0.0,
            key_source=own_records.peer_key_source(settings),
            on_odd=lambda kind: self.metrics.count(
                "peer_messages_odd", kind=kind
            ),
        )
        self.member_changes = member_changes.MemberChanges(
            self.members, self.peers
        )
        self.box_states = box_state_sync.BoxStateSync(
            self.overlay,
            self.peers,
            self.members,
            self.timers,
            self.log,
            lambda: self.readiness.state(),
            self._rng,
        )
        self.box_states.on_contradicted(self.follower.check_own_entry)
        self.sync = peer_sync.PeerSync(
            self.peers,
            self.members,
            self.store_cache,
            self.freshness,
            self.registry,
            self.timers,
            self.log,
            lambda: self.readiness.is_ready(),
            lambda: self.connector.reaches_endpoints,
            self.follower,
            self.overlay,
            stamps,
        )
        self.box_ends = box_ends.BoxEnds(
            self.members,
            self.overlay,
            self.sync.last_heard,
            lambda: self.stop_state.ending,
            self.timers,
            self.log,
        )
        self.reachable = reachable_boxes.ReachableBoxes(
            self.members,
            self.overlay,
            self.sync,
            self.box_states,
            lambda: self.readiness.is_ready(),
            lambda: self.connector.reaches_endpoints,
            self._rng,
        )
        self.load_exchange = load_exchange.LoadExchange(
            self.overlay, self.peers, self.registry, self.timers, self._rng
        )
        self.outcomes = outcome_report.OutcomeReports(
            self.peers, self.registry, self.overlay, self.timers
        )
        self.usage = usage_log.UsageLog(
            self.timers, self.peers, lambda: self.store.calls, self.log
        )
        self.leaving_endpoints = leaving_sync.LeavingSync(
            self.endpoint_list, self.peers, self.members, self.log
        )
        self.limits = limit_sync.LimitSync(
            self.registry, self.peers, self.members, self.timers, self.log
        )
        self.brittleness = brittleness_sync.BrittlenessSync(
            self.registry, self.peers, self.members, self.timers, self.log
        )
        self.grants = rate_grants.RateGrants(
            self.registry,
            self.limits,
            self.peers,
            self.members,
            self.sync.responsive_peers,
            self.timers,
        )
        self.notices = endpoint_notices.EndpointNotices(
            self.leaving_endpoints,
            self.limits,
            self.brittleness,
            self.registry,
            self.timers.now,
            self.log,
        )
        self.pool.on_head(self.notices.take)
        self.liveness = endpoint_liveness.EndpointLiveness(
            self.registry, self.connector.is_down
        )
        self.run_reports = run_reports.RunReports(
            self.pool, self.endpoint_list, self.grants
        )
        self.parts = part_quarantine.PartQuarantine(
            self.endpoint_list,
            self.peers,
            self.members,
            self.timers,
            self.events,
            self.log,
            self.sync.responsive_peers,
        )
        self.quarantine = request_quarantine.RequestQuarantine(
            self.endpoint_list,
            self.liveness,
            self.peers,
            self.members,
            self.timers,
            self.events,
            self.log,
            self.sync.responsive_peers,
            self.parts,
        )
        self.fresh_reading = fresh_reading.FreshReading(
            self.store,
            self.store_cache,
            self.endpoint_list,
            self.freshness,
            self.members,
            self.timers,
            self.log,
        )
        self.origins = origins.StreamOrigins(
            self.endpoint_list,
            self.peers,
            self.members,
            self.timers,
            self.log,
            self.metrics,
            self._store_age_s,
            self.fresh_reading.read,
            first_start=settings.first_start,
        )
        self.admitter.on_activation(self.origins.apply_config)
        self.archive = archive.StreamArchive(
            self.store,
            self.origins,
            settings.box,
            self._live_boxes,
            lambda: self._duty_rank() == 0,
            self.timers,
            self.log,
            self._rng,
            settings.link_bytes_s,
        )
        self.origins.is_restoring = lambda: not self.archive.restored
        self.origins.request_restore = self.archive.request
        self.prober = prober.Prober(
            self.registry, self.pool, self.admitter, self.grants, self.timers
        )
        self.bodies = body_admission.BodyAdmission(
            settings.memory_bytes,
            self.admitter,
            self.timers,
            self.metrics,
            self.log,
            resident_bytes,
        )
        self.answers = answer_admission.AnswerAdmission(
            self.bodies, self.metrics
        )
        self.memory = memory_guard.MemoryGuard(
            settings.memory_bytes,
            self.bodies,
            self.answers,
            self.pool,
            self.log,
        )
        self.readiness = readiness.Readiness(
            self.stop_state,
            self.admitter,
            self.endpoint_list,
            self.memory,
            self.freshness,
            self.connector,
            lambda: self._settings,
            self.timers,
        )
        self.duties = fleet_duties.build(
            settings.duties,
            self.members,
            self.overlay,
            self._duty_rank,
            self.peers,
            self.store,
            lambda: self.admitter.config,
            self.registry,
            self.timers,
            self.log,
            self._rng,
        )

    def _duty_rank(self) -> int:
        """Returns the order in which this box takes the duties over."""
        if not self.follower.has_listed:
            # All boxes of a fleet that has just started would be the first.
            return lease.MAX_RANK
        return self.overlay.rank

    def _live_boxes(self) -> set[str] | None:
        """Returns the live boxes, or None as long as they are not listed."""
        if not self.follower.has_listed:
            return None
        return {member.box for member in self.members.live_snapshot()}

    def _max_boxes(self) -> int | None:
        """Returns the most boxes known at a time; None while starting."""
        if not self.follower.knows_boxes:
            return None
        return self.member_changes.max_count

    def _store_age_s(self) -> float | None:
        """Returns the age of the configuration or the list, the higher one."""
        now = self.timers.now()
        ages = self.freshness.age_s(now), self.endpoint_list.age.age_s(now)
        if ages[0] is None or ages[1] is None:
            return None
        return max(ages[0], ages[1])
