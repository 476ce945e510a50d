"""The application: wires the components of one daemon."""

import asyncio
from collections.abc import Callable
import logging
import random
import socket
import time
from typing import Any

from martenjunction import events
from martenjunction import layouts
from martenjunction import listeners
from martenjunction import metrics
from martenjunction import metrics_text
from martenjunction import planned_stop
from martenjunction import rankings
from martenjunction import stop_steps
from martenjunction import timers
from martenjunction import wiring
from martenjunction.callers import service as caller_service
from martenjunction.cells import broker
from martenjunction.cells import host
from martenjunction.claims import keeper
from martenjunction.config import fleet
from martenjunction.config import settings as daemon_settings
from martenjunction.config import store
from martenjunction.decisions import retries
from martenjunction.endpoints import client
from martenjunction.endpoints import loads
from martenjunction.objects import client as object_client
from martenjunction.objects import feed
from martenjunction.objects import model
from martenjunction.operators import dumps
from martenjunction.operators import explain
from martenjunction.peers import hub
from martenjunction.peers import membership
from martenjunction.peers import sync
from martenjunction.relay import relay

logger = logging.getLogger(__name__)

SUMMARY_INTERVAL = 0.5
OWNERSHIP_INTERVAL = 0.1

# Transfers in addition to those of held requests: load reports and calls to
# the platform.
SPARE_TRANSFERS = 256

MakeDispatcher = host.MakeDispatcher


