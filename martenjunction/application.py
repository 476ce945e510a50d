"""The application: wires the parts of one daemon together."""

import asyncio
from collections.abc import Callable
import dataclasses
import logging
import random
import socket
import time
from typing import Any

from tornado import web

from martenjunction import addresses
from martenjunction import errors
from martenjunction import events
from martenjunction import http_server
from martenjunction import metrics
from martenjunction import metrics_text
from martenjunction import timers
from martenjunction.callers import chat
from martenjunction.callers import lists
from martenjunction.callers import plain
from martenjunction.callers import service as caller_service
from martenjunction.cells import broker
from martenjunction.cells import directory
from martenjunction.cells import host
from martenjunction.cells import messages as cell_messages
from martenjunction.cells import summaries
from martenjunction.claims import keeper
from martenjunction.claims import messages as claim_messages
from martenjunction.config import fleet
from martenjunction.config import settings as daemon_settings
from martenjunction.config import store
from martenjunction.decisions import policies
from martenjunction.decisions import rendezvous
from martenjunction.decisions import retries
from martenjunction.endpoints import client
from martenjunction.endpoints import loads
from martenjunction.objects import client as object_client
from martenjunction.objects import feed
from martenjunction.objects import model
from martenjunction.operators import dumps
from martenjunction.operators import handlers as operator_handlers
from martenjunction.peers import hub
from martenjunction.peers import membership
from martenjunction.peers import sync
from martenjunction.relay import relay

logger = logging.getLogger(__name__)

SUMMARY_INTERVAL = 0.5
OWNERSHIP_INTERVAL = 0.1

# Daemons of each availability zone that follow the platform all the time.
WATCHERS_PER_ZONE = 2

# Addresses in one entry answer.
MAX_ENTRIES = 4

# Transfers besides those of held requests: load reports and the platform.
SPARE_TRANSFERS = 256

IDLE_CONNECTION = 75.0
BODY_TIMEOUT = 60.0

# Seconds in which requests that a planned stop ended at its limit get their
# answers; one that waits for its claim may wait as long as that takes.
FINAL_ANSWERS = keeper.CLAIM_TIMEOUT + 1.0

MakeDispatcher = host.MakeDispatcher


class Application:
    """One daemon, as a library object."""

    def __init__(
        self,
        settings: daemon_settings.DaemonSettings,
        make_dispatcher: MakeDispatcher | None = None,
    ) -> None:
        """Wires the parts; `start` brings them up.

        Args:
            settings: The daemon's settings.
            make_dispatcher: Makes the dispatchers of cells; the usual one
                if left out.
        """
        self._settings = settings
        self.events = events.Events()
        self.timers = timers.Timers()
        self.metrics = metrics.Metrics()
        self.store = store.ConfigStore()
        self._rng = random.Random()
        self._dumps: dict[str, Callable[[], dict[str, Any]]] = {}
        self._servers: list[http_server.Server] = []
        self._layout = directory.Layout()
        self._cell_infos: directory.Cells = {}
        self._laid_out: tuple[Any, Any] = ({}, {})
        self._endpoint_states: dict[str, model.BoxState] = {}
        self._summary_gate = summaries.SummaryGate()
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
        )
        self.cells = host.CellHost(
            self.timers,
            self._send_to_entry,
            make_dispatcher or host.new_dispatcher,
        )
        self.broker = broker.Broker(
            settings.box,
            settings.zone,
            self.timers,
            self._owners,
            self._send_to_owner,
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
            self._shard_owner,
            self.peers.send,
            self.peers.send,
        )
        self.callers = caller_service.CallerService(settings, self._parts())
        self._loads = loads.LoadPoller(
            self._http,
            self.timers,
            self.cells.polled_endpoints,
            self._on_load,
            self.cells.silent,
        )
        self._connect()

    @property
    def settings(self) -> daemon_settings.DaemonSettings:
        """The daemon's settings."""
        return self._settings

    @property
    def draining(self) -> bool:
        """Whether a planned stop has begun."""
        return self._draining

    # Extension.

    def add_dump(
        self, name: str, describe: Callable[[], dict[str, Any]]
    ) -> None:
        """Adds a part to the dump.

        Args:
            name: The part's name in the dump.
            describe: Returns the part's state.
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
            "summaries", SUMMARY_INTERVAL, self._send_summaries
        )
        self.timers.subscribe("owners", OWNERSHIP_INTERVAL, self._update)
        self.timers.start()
        self.callers.start()
        self._loads.start()
        self._listen()
        await self._update_cells()

    async def drain(self) -> None:
        """Stops as planned: leaves, hands over, finishes, then ends."""
        if self._draining:
            return
        self._draining = True
        logger.info("a planned stop begins")
        self.events.emit(events.LEAVING)
        self.sync.announce_leaving(self.members.own)
        self.members.leaving(self._settings.box, self.members.own.incarnation)
        for server in self._servers:
            server.end_reuse()
        try:
            async with asyncio.timeout(self._settings.drain_limit):
                # Callers may keep an old entry answer for this long.
                await asyncio.sleep(self._settings.entry_ttl)
                await self._finish_requests()
        except TimeoutError:
            await self._end_requests()
        await self.stop()
        self._drained.set()

    async def _finish_requests(self) -> None:
        for server in self._servers:
            await server.finish()
        # A call that may not be repeated goes on when its caller left.
        await self.callers.wait_idle()

    async def _end_requests(self) -> None:
        logger.warning("the planned stop took too long")
        self.callers.stop_all()
        try:
            async with asyncio.timeout(FINAL_ANSWERS):
                await self._finish_requests()
        except TimeoutError:
            logger.warning("some callers did not take their last answers")

    async def wait_drained(self) -> None:
        """Waits until a planned stop has ended."""
        await self._drained.wait()

    async def stop(self) -> None:
        """Stops at once; requests in flight are cut off."""
        for server in self._servers:
            server.cut_off()
        for server in self._servers:
            await server.close_all_connections()
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
        return [
            listening
            for server in self._servers
            for listening in server._sockets.values()
        ]

    # What operators ask for.

    def dump(self) -> dict[str, Any]:
        """Returns the state of every part, secrets left out."""
        return {name: describe() for name, describe in self._dumps.items()}

    def metrics_text(self) -> bytes:
        """Returns the metrics in the Prometheus text form."""
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
            },
        )

    def config_status(self, keys: list[str]) -> dict[str, Any]:
        """Returns which configuration is in force.

        Args:
            keys: Objects whose versions are wanted.
        """
        return {
            "box": self._settings.box,
            "versions": {key: self.store.version_of(key) for key in keys},
            **dumps.of_config(self.store),
        }

    def explain(self, question: dict[str, Any]) -> dict[str, Any]:
        """Returns what a described request would get, and why."""
        name = str(question.get("workspace", ""))
        workspace = self.store.config.workspace.get(name)
        if workspace is None:
            return {"error": f"there is no workspace {name!r}"}
        model = str(question.get("model", ""))
        facts = policies.RequestFacts(
            workspace=name,
            kind=str(question.get("kind", chat.DEFAULT_KIND)),
            model=model,
            prompt_tokens=int(question.get("prompt_tokens", 1)),
            max_tokens=int(question.get("max_tokens", 0)),
            default_class="",
            labels=dict(question.get("labels", {})),
        )
        try:
            classed = self.callers.classify(workspace, facts)
        except errors.CallerError as error:
            return {"error": str(error)}
        config = self.store.config
        service = config.service_for_model(model) or config.service.get(model)
        endpoints = config.endpoints_of(service.name) if service else []
        return {
            "class": dataclasses.asdict(classed.service_class),
            "reasons": list(classed.reasons),
            "zones": list(classed.zones),
            "service": service.name if service else None,
            "endpoints": [endpoint.name for endpoint in endpoints],
        }

    # Wiring.

    def _make_feed(self, url: str) -> None:
        self._platform = object_client.ObjectClient(url)
        self._feed = feed.PlatformFeed(
            self._platform,
            self.timers,
            self._is_watcher,
            self._on_platform_objects,
            self._on_platform_boxes,
        )

    def _parts(self) -> caller_service.Parts:
        tools = relay.Tools(
            self.broker,
            self._http,
            self.timers,
            retries.RetryBudget(),
            self._find_endpoint,
            self._rng,
        )
        return caller_service.Parts(
            tools,
            self.claims,
            self.timers,
            self.metrics,
            self.events,
            self._entry,
        )

    def _connect(self) -> None:
        for kind in (
            cell_messages.AskPlace,
            cell_messages.AnnounceRun,
            cell_messages.Withdraw,
            cell_messages.FirstToken,
            cell_messages.RunEnded,
        ):
            self.peers.subscribe(kind, self.cells.receive)
        for answer in (
            cell_messages.PlaceGranted,
            cell_messages.RequestShed,
            cell_messages.RunPreempted,
            cell_messages.Summary,
        ):
            self.peers.subscribe(answer, self.broker.receive)
        for change in (claim_messages.Claim, claim_messages.Settle):
            self.peers.subscribe(change, self.claims.receive)
        self.peers.subscribe(
            claim_messages.ClaimAnswer,
            lambda _, answer: self.claims.on_answer(answer),
        )
        self.sync.connect(self.members, self._on_listed)
        self.events.connect(events.PEER_LOST, self._on_peer_lost)
        self.events.connect(
            events.PEER_CONNECTED, lambda _: self._summary_gate.forget()
        )
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

    def _listen(self) -> None:
        arguments = {"callers": self.callers}
        callers = web.Application(
            [
                ("/v1/chat/completions", chat.ChatHandler, arguments),
                ("/v1/models", lists.ModelsHandler, arguments),
                ("/v1/entry", lists.EntryHandler, arguments),
                (
                    "/v1/services/([^/]+)/(.*)",
                    plain.PlainHandler,
                    arguments,
                ),
                (".*", lists.UnknownPathHandler, arguments),
            ]
        )
        operators = operator_handlers.application(
            self, self._settings.operator_key
        )
        for application, address in (
            (callers, self._settings.listen_callers or self._settings.callers),
            (operators, self._settings.operators),
        ):
            server = http_server.Server(
                application,
                max_header_size=self._settings.header_limit,
                max_body_size=self._settings.body_limit,
                idle_connection_timeout=IDLE_CONNECTION,
                body_timeout=BODY_TIMEOUT,
            )
            host_name, port = addresses.split_address(address)
            server.listen(port, host_name, backlog=1024)
            self._servers.append(server)

    # Configuration and lists.

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
        self._on_listed(boxes)
        self.sync.push_boxes(boxes)

    def _on_listed(self, boxes: list[model.ListedBox]) -> None:
        for box in boxes:
            if box.role is model.BoxRole.ENDPOINT:
                self._endpoint_states[box.name] = box.state
            else:
                self._list_daemon(box)
        self._layout_changed()

    def _list_daemon(self, box: model.ListedBox) -> None:
        self.members.listed(
            membership.Member(
                box.name, box.zone, box.callers, box.operators, box.peers
            ),
            live=box.state is not model.BoxState.GONE,
            leaving=box.state is model.BoxState.LEAVING,
        )

    def _on_config_changed(self) -> None:
        config = self.store.config
        self.callers.set_config(config)
        if self._layout_is_old():
            self._layout_changed()
        self.events.emit(events.CONFIG_CHANGED, self.store.config)

    def _layout_changed(self) -> None:
        config = self.store.config
        if self._layout_is_old():
            self._laid_out = (config.service, config.endpoint)
            self._cell_infos = self._layout.update(config)
        layout = self._cell_infos
        leaving = frozenset(
            name
            for name, state in self._endpoint_states.items()
            if state is not model.BoxState.LIVE
        )
        self.cells.set_layout(layout, config.endpoint, leaving)
        self.broker.set_cells(layout)

    def _layout_is_old(self) -> bool:
        # A table that did not change is the same object.
        config = self.store.config
        services, endpoints = self._laid_out
        return config.service is not services or (
            config.endpoint is not endpoints
        )

    def _on_members_changed(self) -> None:
        self.events.emit(events.MEMBERS_CHANGED)

    def _on_peer_lost(self, box: str) -> None:
        self.cells.entry_lost(box)
        self.broker.reassign()

    def _is_watcher(self) -> bool:
        zone = self._settings.zone
        near = [
            member.box
            for member in self.members.believed()
            if member.zone == zone and self._can_reach(member.box)
        ]
        ranking = rendezvous.ranked(near, f"watch/{zone}")
        return self._settings.box in ranking[:WATCHERS_PER_ZONE]

    # Cells.

    def _can_reach(self, box: str) -> bool:
        return box == self._settings.box or self.peers.reachable(box)

    def _owners(self, cell: directory.CellInfo) -> list[str]:
        places = [
            directory.BoxPlace(member.box, member.zone)
            for member in self.members.believed()
            if self._can_reach(member.box)
        ]
        return directory.owner_ranking(cell, places)

    def _shard_owner(self, key: str) -> str:
        boxes = [
            member.box
            for member in self.members.believed()
            if self._can_reach(member.box)
        ]
        return rendezvous.owner(boxes, key) or self._settings.box

    def _update(self) -> None:
        if self._update_task is None or self._update_task.done():
            loop = asyncio.get_running_loop()
            self._update_task = loop.create_task(self._update_cells())

    async def _update_cells(self) -> None:
        box = self._settings.box
        owned = frozenset(
            name
            for name, info in self.broker.cells.items()
            if next(iter(self._owners(info)), box) == box
        )
        if self._draining:
            owned = frozenset()
        await self.cells.set_owned(owned)
        self.broker.reassign()

    def _send_to_entry(
        self, box: str, message: cell_messages.FromOwner
    ) -> None:
        if box == self._settings.box:
            self.broker.receive(box, message)
        else:
            self.peers.send(box, message)

    def _send_to_owner(
        self, box: str, message: cell_messages.FromEntry
    ) -> bool:
        if box == self._settings.box:
            self.cells.receive(box, message)
            return True
        return self.peers.send(box, message)

    def _send_summaries(self) -> None:
        current = self.cells.summaries()
        for summary in current:
            self.broker.receive(self._settings.box, summary)
        now = self.timers.now()
        for summary in self._summary_gate.pass_on(current, now):
            self.peers.broadcast(summary)

    def _on_load(self, endpoint: str, load: loads.Load) -> None:
        self.cells.report(
            endpoint, load.age_ms / 1000, load.running, load.waiting
        )

    def _find_endpoint(self, name: str) -> fleet.Endpoint | None:
        return self.store.config.endpoint.get(name)

    # Entry.

    def _entry(self) -> list[caller_service.EntryAddress]:
        """Ranks boxes: near ones first, then those with room."""
        own = self._settings.zone
        believed = [
            member
            for member in self.members.believed()
            if self._can_reach(member.box)
        ]
        ranked = sorted(
            believed,
            key=lambda member: (
                directory.distance(own, member.zone),
                round(self._held_of(member), 1),
                self._rng.random(),
            ),
        )
        return [
            caller_service.EntryAddress(member.box, member.zone, member.callers)
            for member in ranked[:MAX_ENTRIES]
        ]

    def _held_of(self, member: membership.Member) -> float:
        if member.box == self._settings.box:
            return self.callers.held
        return member.held

    def _heartbeat(self) -> Any:
        return self.sync.heartbeat(self.callers.held)

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
        return {
            "configured": True,
            "watcher": self._is_watcher(),
            "answered_ago_s": self._feed.answered_ago,
            "failures": self._feed.failures,
            "calls": self._platform.calls,
        }