class Application:
    """One daemon, as a library object."""

    def __init__(
        self,
        settings: daemon_settings.DaemonSettings,
        make_dispatcher: MakeDispatcher | None = None,
    ) -> None:
        """Initializes the daemon; `start` brings it up.

        Args:
            settings: The daemon's settings.
            make_dispatcher: Factory for the dispatchers of cells; defaults to
                `host.new_dispatcher`.
        """
        self._settings = settings
        self.events = events.Events()
        self.timers = timers.Timers()
        self.metrics = metrics.Metrics()
        self.store = store.ConfigStore()
        self._rng = random.Random()
        self._dumps: dict[str, Callable[[], dict[str, Any]]] = {}
        self._draining = False
        self._drained = asyncio.Event()
        self._update_task: asyncio.Task[None] | None = None
        self._started = time.time()
        own = membership.Member(
            settings.box,
            settings.zone,
            settings.callers,
            settings.operators,
            settings.peers,
            incarnation=time.time_ns(),
        )
        self.members = membership.Membership(
            own, self.timers, self._on_members_changed
        )
        self._http = client.EndpointClient(settings.max_held + SPARE_TRANSFERS)
        self.peers = hub.PeerHub(
            self.members,
            settings.peer_key,
            self.timers,
            self.events,
            self._heartbeat,
            settings.listen_peers or settings.peers,
            settings.seeds,
            on_odd=lambda kind: self.metrics.count(
                "peer_messages_odd", kind=kind
            ),
        )
        self._rankings = rankings.Rankings(
            settings,
            self.members,
            self.peers,
            self._rng,
            lambda: self.callers.utilization,
        )
        self._links = wiring.CellLinks(settings.box, self.peers)
        self.cells = host.CellHost(
            self.timers,
            self._links.to_entry,
            make_dispatcher or host.new_dispatcher,
        )
        self.broker = broker.Broker(
            settings.box,
            settings.zone,
            self.timers,
            self._rankings.owners,
            self._links.to_owner,
        )
        self._layouts = layouts.LayoutKeeper(
            self.members, self.store, self.cells, self.broker
        )
        self._platform: object_client.ObjectClient | None = None
        self._feed: feed.PlatformFeed | None = None
        if settings.platform:
            self._make_feed(settings.platform)
        self.sync = sync.ConfigSync(
            self.peers, self.store, self._on_config_changed
        )
        self.claims = keeper.ClaimKeeper(
            settings.box,
            self._platform,
            self._rankings.shard_owner,
            self.peers.send,
            self.peers.send,
        )
        self.callers = caller_service.CallerService(settings, self._parts())
        self._loads = loads.LoadPoller(
            self._http,
            self.timers,
            self.cells.polled_endpoints,
            self._on_load,
            self.cells.mark_unreachable,
        )
        self._listeners = listeners.Listeners(
            settings, self.callers, self, self.metrics
        )
        self._connect()

    @property
    def settings(self) -> daemon_settings.DaemonSettings:
        """The daemon's settings."""
        return self._settings

    @property
    def draining(self) -> bool:
        """Whether a graceful shutdown has begun."""
        return self._draining

    # Extension points.

    def add_dump(
        self, name: str, describe: Callable[[], dict[str, Any]]
    ) -> None:
        """Adds a section to the dump.

        Args:
            name: The section's name in the dump.
            describe: Returns the section's content.
        """
        self._dumps[name] = describe

    # Start and stop.

    async def start(self) -> None:
        """Brings the daemon up; it serves when this returns."""
        if self._settings.fleet:
            self._load_file(self._settings.fleet)
        if self._feed is not None:
            await self._feed.read_once()
            self._feed.start()
        await self.peers.start()
        self.timers.subscribe(
            "summaries",
            SUMMARY_INTERVAL,
            lambda: self._links.send_summaries(self.timers.now()),
        )
        self.timers.subscribe(
            "owners", OWNERSHIP_INTERVAL, self._schedule_update
        )
        self.timers.start()
        self.callers.start()
        self._loads.start()
        self._listeners.start()
        await self._update_cells()

    async def drain(self) -> None:
        """Shuts down gracefully.

        The daemon leaves the membership, hands over its cells and drains
        in-flight requests before it stops.
        """
        if self._draining:
            return
        self._draining = True
        logger.info("graceful shutdown started")
        own = self.members.own
        stop_steps.run(
            [
                lambda: self.events.emit(events.LEAVING),
                lambda: self.sync.announce_leaving(own),
                lambda: self.members.mark_leaving(
                    self._settings.box, own.incarnation
                ),
            ]
        )
        try:
            await planned_stop.end_service(
                self._settings, self._listeners, self.callers
            )
        finally:
            try:
                await self.stop()
            finally:
                self._drained.set()

    async def wait_drained(self) -> None:
        """Waits until a graceful shutdown has completed."""
        await self._drained.wait()

    async def stop(self) -> None:
        """Stops at once; in-flight requests are aborted."""
        await self._listeners.abort()
        await self.claims.stop()
        if self._feed is not None:
            await self._feed.stop()
        await self.timers.stop()
        await self.cells.stop()
        await self.peers.stop()
        if self._platform is not None:
            self._platform.close()
        self._http.close()

    def listening_sockets(self) -> list[socket.socket]:
        """Returns the sockets that callers and operators connect to."""
        return self._listeners.sockets

    # Operator interface.

    def dump(self) -> dict[str, Any]:
        """Returns the state of every component, without secrets."""
        return {name: describe() for name, describe in self._dumps.items()}

    def metrics_text(self) -> bytes:
        """Returns the metrics in the Prometheus text format."""
        traffic = self.peers.traffic()
        calls = self._platform.calls if self._platform else {}
        return metrics_text.render(
            self.metrics,
            {
                "held_requests": float(len(self.callers.relays)),
                "peer_bytes_in": float(traffic.bytes_in),
                "peer_bytes_out": float(traffic.bytes_out),
                "platform_calls": float(sum(calls.values())),
                "config_revision": float(self.store.revision),
                "loop_delay_s": self.timers.worst_delay,
                **self._listeners.ledger.gauges(),
            },
        )

    def config_status(self, keys: list[str]) -> dict[str, Any]:
        """Returns which configuration is in force.

        Args:
            keys: Keys of the objects whose versions are returned.
        """
        return {
            "box": self._settings.box,
            "versions": {key: self.store.version_of(key) for key in keys},
            **dumps.of_config(self.store),
        }

    def explain(self, question: dict[str, Any]) -> dict[str, Any]:
        """Returns how a described request would be routed, and why."""
        return explain.explain(question, self.store.config, self.callers)

    # Wiring.

    def _make_feed(self, url: str) -> None:
        self._platform = object_client.ObjectClient(url)
        self._feed = feed.PlatformFeed(
            self._platform,
            self.timers,
            lambda: self._rankings.is_watcher,
            self._on_platform_objects,
            self._on_platform_boxes,
        )

    def _parts(self) -> caller_service.Dependencies:
        tools = relay.RelayContext(
            self.broker,
            self._http,
            self.timers,
            retries.RetryBudget(),
            self._find_endpoint,
            self._rng,
        )
        return caller_service.Dependencies(
            tools,
            self.claims,
            self.timers,
            self.metrics,
            self.events,
            self._rankings.entry,
        )

    def _connect(self) -> None:
        self._links.connect(self.cells, self.broker)
        wiring.connect_claims(self.peers, self.claims)
        self.sync.connect(self.members, self._layouts.on_listed)
        self.events.connect(events.PEER_LOST, self._on_peer_lost)
        self.events.connect(
            events.PEER_CONNECTED, lambda _: self._links.resend_all()
        )
        self.events.connect(events.PEER_CONNECTED, self.broker.announce_to)
        self.add_dump("daemon", self._describe)
        self.add_dump("config", lambda: dumps.of_config(self.store))
        self.add_dump("members", lambda: dumps.of_members(self.members))
        self.add_dump("peers", lambda: dumps.of_peers(self.peers))
        self.add_dump("cells", lambda: dumps.of_cells(self.cells))
        self.add_dump("broker", lambda: dumps.of_broker(self.broker))
        self.add_dump("claims", lambda: dumps.of_claims(self.claims))
        self.add_dump(
            "policies", lambda: dumps.of_policies(self.callers.classifier)
        )
        self.add_dump("platform", self._describe_platform)
        self.add_dump("metrics", self.metrics.as_dict)

    # Configuration and box lists.

    def _load_file(self, path: str) -> None:
        documents, _ = fleet.read([path])
        objects = [
            store.ConfigObject(document.key, 1, document.values)
            for document in documents
        ]
        if self.store.apply(objects):
            self._on_config_changed()

    def _on_platform_objects(self, objects: list[store.ConfigObject]) -> None:
        newer = self.store.apply(objects)
        if newer:
            self._on_config_changed()
            self.sync.push(newer)

    def _on_platform_boxes(self, boxes: list[model.ListedBox]) -> None:
        self._layouts.on_listed(boxes)
        self.sync.push_boxes(boxes)

    def _on_config_changed(self) -> None:
        config = self.store.config
        self.callers.set_config(config)
        self._layouts.on_config_changed()
        self.events.emit(events.CONFIG_CHANGED, self.store.config)

    def _on_members_changed(self) -> None:
        self.events.emit(events.MEMBERS_CHANGED)

    def _on_peer_lost(self, box: str) -> None:
        self.cells.entry_lost(box)
        self.broker.reassign()

    # Cells.

    def _schedule_update(self) -> None:
        if self._update_task is None or self._update_task.done():
            loop = asyncio.get_running_loop()
            self._update_task = loop.create_task(self._update_cells())

    async def _update_cells(self) -> None:
        box = self._settings.box
        owned = frozenset(
            name
            for name, info in self.broker.cells.items()
            if next(iter(self._rankings.owners(info)), box) == box
        )
        if self._draining:
            owned = frozenset()
        await self.cells.set_owned(owned)
        self.broker.reassign()

    def _on_load(self, endpoint: str, load: loads.Load) -> None:
        self.cells.report(
            endpoint, load.age_ms / 1000, load.running, load.waiting
        )

    def _find_endpoint(self, name: str) -> fleet.Endpoint | None:
        return self.store.config.endpoint.get(name)

    def _heartbeat(self) -> Any:
        return self.sync.heartbeat(self.callers.utilization)

    # Dump.

    def _describe(self) -> dict[str, Any]:
        return {
            "box": self._settings.box,
            "zone": self._settings.zone,
            "draining": self._draining,
            "held": len(self.callers.relays),
            "uptime_s": round(time.time() - self._started, 1),
            "loop_delay_s": round(self.timers.worst_delay, 4),
            "cpu_s": round(time.process_time(), 3),
        }

    def _describe_platform(self) -> dict[str, Any]:
        if self._feed is None or self._platform is None:
            return {"configured": False}
        watcher = self._rankings.is_watcher
        return dumps.of_platform(self._feed, self._platform, watcher)
